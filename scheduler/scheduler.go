// Package scheduler orders the waiting tasks: strict precedence between
// classes, weighted fairness between the teams of one class, and whole jobs in
// turn within one team.
//
// The work is a tree of indexed heaps. Each class has one heap per size tier,
// a tier being the tasks that fit into the same targets. Its elements are the
// teams, ordered by virtual time, the number of tasks taken divided by the
// weight. Below, each team has a heap of its services, and each service a heap
// of jobs. What is blocked stays out of its heap, so that Peek never looks at
// work that cannot start, and every change costs the logarithm of what waits.
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
	order    medlargw.JobOrder
	ranks    map[medlargw.ClassName]int
	weights  map[medlargw.TeamName]int
	sizes    []int64 // Upper bounds of the tiers; a last tier holds what fits nowhere.
	blocked  map[medlargw.Lane]bool
	classes  []*class
	floors   []*class // Those with a floor.
	teams    map[medlargw.TeamName][]*member
	lanes    map[medlargw.Lane][]*lane
	entries  map[medlargw.JobID]*entry
	sequence uint64
}

var _ medlargw.Scheduler = (*Scheduler)(nil)

// New returns a scheduler without classes, for targets without a bound on the
// size of tasks.
func New(order medlargw.JobOrder) *Scheduler {
	return &Scheduler{
		order:   order,
		ranks:   map[medlargw.ClassName]int{},
		weights: map[medlargw.TeamName]int{},
		sizes:   []int64{math.MaxInt64},
		blocked: map[medlargw.Lane]bool{},
		teams:   map[medlargw.TeamName][]*member{},
		lanes:   map[medlargw.Lane][]*lane{},
		entries: map[medlargw.JobID]*entry{},
	}
}

// Configure sets the classes and weights. Jobs that wait keep the rank they
// were admitted with.
func (s *Scheduler) Configure(cfg *medlargw.Config) {
	clear(s.ranks)
	clear(s.weights)
	s.floors = s.floors[:0]
	for _, c := range s.classes {
		c.floor = 0
	}
	for i := range cfg.Classes {
		c := s.class(cfg.Classes[i].Rank)
		s.ranks[cfg.Classes[i].Name] = c.rank
		c.floor = cfg.Classes[i].Floor
		if c.floor > 0 {
			s.floors = append(s.floors, c)
		}
	}
	for i := range cfg.Teams {
		s.weights[cfg.Teams[i].Name] = max(1, cfg.Teams[i].Weight)
	}
	s.rebuild()
}

func (s *Scheduler) class(rank int) *class {
	for len(s.classes) <= rank {
		s.classes = append(s.classes, &class{
			rank:    len(s.classes),
			members: map[medlargw.TeamName]*member{},
			heaps:   make([]ranker.Ranker[*part], len(s.sizes)+1),
		})
	}
	return s.classes[rank]
}

// SetSizes tells the distinct task sizes that targets can hold. A change puts
// all waiting jobs into their new tiers, which costs time in their number; it
// comes with a new kind of target only.
func (s *Scheduler) SetSizes(sizes []int64) {
	if slices.Equal(s.sizes, sizes) {
		return
	}
	s.sizes = slices.Clone(sizes)
	s.rebuild()
}

// rebuild makes the heaps anew, and forgets the teams that have no work. Teams
// with work keep their virtual time.
func (s *Scheduler) rebuild() {
	entries := make([]*entry, 0, len(s.entries))
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	clear(s.lanes)
	for _, c := range s.classes {
		c.tasks, c.work, c.weight = 0, 0, 0
		c.heaps = make([]ranker.Ranker[*part], len(s.sizes)+1)
		for _, m := range c.members {
			m.tasks, m.work, m.parts = 0, 0, nil
			m.weight = max(1, s.weights[m.name])
		}
	}
	for _, e := range entries {
		e.index = 0
		s.attach(e)
		s.insert(e)
	}
	for _, c := range s.classes {
		c.prune(s)
	}
}

