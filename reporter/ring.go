package reporter

import (
	"time"

	"medlargw.example/medlargw"
)

// bucket holds the counts of one step of time.
type bucket struct {
	jobs   uint32
	missed uint32
}

// ring holds the counts of the latest steps of time, all of the same length. The
// steps are aligned to the wall clock, so that the counts of different entries
// can be added up.
type ring struct {
	step    time.Duration
	buckets []bucket
	newest  int64 // Number of the newest step, counted from the Unix epoch.
}

// stepCount returns the number of steps in a window. With more steps, the counts
// follow the window's length more closely; each step costs 8 bytes.
func stepCount(w medlargw.BurnWindow) int { return [...]int{30, 60, 72, 72}[w] }

func newRing(w medlargw.BurnWindow) ring {
	n := stepCount(w)
	return ring{step: w.Length() / time.Duration(n), buckets: make([]bucket, n)}
}

// advance clears the buckets whose steps have left the window. It does nothing if
// the clock was set back.
func (r *ring) advance(now time.Time) {
	number := now.UnixNano() / int64(r.step)
	if number-r.newest >= int64(len(r.buckets)) {
		clear(r.buckets)
		r.newest = number
	}
	for r.newest < number {
		r.newest++
		*r.at(r.newest) = bucket{}
	}
}

func (r *ring) at(number int64) *bucket { return &r.buckets[number%int64(len(r.buckets))] }

func (r *ring) add(now time.Time, missed bool) {
	r.advance(now)
	c := r.at(r.newest)
	c.jobs++
	if missed {
		c.missed++
	}
}

func (r *ring) sum(now time.Time) medlargw.JobCounts {
	r.advance(now)
	var total medlargw.JobCounts
	for _, c := range r.buckets {
		total.Add(medlargw.JobCounts{Jobs: uint64(c.jobs), Missed: uint64(c.missed)})
	}
	return total
}

// series are the rings of one team in one class.
type series struct {
	rings   [medlargw.BurnWindowCount]ring
	lastJob time.Time // End of the newest job.
}

func newSeries() *series {
	s := &series{}
	for w := range medlargw.BurnWindowCount {
		s.rings[w] = newRing(w)
	}
	return s
}

func (s *series) add(now time.Time, missed bool) {
	s.lastJob = now
	for w := range s.rings {
		s.rings[w].add(now, missed)
	}
}
