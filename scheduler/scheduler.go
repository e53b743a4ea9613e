// Package scheduler orders the waiting tasks: strict precedence between
// classes, weighted fairness between the teams of one class, and whole jobs in
// turn within one team.
//
// Each class holds its teams in a heap ordered by virtual time, the number of
// tasks taken divided by the weight. A team holds its waiting jobs in order of
// arrival; a job is a list of task positions that still wait. A blocked team
// stays out of the heap, so that Peek never looks at work that cannot start.
package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"medlargw.example/medlargw"
)

// Scheduler implements medlargw.Scheduler.
type Scheduler struct {
	ranks   map[medlargw.ClassName]int
	weights map[medlargw.TeamName]int
	blocked map[medlargw.TeamName]bool
	classes []*classQueue
	jobs    map[medlargw.JobID]*jobQueue
}

var _ medlargw.Scheduler = (*Scheduler)(nil)

// classQueue holds the waiting work of one class.
type classQueue struct {
	tasks   int
	clock   float64 // Virtual time of the team served last.
	teams   map[medlargw.TeamName]*teamQueue
	runable teamHeap
}

// teamQueue holds the waiting jobs of one team in one class.
type teamQueue struct {
	name    medlargw.TeamName
	virtual float64
	jobs    []*jobQueue
	index   int // Position in the heap; -1 is outside.
}

// jobQueue holds the waiting tasks of one job.
type jobQueue struct {
	job   *medlargw.Job
	rank  int
	tasks []int
}

// New returns a scheduler without classes.
func New() *Scheduler {
	return &Scheduler{
		ranks:   map[medlargw.ClassName]int{},
		weights: map[medlargw.TeamName]int{},
		blocked: map[medlargw.TeamName]bool{},
		jobs:    map[medlargw.JobID]*jobQueue{},
	}
}

// Configure sets the classes and weights for jobs added from now on. Jobs that
// wait keep the rank they were admitted with.
func (s *Scheduler) Configure(cfg *medlargw.Config) {
	clear(s.ranks)
	clear(s.weights)
	for _, c := range cfg.Classes {
		s.ranks[c.Name] = c.Rank
		s.class(c.Rank)
	}
	for _, t := range cfg.Teams {
		s.weights[t.Name] = t.Weight
	}
}

func (s *Scheduler) class(rank int) *classQueue {
	for len(s.classes) <= rank {
		s.classes = append(s.classes, &classQueue{teams: map[medlargw.TeamName]*teamQueue{}})
	}
	return s.classes[rank]
}

// Add lets all tasks of the job wait.
func (s *Scheduler) Add(job *medlargw.Job) {
	tasks := make([]int, len(job.Tasks))
	for i := range tasks {
		tasks[i] = len(tasks) - 1 - i // Taken from the end, so in order.
	}
	s.insert(&jobQueue{job: job, rank: s.ranks[job.Class], tasks: tasks})
}

func (s *Scheduler) insert(q *jobQueue) {
	s.jobs[q.job.ID] = q
	c := s.class(q.rank)
	c.tasks += len(q.tasks)
	t := c.teams[q.job.Team]
	if t == nil {
		t = &teamQueue{name: q.job.Team, virtual: c.clock, index: -1}
		c.teams[q.job.Team] = t
	}
	if len(t.jobs) == 0 {
		// An idle team gains no credit for the time it did not wait.
		t.virtual = max(t.virtual, c.clock)
	}
	t.jobs = append(t.jobs, q)
	s.enqueue(c, t)
}

// enqueue puts a team with work into the heap, unless it is blocked.
func (s *Scheduler) enqueue(c *classQueue, t *teamQueue) {
	if t.index < 0 && len(t.jobs) > 0 && !s.blocked[t.name] {
		heap.Push(&c.runable, t)
	}
}

func (c *classQueue) dequeue(t *teamQueue) {
	if t.index >= 0 {
		heap.Remove(&c.runable, t.index)
	}
}

// Peek returns the task to start next.
func (s *Scheduler) Peek() (medlargw.Candidate, bool) {
	for rank, c := range s.classes {
		if len(c.runable) == 0 {
			continue
		}
		q := c.runable[0].jobs[0]
		return medlargw.Candidate{Job: q.job, Index: q.tasks[len(q.tasks)-1], Rank: rank}, true
	}
	return medlargw.Candidate{}, false
}

// Take removes the task that Peek returned and charges its team.
func (s *Scheduler) Take(cand medlargw.Candidate) {
	c := s.classes[cand.Rank]
	t := c.teams[cand.Job.Team]
	q := t.jobs[0]
	q.tasks = q.tasks[:len(q.tasks)-1]
	c.tasks--
	c.clock = t.virtual
	t.virtual += 1 / float64(max(1, s.weights[t.name]))
	if len(q.tasks) == 0 {
		t.jobs = t.jobs[1:]
		delete(s.jobs, q.job.ID)
	}
	if len(t.jobs) == 0 {
		c.dequeue(t)
		return
	}
	heap.Fix(&c.runable, t.index)
}

// Requeue puts back a task that was proven not started.
func (s *Scheduler) Requeue(job *medlargw.Job, index int) {
	if q := s.jobs[job.ID]; q != nil {
		q.tasks = append(q.tasks, index)
		s.classes[q.rank].tasks++
		return
	}
	s.insert(&jobQueue{job: job, rank: s.ranks[job.Class], tasks: []int{index}})
}

// Remove drops the waiting tasks of the job.
func (s *Scheduler) Remove(job *medlargw.Job) {
	q := s.jobs[job.ID]
	if q == nil {
		return
	}
	delete(s.jobs, job.ID)
	c := s.classes[q.rank]
	c.tasks -= len(q.tasks)
	t := c.teams[job.Team]
	for i := range t.jobs {
		if t.jobs[i] == q {
			t.jobs = append(t.jobs[:i:i], t.jobs[i+1:]...)
			break
		}
	}
	if len(t.jobs) == 0 {
		c.dequeue(t)
	}
}

// Block passes over the team's work until Unblock.
func (s *Scheduler) Block(team medlargw.TeamName) {
	s.blocked[team] = true
	for _, c := range s.classes {
		if t := c.teams[team]; t != nil {
			c.dequeue(t)
		}
	}
}

// Unblock lets the team's work start again.
func (s *Scheduler) Unblock(team medlargw.TeamName) {
	if !s.blocked[team] {
		return
	}
	delete(s.blocked, team)
	for _, c := range s.classes {
		if t := c.teams[team]; t != nil {
			s.enqueue(c, t)
		}
	}
}

// Waiting returns the waiting tasks by class.
func (s *Scheduler) Waiting() []medlargw.ClassDemand {
	all := make([]medlargw.ClassDemand, 0, len(s.classes))
	for rank, c := range s.classes {
		all = append(all, medlargw.ClassDemand{Rank: rank, Tasks: c.tasks})
	}
	return all
}

// Queues returns the waiting tasks by class and team.
func (s *Scheduler) Queues() []medlargw.QueueStatus {
	var all []medlargw.QueueStatus
	for rank, c := range s.classes {
		for name, t := range c.teams {
			tasks := 0
			for _, q := range t.jobs {
				tasks += len(q.tasks)
			}
			if tasks > 0 {
				all = append(all, medlargw.QueueStatus{Rank: rank, Team: name, Tasks: tasks})
			}
		}
	}
	slices.SortFunc(all, func(a, b medlargw.QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Team, b.Team))
	})
	return all
}
