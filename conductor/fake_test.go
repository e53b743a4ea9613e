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

var errCut = errors.New("cut off")

// world holds all targets, and what is cut.
type world struct {
	t       *testing.T
	targets *imitator.Imitator
	rand    *rand.Rand // Of the load alone.

	mu      sync.Mutex
	entries map[netip.AddrPort]*entry
	cut     map[[2]string]bool // By names of a host and a host or target, one way.
	works   map[string]medlargw.TaskWork
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t:       t,
		rand:    rand.New(rand.NewPCG(seed, 1)),
		entries: map[netip.AddrPort]*entry{},
		cut:     map[[2]string]bool{},
		works:   map[string]medlargw.TaskWork{},
	}
	w.targets = imitator.New(time.Now, func(task string, _ []byte) medlargw.TaskWork {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.works[task]
	})
	return w
}

func (w *world) addTarget(name, zone string, cores int64) {
	w.targets.Add(medlargw.Target{
		Name: medlargw.TargetName(name), Zone: medlargw.ZoneName(zone), Pool: "pool",
		Addr: netip.MustParseAddrPort("10.9.0.1:80"), Room: medlargw.Room{Cores: cores, Memory: 1 << 20},
	})
}

func (w *world) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]string{from, to}]
}

// setCut cuts the way from one host or target to another, or mends it.
func (w *world) setCut(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{from, to}] = cut
}

// entry returns the living entry at an address, or nil.
func (w *world) entry(addr netip.AddrPort) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.entries[addr]; e != nil && !e.dead {
		return e
	}
	return nil
}

// fakeRunner reaches the targets from one host.
type fakeRunner struct {
	w    *world
	host string
}

// reach waits for the way to a target; it returns an error when the path is cut
// or the target carries the order out late.
func (r *fakeRunner) reach(ctx context.Context, name medlargw.TargetName, late func()) error {
	time.Sleep(200 * time.Microsecond)
	if r.w.isCut(r.host, string(name)) {
		<-ctx.Done()
		return errCut
	}
	if by := r.w.targets.Faults(name).Late; by > 0 {
		time.AfterFunc(by, late)
		<-ctx.Done()
		return errCut
	}
	return nil
}

// back waits for the way of the answer.
func (r *fakeRunner) back(ctx context.Context, name medlargw.TargetName) error {
	time.Sleep(200 * time.Microsecond)
	if r.w.isCut(string(name), r.host) {
		<-ctx.Done()
		return errCut
	}
	return ctx.Err()
}

func (r *fakeRunner) StartRun(ctx context.Context, t *medlargw.Target, o medlargw.StartOrder) (medlargw.OrderReply, error) {
	if err := r.reach(ctx, t.Name, func() { r.w.targets.Start(t.Name, o) }); err != nil {
		return medlargw.OrderReply{}, err
	}
	reply := r.w.targets.Start(t.Name, o)
	return reply, r.back(ctx, t.Name)
}

func (r *fakeRunner) StopRun(ctx context.Context, t *medlargw.Target, o medlargw.StopOrder) (medlargw.OrderReply, error) {
	if err := r.reach(ctx, t.Name, func() { r.w.targets.Stop(t.Name, o) }); err != nil {
		return medlargw.OrderReply{}, err
	}
	reply := r.w.targets.Stop(t.Name, o)
	return reply, r.back(ctx, t.Name)
}

func (r *fakeRunner) Renew(ctx context.Context, t *medlargw.Target, n medlargw.Renewal) (medlargw.RunReport, error) {
	if err := r.reach(ctx, t.Name, func() {}); err != nil {
		return medlargw.RunReport{}, err
	}
	report, err := r.w.targets.Renew(ctx, t.Name, n)
	return report, errors.Join(err, r.back(ctx, t.Name))
}

// fakeOfferer carries messages between the entries.
type fakeOfferer struct {
	w    *world
	host string
}

func (o *fakeOfferer) reach(ctx context.Context, to netip.AddrPort) (*entry, error) {
	time.Sleep(300 * time.Microsecond)
	e := o.w.entry(to)
	if e == nil || o.w.isCut(o.host, e.host) {
		<-ctx.Done()
		return nil, errCut
	}
	return e, nil
}

func (o *fakeOfferer) back(ctx context.Context, e *entry) error {
	time.Sleep(300 * time.Microsecond)
	if o.w.entry(e.peer.Addr) == nil || o.w.isCut(e.host, o.host) {
		<-ctx.Done()
		return errCut
	}
	return nil
}

func (o *fakeOfferer) Offer(ctx context.Context, to netip.AddrPort, m medlargw.Offer) (medlargw.OfferReply, error) {
	e, err := o.reach(ctx, to)
	if err != nil {
		return medlargw.OfferReply{}, err
	}
	reply, err := e.conductor.HandleOffer(ctx, m)
	return reply, errors.Join(err, o.back(ctx, e))
}

func (o *fakeOfferer) Report(ctx context.Context, to netip.AddrPort, m medlargw.Report) error {
	e, err := o.reach(ctx, to)
	if err != nil {
		return err
	}
	return errors.Join(e.conductor.HandleReport(ctx, m), o.back(ctx, e))
}

func (o *fakeOfferer) Transfer(ctx context.Context, to netip.AddrPort, m medlargw.Transfer) error {
	e, err := o.reach(ctx, to)
	if err != nil {
		return err
	}
	return errors.Join(e.conductor.HandleTransfer(ctx, m), o.back(ctx, e))
}

// Name and the other methods make the offerer the part "messenger".
func (*fakeOfferer) Name() string                { return "messenger" }
func (*fakeOfferer) Start(context.Context) error { return nil }
func (*fakeOfferer) Stop(context.Context) error  { return nil }
func (*fakeOfferer) Done() <-chan struct{}       { return nil }
