// Package coordinator coordinates the jobs of which this entry is the home and
// whose tasks run on leased targets: it offers the tasks to the holders of the
// targets' leases, retries a task once its run is proven to have ended, and
// combines the results of the tasks into the outcome of the job.
//
// A task is offered to a holder that is believed to have free resources for it,
// preferably in the coordinator's own zone. If there is none, the task queues
// at the holder where it is expected to start soonest, and is recalled as soon
// as another holder has free resources.
//
// A job is refused only while it is proven that none of its tasks was started.
// A holder that does not answer receives no more offers. The tasks that it may
// have started count as ended only once the holder must have stopped them by
// its own timeouts, or their leases have expired.
//
// The coordinator is a state machine without I/O, like package holder.
package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/admitter"
	"medlargw.example/medlargw/arbiter"
	"medlargw.example/medlargw/inviter"
	"medlargw.example/medlargw/pacer"
)

// Coordinator is the state machine. It is not safe for concurrent use.
type Coordinator struct {
	log        *zap.Logger
	settings   medlargw.LeaseSettings
	self       medlargw.Member
	jobs       []*job // In order of arrival.
	tasks      map[medlargw.TaskID]*task
	taskCounts [taskDone + 1]int // Number of tasks in each state.
	// Tasks of jobs that have not ended, by the IDs of their former offers.
	formerTasks map[medlargw.TaskID]*task
	// Ended jobs with runs that may go on, by the caller's ID, and their tasks.
	endings     map[string]*ending
	endingTasks map[medlargw.TaskID]*endingTask
	holders     map[medlargw.Incarnation]*holder
	byDistance  []*holder // This entry first, then its zone, then the other zones.
	unreported  bool      // Targets of this entry have not reported their resources recently.

	// Pools all of whose targets are in evacuated zones.
	evacuated map[medlargw.PoolName]bool
	// Resources of the largest targets of each pool; none if those of a target are not known.
	sizes map[medlargw.PoolName][]medlargw.Resources
	// The host list, and the positions of the targets in it.
	targets      []medlargw.Target
	targetIndex  map[medlargw.TargetName]int
	firstGroupAt time.Time                  // Zero before.
	learned      map[medlargw.PoolName]bool // Pools of which enough of the holders' resources was known once.
	hasLosses    bool                       // Tasks may have runs that ended with targets which may have crashed.

	estimator medlargw.Estimator
	nextJob   uint64
	nextID    medlargw.TaskID
	finished  []medlargw.FinishedJob
	arbiter   *arbiter.Arbiter
	verdicts  medlargw.VerdictCounts // Since TakeVerdicts.
	lag       time.Duration          // How late this entry acts.
	pacer     *pacer.Pacer           // Of this entry's network link.
	lastProbe time.Time              // When holders were last asked for their free resources.
	nextProbe int                    // Round-robin index of the next holder to ask.
	admitter  *admitter.Admitter
	request   medlargw.AdmissionRequest // Reused, with its slices.
	inviter   *inviter.Inviter
}

// New returns a coordinator without jobs. The pacer is that of this entry's
// network link, and is shared with the holder.
func New(
	log *zap.Logger,
	settings medlargw.LeaseSettings,
	self medlargw.Member,
	est medlargw.Estimator,
	link *pacer.Pacer,
) *Coordinator {
	return &Coordinator{
		pacer:       link,
		arbiter:     arbiter.New(maxMissedKeepalives * settings.Keep),
		log:         log.Named("coordinator"),
		settings:    settings,
		self:        self,
		estimator:   est,
		admitter:    admitter.New(),
		inviter:     inviter.New(),
		tasks:       map[medlargw.TaskID]*task{},
		formerTasks: map[medlargw.TaskID]*task{},
		endings:     map[string]*ending{},
		endingTasks: map[medlargw.TaskID]*endingTask{},
		learned:     map[medlargw.PoolName]bool{},
		holders:     map[medlargw.Incarnation]*holder{},
	}
}

// TakeActions returns the pending offers and outcomes and clears them.
func (c *Coordinator) TakeActions(now time.Time) medlargw.CoordinatorActions {
	var a medlargw.CoordinatorActions
	probes := c.holdersToProbe(now)
	for _, h := range c.byDistance {
		if o, ok := c.nextOffer(now, h, probes[h]); ok {
			a.Offers = append(a.Offers, medlargw.OfferCommand{To: h.peer, Offer: o})
		}
	}
	a.Finished = c.finished
	c.finished = nil
	return a
}

