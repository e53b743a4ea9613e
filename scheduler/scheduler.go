// Package scheduler orders the waiting tasks: strict priority between classes,
// weighted fair queueing between the teams of one class, and one job after the
// other within one team.
//
// The queues are a tree of indexed heaps. Each class has one heap per size
// tier; the tasks of a tier fit on the same targets. The elements of this heap
// are the class's teams, ordered by virtual time: the number of tasks taken
// divided by the team's weight. Each team has a heap of its services in the
// tier, and each service a heap of jobs. Blocked queues are kept out of their
// heap, so that Peek never visits tasks that can't start, and each change takes
// logarithmic time.
package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/ranker"
)

// Scheduler implements medlargw.Scheduler.
type Scheduler struct {
	policy        medlargw.QueuePolicy
	ranks         map[medlargw.ClassName]int
	weights       map[medlargw.TeamName]int
	tierSizes     []int64 // Upper bounds of the tiers; one more tier has the tasks that fit nowhere.
	blocked       map[medlargw.LimitScope]bool
	classes       []*class // Those of the configuration and those with jobs, by rank.
	withMinShare  []*class // The classes with a minimum share.
	teamQueues    map[medlargw.TeamName][]*teamQueue
	serviceQueues map[medlargw.LimitScope][]*serviceQueue
	jobs          map[medlargw.JobID]*queuedJob
	arrivals      uint64
}

var _ medlargw.Scheduler = (*Scheduler)(nil)

// New returns a scheduler without classes. Until SetTaskSizes is called, it has
// one tier, for targets without a bound on the size of tasks.
func New(policy medlargw.QueuePolicy) *Scheduler {
	return &Scheduler{
		policy:        policy,
		ranks:         map[medlargw.ClassName]int{},
		weights:       map[medlargw.TeamName]int{},
		tierSizes:     []int64{math.MaxInt64},
		blocked:       map[medlargw.LimitScope]bool{},
		teamQueues:    map[medlargw.TeamName][]*teamQueue{},
		serviceQueues: map[medlargw.LimitScope][]*serviceQueue{},
		jobs:          map[medlargw.JobID]*queuedJob{},
	}
}

// Configure sets the classes and weights. Waiting jobs keep the rank with which
// they were added.
func (s *Scheduler) Configure(cfg *medlargw.Config) {
	clear(s.ranks)
	clear(s.weights)
	s.withMinShare = s.withMinShare[:0]
	for _, c := range s.classes {
		c.minShare = 0
	}
	for i := range cfg.Classes {
		c := s.class(cfg.Classes[i].Rank)
		s.ranks[cfg.Classes[i].Name] = c.rank
		c.minShare = cfg.Classes[i].MinShare
		if c.minShare > 0 {
			s.withMinShare = append(s.withMinShare, c)
		}
	}
	for i := range cfg.Teams {
		s.weights[cfg.Teams[i].Name] = max(1, cfg.Teams[i].Weight)
	}
	s.rebuild()
}

// class returns the class of the rank, and creates it if it is missing.
func (s *Scheduler) class(rank int) *class {
	i, ok := slices.BinarySearchFunc(s.classes, rank, func(c *class, rank int) int { return cmp.Compare(c.rank, rank) })
	if !ok {
		s.classes = slices.Insert(s.classes, i, &class{
			rank:      rank,
			teams:     map[medlargw.TeamName]*teamQueue{},
			tierHeaps: make([]ranker.Ranker[*tierQueue], len(s.tierSizes)+1),
		})
	}
	return s.classes[i]
}

// SetTaskSizes sets the distinct task sizes that targets can hold, in rising
// order. A change moves all waiting jobs to their new tiers, in linear time; it
// is rare because only a new kind of target causes it.
func (s *Scheduler) SetTaskSizes(sizes []int64) {
	if slices.Equal(s.tierSizes, sizes) {
		return
	}
	s.tierSizes = slices.Clone(sizes)
	s.rebuild()
}

// rebuild builds the heaps again, and removes the teams without jobs, and the classes
// without jobs that the configuration doesn't have. Teams with jobs keep their virtual time.
func (s *Scheduler) rebuild() {
	jobs := make([]*queuedJob, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *queuedJob) int { return cmp.Compare(a.arrival, b.arrival) })
	clear(s.serviceQueues)
	for _, c := range s.classes {
		c.tasks, c.work, c.weight = 0, 0, 0
		c.tierHeaps = make([]ranker.Ranker[*tierQueue], len(s.tierSizes)+1)
		for _, t := range c.teams {
			t.tasks, t.work, t.tiers = 0, 0, nil
			t.weight = max(1, s.weights[t.name])
		}
	}
	for _, j := range jobs {
		j.heapIndex = 0
		s.attach(j)
		s.insert(j)
	}
	declared := map[int]bool{}
	for _, rank := range s.ranks {
		declared[rank] = true
	}
	for _, c := range s.classes {
		c.pruneTeams(s)
	}
	s.classes = slices.DeleteFunc(s.classes, func(c *class) bool { return len(c.teams) == 0 && !declared[c.rank] })
}

