// Package yard runs entries of medlargw as processes, against small stand-ins of the
// platform's store, of workers and of requesters, and records what these see.
package yard

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Route is a queue of the configuration.
type Route struct {
	Name, Host, Prefix string
	TimeoutMs          float64
	TargetCompletionMs float64
	Priority           int
	Service            string
	MaxAttempts        int
	SlackFactor        float64
	Kind               string
}

// Yard is one deployment.
type Yard struct {
	Store   *Store
	Entries []*Entry
	Workers []*Worker

	mu       sync.Mutex
	began    time.Time
	record   *os.File
	dir      string
	repo     string
	storeAt  string
	servers  []*http.Server
	jobs     map[string]*Job
	active   map[string][]*start // By task.
	broken   []string
	failed   []string
	version  uint64
	Extra    string // Further lines of the settings.
	Starts   int
	Finished int
	quiet    bool
	orders   int // Of all workers.
	late     int // Those that got no answer and were carried out late.
}

type start struct {
	w *Worker
	r *run
}

// New returns a deployment without entries and workers. The record is written to the file.
func New(record string) (*Yard, error) {
	f, err := os.Create(record) //nolint:gosec // The case names its record.
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "yard")
	if err != nil {
		return nil, err
	}
	y := &Yard{Store: NewStore(), began: time.Now(), record: f, dir: dir, repo: ".", jobs: map[string]*Job{}, active: map[string][]*start{}}
	l, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	y.storeAt = l.Addr().String()
	server := &http.Server{Handler: y.Store, ReadHeaderTimeout: headerTimeout}
	y.servers = append(y.servers, server)
	go func() { _ = server.Serve(l) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		y.Fail("stopped by a signal")
		os.Exit(y.Close())
	}()
	return y, nil
}

// log writes a line to the record. The lock must be held.
func (y *Yard) log(what string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(y.began).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	b.WriteByte('\n')
	_, _ = y.record.WriteString(b.String())
}

// Log writes a line to the record.
func (y *Yard) Log(what string, fields ...any) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.log(what, fields...)
}

// Fail notes that the case could not run.
func (y *Yard) Fail(format string, args ...any) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.failed = append(y.failed, fmt.Sprintf(format, args...))
	y.log("FAILED", "what", y.failed[len(y.failed)-1])
}

// Break notes that a rule was broken.
func (y *Yard) Break(rule, format string, args ...any) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.breakRule(rule, format, args...)
}

func (y *Yard) breakRule(rule, format string, args ...any) {
	y.broken = append(y.broken, rule+": "+fmt.Sprintf(format, args...))
	y.log("BROKEN", "rule", y.broken[len(y.broken)-1])
}

// Configure puts a configuration in force.
func (y *Yard) Configure(routes ...Route) {
	y.mu.Lock()
	y.version += 3
	version := y.version
	services := map[string]bool{}
	var list []map[string]any
	for _, r := range routes {
		if !services[r.Service] {
			services[r.Service] = true
			list = append(list, map[string]any{"Name": r.Service, "HealthPath": "/healthz", "MaxConnections": 64, "EnforceCapacity": false})
		}
	}
	y.log("config", "version", version)
	y.mu.Unlock()
	y.Store.Put("op/config", map[string]any{"Version": version, "Routes": routes, "Services": list})
}

// AddWorker adds a worker that is up.
func (y *Yard) AddWorker(id, zone, service string, cpu int64, clockAt time.Duration) *Worker {
	w := &Worker{y: y, ID: id, Zone: zone, Service: service, Cpu: cpu, ClockAt: clockAt, addr: "127.0.0.1:0"}
	y.mu.Lock()
	y.Workers = append(y.Workers, w)
	y.mu.Unlock()
	w.Up()
	return w
}

// Entry is one entry of medlargw, a process.
type Entry struct {
	y        *Yard
	Name     string
	Zone     string
	IP       string
	Frontend string
	Ready    string
	settings string
	base     int

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	state string
}

