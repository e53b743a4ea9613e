// Package tracker maintains the membership: the entries of the deployment, as
// this entry sees them.
//
// The entries of a zone exchange heartbeats with each other, and in each round
// with one entry of another zone. A member's own state, ordered by its
// incarnation and state version, takes precedence over what others report of
// it; a silent member becomes suspect and then gone. The platform's list only
// gives addresses at which to look for entries. A heartbeat carries digests; an
// entry whose data is older fetches the rest from the sender.
//
// The view is a state machine that takes the time as an argument. The Tracker
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

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/apportioner"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/spawner"
)

// intervalJitter is the share by which the time between two rounds varies.
const intervalJitter = 0.1

// Tracker is the component that provides medlargw.Members.
type Tracker struct {
	log                *zap.Logger
	registry           *registrar.Registrar
	settings           medlargw.Settings
	messenger          medlargw.Messenger
	configSource       medlargw.ConfigSource
	inspector          medlargw.Inspector
	forwardHandler     medlargw.ForwardHandler    // Nil when there is no component "keeper".
	hostsVersioner     medlargw.HostListVersioner // Nil when the assigner offers none.
	resourceReporter   medlargw.ResourceReporter  // Nil when the dispatcher holds no targets under lease.
	lagReporter        medlargw.LagReporter       // Nil when the dispatcher does not measure its lateness.
	heartbeatObservers []medlargw.HeartbeatObserver
	memberObservers    []medlargw.MembersObserver
	incarnation        medlargw.Incarnation

	mu           sync.Mutex
	view         *view
	lastFetch    map[netip.AddrPort]time.Time // Last fetch of a peer's view.
	lastAnyFetch time.Time                    // Last fetch of any peer's view.
	snapshot     atomic.Pointer[[]medlargw.Member]

	wake    chan struct{} // Starts a round.
	started chan struct{}
	spawner *spawner.Spawner
	done    chan struct{}
}

var (
	_ medlargw.Component        = (*Tracker)(nil)
	_ medlargw.Members          = (*Tracker)(nil)
	_ medlargw.HeartbeatHandler = (*Tracker)(nil)
	_ medlargw.FetchHandler     = (*Tracker)(nil)
	_ medlargw.PreStopper       = (*Tracker)(nil)
	_ medlargw.Gossiper         = (*Tracker)(nil)
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
		lastFetch:   map[netip.AddrPort]time.Time{},
		wake:        make(chan struct{}, 1),
		started:     make(chan struct{}),
		spawner:     spawner.New(),
		done:        make(chan struct{}),
	}
	self := medlargw.Member{Host: settings.Host, Zone: settings.Zone, Incarnation: incarnation, Capacity: apportioner.Capacity(&settings)}
	t.view = newView(self, settings.Group, settings.Intake.Ticket)
	t.view.maxLag = settings.Lease.Lag
	t.publishSnapshot()
	return t
}

// Name returns "tracker".
func (*Tracker) Name() string { return "tracker" }

// addrProvider is a component that listens at an address.
type addrProvider interface{ Addr() netip.AddrPort }

// Start starts the heartbeats.
func (t *Tracker) Start(context.Context) error {
	var err error
	if t.messenger, err = registrar.Find[medlargw.Messenger](t.registry, "messenger"); err != nil {
		return err
	}
	if t.configSource, err = registrar.Find[medlargw.ConfigSource](t.registry, "watcher"); err != nil {
		return err
	}
	if t.inspector, err = registrar.Find[medlargw.Inspector](t.registry, "dispatcher"); err != nil {
		return err
	}
	t.forwardHandler, _ = registrar.Find[medlargw.ForwardHandler](t.registry, "keeper")
	t.hostsVersioner, _ = registrar.Find[medlargw.HostListVersioner](t.registry, "assigner")
	t.resourceReporter, _ = registrar.Find[medlargw.ResourceReporter](t.registry, "dispatcher")
	t.lagReporter, _ = registrar.Find[medlargw.LagReporter](t.registry, "dispatcher")
	for _, name := range []string{"watcher", "assigner", "dispatcher", "sender"} {
		if o, err := registrar.Find[medlargw.HeartbeatObserver](t.registry, name); err == nil {
			t.heartbeatObservers = append(t.heartbeatObservers, o)
		}
		if o, err := registrar.Find[medlargw.MembersObserver](t.registry, name); err == nil {
			t.memberObservers = append(t.memberObservers, o)
		}
	}
	t.resolveAddrs()
	t.spawner.Go(t.run)
	close(t.started)
	return nil
}

// resolveAddrs sets the addresses at which this entry listens.
func (t *Tracker) resolveAddrs() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.messenger.(addrProvider); ok {
		t.view.self.Addr = a.Addr()
	}
	t.view.self.AdminAddr = t.settings.Listen.Admin
	if a, err := registrar.Find[addrProvider](t.registry, "administrator"); err == nil {
		t.view.self.AdminAddr = a.Addr()
	}
	t.view.setProbeAddrs(t.settings.Peers)
	t.publishSnapshot()
}

