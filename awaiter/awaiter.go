// Package awaiter tells how long to wait for an answer that usually comes sooner:
// from the mean and the variation of the times of former answers, as TCP does for
// its acknowledgements (RFC 6298).
package awaiter

import "time"

const (
	// minSamples is the number of answers that a limit is learned from.
	minSamples = 8
	// meanWeight and deviationWeight are the weights of a new answer in the mean and
	// in the mean deviation, and deviations the number of those added to the mean.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// Awaiter learns the time of the answers to one kind of message. It is not safe for
// concurrent use.
type Awaiter struct {
	least, most time.Duration
	mean        float64 // Nanoseconds.
	deviation   float64 // Nanoseconds.
	samples     int
}

// New returns an awaiter whose limit is between two bounds, and the greater one
// while little is learned.
func New(least, most time.Duration) *Awaiter { return &Awaiter{least: least, most: most} }

// Observe records the time that an answer took.
func (a *Awaiter) Observe(d time.Duration) {
	x := float64(max(d, 0))
	if a.samples == 0 {
		a.mean, a.deviation = x, x/2
	} else {
		a.deviation += deviationWeight * (max(x-a.mean, a.mean-x) - a.deviation)
		a.mean += meanWeight * (x - a.mean)
	}
	a.samples = min(a.samples+1, minSamples)
}

// Limit returns the time after which an answer is unlikely to come.
func (a *Awaiter) Limit() time.Duration {
	if a.samples < minSamples {
		return a.most
	}
	return min(max(time.Duration(a.mean+deviations*a.deviation), a.least), a.most)
}