// headerTimeout bounds the time in which the header of a call has to come.
const headerTimeout = 3 * time.Second

func listen(addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
}

// freePorts returns ports that are free on the address.
func freePorts(ip string, n int) ([]int, error) {
	var ls []net.Listener
	var ports []int
	defer func() {
		for _, l := range ls {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := listen(ip + ":0")
		if err != nil {
			return nil, err
		}
		ls = append(ls, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

const settings = `NodeName = "%s"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend"]
Ip = "%s"
Zone = "%s"
Region = "region-1"
InternalPorts = [%d,%d]
Seeds = []
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
ControlMode = "invocation"
[Zones]
zone-a = "region-1"
zone-b = "region-1"
[ListenAddrs]
Frontend = "%s"
Ready = "%s"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
MaxExtensionMs = 5000
RecoverS = 12
HoldMaxMs = 1000
StopMs = 50
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
LeaseMs = 3000
ThawMs = 300
PaceMs = 100
ImpactMs = 4000
RetransmitMs = 1300
[platform]
Address = "%s"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`

// AddEntry adds an entry at a loopback address of its own, which is not started.
func (y *Yard) AddEntry(zone string) (*Entry, error) {
	n := len(y.Entries) + 1
	e := &Entry{y: y, Name: fmt.Sprintf("frontend-%s-%d", zone, n), Zone: zone, IP: fmt.Sprintf("127.0.0.%d", 10+n)}
	ports, err := freePorts(e.IP, 3)
	if err != nil {
		return nil, err
	}
	e.Frontend, e.Ready, e.base = fmt.Sprintf("%s:%d", e.IP, ports[0]), fmt.Sprintf("%s:%d", e.IP, ports[1]), ports[2]
	e.settings = filepath.Join(y.dir, e.Name+".toml")
	text := fmt.Sprintf(settings, e.Name, e.IP, zone, e.base, e.base, e.Frontend, e.Ready, y.storeAt)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	y.mu.Lock()
	y.Entries = append(y.Entries, e)
	y.mu.Unlock()
	return e, nil
}

// Start starts the entry with the command of the deploy file.
func (e *Entry) Start() error {
	out, err := os.OpenFile(filepath.Join(e.y.dir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), "target/medlargw", "serve", "--platform") // Close ends it.
	cmd.Dir = e.y.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MEDLARGW_CONFIG=" + e.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.ended, e.state = cmd, ended, "running"
	e.mu.Unlock()
	e.y.Log("entry-start", "entry", e.Name, "pid", cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		e.y.mu.Lock()
		e.y.log("entry-end", "entry", e.Name, "pid", cmd.Process.Pid, "how", cmd.ProcessState, "err", err)
		e.y.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the entry's process.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
		return
	default:
	}
	e.y.Log("signal", "entry", e.Name, "signal", s)
	_ = e.cmd.Process.Signal(s)
}

// Ended returns a channel that is closed when the process has ended.
func (e *Entry) Ended() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// State returns how the process ended.
func (e *Entry) State() *os.ProcessState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd.ProcessState
}

// LogText returns what the entry has written.
func (e *Entry) LogText() string {
	raw, _ := os.ReadFile(filepath.Join(e.y.dir, e.Name+".log"))
	return string(raw)
}

// IsReady asks the entry whether it is ready.
func (e *Entry) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Ready+"/readyz", nil) // The address is valid.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the entries are ready.
func (y *Yard) AwaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, e := range y.Entries {
			ready = ready && e.IsReady()
		}
		if ready {
			y.Log("ready")
			return true
		}
	}
	y.Fail("entries not ready after %v", limit)
	return false
}

