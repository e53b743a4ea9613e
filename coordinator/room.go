package coordinator

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// makeRoom reports whether this entry may hold the tasks of another job, which is one of its
// jobs already. For that it withdraws less urgent jobs that have not started, the least
// urgent and the latest ones first. It withdraws none if that were not enough.
func (c *Coordinator) makeRoom(now time.Time, j *job) bool {
	if c.settings.Tasks == 0 {
		return true
	}
	excess, room := -c.settings.Tasks, 0
	var others []*job
	for _, other := range c.jobs {
		excess += len(other.tasks)
		if other.job.Rank > j.job.Rank && !other.started && !other.held && !other.refusing {
			others = append(others, other)
			room += len(other.tasks)
		}
	}
	if excess > room {
		return false
	}
	slices.SortFunc(others, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.job.Rank, a.job.Rank), cmp.Compare(b.number, a.number))
	})
	for _, other := range others {
		if excess <= 0 {
			break
		}
		excess -= len(other.tasks)
		c.withdraw(now, other, &medlargw.Admission{Prospect: medlargw.ProspectLate, Refusal: medlargw.RefusalMemory})
	}
	return true
}