// Done returns a channel that is closed when the heartbeats have ended.
func (t *Tracker) Done() <-chan struct{} { return t.done }

// Self returns this entry.
func (t *Tracker) Self() medlargw.Member { return (*t.snapshot.Load())[0] }

// Members returns all known entries, this one first.
func (t *Tracker) Members() []medlargw.Member { return *t.snapshot.Load() }

// SetListedAddrs sets the addresses of the host list at which to look for entries,
// those of this entry's zone first. It looks there at once when the first ones come.
func (t *Tracker) SetListedAddrs(addrs []netip.AddrPort) {
	t.mu.Lock()
	t.view.setProbeAddrs(slices.Concat(t.settings.Peers, addrs))
	first := !t.view.hasProbed
	t.mu.Unlock()
	if !first || len(addrs) == 0 {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// publishSnapshot replaces the snapshot of the members. The caller holds the
// lock, except in New.
func (t *Tracker) publishSnapshot() {
	all := t.view.members()
	t.snapshot.Store(&all)
}

// updateView changes the view and notifies the observers if its version
// changed.
func (t *Tracker) updateView(alter func(v *view)) {
	t.mu.Lock()
	before := t.view.version
	alter(t.view)
	changed := t.view.version != before
	if changed {
		t.publishSnapshot()
	}
	t.mu.Unlock()
	if !changed {
		return
	}
	all := t.Members()
	for _, o := range t.memberObservers {
		o.MembersChanged(all)
	}
}

// run starts a round in each interval until the context ends.
func (t *Tracker) run(ctx context.Context) {
	for {
		t.runRound(ctx)
		factor := 1 + intervalJitter*(2*rand.Float64()-1) //nolint:gosec // Spreads load, not used for security.
		select {
		case <-time.After(time.Duration(float64(t.settings.Group.Beat) * factor)):
		case <-t.wake:
		case <-ctx.Done():
			return
		}
	}
}

// runRound updates the states of the members and sends the heartbeats that are
// due.
func (t *Tracker) runRound(ctx context.Context) {
	now := time.Now()
	digest := t.ownDigest(ctx)
	var to []netip.AddrPort
	var judgements []judgement
	t.updateView(func(v *view) {
		v.lag = digest.Lag
		v.tick(now)
		judgements = v.takeJudgements()
		before := v.self.State
		v.setSelf(func(m *medlargw.Member) { m.State = t.selfState(m.State) })
		to = v.dueAddrs(now)
		if v.self.State != before {
			to = v.addrsNotGone() // Peers choose owners by this state: tell all of them at once.
		}
		t.publishSnapshot() // The times of the last messages change without a new version.
	})
	t.logJudgements(judgements)
	for _, addr := range to {
		t.spawner.Go(func(ctx context.Context) { t.sendHeartbeat(ctx, addr, digest) })
	}
}

func (t *Tracker) logJudgements(all []judgement) {
	for i := range all {
		j := &all[i]
		t.log.Info("member judged", zap.String("member", string(j.member.Host)), zap.Stringer("verdict", j.verdict),
			zap.Duration("silent", j.evidence.Silence), zap.Duration("heard", j.evidence.Heard),
			zap.Duration("lag", j.evidence.OwnLag), zap.Duration("peer_lag", j.evidence.PeerLag))
	}
}

// selfState returns this entry's next state: a joining entry becomes live once
// it has a configuration.
func (t *Tracker) selfState(state medlargw.MemberState) medlargw.MemberState {
	if state == medlargw.MemberJoining && t.configSource.Config() != nil {
		return medlargw.MemberLive
	}
	return state
}

// ownDigest returns the digest of this entry's configuration, host list and
// load.
func (t *Tracker) ownDigest(ctx context.Context) medlargw.Digest {
	var d medlargw.Digest
	if cfg := t.configSource.Config(); cfg != nil {
		d.Generation = cfg.Generation
	}
	if t.hostsVersioner != nil {
		d.HostsVersion = t.hostsVersioner.HostsVersion()
		d.HostsAge = t.hostsVersioner.HostsAge()
	}
	if t.resourceReporter != nil {
		d.FreeResources = t.resourceReporter.FreeResources()
	}
	if t.lagReporter != nil {
		d.Lag = t.lagReporter.Lag()
	}
	s, err := t.inspector.Status(ctx)
	if err != nil {
		return d
	}
	d.FreeSlots = s.Free
	for _, q := range s.Queues {
		if n := len(d.Waiting); n > 0 && d.Waiting[n-1].Rank == q.Rank {
			d.Waiting[n-1].Tasks += q.Tasks
			continue
		}
		d.Waiting = append(d.Waiting, medlargw.ClassDemand{Rank: q.Rank, Tasks: q.Tasks})
	}
	return d
}
