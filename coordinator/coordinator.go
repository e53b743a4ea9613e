// Package coordinator is the home of jobs whose tasks run on targets under
// lease: it offers the tasks to the holders of targets, starts a task again
// after a proven end, and adds the ends up to an outcome.
//
// A task goes to a holder that is believed to have room for it, in the own zone
// first. When nobody has, it waits at the holder with the least work before it,
// and is recalled as soon as another one has room.
//
// A job is refused only while it is proven that nothing of it was started. A
// holder that stays silent gets no more offers; what it may have started counts
// as ended only when the holder has stopped it by its own rules, or its leases
// have ended.
//
// The coordinator is a state machine without I/O, like package holder.
package coordinator

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// Coordinator is the state machine. It is used by one goroutine.
type Coordinator struct {
	log       *zap.Logger
	settings  medlargw.LeaseSettings
	self      medlargw.Member
	jobs      []*job // In the order of arrival.
	tasks     map[medlargw.TaskID]*task
	in        [taskDone + 1]int // Number of tasks in each state.
	holders   map[medlargw.Incarnation]*holder
	order     []*holder // This entry first, then its zone, then the others.
	estimator medlargw.Estimator
	nextJob   uint64
	nextID    medlargw.TaskID
	finishes  []medlargw.Finish
	asked     time.Time // Last questions for room.
	turn      int       // Of the holders of other zones that are asked.
}

// New returns a coordinator without jobs.
func New(log *zap.Logger, settings medlargw.LeaseSettings, self medlargw.Member, est medlargw.Estimator) *Coordinator {
	return &Coordinator{
		log:       log.Named("coordinator"),
		settings:  settings,
		self:      self,
		estimator: est,
		tasks:     map[medlargw.TaskID]*task{},
		holders:   map[medlargw.Incarnation]*holder{},
	}
}

// TakeActions returns what must be done and forgets it.
func (c *Coordinator) TakeActions(now time.Time) medlargw.HomeActions {
	var a medlargw.HomeActions
	asked := c.asks(now)
	for _, h := range c.order {
		if o, ok := c.message(now, h, asked[h]); ok {
			a.Offers = append(a.Offers, medlargw.HomeOffer{To: h.peer, Offer: o})
		}
	}
	a.Finishes = c.finishes
	c.finishes = nil
	return a
}

// Jobs returns the number of jobs that have not ended.
func (c *Coordinator) Jobs() int { return len(c.jobs) }

// Waiting returns the number of jobs of a service without a started task.
func (c *Coordinator) Waiting(service medlargw.ServiceName) int {
	n := 0
	for _, j := range c.jobs {
		if j.job.Service == service && !j.started {
			n++
		}
	}
	return n
}

// Assign takes the hosts that act together. Whether a holder that is no longer
// among them has ended is told by its silence alone: what this entry sees of the
// members may be old.
func (c *Coordinator) Assign(now time.Time, g medlargw.Group) {
	present := map[medlargw.Incarnation]bool{}
	for _, p := range g.Entries {
		present[p.Incarnation] = true
		h := c.holders[p.Incarnation]
		if h == nil {
			h = newHolder(now)
			c.holders[p.Incarnation] = h
		}
		h.peer = p
		h.absent = time.Time{}
	}
	for incarnation, h := range c.holders {
		if present[incarnation] {
			continue
		}
		if h.absent.IsZero() {
			h.absent = now
		}
		if now.Sub(h.absent) > forgetHolder && len(h.tasks) == 0 {
			delete(c.holders, incarnation)
		}
	}
	c.sortHolders()
}

func (c *Coordinator) sortHolders() {
	c.order = c.order[:0]
	for _, h := range c.holders {
		c.order = append(c.order, h)
	}
	distance := func(h *holder) int {
		switch {
		case h.peer.Incarnation == c.self.Incarnation:
			return 0
		case h.peer.Zone == c.self.Zone:
			return 1
		}
		return 2
	}
	slices.SortFunc(c.order, func(a, b *holder) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(a.peer.Host, b.peer.Host),
			cmp.Compare(a.peer.Incarnation, b.peer.Incarnation),
		)
	})
}

// Tick lets time alone change the state.
func (c *Coordinator) Tick(now time.Time) {
	for _, h := range c.order {
		c.tickHolder(now, h)
	}
	for _, j := range slices.Clone(c.jobs) {
		c.tickJob(now, j)
	}
	c.rebalance()
}

func (c *Coordinator) tickJob(now time.Time, j *job) {
	switch {
	case !now.Before(j.job.Deadline):
		c.giveUp(now, j, medlargw.CodeDeadline, "the deadline has passed")
	case j.refusing:
	case !j.started && c.isLost(now, j):
		c.withdraw(now, j)
	default:
		c.placeIdle(now, j)
	}
}
