package coordinator

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

const (
	// maxRefusals is the number of refused offers after which a task queues at a
	// holder instead of being offered to others.
	maxRefusals = 3
	// crossZonePenalty is the reduction of the wait that justifies the use of a
	// holder in another zone.
	crossZonePenalty = 10 * time.Millisecond
)

// place offers a task to the most suitable holder.
func (c *Coordinator) place(now time.Time, t *task) {
	if t.mustWait() {
		return
	}
	if t.refusals < maxRefusals && !t.isSuspect() {
		if h := c.reserveResources(now, t); h != nil {
			c.offerTo(t, h, false)
			return
		}
	}
	if h := c.soonestStart(now, t); h != nil {
		c.offerTo(t, h, true)
		return
	}
	if !c.isLearning(now, t.job.job.Pool) {
		t.job.setWaits(now)
	}
}

func (c *Coordinator) offerTo(t *task, h *holder, queue bool) {
	c.nextID++
	t.id = c.nextID
	h.attach(t)
	c.setState(t, taskOffered)
	t.requestOffer()
	t.queue = queue
	c.tasks[t.id] = t
	if queue {
		m := t.job.job
		h.pool(m.Pool).AddWaiting(m.Rank, m.Resources, t.job.estimate)
	}
}

// reserveResources returns the best holder that is believed to have free
// resources for one task of the job, and deducts the task's resources from the
// coordinator's view. The nearest holders take precedence, this entry first,
// which needs no message. Among equally near ones, it is the holder that another
// task of the job was last offered to, so that the tasks share one message and
// its payload, or else the one of the target with the least free cores. Holders
// that have refused the task at this time are left out.
func (c *Coordinator) reserveResources(now time.Time, t *task) *holder {
	j := t.job
	var best *holder
	var free *medlargw.Resources
	for _, h := range c.byDistance {
		if best != nil && c.distance(h) > c.distance(best) || c.mustWait(now, h) {
			break
		}
		r := h.bestFit(j.job)
		if r == nil || t.refusedNow(now, h) {
			continue
		}
		if h == j.lastHolder {
			best, free = h, r
			break
		}
		if free == nil || r.Cores < free.Cores {
			best, free = h, r
		}
	}
	if best != nil {
		*free = free.Sub(j.job.Resources)
		j.lastHolder = best
	}
	return best
}

// mustWait reports whether no task can be sent to the holder now, because it is
// another entry and the network link is busy.
func (c *Coordinator) mustWait(now time.Time, h *holder) bool {
	return c.distance(h) > 0 && c.pacer.Busy(now)
}

// bestFit returns the free resources of the target that fits a task of the job
// with the least free cores, or nil if there is none.
func (h *holder) bestFit(m *medlargw.Job) *medlargw.Resources {
	p := h.pool(m.Pool)
	if p == nil || !h.acceptsOffers() {
		return nil
	}
	free := p.Free
	if h.confines(m) {
		free = p.Isolated
	}
	var best *medlargw.Resources
	for i := range free {
		if free[i].Covers(m.Resources) && (best == nil || free[i].Cores < best.Cores) {
			best = &free[i]
		}
	}
	return best
}

// confines reports whether the holder starts the tasks of a job on isolated targets
// only.
func (h *holder) confines(m *medlargw.Job) bool {
	return slices.Contains(h.resources.Confined, m.Service)
}

// poolOf returns the reported resources that the tasks of a job may use, or nil if
// there are none.
func (h *holder) poolOf(m *medlargw.Job) *medlargw.PoolResources {
	p := h.pool(m.Pool)
	if p != nil && h.confines(m) {
		return p.ForConfined()
	}
	return p
}

// poolFor returns the reported resources that a task may use, or nil if there are none.
func (h *holder) poolFor(t *task) *medlargw.PoolResources {
	if p := h.pool(t.job.job.Pool); p != nil && t.isSuspect() && p.IsolatedCores > 0 {
		return p.ForConfined()
	}
	return h.poolOf(t.job.job)
}

// soonestStart returns the holder at which a queued task is expected to start
// first. The wait there is the time until the next run ends and the time to
// complete the work ahead of the task.
func (c *Coordinator) soonestStart(now time.Time, t *task) *holder {
	m := t.job.job
	var best *holder
	var shortest time.Duration
	for _, h := range c.byDistance {
		p := h.poolFor(t)
		if p == nil || p.TotalCores == 0 || !h.acceptsOffers() || c.mustWait(now, h) || !t.mayQueueAt(now, h) {
			continue
		}
		wait := max(0, p.NextEnd-now.Sub(h.resourcesAt)) + medlargw.Milliseconds(float64(p.WorkAhead(m.Rank)/p.TotalCores))
		if h.peer.Zone != c.self.Zone {
			wait += crossZonePenalty
		}
		if best == nil || wait < shortest {
			best, shortest = h, wait
		}
	}
	return best
}

// HasTargets reports whether any available holder has a target that accepts
// runs.
func (c *Coordinator) HasTargets() bool {
	for _, h := range c.byDistance {
		for i := range h.resources.Pools {
			if h.acceptsOffers() && h.resources.Pools[i].TotalCores > 0 {
				return true
			}
		}
	}
	return false
}

// linkWait returns how long the network link is busy with what has been sent and
// with the payloads of the waiting jobs that go before the given one.
func (c *Coordinator) linkWait(now time.Time, j *job) time.Duration {
	if !c.pacer.Busy(now) {
		return 0
	}
	bytes := 0
	for _, other := range c.jobs {
		if other == j || other.held || other.job.Rank > j.job.Rank {
			continue
		}
		for _, t := range other.tasks {
			if t.state == taskIdle || t.state == taskQueued {
				bytes += medlargw.OrderBytes + len(other.job.Tasks[t.index].Payload)
			}
		}
	}
	return c.pacer.Delay(now) + c.pacer.Duration(bytes)
}

// rebalance recalls queued tasks for which another holder has free resources.
func (c *Coordinator) rebalance(now time.Time) {
	if c.taskCounts[taskQueued] == 0 || c.pacer.Busy(now) {
		return
	}
	var queued []*task
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.state == taskQueued && !t.recalled && !j.refusing {
				queued = append(queued, t)
			}
		}
	}
	slices.SortStableFunc(queued, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.job.Rank, b.job.job.Rank), a.job.latestStart().Compare(b.job.latestStart()))
	})
	reserved := map[*medlargw.Resources]medlargw.Resources{}
	for _, t := range queued {
		if t.isSuspect() {
			continue // It waits for a target to become idle.
		}
		for _, h := range c.byDistance {
			if h == t.holder || t.refusedNow(now, h) {
				continue
			}
			if r := h.bestFit(t.job.job); r != nil {
				reserved[r] = *r
				*r = r.Sub(t.job.job.Resources) // Reserved until the task is returned.
				t.recall()
				t.refusals = 0
				t.rebalanced = true
				break
			}
		}
	}
	for r, before := range reserved {
		*r = before
	}
}
