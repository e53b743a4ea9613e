package coordinator

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// admissionRequest returns the request of a job that has no started task. It is
// valid until the next call.
func (c *Coordinator) admissionRequest(now time.Time, j *job) *medlargw.AdmissionRequest {
	m := j.job
	holders, waiting := c.request.Holders[:0], c.request.Waiting[:0]
	for _, h := range c.byDistance {
		if p := h.poolOf(m); p != nil && h.acceptsOffers() {
			holders = append(holders, p)
		}
	}
	for _, other := range c.jobs {
		if other != j && other.job.Pool == m.Pool && other.waits() {
			waiting = append(waiting, medlargw.WaitingJob{
				Rank: other.job.Rank, Since: other.waitsSince, TimeToObjective: other.due.Sub(other.job.Arrived),
			})
		}
	}
	c.request = medlargw.AdmissionRequest{
		Pool: m.Pool, Rank: m.Rank, Tasks: len(j.tasks), Owed: j.owed, Resources: m.Resources, Estimate: j.estimate,
		Arrived: m.Arrived, LatestStart: j.latestStart(), Deadline: m.Deadline,
		Learning: c.isLearning(now, m.Pool), Starting: now.Sub(c.firstGroupAt) < startTime,
		Evacuated: c.evacuated[m.Pool], TooLarge: c.isTooLarge(m), Unreported: c.unreported, LinkWait: c.linkWait(now, j), Holders: holders, Waiting: waiting,
	}
	return &c.request
}

// isTooLarge reports whether no target of the host list has the resources for a task of the
// job, as they were stated last.
func (c *Coordinator) isTooLarge(m *medlargw.Job) bool {
	sizes := c.sizes[m.Pool]
	return len(sizes) > 0 && !slices.ContainsFunc(sizes, func(r medlargw.Resources) bool { return r.Covers(m.Resources) })
}

// targetSizes returns the resources of the largest targets of each pool: those that no other
// target covers. Pools with targets that state no resources are left out, as such a target
// may have any.
func targetSizes(targets []medlargw.Target) map[medlargw.PoolName][]medlargw.Resources {
	sizes := map[medlargw.PoolName][]medlargw.Resources{}
	unknown := map[medlargw.PoolName]bool{}
	for i := range targets {
		t := &targets[i]
		switch {
		case t.Resources == medlargw.Resources{}:
			unknown[t.Pool] = true
		case !slices.ContainsFunc(sizes[t.Pool], func(r medlargw.Resources) bool { return r.Covers(t.Resources) }):
			larger := slices.DeleteFunc(sizes[t.Pool], func(r medlargw.Resources) bool { return t.Resources.Covers(r) })
			sizes[t.Pool] = append(larger, t.Resources)
		}
	}
	for pool := range unknown {
		delete(sizes, pool)
	}
	return sizes
}

const (
	// learningTime is the longest time after the first group in which this entry has
	// yet to learn of the holders' resources.
	learningTime = 500 * time.Millisecond
	// startTime is the time after the first group in which callers of before the start
	// of this entry come in addition to the others.
	startTime = 2 * time.Second
	// knownShare is the share of the listed resources of a pool that holders report
	// from which what they report tells how long jobs have to wait.
	knownShare = 0.5
)

// isLearning reports whether this entry has just started and knows few of the
// resources of a pool.
func (c *Coordinator) isLearning(now time.Time, pool medlargw.PoolName) bool {
	if c.firstGroupAt.IsZero() {
		return true
	}
	if c.learned[pool] || now.Sub(c.firstGroupAt) >= learningTime {
		return false
	}
	var reported, listed int64
	for _, h := range c.byDistance {
		if p := h.pool(pool); p != nil && h.acceptsOffers() {
			reported += p.TotalCores
		}
	}
	for i := range c.targets {
		if t := &c.targets[i]; t.Pool == pool && !t.Draining {
			listed += t.Resources.Cores
		}
	}
	c.learned[pool] = reported > 0 && float64(reported) >= knownShare*float64(listed)
	return !c.learned[pool]
}

// SetMinShares replaces the minimum shares of the starts, by rank.
func (c *Coordinator) SetMinShares(shares map[int]float64) { c.admitter.SetMinShares(shares) }

// SetUnreported tells whether targets of this entry have not reported their resources
// recently. Jobs are then refused at once where no holder has a target to offer.
func (c *Coordinator) SetUnreported(unreported bool) { c.unreported = unreported }

// waits reports whether a job has not started because no holder had resources
// for it. Offers that are not answered yet are no evidence of that.
func (j *job) waits() bool { return !j.started && !j.waitsSince.IsZero() }

// setWaits records that no holder had resources for a task of the job.
func (j *job) setWaits(now time.Time) {
	if j.waitsSince.IsZero() {
		j.waitsSince = now
	}
}

// withdrawIfLate withdraws a job that has not started and is not expected to start
// in time, and reports whether it has done so.
func (c *Coordinator) withdrawIfLate(now time.Time, j *job) bool {
	adm := c.admitter.Review(now, c.admissionRequest(now, j))
	if adm.Refusal == medlargw.RefusalNone {
		return false
	}
	c.withdraw(now, j, &adm)
	return true
}

// maxDemandAge is the age from which the demand that a peer has reported is not
// counted.
const maxDemandAge = time.Second

// invitationRequest returns the request of a job that is refused.
func (c *Coordinator) invitationRequest(now time.Time, j *job, adm *medlargw.Admission) *medlargw.InvitationRequest {
	m := j.job
	r := &medlargw.InvitationRequest{
		Pool: m.Pool, Rank: m.Rank, Work: j.work(), Wait: adm.Wait, Learning: c.isLearning(now, m.Pool),
	}
	for _, h := range c.byDistance {
		p := h.pool(m.Pool)
		if p == nil {
			continue
		}
		if h.acceptsOffers() {
			r.Holders = append(r.Holders, h.poolOf(m))
		}
		if c.distance(h) > 0 && now.Sub(h.resourcesAt) < maxDemandAge {
			r.Peers = append(r.Peers, p)
		}
	}
	return r
}

// work returns the work of all tasks, in thousandths of a core times milliseconds.
func (j *job) work() int64 { return j.job.Resources.Work(len(j.tasks), j.estimate) }

// AddDemand adds the demand at this home to the report of this entry.
func (c *Coordinator) AddDemand(now time.Time, r *medlargw.HolderResources) {
	c.inviter.AddDemand(now, r)
}
