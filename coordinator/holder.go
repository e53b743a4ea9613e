package coordinator

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

const (
	// probeInterval is the time between two requests for the free resources of
	// holders while tasks wait. Heartbeats report it too late for tasks of about
	// 50 ms.
	probeInterval = 25 * time.Millisecond
	// maxProbes is the number of holders asked per interval, whatever the size of
	// the group, and maxZoneProbes that of this entry's zone among them.
	maxProbes     = 5
	maxZoneProbes = 3
	// probeShare is the largest share of the network link that probes and their
	// answers take. On a slow link it makes probes rarer than probeInterval.
	probeShare = 0.05
	// maxMissedKeepalives is the number of keepalive intervals without an answer
	// after which a holder is considered lost.
	maxMissedKeepalives = 5
	// forgetHolderAfter is the time after which a holder that has left the group
	// is removed.
	forgetHolderAfter = 10 * time.Second
	// minOfferRetry is the delay before the next message to a holder after one
	// that was not answered. It doubles with each further one, up to
	// LeaseSettings.Keep while tasks or cancels are there and else up to maxOfferRetry.
	minOfferRetry = 20 * time.Millisecond
	maxOfferRetry = time.Second
	// maxClockAge is the age from which a known clock of a holder is replaced by
	// any new one. A younger one is replaced only by one that took less time in
	// transit.
	maxClockAge = 5 * time.Second
	// cancelRetryPeriod is the time for which an unanswered cancel is resent.
	cancelRetryPeriod = 2 * time.Second
)

// holder is the coordinator's view of a holder of target leases.
type holder struct {
	peer medlargw.Peer
	// affinity is a hash of this entry and the holder. Equally suitable holders are
	// tried in its order, which differs from home to home, so that the homes do not
	// all offer tasks to the same one.
	affinity     uint64
	resources    medlargw.HolderResources
	resourcesAt  time.Time     // When resources was received.
	clock        time.Duration // The holder's clock in its latest answer.
	clockAt      time.Time     // When that answer arrived; zero if there was none.
	lastAnswered time.Time     // When the latest answered offer was sent.
	lastSent     time.Time     // When the latest offer was sent.
	lastHeard    time.Time     // When it last gave any sign of life, directly or to another entry that told of it.
	lag          time.Duration // How late it acts, by its last heartbeat.
	slow         bool          // It is silent, but there is evidence that it lives.
	lost         bool
	lostAt       time.Time
	failures     int                       // Consecutive messages that were not answered.
	retryAt      time.Time                 // No message is sent to it before.
	absentSince  time.Time                 // When it left the group; zero while it is a member.
	tasks        map[medlargw.TaskID]*task // Tasks offered to it, queued at it or running on its targets.
	hasUpdates   bool                      // One of its tasks may have to be offered or recalled.
	// Cancels without an answer. They are part of each message, so that the holder knows
	// of them once any message arrives that was sent later.
	cancels    []pendingCancel
	newCancels bool // Some were not sent, or a message with them has failed.
}

// pendingCancel is a task that its holder must stop and that it may not know of yet.
type pendingCancel struct {
	id    medlargw.TaskID
	since time.Time
}

// cancel has the holder stop a task.
func (h *holder) cancel(now time.Time, id medlargw.TaskID) {
	h.cancels = append(h.cancels, pendingCancel{id: id, since: now})
	h.newCancels = true
}

// cancelIDs returns the tasks of all cancels without an answer.
func (h *holder) cancelIDs() []medlargw.TaskID {
	var ids []medlargw.TaskID
	for _, p := range h.cancels {
		ids = append(ids, p.id)
	}
	return ids
}

// cancelsAnswered removes the cancels that an answered message has brought.
func (h *holder) cancelsAnswered(ids []medlargw.TaskID) {
	h.cancels = slices.DeleteFunc(h.cancels, func(p pendingCancel) bool { return slices.Contains(ids, p.id) })
}

// cancelsFailed sends the cancels again after a message with some was not answered.
// Those that are older than cancelRetryPeriod are removed: a holder that gets no message
// for that long stops the tasks by itself.
func (h *holder) cancelsFailed(now time.Time) {
	h.cancels = slices.DeleteFunc(h.cancels, func(p pendingCancel) bool { return now.Sub(p.since) >= cancelRetryPeriod })
	h.newCancels = len(h.cancels) > 0
}

