// Package tracker keeps the membership: which entries there are, as this entry
// sees it.
//
// The entries of a zone exchange heartbeats with each other, and with one entry
// of another zone in each turn. A member's own word, told by its incarnation and
// a rising counter, goes before any other's; silence makes it suspect and then
// gone. The platform's list only says at which addresses to look. A heartbeat
// carries digests; whoever is behind fetches the rest from its sender.
//
// The view is a state machine that takes the time as an argument. The part
// around it sends and answers the heartbeats.
package tracker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// jitter is the share by which a turn may be shorter or longer.
const jitter = 0.1

// Tracker is the part that gives medlargw.Members.
type Tracker struct {
	log         *zap.Logger
	registry    *registrar.Registrar
	settings    medlargw.Settings
	messenger   medlargw.Messenger
	configured  medlargw.Configured
	inspector   medlargw.Inspector
	forward     medlargw.ForwardHandler // Nil when there is no part "keeper".
	hosts       medlargw.HostsVersioner // Nil when the assigner has none.
	roomer      medlargw.Roomer         // Nil when the dispatcher holds no targets under lease.
	observers   []medlargw.BeatObserver
	listeners   []medlargw.MembersObserver
	incarnation medlargw.Incarnation

	mu       sync.Mutex
	view     *view
	fetched  map[netip.AddrPort]time.Time // Last fetch of a peer's view.
	snapshot atomic.Pointer[[]medlargw.Member]

	started chan struct{}
	ctx     context.Context //nolint:containedctx // Ends with the part.
	cancel  context.CancelFunc
	running conc.WaitGroup
	done    chan struct{}
}

var (
	_ medlargw.Part         = (*Tracker)(nil)
	_ medlargw.Members      = (*Tracker)(nil)
	_ medlargw.BeatHandler  = (*Tracker)(nil)
	_ medlargw.FetchHandler = (*Tracker)(nil)
	_ medlargw.Leaver       = (*Tracker)(nil)
	_ medlargw.Spreader     = (*Tracker)(nil)
)

// New returns a tracker that has not started. The incarnation must be random.
func New(
	log *zap.Logger,
	reg *registrar.Registrar,
	settings medlargw.Settings,
	incarnation medlargw.Incarnation,
) *Tracker {
	t := &Tracker{
		log:         log.Named("tracker"),
		registry:    reg,
		settings:    settings,
		incarnation: incarnation,
		fetched:     map[netip.AddrPort]time.Time{},
		started:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	self := medlargw.Member{Host: settings.Host, Zone: settings.Zone, Incarnation: incarnation}
	t.view = newView(self, settings.Group, settings.Intake.Ticket)
	t.publish()
	return t
}

// Name returns "tracker".
func (*Tracker) Name() string { return "tracker" }

// addressed is a part that listens.
type addressed interface{ Addr() netip.AddrPort }

// Start begins the heartbeats.
func (t *Tracker) Start(context.Context) error {
	var err error
	if t.messenger, err = registrar.Find[medlargw.Messenger](t.registry, "messenger"); err != nil {
		return err
	}
	if t.configured, err = registrar.Find[medlargw.Configured](t.registry, "watcher"); err != nil {
		return err
	}
	if t.inspector, err = registrar.Find[medlargw.Inspector](t.registry, "dispatcher"); err != nil {
		return err
	}
	t.forward, _ = registrar.Find[medlargw.ForwardHandler](t.registry, "keeper")
	t.hosts, _ = registrar.Find[medlargw.HostsVersioner](t.registry, "assigner")
	t.roomer, _ = registrar.Find[medlargw.Roomer](t.registry, "dispatcher")
	for _, name := range []string{"watcher", "assigner", "dispatcher", "sender"} {
		if o, err := registrar.Find[medlargw.BeatObserver](t.registry, name); err == nil {
			t.observers = append(t.observers, o)
		}
		if o, err := registrar.Find[medlargw.MembersObserver](t.registry, name); err == nil {
			t.listeners = append(t.listeners, o)
		}
	}
	t.locate()
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.running.Go(func() { t.follow(t.ctx) })
	close(t.started)
	return nil
}

// locate learns the addresses that this entry serves.
func (t *Tracker) locate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.messenger.(addressed); ok {
		t.view.self.Addr = a.Addr()
	}
	t.view.self.Admin = t.settings.Listen.Admin
	if a, err := registrar.Find[addressed](t.registry, "administrator"); err == nil {
		t.view.self.Admin = a.Addr()
	}
	t.view.hint(t.settings.Peers)
	t.publish()
}

