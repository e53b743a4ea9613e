// Package conductor runs the job coordinator and the lease holder of one entry.
// One control goroutine applies all events to both state machines; other
// goroutines send the resulting messages to targets and peers.
package conductor

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/coordinator"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/gauger"
	"medlargw.example/medlargw/holder"
	"medlargw.example/medlargw/pacer"
	"medlargw.example/medlargw/registrar"
)

const (
	// busyTick is the interval at which timeouts are checked while tasks wait, and
	// idleTick that at other times. Both are well below the keepalive interval.
	busyTick = 20 * time.Millisecond
	idleTick = 50 * time.Millisecond
	// stallThreshold is the pause of the control goroutine after which callers may
	// have resubmitted their jobs to another entry.
	stallThreshold = time.Second
	// noticeDelay is the time in which a process that goes on after a pause of more than
	// medlargw.NoticeTime learns of the connections that have ended in the pause.
	noticeDelay = 10 * time.Millisecond
	// eventQueueSize is the capacity of the queue of the control goroutine, and
	// the number of task events that are kept to be reported again; more are
	// dropped.
	eventQueueSize = 1024
)

// event is a function that the control goroutine calls.
type event func(now time.Time)

// queuedEvent is an event with the time at which it was posted.
type queuedEvent struct {
	apply  event
	posted time.Time
}

// Conductor is the component "dispatcher" of an entry whose targets are leased.
type Conductor struct {
	log       *zap.Logger
	registry  *registrar.Registrar
	settings  medlargw.LeaseSettings
	clock     medlargw.Clock
	runner    medlargw.Runner
	messenger medlargw.OfferMessenger
	self      medlargw.Member
	startedAt time.Time
	counters  counters
	relays    *relays

	// Used by the control goroutine only.
	coord    *coordinator.Coordinator
	holder   *holder.Holder
	waiters  map[*medlargw.Job]chan<- medlargw.Outcome
	unacked  []medlargw.TaskReport // Events whose reports failed and that must arrive; they are sent again.
	group    medlargw.Group
	share    medlargw.TargetShare // Of the targets of this entry's zone.
	lastWake time.Time
	quietTo  time.Time // No message of the home is sent before.
	gauger   *gauger.Gauger
	pacer    *pacer.Pacer // Of this entry's network link.
	linkBusy bool         // When the free resources were last published.

	events    chan queuedEvent
	nextGroup atomic.Pointer[medlargw.Group] // Not applied yet; nil if there is none.
	resources atomic.Pointer[medlargw.HolderResources]
	status    atomic.Pointer[medlargw.DispatchStatus]
	ready     atomic.Bool  // At least one target is known.
	lag       atomic.Int64 // Lateness of the control goroutine when it last woke up.

	ctx     context.Context //nolint:containedctx // Cancelled when the component stops.
	cancel  context.CancelFunc
	senders *pool.Pool // Goroutines that send; they are reused to keep their grown stacks.
	control conc.WaitGroup
	done    chan struct{}
}

var (
	_ medlargw.Component         = (*Conductor)(nil)
	_ medlargw.Submitter         = (*Conductor)(nil)
	_ medlargw.Inspector         = (*Conductor)(nil)
	_ medlargw.OfferHandler      = (*Conductor)(nil)
	_ medlargw.HeartbeatObserver = (*Conductor)(nil)
	_ medlargw.ResourceReporter  = (*Conductor)(nil)
	_ medlargw.LagReporter       = (*Conductor)(nil)
	_ medlargw.RelayHandler      = (*Conductor)(nil)
)

// New returns a conductor that has not started. It sends orders to targets
// through runner.
func New(
	log *zap.Logger,
	reg *registrar.Registrar,
	settings *medlargw.Settings,
	incarnation medlargw.Incarnation,
	clock medlargw.Clock,
	runner medlargw.Runner,
	registry metrics.Registry,
) *Conductor {
	self := medlargw.Member{Host: settings.Host, Zone: settings.Zone, Addr: settings.Listen.Peers, Incarnation: incarnation}
	link := pacer.New(settings.Lease.Link)
	c := &Conductor{
		gauger:    gauger.New(),
		pacer:     link,
		log:       log.Named("conductor"),
		registry:  reg,
		settings:  settings.Lease,
		clock:     clock,
		runner:    runner,
		self:      self,
		startedAt: clock.Now(),
		counters:  newCounters(registry),
		relays:    newRelays(settings, self),
		coord:     coordinator.New(log, settings.Lease, self, estimator.New(), link),
		holder:    holder.New(log, settings.Lease, self, link),
		waiters:   map[*medlargw.Job]chan<- medlargw.Outcome{},
		events:    make(chan queuedEvent, eventQueueSize),
		senders:   pool.New(),
		done:      make(chan struct{}),
	}
	c.resources.Store(&medlargw.HolderResources{})
	c.status.Store(&medlargw.DispatchStatus{})
	registry.GetOrRegister("lag", metrics.NewFunctionalGauge(func() int64 { return c.Lag().Milliseconds() }))
	return c
}