// started notes the start of a run. The lock must be held.
func (y *Yard) started(w *Worker, r *run, o *order) {
	y.Starts++
	w.starts = append(w.starts, time.Now())
	id, _, _ := strings.Cut(o.Task, ".")
	j := y.jobs[id]
	if !y.quiet {
		y.log("start", "task", o.Task, "attempt", o.Attempt, "worker", w.ID, "fence", o.FencingToken)
	}
	switch {
	case j == nil:
		y.breakRule("UNASKED", "worker %s was told to start %s, which no requester sent", w.ID, o.Task)
	case j.Spec != o.Spec:
		y.breakRule("UNASKED", "worker %s was told to start %s with another Spec", w.ID, o.Task)
	default:
		j.started = append(j.started, time.Now())
		if j.OnStart != nil {
			go j.OnStart(w, o.Task)
		}
	}
	if others := y.active[o.Task]; len(others) > 0 {
		y.breakRule("TWICE", "%s attempt %d on %s runs while attempt %d runs on %s", o.Task, o.Attempt, w.ID, others[0].r.attempt, others[0].w.ID)
	}
	y.active[o.Task] = append(y.active[o.Task], &start{w, r})
	var used int64
	for _, other := range w.runs {
		used += other.spec.Cores
	}
	if used > w.Cpu {
		y.breakRule("LIMIT", "a start of %s brings %s to %d of %d", o.Task, w.ID, used, w.Cpu)
	}
}

// ended notes the end of a run. The lock must be held.
func (y *Yard) ended(w *Worker, r *run, how string) {
	y.Finished++
	if !y.quiet {
		y.log("end", "task", r.task, "attempt", r.attempt, "worker", w.ID, "how", how)
	}
	kept := y.active[r.task][:0]
	for _, s := range y.active[r.task] {
		if s.r != r {
			kept = append(kept, s)
		}
	}
	y.active[r.task] = kept
	if len(kept) == 0 {
		delete(y.active, r.task)
	}
	id, _, _ := strings.Cut(r.task, ".")
	if j := y.jobs[id]; j != nil && how == "done" {
		j.done[r.task] = true
	}
}

// Job is a job of a requester.
type Job struct {
	ID       string
	Route    Route
	Count    int
	Cpu      int64 //nolint:revive,staticcheck // As the page spells it.
	Ms       float64
	Estimate float64
	Deadline time.Duration
	Fail     int
	Spec     string
	Sends    int           // At most.
	Leave    time.Duration // When the requester breaks its channel; zero is never.
	OnStart  func(w *Worker, task string)

	started []time.Time
	done    map[string]bool
	answers []string
}

// Add makes a job known, so that it may be sent.
func (y *Yard) Add(j *Job) {
	raw, _ := json.Marshal(Spec{Ms: j.Ms, Cores: j.Cpu, Fail: j.Fail})
	j.Spec, j.done = string(raw), map[string]bool{}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.jobs[j.ID] = j
}

// Body returns the body of the job's POST.
func (j *Job) Body() []byte {
	step := map[string]any{"Count": j.Count, "Cpu": j.Cpu, "EstimatedMs": j.Estimate}
	raw, _ := json.Marshal(map[string]any{"Spec": j.Spec, "JobSteps": []any{step}, "BestEffort": true})
	return raw
}

// Send sends the job once to an entry, and waits for the answer until the deadline. It
// returns the status, or zero without an answer.
func (y *Yard) Send(j *Job, e *Entry, client *http.Client) (status int, body string) {
	began := time.Now()
	y.mu.Lock()
	if !y.quiet {
		y.log("send", "job", j.ID, "entry", e.Name, "tasks", j.Count, "ms", j.Ms, "deadline", j.Deadline, "leave", j.Leave)
	}
	y.mu.Unlock()
	status, body = request(client, http.MethodPost, e, j, j.Body())
	y.mu.Lock()
	defer y.mu.Unlock()
	answer := fmt.Sprintf("%d %s", status, strings.TrimSpace(body))
	j.answers = append(j.answers, answer)
	if !y.quiet {
		y.log("answer", "job", j.ID, "entry", e.Name, "status", answer, "after", time.Since(began).Milliseconds())
	}
	if status == http.StatusOK && strings.Contains(body, "completed") {
		for i := range j.Count {
			if !j.done[taskOf(j.ID, i)] {
				y.breakRule("MIXED", "job %s is shown as completed, and its task %d has not ended so", j.ID, i)
			}
		}
	}
	return status, body
}

