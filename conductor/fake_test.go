package conductor_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

var errCut = errors.New("cut off")

// fakeTarget is a target under lease that guards nothing. It counts the rules
// that it sees broken.
type fakeTarget struct {
	info  medlargw.Target
	began time.Time
	born  time.Time
	fence uint64
	until time.Duration
	runs  map[medlargw.RunID]*fakeRun
	high  map[string]int // Highest attempt that was stopped or ended, by task.
	ends  []medlargw.RunEnd
	last  uint64
	wake  chan struct{} // Closed at an end.

	slow   float64 // Factor of all run times; zero is one.
	hang   bool
	fail   bool
	lateBy time.Duration // Orders are carried out so much later and not answered.
}

type fakeRun struct {
	id      medlargw.RunID
	room    medlargw.Room
	started time.Time
	work    time.Duration
	ends    time.Time
	kind    medlargw.RunEndKind
}

func (f *fakeTarget) clock() time.Duration { return time.Since(f.began) }

// world holds all targets, and what is cut.
type world struct {
	t       *testing.T
	targets map[medlargw.TargetName]*fakeTarget
	entries map[netip.AddrPort]*entry
	cut     map[[2]string]bool // By names of a host and a host or target, one way.
	works   map[string]time.Duration
	rooms   map[string]medlargw.Room
	alive   map[string]int // Runs of a task that are alive.
	refused map[string]bool
	rand    *rand.Rand // Of the load alone.
	mu      sync.Mutex // Guards all of it, and the state of the targets.
}

func newWorld(t *testing.T, seed uint64) *world {
	return &world{
		t:       t,
		targets: map[medlargw.TargetName]*fakeTarget{},
		entries: map[netip.AddrPort]*entry{},
		cut:     map[[2]string]bool{},
		works:   map[string]time.Duration{},
		rooms:   map[string]medlargw.Room{},
		alive:   map[string]int{},
		refused: map[string]bool{},
		rand:    rand.New(rand.NewPCG(seed, 1)),
	}
}

func (w *world) addTarget(name, zone string, cores int64) *fakeTarget {
	f := &fakeTarget{
		info: medlargw.Target{
			Name: medlargw.TargetName(name), Zone: medlargw.ZoneName(zone), Pool: "pool",
			Addr: netip.MustParseAddrPort("10.9.0.1:80"), Room: medlargw.Room{Cores: cores, Memory: 1 << 20},
		},
		began: time.Now(),
		born:  time.Now(),
	}
	f.reset()
	w.targets[f.info.Name] = f
	return f
}

func (f *fakeTarget) reset() {
	f.fence = 0
	f.until = 0
	f.runs = map[medlargw.RunID]*fakeRun{}
	f.high = map[string]int{}
	f.ends = nil
	f.last = 0
	f.wake = make(chan struct{})
}

// crash ends everything on a target, and starts a new incarnation.
func (w *world) crash(f *fakeTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range f.runs {
		w.alive[id.Task]--
	}
	close(f.wake)
	f.reset()
	f.began = time.Now()
	f.born = time.Now()
}

// advance lets the time on a target go on to now.
func (w *world) advance(f *fakeTarget) {
	now := time.Now()
	for _, r := range sorted(f.runs) {
		lapse := f.began.Add(f.until)
		switch {
		case !r.ends.IsZero() && !r.ends.After(now) && !r.ends.After(lapse):
			w.endRun(f, r, r.kind)
		case lapse.Before(now):
			w.endRun(f, r, medlargw.RunStopped)
		}
	}
}

func sorted(runs map[medlargw.RunID]*fakeRun) []*fakeRun {
	var all []*fakeRun
	for _, r := range runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *fakeRun) int { return a.started.Compare(b.started) })
	return all
}

func (w *world) endRun(f *fakeTarget, r *fakeRun, kind medlargw.RunEndKind) {
	delete(f.runs, r.id)
	w.alive[r.id.Task]--
	f.high[r.id.Task] = max(f.high[r.id.Task], r.id.Attempt)
	f.last++
	f.ends = append(f.ends, medlargw.RunEnd{Number: f.last, Run: r.id, Kind: kind})
	close(f.wake)
	f.wake = make(chan struct{})
}

// start carries out a start order.
func (w *world) start(f *fakeTarget, o medlargw.StartOrder) medlargw.OrderReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(f)
	reply := medlargw.OrderReply{Clock: f.clock()}
	switch {
	case o.Fence < f.fence:
		reply.Verdict = medlargw.VerdictFenced
		return reply
	case o.Until < f.clock():
		reply.Verdict = medlargw.VerdictLate
		return reply
	}
	f.fence = o.Fence
	f.until = max(f.until, min(o.Until, f.clock()+time.Second))
	if f.runs[o.Run] != nil {
		return reply
	}
	if o.Run.Attempt <= f.high[o.Run.Task] {
		reply.Verdict = medlargw.VerdictOld
		return reply
	}
	w.begin(f, o.Run)
	return reply
}

