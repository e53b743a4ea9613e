// Package dater bounds how long a request may have waited unread because the host was
// suspended, which the kernel does not count.
package dater

import (
	"sync"
	"time"
)

// steps is the number of times that the goroutines of a request wait for a
// processor until it is read: to accept the connection, to read from it, and to
// process what was read.
const steps = 3

// Dater holds the last wakes of a goroutine that wakes at a fixed interval. It is
// safe for concurrent use.
type Dater struct {
	pause time.Duration

	mu    sync.Mutex
	wakes [steps + 1]wake // The latest is the last; zero before the first.
}

// wake is one time on two clocks.
type wake struct {
	now   time.Time // Counts suspensions.
	awake time.Time // Doesn't.
}

// New returns a dater for which the host was suspended when the two clocks differ by
// more than the given time between two wakes.
func New(pause time.Duration) *Dater { return &Dater{pause: pause} }

// Wake records that the goroutine has woken, with the time on a clock that counts
// suspensions and on one that does not.
func (d *Dater) Wake(now, awake time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	copy(d.wakes[:], d.wakes[1:])
	d.wakes[steps] = wake{now, awake}
}

// Unread returns how long a request that is read now may have waited since before a
// suspension, and zero if there was none. A suspension counts until the goroutine has
// woken again as often as the goroutines of a request need to. One that the goroutine
// has not woken from yet counts too.
func (d *Dater) Unread(now, awake time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, from := range d.wakes {
		to := wake{now, awake}
		if i < steps {
			to = d.wakes[i+1]
		}
		if !from.now.IsZero() && to.now.Sub(from.now)-to.awake.Sub(from.awake) > d.pause {
			return max(0, now.Sub(from.now))
		}
	}
	return 0
}
