// Package gauger measures how late a process acts: how late its timers fire, and
// how long events wait for its control loop. A process without processor time
// reads the answers of its peers late, and must not take that for their silence.
package gauger

import "time"

const (
	// tolerance is the lateness of a process that is on time: wake-ups of a busy
	// host, rounded up.
	tolerance = 10 * time.Millisecond
	// hold is the time for which a lateness counts in full, and decay the time
	// within which it then falls to zero.
	hold  = 500 * time.Millisecond
	decay = 500 * time.Millisecond

	bucketLength = 100 * time.Millisecond
	bucketCount  = int((hold+decay)/bucketLength) + 1
)

// bucket is the greatest lateness recorded in a short time.
type bucket struct {
	at   time.Time // When it was recorded.
	late time.Duration
}

// Gauger holds the lateness of one process. The time is an argument of each
// call. It is not safe for concurrent use.
type Gauger struct {
	buckets [bucketCount]bucket
}

// New returns a gauger of a process that is on time.
func New() *Gauger { return &Gauger{} }

// Record adds how late a timer fired, or how long an event waited in the queue
// of the control loop. Up to 10 ms are on time.
func (g *Gauger) Record(now time.Time, late time.Duration) {
	if late <= tolerance {
		return
	}
	b := &g.buckets[uint64(now.UnixNano())/uint64(bucketLength)%uint64(bucketCount)]
	if now.Sub(b.at) >= bucketLength || late >= b.late {
		*b = bucket{at: now, late: late}
	}
}

// Lag returns the greatest lateness of about the last second. A lateness counts
// in full for half a second and then falls to zero within another half.
func (g *Gauger) Lag(now time.Time) time.Duration {
	var lag time.Duration
	for i := range g.buckets {
		b := &g.buckets[i]
		left := min(decay, max(0, hold+decay-now.Sub(b.at)))
		lag = max(lag, time.Duration(float64(b.late)*float64(left)/float64(decay)))
	}
	return lag
}