// prune forgets the members that have no job left.
func (c *class) prune(s *Scheduler) {
	for name, m := range c.members {
		if m.parts != nil {
			continue
		}
		delete(c.members, name)
		s.teams[name] = slices.DeleteFunc(s.teams[name], func(other *member) bool { return other == m })
		if len(s.teams[name]) == 0 {
			delete(s.teams, name)
		}
	}
}

// Add lets all tasks of the job wait.
func (s *Scheduler) Add(job *medlargw.Job, estimate time.Duration) {
	s.sequence++
	e := &entry{job: job, sequence: s.sequence, estimate: estimate}
	e.class = s.class(s.ranks[job.Class])
	s.entries[job.ID] = e
	s.attach(e)
	e.class.link(e)
	s.insert(e)
}

// Peek returns the task to start next: of a class whose floor is owed a start,
// or else of the highest class.
func (s *Scheduler) Peek(room int64) (medlargw.Candidate, bool) {
	for _, c := range s.floors {
		if c.credit < 1 {
			continue
		}
		if p := s.next(c, room); p != nil {
			return p.candidate(), true
		}
	}
	for _, c := range s.classes {
		if p := s.next(c, room); p != nil {
			return p.candidate(), true
		}
	}
	return medlargw.Candidate{}, false
}

// next returns the part of the class to serve next, or nil.
func (s *Scheduler) next(c *class, room int64) *part {
	if c.tasks == 0 {
		return nil
	}
	var best *part
	for tier, size := range s.sizes {
		if size > room {
			break
		}
		h := &c.heaps[tier]
		if h.Len() > 0 && (best == nil || h.First().preferred(best)) {
			best = h.First()
		}
	}
	return best
}

// preferred orders parts of different tiers, which may be of the same member.
func (p *part) preferred(other *part) bool {
	if p.member == other.member {
		return p.lanes.First().Before(other.lanes.First())
	}
	return p.Before(other)
}

func (p *part) candidate() medlargw.Candidate {
	e := p.lanes.First().jobs.First()
	return medlargw.Candidate{Job: e.job, Index: e.first(), Rank: e.class.rank}
}

// Take removes the task that Peek returned and charges its team.
func (s *Scheduler) Take(cand medlargw.Candidate) {
	e := s.entries[cand.Job.ID]
	c := e.class
	m := e.member
	c.unlink(e)
	e.take()
	m.count(-1, e.estimate)
	s.charge(c)
	c.clock = max(c.clock, m.virtual)
	m.virtual += 1 / float64(m.weight)
	s.moved(e)
	for _, p := range m.parts {
		if p != nil && p.index > 0 {
			c.heaps[p.tier].Set(p)
		}
	}
}

// charge gives each class with a floor and waiting work its share of the
// start, and takes the start from the class that got it.
func (s *Scheduler) charge(taken *class) {
	for _, c := range s.floors {
		if c.tasks > 0 {
			c.credit = min(c.credit+c.floor, maxCredit)
		}
		if c == taken {
			c.credit = max(0, c.credit-1)
		}
	}
}

// maxCredit is the number of starts that a floor may owe, so that a class
// whose work was blocked can't take all slots later.
const maxCredit = 2

// Requeue puts back a task that was proven not started.
func (s *Scheduler) Requeue(job *medlargw.Job, index int) {
	e := s.entries[job.ID]
	if e == nil {
		return
	}
	e.back = append(e.back, index)
	e.member.count(1, e.estimate)
	s.moved(e)
}

// Remove drops the waiting tasks of the job and forgets it.
func (s *Scheduler) Remove(job *medlargw.Job) {
	e := s.entries[job.ID]
	if e == nil {
		return
	}
	delete(s.entries, job.ID)
	e.class.unlink(e)
	e.member.count(-e.waiting(), e.estimate)
	s.detach(e)
}
