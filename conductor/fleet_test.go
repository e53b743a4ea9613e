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

// resendAfter is the time after which a caller whose entry was lost asks again.
const resendAfter = 1300 * time.Millisecond

// lease returns the times of an installation with leases of a second.
func lease() medlargw.LeaseSettings {
	l := medlargw.DefaultLease()
	l.Poll = 100 * time.Millisecond
	return l
}

// freezableClock stops whoever asks it for the time until a given time, as the
// suspension of a process does.
type freezableClock struct{ until atomic.Pointer[time.Time] }

// freeze stops the control goroutine of the clock's entry.
func (c *freezableClock) freeze(d time.Duration) {
	until := time.Now().Add(d)
	c.until.Store(&until)
}

func (c *freezableClock) Now() time.Time {
	if until := c.until.Load(); until != nil {
		time.Sleep(time.Until(*until))
	}
	return time.Now()
}

// entry is one entry of the fleet.
type entry struct {
	host      string
	peer      medlargw.Peer
	conductor *conductor.Conductor
	clock     *freezableClock
	dead      bool
}

// fleet is a group of entries with conductors, in virtual time.
type fleet struct {
	w       *world
	entries []*entry
	next    int
	logs    logs           // Nil to log nothing.
	ended   map[string]int // Outcomes by code; "" is complete.
	open    int
}

// inFleet runs a test with entries in two zones and five targets for each.
func inFleet(t *testing.T, seed uint64, hosts []string, test func(f *fleet)) {
	inLoggedFleet(t, seed, hosts, nil, test)
}

func inLoggedFleet(t *testing.T, seed uint64, hosts []string, l logs, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{w: newWorld(t, seed), logs: l, ended: map[string]int{}}
		for i, host := range hosts {
			for j := range 5 {
				f.w.addTarget(fmt.Sprintf("%s-t%d", host, j), zoneOf(host), 32000+16000*int64((i+j)%3/2))
			}
		}
		for _, host := range hosts {
			f.add(host)
		}
		f.assign()
		beats := make(chan struct{})
		go f.beat(beats)
		time.Sleep(3 * time.Second)
		test(f)
		close(beats)
		for _, e := range f.entries {
			if !e.dead {
				f.stop(e)
			}
		}
		time.Sleep(15 * time.Second) // What is on its way ends.
	})
}

// beat tells all entries of each other's room, as heartbeats do.
func (f *fleet) beat(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		all := f.alive()
		for _, from := range all {
			for _, to := range all {
				if from != to && !f.w.isCut(from.host, to.host) {
					to.conductor.HeardBeat(medlargw.Member{Incarnation: from.peer.Incarnation}, medlargw.Digest{Room: from.conductor.Room()})
				}
			}
		}
	}
}

// zoneOf returns the zone of a host by the first letter of its name.
func zoneOf(host string) string { return host[:1] }

// add starts an entry.
func (f *fleet) add(host string) *entry {
	f.w.mu.Lock()
	f.next++
	number := f.next
	f.w.mu.Unlock()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7000)
	settings := medlargw.Settings{
		Host: medlargw.HostName(host), Zone: medlargw.ZoneName(zoneOf(host)),
		Listen: medlargw.ListenSettings{Peers: addr}, Lease: lease(),
	}
	incarnation := medlargw.Incarnation(number)
	clock := &freezableClock{}
	reg := registrar.New(zap.NewNop())
	reg.Add(&fakeOfferer{w: f.w, host: host})
	c := conductor.New(f.logs.of(host), reg, &settings, incarnation, clock, &fakeRunner{w: f.w, host: host}, metrics.NewRegistry())
	if err := c.Start(context.Background()); err != nil {
		f.w.t.Fatal(err)
	}
	e := &entry{host: host, conductor: c, clock: clock, peer: medlargw.Peer{
		Host: settings.Host, Zone: settings.Zone, Addr: addr, Incarnation: incarnation,
	}}
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.entries = append(f.entries, e)
	f.w.entries[addr] = e
	return e
}

// stop ends an entry as a lost process does: nothing of it goes on.
func (f *fleet) stop(e *entry) {
	f.w.mu.Lock()
	e.dead = true
	f.w.mu.Unlock()
	if err := e.conductor.Stop(context.Background()); err != nil {
		f.w.t.Error(err)
	}
}

// powerCut ends all entries at once and starts as many after a while.
func (f *fleet) powerCut(off time.Duration) {
	lost := f.alive()
	for _, e := range lost {
		f.stop(e)
	}
	time.Sleep(off)
	for _, e := range lost {
		f.add(e.host)
	}
	f.assign()
}

