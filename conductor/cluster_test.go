package conductor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/conductor"
	"medlargw.example/medlargw/registrar"
)

// resendAfter is the time after which a caller whose entry was lost resubmits.
const resendAfter = 1300 * time.Millisecond

// leaseSettings returns the settings for targets with leases of at most a
// second.
func leaseSettings() medlargw.LeaseSettings {
	l := medlargw.DefaultLeaseSettings()
	l.Poll = 100 * time.Millisecond
	return l
}

// freezableClock blocks callers of Now until a given time, like the suspension
// of a process.
type freezableClock struct {
	until atomic.Pointer[time.Time]
	calls atomic.Int64 // Of Now, left until the last one blocks; zero and less is none.
	pause atomic.Int64 // For which it blocks.
}

// freezeAfter blocks the goroutine of a coming call of Now for a while, and all others
// that call it in that time. One of number 1 is the next call.
func (c *freezableClock) freezeAfter(number int64, d time.Duration) {
	c.pause.Store(int64(d))
	c.calls.Store(number)
}

// freeze blocks the control goroutine of the clock's entry for a while.
func (c *freezableClock) freeze(d time.Duration) {
	until := time.Now().Add(d)
	c.until.Store(&until)
}

func (c *freezableClock) Now() time.Time {
	if c.calls.Add(-1) == 0 {
		c.freeze(time.Duration(c.pause.Load()))
	}
	if until := c.until.Load(); until != nil {
		time.Sleep(time.Until(*until))
	}
	return time.Now()
}

// entry is one entry of the cluster.
type entry struct {
	host      string
	peer      medlargw.Peer
	conductor *conductor.Conductor
	clock     *freezableClock
	metrics   metrics.Registry
	stopped   bool
}

// counter returns the value of a counter of the entry.
func (e *entry) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, e.metrics).Count()
}

// cluster is a group of entries with conductors, in virtual time.
type cluster struct {
	sim        *simulation
	entries    []*entry
	lastNumber int            // Last number given to an entry or a job.
	logs       logs           // Nil to log nothing.
	outcomes   map[string]int // Outcomes by code; "" is complete.
	pending    int            // Jobs without an outcome.
	relay      time.Duration  // Setting of the entries; zero hands no job over.
	quiet      time.Duration  // Setting of the entries; zero confines no service.

	addrs  map[string]netip.AddrPort // Of hosts that keep theirs when they start again.
	recent []medlargw.Peer           // Of the groups.
}

// runCluster runs a test on a cluster with the given hosts and with five
// targets for each of them.
func runCluster(t *testing.T, seed uint64, hosts []string, test func(cl *cluster)) {
	runClusterOnLinks(t, seed, hosts, 0, nil, test)
}

func runLoggedCluster(t *testing.T, seed uint64, hosts []string, l logs, test func(cl *cluster)) {
	runClusterOnLinks(t, seed, hosts, 0, l, test)
}

// runClusterOnLinks runs a test on a cluster whose hosts have links of the given
// rate in bytes per second; zero is unlimited.
func runClusterOnLinks(t *testing.T, seed uint64, hosts []string, rate float64, l logs, test func(cl *cluster)) {
	runClusterWith(t, seed, hosts, func(cl *cluster) { cl.sim.linkRate, cl.logs = rate, l }, test)
}

// runClusterWith runs a test on a cluster that prepare changes before the entries
// start.
func runClusterWith(t *testing.T, seed uint64, hosts []string, prepare, test func(cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{sim: newSimulation(t, seed), outcomes: map[string]int{}, quiet: leaseSettings().Quiet, addrs: map[string]netip.AddrPort{}}
		prepare(cl)
		for i, host := range hosts {
			for j := range 5 {
				cl.sim.addTarget(fmt.Sprintf("%s-t%d", host, j), zoneOf(host), 32000+16000*int64((i+j)%3/2))
			}
		}
		for _, host := range hosts {
			cl.add(host)
		}
		cl.setGroups()
		stopHeartbeats := make(chan struct{})
		go cl.sendHeartbeats(stopHeartbeats)
		time.Sleep(3 * time.Second)
		test(cl)
		close(stopHeartbeats)
		for _, e := range cl.entries {
			if !e.stopped {
				cl.stop(e)
			}
		}
		time.Sleep(15 * time.Second) // Lets messages and runs in flight end.
	})
}

