package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are those of an entry, the same at each address.
type ports struct{ frontend, ready, peers int }

// choosePorts returns ports that are free at the addresses of all entries.
func choosePorts(entries int) (ports, error) {
	var err error
	for range 100 {
		base := 20000 + 10*rand.IntN(1000) //nolint:gosec // Any number does.
		p := ports{frontend: base, ready: base + 1, peers: base + 2}
		for n := range entries {
			if err = p.free(addressOf(n)); err != nil {
				break
			}
		}
		if err == nil {
			return p, nil
		}
	}
	return ports{}, err
}

// addressOf returns the address of the nth entry.
func addressOf(n int) string { return fmt.Sprintf("127.0.%d.%d", 20+n%2, 10+n) }

// settings is the settings file of an entry, as on the pages.
const settings = `NodeName = "frontend-%[1]s-%[2]d"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend"]
Ip = "%[3]s"
Zone = "%[1]s"
Region = "region"
InternalPorts = [%[7]d,%[7]d]
Seeds = []
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
ControlMode = "invocation"
[Zones]
zone-a = "region"
zone-b = "region"
[ListenAddrs]
Frontend = "%[3]s:%[5]d"
Ready = "%[3]s:%[6]d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
HoldMaxMs = 1000
StopMs = 50
cancel_ms = 3000
RetransmitMs = 1300
[platform]
Address = "%[4]s"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`

// Entry is one machine of the system, with its process.
type Entry struct {
	Name string
	IP   string

	rig    *Rig
	path   string // Of the settings file.
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
	killed int // How often it was killed for its memory.
}

// addEntry starts an entry with the command of the deploy file.
func (r *Rig) addEntry(n int) error {
	ip := addressOf(n)
	name := fmt.Sprintf("entry-%d", n+1)
	e := &Entry{Name: name, IP: ip, rig: r, path: filepath.Join(r.dir, name+".toml")}
	if err := e.writeSettings(n); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log")) //nolint:gosec // In the temporary folder.
	if err != nil {
		return err
	}
	e.log = log
	r.Entries = append(r.Entries, e)
	return e.start()
}

// start starts the process, as the deploy file says.
func (e *Entry) start() error {
	cmd := exec.CommandContext(context.Background(), "target/medlargw", "serve", "--platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.rig.dir, "MEDLARGW_CONFIG=" + e.path}
	cmd.Stdout, cmd.Stderr = e.log, e.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.exited = cmd, exited
	e.mu.Unlock()
	go func() {
		err := cmd.Wait()
		e.rig.Logf("%s: the process has ended: %v", e.Name, err)
		close(exited)
	}()
	return nil
}

// process returns the present process, and the channel that is closed when it has ended.
func (e *Entry) process() (*os.Process, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd.Process, e.exited
}

// restartDelay is the time after which a process that has ended is started again.
const restartDelay = time.Second

// GuardMemory kills the process whenever it exceeds its memory, and starts it again, as
// the platform does.
func (e *Entry) GuardMemory(limitMb int) {
	go func() {
		for ; ; time.Sleep(10 * time.Millisecond) {
			select {
			case <-e.rig.closing:
				return
			default:
			}
			mb := e.MemoryMb()
			if mb <= limitMb {
				continue
			}
			e.rig.Logf("%s: the process uses %d MB, of %d, and is killed", e.Name, mb, limitMb)
			p, exited := e.process()
			_ = p.Kill()
			<-exited
			e.mu.Lock()
			e.killed++
			e.mu.Unlock()
			time.Sleep(restartDelay)
			if e.rig.ports.await(e.IP) != nil || e.start() != nil {
				return
			}
		}
	}()
}

// Killed returns how often the process was killed for its memory.
func (e *Entry) Killed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.killed
}

func (e *Entry) writeSettings(n int) error {
	p := e.rig.ports
	text := fmt.Sprintf(settings, zoneOf(n), n+1, e.IP, e.rig.Store.addr, p.frontend, p.ready, p.peers)
	return os.WriteFile(e.path, []byte(text), 0o600)
}

// await waits until the ports of an entry are free: those of an earlier run may be
// taken for a moment.
func (p ports) await(ip string) error {
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		err := p.free(ip)
		if err == nil || time.Now().After(deadline) {
			return err
		}
	}
}

// free returns an error if a port is in use at the address.
func (p ports) free(ip string) error {
	for _, port := range []int{p.frontend, p.ready, p.peers} {
		var lc net.ListenConfig
		l, err := lc.Listen(context.Background(), "tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return err
		}
		_ = l.Close()
	}
	return nil
}

// Ready reports whether the entry answers the readiness check with 200 within a second.
func (e *Entry) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", e.IP, e.rig.ports.ready), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) {
	e.rig.Logf("%s: %v is sent", e.Name, s)
	p, _ := e.process()
	_ = p.Signal(s)
}

// HasExited reports whether the process has ended.
func (e *Entry) HasExited() bool {
	_, exited := e.process()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// MemoryMb returns the resident memory of the process.
func (e *Entry) MemoryMb() int {
	p, _ := e.process()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

func (e *Entry) kill() {
	if p, exited := e.process(); !e.HasExited() {
		_ = p.Kill()
		<-exited
	}
	_ = e.log.Close()
}

// Restart starts the process again after it has ended.
func (e *Entry) Restart() error {
	if err := e.rig.ports.await(e.IP); err != nil {
		return err
	}
	return e.start()
}