// assign tells all entries who there is, as each can see it.
func (f *fleet) assign(leaving ...*entry) {
	for _, e := range f.entries {
		if e.dead {
			continue
		}
		g := medlargw.Group{}
		for _, other := range f.entries {
			if !other.dead && !f.w.isCut(e.host, other.host) {
				p := other.peer
				p.Leaving = slices.Contains(leaving, other)
				g.Entries = append(g.Entries, p)
			}
		}
		g.Targets = f.w.targets.Targets()
		e.conductor.SetGroup(g)
		time.Sleep(time.Millisecond)
	}
}

// submit sends a job to an entry; where that is lost, it is sent again.
func (f *fleet) submit(e *entry, key string, tasks int, work time.Duration, cores int64) {
	f.count(func() { f.open++ })
	go func() {
		defer f.count(func() { f.open-- })
		for range 3 {
			outcome := f.attempt(e, key, tasks, work, cores)
			if outcome.Complete || outcome.Code != medlargw.CodeAttemptLost {
				f.count(func() { f.ended[string(outcome.Code)]++ })
				f.remember(key, tasks, &outcome)
				return
			}
			time.Sleep(resendAfter)
			if e = f.living(len(key) + tasks); e == nil {
				return
			}
		}
	}()
}

func (f *fleet) count(change func()) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	change()
}

// remember notes the tasks of a job that was said not to have run.
func (f *fleet) remember(key string, tasks int, o *medlargw.Outcome) {
	if o.Complete || len(o.Tasks) == 0 || !o.NotRun() {
		return
	}
	for i := range tasks {
		f.w.targets.Refused(fmt.Sprintf("%s.%d", key, i))
	}
}

func (f *fleet) attempt(e *entry, key string, tasks int, work time.Duration, cores int64) medlargw.Outcome {
	job := &medlargw.Job{
		Key: key, Service: medlargw.ServiceName(fmt.Sprintf("of-%d", tasks)), Pool: "pool", Attempts: 2, Slack: 1.6, Grace: 60 * time.Millisecond,
		Room: medlargw.Room{Cores: cores, Memory: 64}, Runtime: work,
		Arrived: time.Now(), Deadline: time.Now().Add(2500 * time.Millisecond),
	}
	f.w.mu.Lock()
	for i := range tasks {
		id := fmt.Sprintf("%s.%d", key, i)
		f.w.works[id] = medlargw.TaskWork{Time: work, Room: job.Room}
		job.Tasks = append(job.Tasks, medlargw.Task{ID: id})
	}
	f.w.mu.Unlock()
	return e.conductor.Submit(context.Background(), job)
}

// alive returns the entries that are not lost.
func (f *fleet) alive() []*entry {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	var all []*entry
	for _, e := range f.entries {
		if !e.dead {
			all = append(all, e)
		}
	}
	return all
}

// living returns one of them by a number, or nil.
func (f *fleet) living(number int) *entry {
	all := f.alive()
	if len(all) == 0 {
		return nil
	}
	return all[number%len(all)]
}

// load submits jobs of three kinds at random for a while.
func (f *fleet) load(d time.Duration, perSecond float64) {
	kinds := []struct {
		tasks int
		work  time.Duration
	}{{8, 60 * time.Millisecond}, {4, 900 * time.Millisecond}, {2, 200 * time.Millisecond}, {2, 200 * time.Millisecond}}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.New(f.w.rand).ExpFloat64() / perSecond * float64(time.Second)))
		kind := kinds[f.w.rand.IntN(len(kinds))]
		work := time.Duration(float64(kind.work) * (0.7 + 0.6*f.w.rand.Float64()))
		var key string
		f.count(func() {
			f.next++
			key = fmt.Sprintf("job%d", f.next)
		})
		if e := f.living(f.w.rand.IntN(1 << 20)); e != nil {
			f.submit(e, key, kind.tasks, work, 11000+f.w.rand.Int64N(6000))
		}
	}
}

// cutHost cuts a host off from hosts or targets, both ways.
func (f *fleet) cutHost(host, other string, cut bool) {
	f.w.setCut(host, other, cut)
	f.w.setCut(other, host, cut)
}

// seeds returns the number of seeds of each row; MEDLARGW_SEEDS asks for more
// than the four of CI.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("MEDLARGW_SEEDS"), 10, 32)
	if err != nil {
		return 4
	}
	return n
}
