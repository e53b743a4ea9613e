package conductor_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/imitator"
)

var errLinkDown = errors.New("link is down")

// simulation holds all targets, entries and links between them.
type simulation struct {
	t       *testing.T
	targets *imitator.Imitator
	rand    *rand.Rand // Used for the load only.

	mu        sync.Mutex
	entries   map[netip.AddrPort]*entry
	downLinks map[[2]string]bool // One-way links that are down, by the names of both ends.
	taskWork  map[string]medlargw.SimulatedTask

	lastStart map[medlargw.ZoneName]time.Time // When a target of the zone last received a start order.

	silentCrashes bool // Targets that crash neither close nor refuse connections.

	refused map[medlargw.TargetName]time.Time // Until when connections to a target are refused, by a cut.
	started func(name medlargw.TargetName)    // Called with the lock held when a target has carried a start order out; nil is not.

	claims *claims // Nil to record none.

	linkRate    float64 // Of each entry host and direction, in bytes per second; zero is unlimited.
	isEntryHost map[string]bool
	hostLinks   map[string]hostLinks
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t:         t,
		rand:      rand.New(rand.NewPCG(seed, 1)),
		entries:   map[netip.AddrPort]*entry{},
		downLinks: map[[2]string]bool{},
		taskWork:  map[string]medlargw.SimulatedTask{},
		lastStart: map[medlargw.ZoneName]time.Time{},
		refused:   map[medlargw.TargetName]time.Time{},

		isEntryHost: map[string]bool{},
		hostLinks:   map[string]hostLinks{},
	}
	s.targets = imitator.New(time.Now, func(task string, _ []byte) medlargw.SimulatedTask {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.taskWork[task]
	})
	return s
}

func (s *simulation) addTarget(name, zone string, cores int64) {
	s.targets.Add(medlargw.Target{
		Name: medlargw.TargetName(name), Zone: medlargw.ZoneName(zone), Pool: "pool",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(len(s.targets.Targets()))}), 80), Resources: medlargw.Resources{Cores: cores, Memory: 1 << 20},
	})
}

func (s *simulation) linkDown(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.downLinks[[2]string{from, to}]
}

func (s *simulation) isRefused(name medlargw.TargetName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[name].After(time.Now())
}

// setLinkDown takes the link from one host or target to another down, or back
// up.
func (s *simulation) setLinkDown(from, to string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downLinks[[2]string{from, to}] = down
}

// entry returns the running entry at an address, or nil.
func (s *simulation) entry(addr netip.AddrPort) *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[addr]; e != nil && !e.stopped {
		return e
	}
	return nil
}

// fakeRunner sends orders to the targets from one host.
type fakeRunner struct {
	sim  *simulation
	host string
}

// deliver simulates the delivery of an order to a target. It returns an error
// if the link is down, or if the target is set to execute orders late; then it
// calls late, which executes the order, after that delay.
func (r *fakeRunner) deliver(ctx context.Context, name medlargw.TargetName, bytes int, late func()) error {
	time.Sleep(200 * time.Microsecond)
	if err := r.sim.transmit(ctx, r.host, string(name), headerBytes+bytes); err != nil {
		return err
	}
	if r.sim.linkDown(r.host, string(name)) {
		<-ctx.Done()
		return errLinkDown
	}
	if r.sim.isRefused(name) {
		return medlargw.ErrConnectionRefused
	}
	if r.sim.targets.IsDown(name) {
		return r.sim.downError(ctx, medlargw.ErrConnectionRefused)
	}
	if by := r.sim.targets.Faults(name).OrderDelay; by > 0 {
		time.AfterFunc(by, late)
		<-ctx.Done()
		return errLinkDown
	}
	return nil
}

// respond simulates the delivery of the answer.
func (r *fakeRunner) respond(ctx context.Context, name medlargw.TargetName) error {
	time.Sleep(200 * time.Microsecond)
	if err := r.sim.transmit(ctx, string(name), r.host, headerBytes); err != nil {
		return err
	}
	if r.sim.linkDown(string(name), r.host) {
		<-ctx.Done()
		return errLinkDown
	}
	if r.sim.targets.IsDown(name) {
		return r.sim.downError(ctx, medlargw.ErrConnectionClosed)
	}
	return ctx.Err()
}

// downError returns the error of a call to a target that has crashed. The host of a
// target that crashes silently sends no answer.
func (s *simulation) downError(ctx context.Context, err error) error {
	if s.silentCrashes {
		<-ctx.Done()
		return errLinkDown
	}
	return err
}

func (r *fakeRunner) StartRun(ctx context.Context, t *medlargw.Target, o medlargw.StartOrder) (medlargw.OrderReply, error) {
	if err := r.deliver(ctx, t.Name, len(o.Payload), func() { r.sim.targets.Start(t.Name, o) }); err != nil {
		return medlargw.OrderReply{}, err
	}
	if by := r.sim.targets.Faults(t.Name).GrantDelay; by > 0 {
		o.LeaseEnd += by
		time.AfterFunc(by, func() { r.sim.targets.Start(t.Name, o) })
		<-ctx.Done()
		return medlargw.OrderReply{}, errLinkDown
	}
	reply := r.sim.targets.Start(t.Name, o)
	r.sim.mu.Lock()
	r.sim.lastStart[t.Zone] = time.Now()
	if r.sim.started != nil {
		r.sim.started(t.Name)
	}
	r.sim.mu.Unlock()
	return reply, r.respond(ctx, t.Name)
}