// Name returns the name of the component, "dispatcher".
func (*Conductor) Name() string { return "dispatcher" }

// Start starts the control goroutine.
func (c *Conductor) Start(context.Context) error {
	m, err := registrar.Find[medlargw.OfferMessenger](c.registry, "messenger")
	if err != nil {
		return err
	}
	c.messenger = m
	c.relays.findMessenger(c.registry)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.control.Go(c.run)
	return nil
}

// Stop stops the control goroutine and cancels the messages in flight.
func (c *Conductor) Stop(context.Context) error {
	defer close(c.done)
	c.cancel()
	c.control.Wait()
	c.senders.Wait()
	return nil
}

// Done returns a channel that is closed when the control goroutine has ended.
func (c *Conductor) Done() <-chan struct{} { return c.done }

// run is the loop of the control goroutine.
func (c *Conductor) run() {
	interval := busyTick
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	c.lastWake = c.clock.Now()
	for {
		if next := c.tickInterval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
		select {
		case e := <-c.events:
			now := c.readClock(e.posted)
			c.updateLink(now)
			e.apply(now)
			c.flush(c.drainEvents(now))
		case due := <-ticker.C:
			now := c.readClock(time.Time{})
			c.recordLateness(now, time.Since(due))
			now = c.drainEvents(now) // Answers that wait here are no silence.
			c.holder.Tick(now)
			c.updateLink(now)
			c.recordUnreported()
			c.coord.Tick(now)
			c.counters.countVerdicts(c.coord.TakeVerdicts())
			c.counters.endingJobs.Update(int64(c.coord.EndingJobs()))
			c.flush(now)
		case <-c.ctx.Done():
			c.failWaiters()
			return
		}
	}
}

// tickInterval returns the interval at which timeouts are to be checked now.
func (c *Conductor) tickInterval() time.Duration {
	if c.coord.AnyWaiting() || c.holder.HasPending() {
		return busyTick
	}
	return idleTick
}

// drainEvents processes the events that are already queued, for at most a tick:
// keepalives must be sent in time. It returns the time at which it applied the last
// one, or the given time if there is none.
func (c *Conductor) drainEvents(start time.Time) time.Time {
	now := start
	for now.Sub(start) <= busyTick {
		select {
		case e := <-c.events:
			// The process may have been suspended since the last event: one that has
			// waited for that long must not be judged by the time before.
			now = c.readClock(e.posted)
			e.apply(now)
		default:
			return now
		}
	}
	return now
}

// post queues an event for the control goroutine. It returns false if the
// control goroutine has ended.
func (c *Conductor) post(e event) bool {
	select {
	case c.events <- queuedEvent{e, c.clock.Now()}:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// Configure applies the minimum shares of the classes in the configuration that
// has come into force, and keeps metrics of these classes only.
func (c *Conductor) Configure(cfg *medlargw.Config) {
	c.log.Info("configuration in force", zap.Uint64("generation", cfg.Generation),
		zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)))
	c.counters.configure(cfg)
	shares := c.minShares(cfg)
	c.post(func(time.Time) {
		c.holder.SetMinShares(shares)
		c.coord.SetMinShares(shares)
	})
}

// minShares returns the minimum shares of the starts by rank. Those that are no
// shares, or are more than the whole together, are ignored.
func (c *Conductor) minShares(cfg *medlargw.Config) map[int]float64 {
	shares := map[int]float64{}
	sum := 0.0
	for i := range cfg.Classes {
		class := &cfg.Classes[i]
		switch {
		case class.MinShare == 0:
		case class.MinShare > 0 && class.MinShare <= 1:
			shares[class.Rank] += class.MinShare
			sum += class.MinShare
		default:
			c.counters.ignoredShares.Inc(1)
			c.log.Warn("minimum share of a class ignored", zap.String("class", string(class.Name)), zap.Float64("share", class.MinShare))
		}
	}
	if sum > 1 {
		c.counters.ignoredShares.Inc(1)
		c.log.Warn("minimum shares of all classes ignored", zap.Float64("sum", sum))
		return nil
	}
	return shares
}