// pool returns the reported resources of the pool, or nil if there are none.
func (h *holder) pool(name medlargw.PoolName) *medlargw.PoolResources {
	for i := range h.resources.Pools {
		if h.resources.Pools[i].Pool == name {
			return &h.resources.Pools[i]
		}
	}
	return nil
}

// acceptsOffers reports whether tasks may be offered to the holder. One that has
// not answered gets no new tasks until it answers a message without any.
func (h *holder) acceptsOffers() bool {
	return !h.lost && !h.slow && h.absentSince.IsZero() && h.failures == 0
}

// recordFailure counts a message that was not answered, and schedules the next
// one with exponential backoff.
func (h *holder) recordFailure(now time.Time, keep time.Duration) {
	limit := keep
	if len(h.tasks)+len(h.cancels) == 0 {
		limit = maxOfferRetry
	}
	h.retryAt = now.Add(min(minOfferRetry<<min(h.failures, 8), limit))
	h.failures++
}

// recordAnswer records the answer to a message that was sent at the given time.
func (h *holder) recordAnswer(sent time.Time) {
	if sent.After(h.lastAnswered) {
		h.lastAnswered = sent
	}
	h.failures = 0
	h.retryAt = time.Time{}
}

// updateClock records the holder's clock in a message that has just arrived.
func (h *holder) updateClock(now time.Time, clock time.Duration) {
	known := h.clock + now.Sub(h.clockAt)
	if clock > 0 && (h.clockAt.IsZero() || clock > known || now.Sub(h.clockAt) > maxClockAge) {
		h.clock, h.clockAt = clock, now
	}
}

func newHolder(now time.Time) *holder {
	return &holder{lastAnswered: now, lastHeard: now, tasks: map[medlargw.TaskID]*task{}}
}

// attach assigns a task to the holder, and removes it from its former holder.
func (h *holder) attach(t *task) {
	if t.holder != nil && t.holder != h {
		delete(t.holder.tasks, t.id)
		t.formers = append(slices.DeleteFunc(t.formers, func(f *holder) bool { return f == h }), t.holder)
	}
	t.holder = h
	h.tasks[t.id] = t
	h.hasUpdates = true
}

// SetFreeResources records the free resources that a holder reports. It ignores
// a report that is not newer than the last one.
func (c *Coordinator) SetFreeResources(now time.Time, incarnation medlargw.Incarnation, resources medlargw.HolderResources) {
	h := c.holders[incarnation]
	if h == nil {
		return
	}
	h.updateClock(now, resources.Clock)
	if resources.Sequence <= h.resources.Sequence {
		return
	}
	h.resources = resources.Clone() // Offers are deducted from the copy.
	h.resourcesAt = now
	c.rebalance(now)
}

// tickHolder detects a holder that no longer answers, and retries the tasks of
// a lost holder once their runs must have ended.
func (c *Coordinator) tickHolder(now time.Time, h *holder) {
	if len(h.tasks) == 0 {
		h.slow = false
		if !h.lost {
			h.lastAnswered = now
		}
		if h.lost && now.Sub(h.lastSent) > c.selfStopDelay() {
			h.lost = false // Offers to it are tried again.
			h.lastAnswered = now
		}
		return
	}
	c.judge(now, h)
	if !h.lost {
		return
	}
	for _, t := range h.sortedTasks() {
		c.tickLostTask(now, h, t)
	}
}

// judge updates the verdict on a holder that has tasks. One that has counted as
// lost is reachable again as soon as there is a new sign of life.
func (c *Coordinator) judge(now time.Time, h *holder) {
	e := medlargw.PeerEvidence{
		Silence: now.Sub(h.lastAnswered), Heard: now.Sub(h.lastHeard),
		OwnLag: min(c.lag, c.settings.Lag), PeerLag: c.PeerLag(h.peer.Incarnation),
	}
	switch verdict := c.arbiter.Judge(e); {
	case verdict == medlargw.PeerLost && !h.lost:
		c.markLost(now, h, e)
	case verdict == medlargw.PeerSlow && h.lost && h.lastHeard.After(h.lostAt):
		h.slow = true
		c.markReachable(h, "heard of")
	case verdict == medlargw.PeerSlow && !h.lost && !h.slow:
		h.slow = true
		c.verdicts.Slow++
		c.log.Info("holder slow", append(evidenceFields(h, e), zap.Int("tasks", len(h.tasks)))...)
	case verdict == medlargw.PeerAlive:
		h.slow = false
	}
}