// sendHeartbeats sends the free resources of each entry to the others, as
// heartbeats do, until stop is closed.
func (cl *cluster) sendHeartbeats(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		all := cl.alive()
		for _, from := range all {
			for _, to := range all {
				if from != to {
					cl.heartbeat(from, to)
				}
			}
		}
	}
}

// heartbeat sends one heartbeat.
func (cl *cluster) heartbeat(from, to *entry) {
	if cl.sim.linkDown(from.host, to.host) {
		return
	}
	to.conductor.HeartbeatReceived(medlargw.Member{Incarnation: from.peer.Incarnation}, medlargw.Digest{
		FreeResources: from.conductor.FreeResources(), Lag: from.conductor.Lag(),
	})
}

// zoneOf returns the zone of a host, which is the first letter of its name.
func zoneOf(host string) string { return host[:1] }

// add starts an entry.
func (cl *cluster) add(host string) *entry {
	cl.sim.mu.Lock()
	cl.lastNumber++
	number := cl.lastNumber
	cl.sim.isEntryHost[host] = true
	cl.sim.mu.Unlock()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7000)
	if former, ok := cl.addrs[host]; ok {
		addr = former
	}
	settings := medlargw.Settings{
		Host: medlargw.HostName(host), Zone: medlargw.ZoneName(zoneOf(host)),
		Listen: medlargw.ListenSettings{Peers: addr}, Lease: leaseSettings(),
	}
	settings.Lease.Link = int64(cl.sim.linkRate)
	settings.Capacity.Relay = cl.relay
	settings.Lease.Quiet = cl.quiet
	incarnation := medlargw.Incarnation(number)
	clock := &freezableClock{}
	reg := registrar.New(zap.NewNop())
	reg.Add(&fakeMessenger{sim: cl.sim, host: host})
	registry := metrics.NewRegistry()
	c := conductor.New(cl.logs.logger(host), reg, &settings, incarnation, clock, &fakeRunner{sim: cl.sim, host: host}, registry)
	if err := c.Start(context.Background()); err != nil {
		cl.sim.t.Fatal(err)
	}
	e := &entry{host: host, conductor: c, clock: clock, metrics: registry, peer: medlargw.Peer{
		Host: settings.Host, Zone: settings.Zone, Addr: addr, Incarnation: incarnation, Capacity: 480,
	}}
	cl.sim.mu.Lock()
	defer cl.sim.mu.Unlock()
	cl.entries = append(cl.entries, e)
	cl.sim.entries[addr] = e
	return e
}

// stop stops an entry abruptly, like the loss of its process.
func (cl *cluster) stop(e *entry) {
	cl.sim.mu.Lock()
	e.stopped = true
	cl.sim.mu.Unlock()
	if err := e.conductor.Stop(context.Background()); err != nil {
		cl.sim.t.Error(err)
	}
}

// restartAll stops all entries at once and restarts them after a while.
func (cl *cluster) restartAll(off time.Duration) {
	lost := cl.alive()
	for _, e := range lost {
		cl.stop(e)
	}
	time.Sleep(off)
	for _, e := range lost {
		cl.add(e.host)
	}
	cl.setGroups()
}

// setGroups passes each entry the group of the running entries that it can
// reach, with the given ones marked as leaving.
func (cl *cluster) setGroups(leaving ...*entry) {
	for _, e := range cl.entries {
		if e.stopped {
			continue
		}
		g := medlargw.Group{RecentEntries: cl.recent}
		for _, other := range cl.entries {
			if !other.stopped && !cl.sim.linkDown(e.host, other.host) {
				p := other.peer
				p.Leaving = slices.Contains(leaving, other)
				g.Entries = append(g.Entries, p)
			}
		}
		g.Targets = cl.sim.targets.Targets()
		e.conductor.SetGroup(g)
		time.Sleep(time.Millisecond)
	}
}

// submit submits a job to an entry, and resubmits it to another if that is
// lost.
func (cl *cluster) submit(e *entry, key string, tasks int, work time.Duration, cores int64) {
	cl.withLock(func() { cl.pending++ })
	go func() {
		defer cl.withLock(func() { cl.pending-- })
		for try := range 3 {
			outcome := cl.submitOnce(e, key, tasks, work, cores)
			if outcome.Complete || outcome.Code != medlargw.CodeAttemptLost {
				cl.withLock(func() { cl.outcomes[string(outcome.Code)]++ })
				if try == 0 {
					cl.recordRefusal(make([]medlargw.Task, tasks), &outcome)
				} else {
					cl.recordNotRun(key, tasks, &outcome)
				}
				return
			}
			time.Sleep(resendAfter)
			if e = cl.pickAlive(len(key) + tasks); e == nil {
				return
			}
		}
	}()
}