// begin starts a run and checks the rules.
func (w *world) begin(f *fakeTarget, id medlargw.RunID) {
	for _, other := range w.targets {
		w.advance(other)
	}
	w.alive[id.Task]++
	if w.alive[id.Task] > 1 {
		w.t.Errorf("task %s on %s: got %d runs at a time, want 1", id.Task, f.info.Name, w.alive[id.Task])
	}
	if w.refused[id.Task] {
		w.t.Errorf("task %s: started after its job was refused", id.Task)
	}
	room := w.rooms[id.Task]
	used := room
	for _, r := range f.runs {
		used = used.Plus(r.room)
	}
	if !f.info.Room.Holds(used) {
		w.t.Errorf("room of %s: got %d cores in use, want at most %d", f.info.Name, used.Cores, f.info.Room.Cores)
	}
	work := w.works[id.Task]
	if f.slow > 0 {
		work = time.Duration(float64(work) * f.slow)
	}
	r := &fakeRun{id: id, room: room, started: time.Now(), work: work}
	if !f.hang {
		r.ends = time.Now().Add(work)
	}
	if f.fail {
		r.kind = medlargw.RunFailed
	}
	f.runs[id] = r
}

// stop carries out a stop order; the run ends 30 ms later.
func (w *world) stop(f *fakeTarget, o medlargw.StopOrder) medlargw.OrderReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(f)
	reply := medlargw.OrderReply{Clock: f.clock()}
	if o.Fence < f.fence {
		reply.Verdict = medlargw.VerdictFenced
		return reply
	}
	f.fence = o.Fence
	f.high[o.Run.Task] = max(f.high[o.Run.Task], o.Run.Attempt)
	if r := f.runs[o.Run]; r != nil {
		r.kind = medlargw.RunStopped
		r.ends = time.Now().Add(30 * time.Millisecond)
	}
	return reply
}

// report renews the lease and returns the lists.
func (w *world) report(f *fakeTarget, n medlargw.Renewal) medlargw.RunReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(f)
	report := medlargw.RunReport{Clock: f.clock(), Born: f.born}
	if n.Fence < f.fence {
		report.Verdict = medlargw.VerdictFenced
		return report
	}
	f.fence = n.Fence
	f.until = max(f.until, min(n.Until, f.clock()+time.Second))
	f.ends = slices.DeleteFunc(f.ends, func(e medlargw.RunEnd) bool { return e.Number <= n.Seen })
	report.Ended = slices.Clone(f.ends)
	for _, r := range sorted(f.runs) {
		percent := 0
		if !f.hang {
			percent = int(100 * time.Since(r.started) / max(r.work, 1))
		}
		report.Active = append(report.Active, medlargw.ActiveRun{Run: r.id, Percent: percent})
	}
	return report
}

// nextEnd returns a channel that is closed at an end, and when the next one is
// due, or the deadline.
func (w *world) nextEnd(f *fakeTarget, deadline time.Time) (<-chan struct{}, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := deadline
	for _, run := range f.runs {
		if !run.ends.IsZero() && run.ends.Before(next) {
			next = run.ends
		}
	}
	return f.wake, next
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

func (w *world) lateness(f *fakeTarget) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return f.lateBy
}

// set changes how a target behaves.
func (w *world) set(name string, change func(f *fakeTarget)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w.targets[medlargw.TargetName(name)])
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

// reach returns the target after the way there, or an error when the path is
// cut or the target carries the order out late.
func (r *fakeRunner) reach(ctx context.Context, name medlargw.TargetName, late func(f *fakeTarget)) (*fakeTarget, error) {
	time.Sleep(200 * time.Microsecond)
	f := r.w.targets[name]
	if f == nil || r.w.isCut(r.host, string(name)) {
		<-ctx.Done()
		return nil, errCut
	}
	if by := r.w.lateness(f); by > 0 {
		time.AfterFunc(by, func() { late(f) })
		<-ctx.Done()
		return nil, errCut
	}
	return f, nil
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
	f, err := r.reach(ctx, t.Name, func(f *fakeTarget) { r.w.start(f, o) })
	if err != nil {
		return medlargw.OrderReply{}, err
	}
	reply := r.w.start(f, o)
	return reply, r.back(ctx, t.Name)
}

func (r *fakeRunner) StopRun(ctx context.Context, t *medlargw.Target, o medlargw.StopOrder) (medlargw.OrderReply, error) {
	f, err := r.reach(ctx, t.Name, func(f *fakeTarget) { r.w.stop(f, o) })
	if err != nil {
		return medlargw.OrderReply{}, err
	}
	reply := r.w.stop(f, o)
	return reply, r.back(ctx, t.Name)
}

func (r *fakeRunner) Renew(ctx context.Context, t *medlargw.Target, n medlargw.Renewal) (medlargw.RunReport, error) {
	f, err := r.reach(ctx, t.Name, func(*fakeTarget) {})
	if err != nil {
		return medlargw.RunReport{}, err
	}
	report := r.w.report(f, n)
	deadline := time.Now().Add(n.Wait)
	for report.Verdict == medlargw.VerdictDone && len(report.Ended) == 0 && time.Now().Before(deadline) {
		wake, next := r.w.nextEnd(f, deadline)
		select {
		case <-wake:
		case <-time.After(max(time.Until(next), time.Microsecond)):
		case <-ctx.Done():
			return medlargw.RunReport{}, ctx.Err()
		}
		report = r.w.report(f, medlargw.Renewal{Fence: n.Fence, Seen: n.Seen})
	}
	return report, r.back(ctx, t.Name)
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