// tickLostTask ends the run of a task whose holder is lost, once it must have
// ended. It gives up the job before that if its holder must have begun to stop the
// run, so that no result comes any more, and there is no time for another run.
func (c *Coordinator) tickLostTask(now time.Time, h *holder, t *task) {
	j := t.job
	switch {
	case t.endedBy.IsZero():
	case !j.job.Idempotent || t.endedBy.Add(j.estimate).After(j.job.Deadline):
		if now.Sub(h.lastSent) > medlargw.OfferValidity+c.settings.Silence {
			c.abort(now, j, medlargw.CodeAttemptLost, "the holder of its targets is lost")
		}
	case !now.Before(t.endedBy):
		attempt := t.attempt
		c.recordLoss(now, t, &loss{crash: crash{blame: unknownBlame}})
		c.retry(now, t, "")
		c.logEndedByTime(now, t, attempt, h)
	}
}

// selfStopDelay returns the time after the last offer by which a holder that
// receives nothing more from this coordinator has stopped its tasks.
func (c *Coordinator) selfStopDelay() time.Duration {
	return medlargw.OfferValidity + c.settings.Silence + c.settings.Lease + c.settings.Stop + c.settings.Keep
}

// markLost marks a holder as lost. Nothing is sent to it until there is a sign of
// life. Its tasks end by themselves within selfStopDelay of the last offer, but
// nobody can tell whether they have succeeded.
func (c *Coordinator) markLost(now time.Time, h *holder, e medlargw.PeerEvidence) {
	h.lost = true
	h.slow = false
	h.lostAt = now
	c.verdicts.Lost++
	all := h.sortedTasks()
	c.log.Info("holder lost", append(evidenceFields(h, e), zap.Duration("sent", now.Sub(h.lastSent)), zap.Int("tasks", len(all)))...)
	for _, t := range all {
		t.endedBy = h.lastSent.Add(c.selfStopDelay())
		t.job.started = true // The holder may have received the offer.
		if t.job.refusing {
			t.job.refusing = false
		}
	}
}

// evidenceFields returns the log fields of the evidence on a holder.
func evidenceFields(h *holder, e medlargw.PeerEvidence) []zap.Field {
	return []zap.Field{
		zap.String("holder", string(h.peer.Host)), zap.Duration("silent", e.Silence), zap.Duration("heard", e.Heard),
		zap.Duration("lag", e.OwnLag), zap.Duration("peer_lag", e.PeerLag),
	}
}

// TakeVerdicts returns the counts of changed verdicts on holders and clears them.
func (c *Coordinator) TakeVerdicts() medlargw.VerdictCounts {
	counts := c.verdicts
	c.verdicts = medlargw.VerdictCounts{}
	return counts
}

// SetLag sets how late this entry acts, which is no silence of the holders.
func (c *Coordinator) SetLag(lag time.Duration) { c.lag = lag }

// HandleHeartbeat records a heartbeat of a holder, which names the lag of its
// sender and the other entries that the sender has heard.
func (c *Coordinator) HandleHeartbeat(now time.Time, from medlargw.Incarnation, lag time.Duration, others []medlargw.Sighting) {
	if c.settings.Lag == 0 {
		return
	}
	if h := c.holders[from]; h != nil {
		h.lastHeard = now
		h.lag = lag
	}
	for _, s := range others {
		if h := c.holders[s.Incarnation]; h != nil && now.Add(-s.Age).After(h.lastHeard) {
			h.lastHeard = now.Add(-s.Age)
		}
	}
}

// PeerLag returns the lag of a peer that excuses its silence, by its last heartbeat.
func (c *Coordinator) PeerLag(incarnation medlargw.Incarnation) time.Duration {
	if h := c.holders[incarnation]; h != nil {
		return min(h.lag, c.settings.Lag)
	}
	return 0
}

// sortedTasks returns the tasks of the holder in the order of their offers.
func (h *holder) sortedTasks() []*task {
	all := make([]*task, 0, len(h.tasks))
	for _, t := range h.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	return all
}