// Done is closed when the heartbeats have ended.
func (t *Tracker) Done() <-chan struct{} { return t.done }

// Self returns this entry.
func (t *Tracker) Self() medlargw.Member { return (*t.snapshot.Load())[0] }

// Members returns all known entries, this one first.
func (t *Tracker) Members() []medlargw.Member { return *t.snapshot.Load() }

// Hint gives the addresses of the host list, at which to look for entries.
func (t *Tracker) Hint(addrs []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.hint(slices.Concat(t.settings.Peers, addrs))
}

// publish renews the snapshot. The lock is held, but for New.
func (t *Tracker) publish() {
	all := t.view.members()
	t.snapshot.Store(&all)
}

// change alters the view and tells the listeners if a state changed.
func (t *Tracker) change(alter func(v *view)) {
	t.mu.Lock()
	before := t.view.version
	alter(t.view)
	changed := t.view.version != before
	if changed {
		t.publish()
	}
	t.mu.Unlock()
	if !changed {
		return
	}
	all := t.Members()
	for _, l := range t.listeners {
		l.MembersChanged(all)
	}
}

// follow takes a turn in each interval until the context ends.
func (t *Tracker) follow(ctx context.Context) {
	for {
		t.turn(ctx)
		spread := 1 + jitter*(2*rand.Float64()-1) //nolint:gosec // Spreads load, guards nothing.
		select {
		case <-time.After(time.Duration(float64(t.settings.Group.Beat) * spread)):
		case <-ctx.Done():
			return
		}
	}
}

// turn moves the states on and sends the heartbeats that are due.
func (t *Tracker) turn(ctx context.Context) {
	now := time.Now()
	digest := t.digest(ctx)
	var to []netip.AddrPort
	t.change(func(v *view) {
		v.tick(now)
		before := v.self.State
		v.setSelf(func(m *medlargw.Member) { m.State = t.ownState(m.State) })
		to = v.due(now)
		if v.self.State != before {
			to = v.reachable() // The others must know at once who owns what.
		}
		t.publish() // The times of the last words change without a state.
	})
	for _, addr := range to {
		t.running.Go(func() { t.beat(ctx, addr, digest) })
	}
}

// ownState returns live as soon as there is a configuration.
func (t *Tracker) ownState(now medlargw.MemberState) medlargw.MemberState {
	if now == medlargw.MemberJoining && t.configured.Config() != nil {
		return medlargw.MemberLive
	}
	return now
}

// digest sums up what this entry has.
func (t *Tracker) digest(ctx context.Context) medlargw.Digest {
	var d medlargw.Digest
	if cfg := t.configured.Config(); cfg != nil {
		d.Generation = cfg.Generation
	}
	if t.hosts != nil {
		d.Hosts = t.hosts.HostsVersion()
		d.HostsAge = t.hosts.HostsAge()
	}
	if t.roomer != nil {
		d.Room = t.roomer.Room()
	}
	s, err := t.inspector.Status(ctx)
	if err != nil {
		return d
	}
	d.Free = s.Free
	for _, q := range s.Queues {
		if n := len(d.Waiting); n > 0 && d.Waiting[n-1].Rank == q.Rank {
			d.Waiting[n-1].Tasks += q.Tasks
			continue
		}
		d.Waiting = append(d.Waiting, medlargw.ClassDemand{Rank: q.Rank, Tasks: q.Tasks})
	}
	return d
}