// JobCount returns the number of jobs that have not ended.
func (c *Coordinator) JobCount() int { return len(c.jobs) }

// UnstartedJobs returns the number of jobs of the service that have no started
// task.
func (c *Coordinator) UnstartedJobs(service medlargw.ServiceName) int {
	n := 0
	for _, j := range c.jobs {
		if j.job.Service == service && !j.started {
			n++
		}
	}
	return n
}

// SetGroup replaces the group of entries that hold targets. A holder that has
// left the group counts as lost only when it stops answering: this entry's view
// of the members may be out of date.
func (c *Coordinator) SetGroup(now time.Time, g medlargw.Group) {
	if c.firstGroupAt.IsZero() {
		c.firstGroupAt = now
	}
	present := map[medlargw.Incarnation]bool{}
	for _, p := range g.Entries {
		present[p.Incarnation] = true
		h := c.holders[p.Incarnation]
		if h == nil {
			h = newHolder(now)
			h.affinity = c.affinity(p.Host)
			c.holders[p.Incarnation] = h
		}
		h.peer = p
		h.absentSince = time.Time{}
	}
	for incarnation, h := range c.holders {
		if present[incarnation] {
			continue
		}
		if h.absentSince.IsZero() {
			h.absentSince = now
		}
		if now.Sub(h.absentSince) > forgetHolderAfter && len(h.tasks) == 0 {
			delete(c.holders, incarnation)
		}
	}
	c.sortHolders()
	c.evacuated = evacuatedPools(&g)
	c.setTargets(g.Targets)
	c.reviewLosses(now)
}

// evacuatedPools returns the pools all of whose targets are in evacuated zones.
func evacuatedPools(g *medlargw.Group) map[medlargw.PoolName]bool {
	pools := map[medlargw.PoolName]bool{}
	if len(g.Evacuated) == 0 {
		return pools
	}
	for i := range g.Targets {
		t := &g.Targets[i]
		others, known := pools[t.Pool]
		pools[t.Pool] = (others || !known) && slices.Contains(g.Evacuated, t.Zone)
	}
	return pools
}

// affinity returns the hash by which this entry orders equally suitable holders.
func (c *Coordinator) affinity(host medlargw.HostName) uint64 {
	return xxhash.Sum64String(string(c.self.Host) + "/" + string(host))
}

func (c *Coordinator) sortHolders() {
	c.byDistance = c.byDistance[:0]
	for _, h := range c.holders {
		c.byDistance = append(c.byDistance, h)
	}
	slices.SortFunc(c.byDistance, func(a, b *holder) int {
		return cmp.Or(
			cmp.Compare(c.distance(a), c.distance(b)),
			cmp.Compare(a.affinity, b.affinity),
			cmp.Compare(a.peer.Host, b.peer.Host),
			cmp.Compare(a.peer.Incarnation, b.peer.Incarnation),
		)
	})
}

// distance returns how far away a holder is: 0 for this entry, 1 for its zone
// and 2 for other zones.
func (c *Coordinator) distance(h *holder) int {
	switch {
	case h.peer.Incarnation == c.self.Incarnation:
		return 0
	case h.peer.Zone == c.self.Zone:
		return 1
	}
	return 2
}

// Tick handles the timeouts that have expired by now.
func (c *Coordinator) Tick(now time.Time) {
	for _, h := range c.byDistance {
		c.tickHolder(now, h)
	}
	c.expireEndings(now)
	for _, j := range slices.Clone(c.jobs) {
		c.tickJob(now, j)
	}
	c.rebalance(now)
}

func (c *Coordinator) tickJob(now time.Time, j *job) {
	switch {
	case !now.Before(j.job.Deadline):
		c.abort(now, j, medlargw.CodeDeadline, "the deadline has passed")
	case j.refusing:
	case j.held:
		if now.Add(j.estimate).After(j.job.Deadline) {
			c.abort(now, j, medlargw.CodeDeadline, "no time left after the runs of its former submission")
		}
	case !j.started && c.withdrawIfLate(now, j):
	default:
		c.placeIdle(now, j)
	}
}
