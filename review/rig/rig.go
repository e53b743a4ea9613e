// Package rig holds what the scripts of the second review share: small stand-ins of
// the platform's store, of workers and of requesters, which follow the users' pages,
// and the start of entries as separate processes on loopback.
package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	Held   = 0 // The rule held.
	Broken = 1
	NotRun = 2 // The case couldn't run.
)

// Bounds of a small installation, as on its sheet.
const (
	holdMax     = time.Second
	stopTime    = 20 * time.Millisecond // StopMs is 50.
	heartbeat   = 1500 * time.Millisecond
	history     = 20 * time.Second
	serviceName = "pool"
	hostName    = "desk.example"
)

// Rig is one run of a script.
type Rig struct {
	Store   *Store
	Entries []*Entry
	Workers []*Worker

	dir     string // Temporary folder.
	ports   ports  // Of the entries.
	record  io.WriteCloser
	began   time.Time
	mu      sync.Mutex
	servers []*http.Server
	closing chan struct{}

	closeOnce sync.Once
}

// New returns a rig that writes its record to a file. Close ends all that it starts.
func New(record string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Clean(record)) //nolint:gosec // The folder of the case.
	if err != nil {
		return nil, err
	}
	r := &Rig{dir: dir, record: f, began: time.Now(), closing: make(chan struct{})}
	r.Store = newStore(r)
	return r, nil
}

// Logf writes a line to the record, with the seconds since the start.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and servers, and removes the temporary folder.
func (r *Rig) Close() { r.closeOnce.Do(r.close) }

func (r *Rig) close() {
	close(r.closing)
	time.Sleep(2 * restartDelay) // No guard starts a process any more.
	for _, e := range r.Entries {
		e.kill()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// serveAt starts a server at an address, and returns it and where it listens.
func (r *Rig) serveAt(addr string, h http.Handler) (*http.Server, string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// Route is a queue of the configuration.
type Route struct {
	Name               string
	Host               string
	Prefix             string
	Kind               string
	TimeoutMs          int
	TargetCompletionMs int
	Priority           int
	Service            string
	MaxAttempts        int
	SlackFactor        float64
}

// Queue returns a route like those of the sheets, under the prefix /NAME/.
func Queue(name string, priority int) Route {
	return Route{
		Name: name, Host: hostName, Prefix: "/" + name + "/", Kind: "unsafe", TimeoutMs: 1500, TargetCompletionMs: 60,
		Priority: priority, Service: serviceName, MaxAttempts: 3, SlackFactor: 1.6,
	}
}

// Configure writes a version of the configuration, as the operator does.
func (r *Rig) Configure(version int, routes ...Route) error {
	type service struct {
		Name, HealthPath, Protocol string
		MaxConnections             int
		EnforceCapacity, Standby   bool
	}
	raw, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []service{{Name: serviceName, HealthPath: "/healthz", Protocol: "h1", MaxConnections: 64}},
		"Limits":   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	r.Store.put("op/config", raw, 0)
	r.Logf("operator: version %d acknowledged, queues %s", version, queues(routes))
	return nil
}

func queues(routes []Route) string {
	var all []string
	for _, q := range routes {
		all = append(all, fmt.Sprintf("%s (priority %d)", q.Name, q.Priority))
	}
	return strings.Join(all, ", ")
}

// Main runs a case: it prints and returns what the case found. The argument of the
// program is the folder for the record. TROUBLE=0 leaves the disturbance out.
func Main(run func(r *Rig, trouble bool) (broken []string, err error)) {
	os.Exit(runCase(run))
}

func runCase(run func(r *Rig, trouble bool) (broken []string, err error)) int {
	if len(os.Args) != 2 {
		_, _ = fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		return NotRun
	}
	r, err := New(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer r.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGPIPE)
	go func() {
		<-signals
		r.Logf("the case was ended by a signal")
		r.Close()
		os.Exit(NotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.Logf("disturbance: %t", trouble)
	broken, err := run(r, trouble)
	if err != nil {
		r.Logf("the case couldn't run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	for _, b := range broken {
		r.Logf("BROKEN: %s", b)
		fmt.Println("BROKEN: " + b)
	}
	if len(broken) > 0 {
		return Broken
	}
	r.Logf("the rule held")
	fmt.Println("the rule held")
	return Held
}

var errNotReady = errors.New("an entry was not ready in time")

// Start starts the store, the workers and the entries, and waits until the entries
// serve. Each worker has the given thousandths of a core.
func (r *Rig) Start(entries, workers int, cores int64, routes ...Route) error {
	server, addr, err := r.serveAt("127.0.0.1:0", r.Store)
	if err != nil {
		return err
	}
	r.Store.server, r.Store.addr = server, addr
	if err := r.Configure(1, routes...); err != nil {
		return err
	}
	for i := range workers {
		if err := r.addWorker(fmt.Sprintf("i-%04d", i+1), zoneOf(i), cores); err != nil {
			return err
		}
	}
	if r.ports, err = choosePorts(entries); err != nil {
		return err
	}
	for i := range entries {
		if err := r.addEntry(i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range r.Entries {
		for !e.Ready() {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // Until the entries know each other and hold the workers.
	r.Logf("%d entries are ready, %d workers", entries, workers)
	return nil
}

// MoveStore serves the store at another address, writes that into all settings files and
// signals to the first entries, over a time, that they have changed. The former address is
// closed after a while.
func (r *Rig) MoveStore(signalled int, over, after time.Duration) error {
	former := r.Store.server
	server, addr, err := r.serveAt("127.0.0.1:0", r.Store)
	if err != nil {
		return err
	}
	r.Logf("platform: the store moves from %s to %s", r.Store.addr, addr)
	r.Store.server, r.Store.addr = server, addr
	for i, e := range r.Entries {
		if err := e.writeSettings(i); err != nil {
			return err
		}
	}
	for _, e := range r.Entries[:signalled] {
		e.Signal(syscall.SIGHUP)
		time.Sleep(over / time.Duration(signalled))
	}
	time.Sleep(after)
	r.Logf("platform: the former address of the store is closed")
	return former.Close()
}

// zoneOf returns the zone of the nth machine or worker.
func zoneOf(n int) string { return []string{"zone-a", "zone-b"}[n%2] }

// Runs returns the runs of all workers, in the order of their starts.
func (r *Rig) Runs() []Run {
	var all []Run
	for _, w := range r.Workers {
		all = append(all, w.allRuns()...)
	}
	slices.SortFunc(all, func(a, b Run) int { return a.Started.Compare(b.Started) })
	return all
}