func request(client *http.Client, method string, e *Entry, j *Job, content []byte) (int, string) {
	wait := j.Deadline
	if j.Leave > 0 {
		wait = min(wait, j.Leave)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+e.Frontend+j.Route.Prefix+j.ID, bytes.NewReader(content)) // The address is valid.
	req.Host = j.Route.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(j.Deadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var buf bytes.Buffer
	if _, err := buf.ReadFrom(resp.Body); err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, buf.String()
}

// Cancel sends a DELETE for the job.
func (y *Yard) Cancel(j *Job, e *Entry) int {
	status, body := request(&http.Client{}, http.MethodDelete, e, j, nil)
	y.Log("delete", "job", j.ID, "entry", e.Name, "status", status, "body", body)
	return status
}

// NewClient returns a client with one connection at a time.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 3 * time.Second}).DialContext, IdleConnTimeout: 10 * time.Second}}
}

// Close ends all processes and returns the exit code of the case.
func (y *Yard) Close() int {
	y.checkRefusals()
	for _, e := range y.Entries {
		e.kill()
	}
	for _, s := range y.servers {
		_ = s.Close()
	}
	for _, w := range y.Workers {
		_ = w.server.Close()
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.log("total", "orders", y.orders, "late", y.late, "starts", y.Starts, "ends", y.Finished, "jobs", len(y.jobs), "broken", len(y.broken))
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(y.dir)
	} else {
		fmt.Println("logs:", y.dir)
	}
	return y.report()
}

// report prints the result, and returns the exit code.
func (y *Yard) report() int {
	for _, b := range y.broken {
		fmt.Println("broken:", b)
	}
	switch {
	case len(y.failed) > 0:
		fmt.Println("could not run:", y.failed)
		return 2
	case len(y.broken) > 0:
		return 1
	}
	fmt.Println("held")
	return 0
}

// checkRefusals looks for jobs that were started, and refused by each answer.
func (y *Yard) checkRefusals() {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, j := range y.jobs {
		refused := len(j.answers) > 0
		for _, a := range j.answers {
			refused = refused && (strings.HasPrefix(a, "429") || strings.HasPrefix(a, "503") || strings.HasPrefix(a, "404") || strings.HasPrefix(a, "400"))
		}
		if refused && len(j.started) > 0 {
			y.breakRule("REFUSED", "job %s was refused (%v), and started", j.ID, j.answers)
		}
	}
}

// kill ends the entry's process, if it runs.
func (e *Entry) kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGCONT)
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.ended
	if text := e.LogText(); strings.Contains(text, "panic:") || strings.Contains(text, "fatal error:") {
		e.y.Break("CRASH", "entry %s: see its log", e.Name)
	}
}

// SetWorker changes a worker while its calls wait.
func (y *Yard) SetWorker(w *Worker, change func()) {
	y.mu.Lock()
	defer y.mu.Unlock()
	change()
	y.log("worker-fault", "worker", w.ID, "cut", w.Cut, "orders", w.Order != nil)
}

// StartedSince returns the number of tasks of the job that were started since a time.
func (y *Yard) StartedSince(j *Job, since time.Time) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	n := 0
	for _, at := range j.started {
		if at.After(since) {
			n++
		}
	}
	return n
}

// Running returns the number of tasks of a job that run on workers.
func (y *Yard) Running(id string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	n := 0
	for task, starts := range y.active {
		if strings.HasPrefix(task, id+".") {
			n += len(starts)
		}
	}
	return n
}

// StartsOn returns the number of tasks that a worker has started after a time.
func (y *Yard) StartsOn(w *Worker, after time.Time) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	n := 0
	for _, at := range w.starts {
		if at.After(after) {
			n++
		}
	}
	return n
}
