// Stage plays one small deployment on loopback for a case of the review: it serves the
// platform's store and the workers, starts entries as processes, sends jobs to them, and
// checks what workers and callers have seen.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the deployment, in its settings.
const (
	cancelTime = 3 * time.Second
	stopBound  = 50 * time.Millisecond
)

func check(err error) {
	if err != nil {
		fail(err)
	}
}

// fail ends a case that can't run.
func fail(err error) {
	log.Println("the case could not run:", err)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

// current is the stage whose processes must end with this one.
var current *stage

// stage is one deployment.
type stage struct {
	dir       string // Of the case.
	work      string // Temporary.
	trouble   bool
	block     string // The first three bytes of all addresses.
	store     *store
	storeAddr string
	record    *record
	workers   []*worker
	entries   []*entry
	trap      atomic.Bool               // The next start order is left unanswered, and its worker cut off.
	onStart   func(w *worker, o *order) // Called for the next start order, which is left unanswered.

	storeServer *http.Server
	ctx         context.Context //nolint:containedctx // Ends with the stage.
	cancel      context.CancelFunc
}

// entry is one process of the system.
type entry struct {
	name, zone, ip string
	cmd            *exec.Cmd
	exited         chan struct{}
	settings       string
}

func (e *entry) callers() string { return e.ip + ":8161" }

func newStage(dir string) *stage {
	work, err := os.MkdirTemp("", "review-")
	check(err)
	s := &stage{dir: dir, work: work, trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	current = s
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.record = newRecord(filepath.Join(dir, "record.txt"))
	s.block = freeBlock()
	s.storeAddr = s.block + ".250:8169"
	s.storeServer = s.listenAt(s.storeAddr, s.store)
	return s
}

// freeBlock returns the first three bytes of loopback addresses that nothing uses.
func freeBlock() string {
	for range 100 {
		var b [2]byte
		_, _ = rand.Read(b[:])
		block := fmt.Sprintf("127.%d.%d", 1+int(b[0])%250, b[1])
		l, err := listen(block + ".250:8169")
		if err == nil {
			_ = l.Close()
			return block
		}
	}
	fail(errors.New("no free loopback addresses"))
	return ""
}

func listen(addr string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", addr)
}

func (s *stage) listenAt(addr string, h http.Handler) *http.Server {
	l, err := listen(addr)
	check(err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = server.Serve(l) }()
	return server
}

// route is one route of the configuration.
type route struct {
	Name, Host, Prefix, Kind      string
	TimeoutMs, TargetCompletionMs int
	Priority                      int
	Service                       string
	MaxAttempts                   int
	SlackFactor                   float64
}

// writeConfig writes the operator's configuration.
func (s *stage) writeConfig() {
	s.store.put("op/config", map[string]any{
		"Version": 7,
		"Routes": []route{{
			"r-cure", "desk.example", "/cure/", "unsafe", 1500, 60, 1, "desk-pool", 3, 1.6,
		}, {
			"r-build", "desk.example", "/build/", "unsafe", 1500, 60, 2, "desk-pool", 2, 1.6,
		}},
		"Services": []map[string]any{{
			"Name": "desk-pool", "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1", "EnforceCapacity": false,
		}},
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// addWorkers starts workers of 32 cores in a zone.
func (s *stage) addWorkers(zone string, n int) {
	for range n {
		i := len(s.workers)
		w := newWorker(s, fmt.Sprintf("i-%04x", 0x7f3a+i), "", zone, "r1-1", 32000)
		w.addr = fmt.Sprintf("%s.%d:8080", s.block, 100+i)
		w.server = s.listenAt(w.addr, w)
		s.workers = append(s.workers, w)
		go w.beat(s.ctx)
	}
}

// addEntry starts an entry with the command of the deploy file.
func (s *stage) addEntry(zone string) *entry {
	i := len(s.entries)
	e := &entry{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", s.block, 10+i)}
	e.settings = filepath.Join(s.work, e.name+".toml")
	text := strings.NewReplacer("NAME", e.name, "IP", e.ip, "ZONE", e.zone, "STORE", s.storeAddr).Replace(settings)
	check(os.WriteFile(e.settings, []byte(text), 0o600)) //nolint:gosec // In a folder of its own.
	s.entries = append(s.entries, e)
	s.start(e)
	return e
}

// start starts the process of an entry.
func (s *stage) start(e *entry) {
	out, err := os.OpenFile(filepath.Join(s.work, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	e.cmd = exec.Command("target/medlargw", "serve", "--platform") //nolint:noctx // The stage ends it.
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MEDLARGW_CONFIG=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	check(e.cmd.Start())
	exited := make(chan struct{})
	e.exited = exited
	cmd := e.cmd
	go func() {
		err := cmd.Wait()
		s.record.say("process of %s has ended: %v", e.name, err)
		_ = out.Close()
		close(exited)
	}()
	s.record.say("process of %s starts", e.name)
}

// signal sends a signal to the process of an entry.
func (s *stage) signal(e *entry, sig syscall.Signal) {
	s.record.say("%v to %s", sig, e.name)
	_ = e.cmd.Process.Signal(sig)
}

// await waits until all entries answer that they are ready.
func (s *stage) await() {
	for _, e := range s.entries {
		if !s.isReadyWithin(e, 20*time.Second) {
			fail(fmt.Errorf("%s is not ready", e.name))
		}
	}
	time.Sleep(3 * time.Second) // As much as the entries need to divide the workers.
}

func (s *stage) isReadyWithin(e *entry, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s.isReady(e) {
			return true
		}
	}
	return false
}

func (s *stage) isReady(e *entry) bool {
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ip+":8167/readyz", nil) //nolint:gosec // A loopback address.
	check(err)
	resp, err := http.DefaultClient.Do(req) //nolint:gosec // A loopback address.
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and servers.
func (s *stage) close() {
	for _, e := range s.entries {
		if e.exited == nil {
			continue // It was not started.
		}
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
	s.cancel()
	_ = s.storeServer.Close()
	for _, w := range s.workers {
		_ = w.server.Close()
	}
	_ = os.RemoveAll(s.work) //nolint:gosec // A folder of its own.
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

const settings = `NodeName = "NAME"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend"]
Ip = "IP"
Zone = "ZONE"
Region = "great-lakes"
InternalPorts = [7720,7735]
Seeds = []
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
ControlMode = "invocation"
Recommendation = "STORE"
[Zones]
detroit = "great-lakes"
cleveland = "great-lakes"
[ListenAddrs]
Frontend = "IP:8161"
Ready = "IP:8167"
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
RemoteFactor = 1.5
CheckpointS = 0.5
RestoreMs = 100
NoticeMs = 4500
MigrateS = 1.5
MaintenanceS = 2
FencingEnforced = true
LeaseMs = 3000
ThawMs = 300
PaceMs = 100
ImpactMs = 4000
RetransmitMs = 1300
[platform]
Address = "STORE"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
[CloudApi]
Address = "STORE"
RatePerS = 60.0
Duties = []
DutyPerS = 60.0
`
