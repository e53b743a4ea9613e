package scheduler

import (
	"cmp"
	"iter"
	"slices"

	"medlargw.example/medlargw"
)

// Backlog returns the waiting work that competes with a new job of the class
// and team.
func (s *Scheduler) Backlog(name medlargw.ClassName, team medlargw.TeamName) medlargw.Backlog {
	c := s.class(s.ranks[name])
	b := medlargw.Backlog{Rank: c.rank, ClassWork: c.work}
	for _, other := range s.classes {
		switch {
		case other.rank < c.rank:
			b.HigherWork += other.work
		case other.rank > c.rank:
			b.LowerTasks += other.tasks
		}
	}
	weight := max(1, s.weights[team])
	others := c.weight
	if t := c.teams[team]; t != nil && t.tasks > 0 {
		b.TeamWork = t.work
		b.Tasks = t.tasks
		others -= t.weight
	}
	b.Share = float64(weight) / float64(weight+others)
	return b
}

// EvictionCandidates returns the unstarted jobs of the classes below the given
// one, in the order in which they are evicted: the lowest class first, and in
// each class the newest job first. The scheduler must not change meanwhile.
func (s *Scheduler) EvictionCandidates(below medlargw.ClassName) iter.Seq[*medlargw.Job] {
	return func(yield func(*medlargw.Job) bool) {
		for i := len(s.classes) - 1; i >= 0 && s.classes[i].rank > s.ranks[below]; i-- {
			for j := s.classes[i].newestUnstarted; j != nil; j = j.older {
				if !yield(j.job) {
					return
				}
			}
		}
	}
}

// Waiting returns the number of waiting tasks by class, the most urgent first.
func (s *Scheduler) Waiting() []medlargw.ClassDemand {
	all := make([]medlargw.ClassDemand, 0, len(s.classes))
	for _, c := range s.classes {
		all = append(all, medlargw.ClassDemand{Rank: c.rank, Tasks: c.tasks})
	}
	return all
}

// Queues returns the number of waiting tasks by class and team, without the
// teams that have none.
func (s *Scheduler) Queues() []medlargw.QueueStatus {
	var all []medlargw.QueueStatus
	for _, c := range s.classes {
		for name, t := range c.teams {
			if t.tasks > 0 {
				all = append(all, medlargw.QueueStatus{Rank: c.rank, Team: name, Tasks: t.tasks})
			}
		}
	}
	slices.SortFunc(all, func(a, b medlargw.QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Team, b.Team))
	})
	return all
}