// SetGroup replaces the group of entries that hold targets, and their targets.
func (c *Conductor) SetGroup(g medlargw.Group) {
	g.Targets = c.onOwnClock(g.Targets)
	if c.nextGroup.Swap(&g) != nil {
		return // The event that is queued for the former group applies this one.
	}
	c.post(func(now time.Time) {
		evacuated := c.group.Evacuated
		c.group = *c.nextGroup.Swap(nil)
		c.holder.SetGroup(now, c.group)
		c.coord.SetGroup(now, c.group)
		c.recordShare(c.holder.Share())
		if !slices.Equal(evacuated, c.group.Evacuated) {
			c.counters.evacuatedZones.Update(int64(len(c.group.Evacuated)))
			c.publishResources(now)
		}
		c.relays.setGroup(&c.group, c.leaving())
	})
}

// SetReports takes the latest reports of the targets to the platform.
func (c *Conductor) SetReports(reports map[medlargw.TargetName]medlargw.TargetReport) {
	c.post(func(now time.Time) {
		c.holder.SetReports(now, reports)
		c.recordUnreported()
	})
}

func (c *Conductor) recordUnreported() {
	n := c.holder.Unreported()
	c.counters.unreportedTargets.Update(int64(n))
	c.coord.SetUnreported(n > 0)
}

// recordShare publishes this entry's share of the targets as metrics. It logs a
// share that has changed otherwise than by the coming and going of targets.
func (c *Conductor) recordShare(s medlargw.TargetShare) {
	before := c.share
	c.share = s
	c.counters.setShare(&s)
	if s.Entries == before.Entries && s.Weighted == before.Weighted && s.Capacity == before.Capacity && s.Unstated == before.Unstated {
		return
	}
	c.log.Info("share of the targets changed", zap.Int("owned", s.Owned), zap.Float64("due", s.Due),
		zap.Int("targets", s.Targets), zap.Int("entries", s.Entries), zap.Int64("capacity", s.Capacity),
		zap.Bool("weighted", s.Weighted), zap.String("unstated", string(s.Unstated)))
}

// onOwnClock returns the targets with their times on the clock that was passed
// to New.
func (c *Conductor) onOwnClock(targets []medlargw.Target) []medlargw.Target {
	timed := func(t medlargw.Target) bool { return !t.ColdUntil.IsZero() || !t.LeavesAt.IsZero() }
	if !slices.ContainsFunc(targets, timed) {
		return targets
	}
	now, own := time.Now(), c.clock.Now()
	targets = slices.Clone(targets)
	for i := range targets {
		t := &targets[i]
		if !t.ColdUntil.IsZero() {
			t.ColdUntil = own.Add(t.ColdUntil.Sub(now))
		}
		if !t.LeavesAt.IsZero() {
			t.LeavesAt = own.Add(t.LeavesAt.Sub(now))
		}
	}
	return targets
}

// HeartbeatReceived records the free resources in a peer's heartbeat.
func (c *Conductor) HeartbeatReceived(from medlargw.Member, d medlargw.Digest) {
	c.relays.handleHeartbeat(c.clock.Now(), from.Incarnation, d.Lag, d.FreeResources.Clock)
	c.post(func(now time.Time) {
		c.holder.HandleHeartbeat(now, from.Incarnation, c.uptime(now), d.FreeResources.Clock)
		c.coord.HandleHeartbeat(now, from.Incarnation, d.Lag, d.Heard)
		c.coord.SetFreeResources(now, from.Incarnation, d.FreeResources)
		c.holder.SetPeerCrashes(now, from.Incarnation, d.FreeResources.Crashes)
	})
}

// FreeResources returns the free resources of the targets that this entry
// holds, with the time on its clock.
func (c *Conductor) FreeResources() medlargw.HolderResources {
	r := *c.resources.Load()
	r.Clock = c.uptime(c.clock.Now())
	return r
}

// Ready reports whether this entry knows targets for its jobs.
func (c *Conductor) Ready() bool { return c.ready.Load() }

// Status returns a snapshot of the control state.
func (c *Conductor) Status(context.Context) (medlargw.DispatchStatus, error) {
	return *c.status.Load(), nil
}

// SetAside only logs a warning: leased targets cannot be taken out of use.
func (c *Conductor) SetAside(target medlargw.TargetName, _ bool) {
	c.log.Warn("leased target cannot be set aside", zap.String("target", string(target)))
}
