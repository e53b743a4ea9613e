// Package conductor runs the home of jobs and the holder of targets of one
// entry: it carries events to their state machines on one control goroutine,
// and what they decide to targets and peers on others.
package conductor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/coordinator"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/holder"
	"medlargw.example/medlargw/registrar"
)

const (
	// tick is the time between two looks at what time alone has changed.
	tick = 20 * time.Millisecond
	// frozenAfter is the pause of the control goroutine after which callers may
	// have asked again elsewhere.
	frozenAfter = time.Second
	// eventRoom is the number of events that may wait.
	eventRoom = 1024
)

// event is carried out by the control goroutine.
type event func(now time.Time)

// Conductor is the part "dispatcher" of an entry whose targets are under lease.
type Conductor struct {
	log      *zap.Logger
	registry *registrar.Registrar
	settings medlargw.LeaseSettings
	clock    medlargw.Clock
	runner   medlargw.Runner
	offerer  medlargw.Offerer
	self     medlargw.Member
	began    time.Time
	counters counters

	// Of the control goroutine.
	home    *coordinator.Coordinator
	holder  *holder.Holder
	waiters map[*medlargw.Job]chan<- medlargw.Outcome
	outbox  []medlargw.TaskReport // To be sent again.
	group   medlargw.Group
	last    time.Time

	events chan event
	room   atomic.Pointer[medlargw.HolderRoom]
	status atomic.Pointer[medlargw.CoreStatus]
	ready  atomic.Bool // Targets are known.

	ctx     context.Context //nolint:containedctx // Ends with the part.
	cancel  context.CancelFunc
	sending *pool.Pool // Goroutines that send, kept with the stacks they have grown.
	control conc.WaitGroup
	done    chan struct{}
}

var (
	_ medlargw.Part         = (*Conductor)(nil)
	_ medlargw.Submitter    = (*Conductor)(nil)
	_ medlargw.Inspector    = (*Conductor)(nil)
	_ medlargw.OfferHandler = (*Conductor)(nil)
	_ medlargw.BeatObserver = (*Conductor)(nil)
	_ medlargw.Roomer       = (*Conductor)(nil)
)

// New returns a conductor that has not started. The runner reaches the targets.
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
	c := &Conductor{
		log:      log.Named("conductor"),
		registry: reg,
		settings: settings.Lease,
		clock:    clock,
		runner:   runner,
		self:     self,
		began:    clock.Now(),
		counters: newCounters(registry),
		home:     coordinator.New(log, settings.Lease, self, estimator.New()),
		holder:   holder.New(log, settings.Lease, self),
		waiters:  map[*medlargw.Job]chan<- medlargw.Outcome{},
		events:   make(chan event, eventRoom),
		sending:  pool.New(),
		done:     make(chan struct{}),
	}
	c.room.Store(&medlargw.HolderRoom{})
	c.status.Store(&medlargw.CoreStatus{})
	return c
}

// Name returns "dispatcher".
func (*Conductor) Name() string { return "dispatcher" }

// Start begins the control goroutine.
func (c *Conductor) Start(context.Context) error {
	offerer, err := registrar.Find[medlargw.Offerer](c.registry, "messenger")
	if err != nil {
		return err
	}
	c.offerer = offerer
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.control.Go(c.run)
	return nil
}

// Stop ends the control goroutine and the orders that are on their way.
func (c *Conductor) Stop(context.Context) error {
	defer close(c.done)
	c.cancel()
	c.control.Wait()
	c.sending.Wait()
	return nil
}

// Done is closed when the control goroutine has ended.
func (c *Conductor) Done() <-chan struct{} { return c.done }

// run is the control goroutine.
func (c *Conductor) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	c.last = c.clock.Now()
	for {
		select {
		case e := <-c.events:
			now := c.wake()
			e(now)
			c.drain(now)
			c.flush(now)
		case <-ticker.C:
			now := c.wake()
			c.holder.Tick(now)
			c.home.Tick(now)
			c.flush(now)
		case <-c.ctx.Done():
			c.endWaiters()
			return
		}
	}
}

// drain carries out the events that wait already.
func (c *Conductor) drain(now time.Time) {
	for {
		select {
		case e := <-c.events:
			e(now)
		default:
			return
		}
	}
}

// wake returns the time, and notices that the process stood still.
func (c *Conductor) wake() time.Time {
	now := c.clock.Now()
	if gap := now.Sub(c.last); gap > frozenAfter {
		c.log.Warn("the process stood still", zap.Duration("gap", gap))
		c.home.Fail(now, "the entry stood still")
		c.holder.Tick(now)
	}
	c.last = now
	return now
}

// post hands an event to the control goroutine; it returns false when that has
// ended.
func (c *Conductor) post(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// Configure takes note of a configuration in force.
func (c *Conductor) Configure(cfg *medlargw.Config) {
	c.log.Info("configuration in force", zap.Uint64("generation", cfg.Generation),
		zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)))
}

// SetGroup takes the hosts that act together.
func (c *Conductor) SetGroup(g medlargw.Group) {
	c.post(func(now time.Time) {
		c.group = g
		c.holder.Assign(now, g)
		c.home.Assign(now, g)
	})
}

// HeardBeat takes a peer's word of its room.
func (c *Conductor) HeardBeat(from medlargw.Member, d medlargw.Digest) {
	c.post(func(now time.Time) { c.home.See(now, from.Incarnation, d.Room) })
}

// Room returns what this entry has free as a holder.
func (c *Conductor) Room() medlargw.HolderRoom { return *c.room.Load() }

// Ready reports whether this entry knows targets for its jobs.
func (c *Conductor) Ready() bool { return c.ready.Load() }

// Status returns a summary of the control state.
func (c *Conductor) Status(context.Context) (medlargw.CoreStatus, error) {
	return *c.status.Load(), nil
}

// SetAside is not offered for targets under lease.
func (c *Conductor) SetAside(target medlargw.TargetName, _ bool) {
	c.log.Warn("a target under lease can't be set aside", zap.String("target", string(target)))
}

// elapsed returns the clock of this entry in the terms of medlargw.Offer.Valid.
func (c *Conductor) elapsed(now time.Time) time.Duration { return now.Sub(c.began) }
