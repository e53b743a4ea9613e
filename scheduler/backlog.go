package scheduler

import (
	"cmp"
	"slices"

	"medlargw.example/medlargw"
)

// Backlog returns what waits before a new job of that class and team.
func (s *Scheduler) Backlog(name medlargw.ClassName, team medlargw.TeamName) medlargw.Backlog {
	c := s.class(s.ranks[name])
	b := medlargw.Backlog{Rank: c.rank, Class: c.work}
	for _, higher := range s.classes[:c.rank] {
		b.Higher += higher.work
	}
	for _, lower := range s.classes[c.rank+1:] {
		b.Lower += lower.tasks
	}
	weight := max(1, s.weights[team])
	others := c.weight
	if m := c.members[team]; m != nil && m.tasks > 0 {
		b.Team = m.work
		b.Tasks = m.tasks
		others -= m.weight
	}
	b.Share = float64(weight) / float64(weight+others)
	return b
}

// Lowest returns the newest job without a start in the lowest class below the
// given one.
func (s *Scheduler) Lowest(below medlargw.ClassName) (*medlargw.Job, bool) {
	rank := s.ranks[below]
	for i := len(s.classes) - 1; i > rank; i-- {
		if e := s.classes[i].newest; e != nil {
			return e.job, true
		}
	}
	return nil, false
}

// Waiting returns the waiting tasks by class.
func (s *Scheduler) Waiting() []medlargw.ClassDemand {
	all := make([]medlargw.ClassDemand, 0, len(s.classes))
	for _, c := range s.classes {
		all = append(all, medlargw.ClassDemand{Rank: c.rank, Tasks: c.tasks})
	}
	return all
}

// Queues returns the waiting tasks by class and team.
func (s *Scheduler) Queues() []medlargw.QueueStatus {
	var all []medlargw.QueueStatus
	for _, c := range s.classes {
		for name, m := range c.members {
			if m.tasks > 0 {
				all = append(all, medlargw.QueueStatus{Rank: c.rank, Team: name, Tasks: m.tasks})
			}
		}
	}
	slices.SortFunc(all, func(a, b medlargw.QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Team, b.Team))
	})
	return all
}