func (r *fakeRunner) StopRun(ctx context.Context, t *medlargw.Target, o medlargw.StopOrder) (medlargw.OrderReply, error) {
	if err := r.deliver(ctx, t.Name, 0, func() { r.sim.targets.Stop(t.Name, o) }); err != nil {
		return medlargw.OrderReply{}, err
	}
	reply := r.sim.targets.Stop(t.Name, o)
	return reply, r.respond(ctx, t.Name)
}

func (r *fakeRunner) Renew(ctx context.Context, t *medlargw.Target, n medlargw.Renewal) (medlargw.RunReport, error) {
	if err := r.deliver(ctx, t.Name, 0, func() {}); err != nil {
		return medlargw.RunReport{}, err
	}
	if by := r.sim.targets.Faults(t.Name).GrantDelay; by > 0 {
		if n.LeaseEnd > 0 {
			n.LeaseEnd += by
		}
		time.AfterFunc(by, func() { r.sim.targets.Report(t.Name, n) })
		<-ctx.Done()
		return medlargw.RunReport{}, errLinkDown
	}
	report, err := r.sim.targets.Renew(ctx, t.Name, n)
	if err == nil && report.Status == medlargw.OrderDone && r.sim.claims != nil {
		r.sim.claims.add(t.Name, r.host)
	}
	return report, errors.Join(err, r.respond(ctx, t.Name))
}

func (r *fakeRunner) Reach(ctx context.Context, t *medlargw.Target) error {
	if err := r.deliver(ctx, t.Name, 0, func() {}); err != nil {
		return err
	}
	return r.respond(ctx, t.Name)
}

// fakeMessenger carries messages between the entries.
type fakeMessenger struct {
	sim  *simulation
	host string
}

func (f *fakeMessenger) deliver(ctx context.Context, to netip.AddrPort, bytes int) (*entry, error) {
	time.Sleep(300 * time.Microsecond)
	e := f.sim.entry(to)
	if e != nil {
		if err := f.sim.transmit(ctx, f.host, e.host, bytes); err != nil {
			return nil, err
		}
	}
	if e == nil || f.sim.linkDown(f.host, e.host) {
		<-ctx.Done()
		return nil, errLinkDown
	}
	return e, nil
}

func (f *fakeMessenger) respond(ctx context.Context, e *entry) error {
	time.Sleep(300 * time.Microsecond)
	if err := f.sim.transmit(ctx, e.host, f.host, headerBytes+taskBytes); err != nil {
		return err
	}
	if f.sim.entry(e.peer.Addr) == nil || f.sim.linkDown(e.host, f.host) {
		<-ctx.Done()
		return errLinkDown
	}
	return nil
}

func (f *fakeMessenger) Offer(ctx context.Context, to netip.AddrPort, m medlargw.Offer) (medlargw.OfferReply, error) {
	e, err := f.deliver(ctx, to, offerBytes(&m))
	if err != nil {
		return medlargw.OfferReply{}, err
	}
	reply, err := e.conductor.HandleOffer(ctx, m)
	return reply, errors.Join(err, f.respond(ctx, e))
}

func (f *fakeMessenger) Report(ctx context.Context, to netip.AddrPort, m medlargw.Report) error {
	e, err := f.deliver(ctx, to, headerBytes+taskBytes*len(m.Tasks))
	if err != nil {
		return err
	}
	return errors.Join(e.conductor.HandleReport(ctx, m), f.respond(ctx, e))
}

func (f *fakeMessenger) Transfer(ctx context.Context, to netip.AddrPort, m medlargw.Transfer) error {
	e, err := f.deliver(ctx, to, headerBytes+taskBytes*len(m.Targets))
	if err != nil {
		return err
	}
	return errors.Join(e.conductor.HandleTransfer(ctx, m), f.respond(ctx, e))
}

// Relay fails at once if the peer's process is gone: its host refuses connections.
func (f *fakeMessenger) Relay(ctx context.Context, to netip.AddrPort, m medlargw.Relay) (medlargw.RelayReply, error) {
	if f.sim.entry(to) == nil {
		return medlargw.RelayReply{}, medlargw.ErrNotSent
	}
	e, err := f.deliver(ctx, to, headerBytes)
	if err != nil {
		return medlargw.RelayReply{}, err
	}
	reply, err := e.conductor.HandleRelay(ctx, m)
	return reply, errors.Join(err, f.respond(ctx, e))
}

// Name and the methods below implement the component "messenger".
func (*fakeMessenger) Name() string                { return "messenger" }
func (*fakeMessenger) Start(context.Context) error { return nil }
func (*fakeMessenger) Stop(context.Context) error  { return nil }
func (*fakeMessenger) Done() <-chan struct{}       { return nil }
