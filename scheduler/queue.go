package scheduler

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// agingShare is the share of a job's waiting time that is subtracted from its
// remaining work in the order of jobs. It prevents starvation: a job that waits
// long goes before later jobs with less work.
const agingShare = 0.25

// sortKey returns the key that orders the jobs of one service queue. All jobs
// age at the same rate, so the arrival time stands for the age, and a key only
// changes when its job does.
func (s *Scheduler) sortKey(j *queuedJob) float64 {
	arrived := agingShare * time.Duration(j.job.Arrived.UnixNano()).Seconds()
	switch s.policy {
	case medlargw.PolicyFIFO:
		return 0
	case medlargw.PolicyFewestTasks:
		return float64(j.waiting())
	case medlargw.PolicyLeastWork:
		return (time.Duration(j.waiting()) * j.estimate).Seconds() + arrived
	}
	panic("queue policy out of range")
}

// attach sets the team and service queues of the job, and creates missing ones.
func (s *Scheduler) attach(j *queuedJob) {
	t := s.teamQueue(j.class, j.job.Team)
	tier, _ := slices.BinarySearch(s.tierSizes, j.job.TaskMemory)
	if t.tiers == nil {
		t.tiers = make([]*tierQueue, len(s.tierSizes)+1)
	}
	q := t.tiers[tier]
	if q == nil {
		q = &tierQueue{teamQueue: t, tier: tier}
		t.tiers[tier] = q
	}
	j.teamQueue = t
	j.serviceQueue = s.serviceQueue(q, j.job.Service)
}

// teamQueue returns the team queue, and creates it when it is missing.
func (s *Scheduler) teamQueue(c *class, team medlargw.TeamName) *teamQueue {
	t := c.teams[team]
	if t == nil {
		t = &teamQueue{class: c, name: team, weight: max(1, s.weights[team]), virtualTime: c.virtualClock}
		c.teams[team] = t
		s.teamQueues[team] = append(s.teamQueues[team], t)
	}
	return t
}

// serviceQueue returns the service queue, and creates it when it is missing.
func (s *Scheduler) serviceQueue(q *tierQueue, service medlargw.ServiceName) *serviceQueue {
	scope := medlargw.LimitScope{Team: q.teamQueue.name, Service: service}
	for _, sq := range s.serviceQueues[scope] {
		if sq.tierQueue == q {
			return sq
		}
	}
	sq := &serviceQueue{tierQueue: q}
	s.serviceQueues[scope] = append(s.serviceQueues[scope], sq)
	return sq
}

// insert queues the waiting tasks of an attached job.
func (s *Scheduler) insert(j *queuedJob) {
	t := j.teamQueue
	if t.tasks == 0 {
		// A team gains no credit for the time in which it had no waiting tasks.
		t.virtualTime = max(t.virtualTime, t.class.virtualClock)
	}
	t.addWork(j.waiting(), j.estimate)
	s.reposition(j)
}

// reposition restores the order of the queues after a change of the job's
// waiting tasks.
func (s *Scheduler) reposition(j *queuedJob) {
	if j.waiting() == 0 {
		s.detach(j)
		return
	}
	j.sortKey = s.sortKey(j)
	j.serviceQueue.jobs.AddOrFix(j)
	s.updateService(j.serviceQueue, j.job.Service)
}

// detach removes the job from its service queue.
func (s *Scheduler) detach(j *queuedJob) {
	sq := j.serviceQueue
	if !sq.jobs.Contains(j) {
		return
	}
	if sq.jobs.Len() == 1 {
		sq.tierQueue.services.Remove(sq) // Before the queue is empty and can't be compared.
	}
	sq.jobs.Remove(j)
	s.updateService(sq, j.job.Service)
}

// updateService adds the service queue to the heap of its tier queue, or
// removes it: the heap has only the queues that have jobs and are not blocked.
// The same goes for the tier queue in the heap of its class.
func (s *Scheduler) updateService(sq *serviceQueue, service medlargw.ServiceName) {
	q := sq.tierQueue
	team := q.teamQueue.name
	if sq.jobs.Len() > 0 && !s.blocked[medlargw.LimitScope{Team: team, Service: service}] {
		q.services.AddOrFix(sq)
	} else {
		q.services.Remove(sq)
	}
	s.updateTier(q)
}

func (s *Scheduler) updateTier(q *tierQueue) {
	h := &q.teamQueue.class.tierHeaps[q.tier]
	if q.services.Len() > 0 && !s.blocked[medlargw.LimitScope{Team: q.teamQueue.name}] {
		h.AddOrFix(q)
	} else {
		h.Remove(q)
	}
}

// Block keeps the scope's tasks from being started until Unblock.
func (s *Scheduler) Block(scope medlargw.LimitScope) {
	s.blocked[scope] = true
	s.updateScope(scope)
}

// Unblock allows the scope's tasks to be started again.
func (s *Scheduler) Unblock(scope medlargw.LimitScope) {
	if !s.blocked[scope] {
		return
	}
	delete(s.blocked, scope)
	s.updateScope(scope)
}

func (s *Scheduler) updateScope(scope medlargw.LimitScope) {
	if scope.Service != "" {
		for _, sq := range s.serviceQueues[scope] {
			s.updateService(sq, scope.Service)
		}
		return
	}
	for _, t := range s.teamQueues[scope.Team] {
		for _, q := range t.tiers {
			if q != nil {
				s.updateTier(q)
			}
		}
	}
}