// pruneTeams removes the teams that have no job left in the class.
func (c *class) pruneTeams(s *Scheduler) {
	for name, t := range c.teams {
		if t.tiers != nil {
			continue
		}
		delete(c.teams, name)
		s.teamQueues[name] = slices.DeleteFunc(s.teamQueues[name], func(other *teamQueue) bool { return other == t })
		if len(s.teamQueues[name]) == 0 {
			delete(s.teamQueues, name)
		}
	}
}

// Add queues all tasks of the job.
func (s *Scheduler) Add(job *medlargw.Job, estimate time.Duration) {
	s.arrivals++
	j := &queuedJob{job: job, arrival: s.arrivals, estimate: estimate}
	j.class = s.class(s.ranks[job.Class])
	s.jobs[job.ID] = j
	s.attach(j)
	j.class.link(j)
	s.insert(j)
}

// Peek returns the task to start next among those that need at most maxSize
// bytes of memory: of a class that is owed a start by its minimum share, or
// else of the highest class.
func (s *Scheduler) Peek(maxSize int64) (medlargw.Candidate, bool) {
	for _, c := range s.withMinShare {
		if c.credit < 1 {
			continue
		}
		if q := s.nextInClass(c, maxSize); q != nil {
			return q.candidate(), true
		}
	}
	for _, c := range s.classes {
		if q := s.nextInClass(c, maxSize); q != nil {
			return q.candidate(), true
		}
	}
	return medlargw.Candidate{}, false
}

// nextInClass returns the queue of the class to serve next, or nil. The tasks
// of its tier need at most maxSize bytes of memory.
func (s *Scheduler) nextInClass(c *class, maxSize int64) *tierQueue {
	if c.tasks == 0 {
		return nil
	}
	var best *tierQueue
	for tier, size := range s.tierSizes {
		if size > maxSize {
			break
		}
		h := &c.tierHeaps[tier]
		if h.Len() > 0 && (best == nil || h.First().preferred(best)) {
			best = h.First()
		}
	}
	return best
}

// preferred reports whether the queue goes before one of another tier, which
// may be of the same team.
func (q *tierQueue) preferred(other *tierQueue) bool {
	if q.teamQueue == other.teamQueue {
		return q.services.First().Before(other.services.First())
	}
	return q.Before(other)
}

func (q *tierQueue) candidate() medlargw.Candidate {
	j := q.services.First().jobs.First()
	return medlargw.Candidate{Job: j.job, TaskIndex: j.firstTask(), Rank: j.class.rank}
}

// Take removes the task that Peek returned and charges its team for it.
func (s *Scheduler) Take(cand medlargw.Candidate) {
	j := s.jobs[cand.Job.ID]
	c := j.class
	t := j.teamQueue
	c.unlink(j)
	j.takeTask()
	t.addWork(-1, j.estimate)
	s.chargeMinShares(c)
	c.virtualClock = max(c.virtualClock, t.virtualTime)
	t.virtualTime += 1 / float64(t.weight)
	s.reposition(j)
	for _, q := range t.tiers {
		if q != nil && q.heapIndex > 0 {
			c.tierHeaps[q.tier].AddOrFix(q)
		}
	}
}

// chargeMinShares adds the share of one start to the credit of each class that
// has a minimum share and waiting tasks, and subtracts the start from the
// credit of the class that took it.
func (s *Scheduler) chargeMinShares(taken *class) {
	for _, c := range s.withMinShare {
		if c.tasks > 0 {
			c.credit = min(c.credit+c.minShare, maxCredit)
		}
		if c == taken {
			c.credit = max(0, c.credit-1)
		}
	}
}

// maxCredit is the number of starts that a class may be owed. It keeps a class
// whose tasks were blocked from taking all slots when they are unblocked.
const maxCredit = 2

// Requeue puts back a task that is proven not started.
func (s *Scheduler) Requeue(job *medlargw.Job, index int) {
	j := s.jobs[job.ID]
	if j == nil {
		return
	}
	j.requeued = append(j.requeued, index)
	j.teamQueue.addWork(1, j.estimate)
	s.reposition(j)
}

// Remove removes the job and its waiting tasks.
func (s *Scheduler) Remove(job *medlargw.Job) {
	j := s.jobs[job.ID]
	if j == nil {
		return
	}
	delete(s.jobs, job.ID)
	j.class.unlink(j)
	j.teamQueue.addWork(-j.waiting(), j.estimate)
	s.detach(j)
}
