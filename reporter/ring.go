package reporter

import (
	"time"

	"medlargw.example/medlargw"
)

// cell holds the counts of one step of a ring.
type cell struct {
	jobs   uint32
	missed uint32
}

// ring counts over the last steps of one length. The steps are aligned to the
// wall clock, so that those of different entries can be added up.
type ring struct {
	step  time.Duration
	cells []cell
	last  int64 // Number of the newest step since the epoch.
}

// stepsOf returns the number of steps in each window. More steps make the end
// of the window sharper and cost 8 bytes each.
func stepsOf(w medlargw.BurnWindow) int { return [...]int{30, 60, 72, 72}[w] }

func newRing(w medlargw.BurnWindow) ring {
	n := stepsOf(w)
	return ring{step: w.Length() / time.Duration(n), cells: make([]cell, n)}
}

// advance empties the cells that are older than the ring. A clock that goes
// back changes nothing.
func (r *ring) advance(now time.Time) {
	number := now.UnixNano() / int64(r.step)
	if number-r.last >= int64(len(r.cells)) {
		clear(r.cells)
		r.last = number
	}
	for r.last < number {
		r.last++
		*r.at(r.last) = cell{}
	}
}

func (r *ring) at(number int64) *cell { return &r.cells[number%int64(len(r.cells))] }

func (r *ring) add(now time.Time, missed bool) {
	r.advance(now)
	c := r.at(r.last)
	c.jobs++
	if missed {
		c.missed++
	}
}

func (r *ring) sum(now time.Time) medlargw.JobCounts {
	r.advance(now)
	var total medlargw.JobCounts
	for _, c := range r.cells {
		total.Add(medlargw.JobCounts{Jobs: uint64(c.jobs), Missed: uint64(c.missed)})
	}
	return total
}

// series are the rings of one team in one class.
type series struct {
	rings [medlargw.BurnWindows]ring
	last  time.Time // Of the newest job.
}

func newSeries() *series {
	s := &series{}
	for w := range medlargw.BurnWindows {
		s.rings[w] = newRing(w)
	}
	return s
}

func (s *series) add(now time.Time, missed bool) {
	s.last = now
	for w := range s.rings {
		s.rings[w].add(now, missed)
	}
}