func (cl *cluster) withLock(change func()) {
	cl.sim.mu.Lock()
	defer cl.sim.mu.Unlock()
	change()
}

// recordNotRun records the tasks of a job that was reported as not run, so that
// a run of one of them is detected.
func (cl *cluster) recordNotRun(key string, tasks int, o *medlargw.Outcome) {
	if o.Complete || len(o.Tasks) == 0 || !o.NotRun() {
		return
	}
	for i := range tasks {
		cl.sim.targets.RecordNotRun(fmt.Sprintf("%s.%d", key, i))
	}
}

// recordRefusal records the tasks of a job that was submitted once and reported as not
// run, so that a run before, at the time or later is detected.
func (cl *cluster) recordRefusal(tasks []medlargw.Task, o *medlargw.Outcome) {
	if o.Complete || len(o.Tasks) == 0 || !o.NotRun() {
		return
	}
	for i := range tasks {
		cl.sim.targets.RecordRefusal(o.Tasks[i].ID, tasks[i].Payload)
		cl.sim.targets.RecordNotRun(o.Tasks[i].ID)
	}
}

func (cl *cluster) submitOnce(e *entry, key string, tasks int, work time.Duration, cores int64) medlargw.Outcome {
	return e.conductor.Submit(context.Background(), cl.newJob(key, tasks, work, cores))
}

func (cl *cluster) newJob(key string, tasks int, work time.Duration, cores int64) *medlargw.Job {
	job := &medlargw.Job{
		Idempotent: true, RequestID: key, Service: medlargw.ServiceName(fmt.Sprintf("of-%d", tasks)), Pool: "pool", MaxAttempts: 2, SlackFactor: 1.6, Grace: 60 * time.Millisecond,
		Resources: medlargw.Resources{Cores: cores, Memory: 64}, EstimatedRuntime: work,
		Arrived: time.Now(), Deadline: time.Now().Add(2500 * time.Millisecond),
	}
	cl.sim.mu.Lock()
	for i := range tasks {
		id := fmt.Sprintf("%s.%d", key, i)
		cl.sim.taskWork[id] = medlargw.SimulatedTask{RunTime: work, Resources: job.Resources}
		job.Tasks = append(job.Tasks, medlargw.Task{ID: id})
	}
	cl.sim.mu.Unlock()
	return job
}

// alive returns the entries that are running.
func (cl *cluster) alive() []*entry {
	cl.sim.mu.Lock()
	defer cl.sim.mu.Unlock()
	var all []*entry
	for _, e := range cl.entries {
		if !e.stopped {
			all = append(all, e)
		}
	}
	return all
}

// pickAlive returns one of the running entries by a number, or nil.
func (cl *cluster) pickAlive(number int) *entry {
	all := cl.alive()
	if len(all) == 0 {
		return nil
	}
	return all[number%len(all)]
}

// submitRandom submits random jobs of three kinds for a while.
func (cl *cluster) submitRandom(d time.Duration, perSecond float64) {
	kinds := []struct {
		tasks int
		work  time.Duration
	}{{8, 60 * time.Millisecond}, {4, 900 * time.Millisecond}, {2, 200 * time.Millisecond}, {2, 200 * time.Millisecond}}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.New(cl.sim.rand).ExpFloat64() / perSecond * float64(time.Second)))
		kind := kinds[cl.sim.rand.IntN(len(kinds))]
		work := time.Duration(float64(kind.work) * (0.7 + 0.6*cl.sim.rand.Float64()))
		var key string
		cl.withLock(func() {
			cl.lastNumber++
			key = fmt.Sprintf("job%d", cl.lastNumber)
		})
		if e := cl.pickAlive(cl.sim.rand.IntN(1 << 20)); e != nil {
			cl.submit(e, key, kind.tasks, work, 11000+cl.sim.rand.Int64N(6000))
		}
	}
}

// setHostDown takes the links between a host and a host or target down in both
// directions, or back up.
func (cl *cluster) setHostDown(host, other string, down bool) {
	cl.sim.setLinkDown(host, other, down)
	cl.sim.setLinkDown(other, host, down)
}

// seeds returns the number of seeds for each test case: MEDLARGW_SEEDS, or the
// four that CI runs.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("MEDLARGW_SEEDS"), 10, 32)
	if err != nil {
		return 4
	}
	return n
}
