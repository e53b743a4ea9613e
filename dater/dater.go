// Package dater bounds how long a request may have waited unread because this process
// stood still, such as a process that is stopped or a host that is suspended.
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
	wakes [steps + 1]time.Time // The latest is the last; zero before the first.
}

// New returns a dater that takes more than the given time between two wakes for a
// pause.
func New(pause time.Duration) *Dater { return &Dater{pause: pause} }

// Wake records that the goroutine has woken.
func (d *Dater) Wake(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	copy(d.wakes[:], d.wakes[1:])
	d.wakes[steps] = now
}

// Unread returns how long a request that is read now may have waited since before a
// pause, and zero if there was none. A pause counts until the goroutine has woken
// again as often as the goroutines of a request need to. One that the goroutine has
// not woken from yet counts too.
func (d *Dater) Unread(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, from := range d.wakes {
		to := now
		if i < steps {
			to = d.wakes[i+1]
		}
		if !from.IsZero() && to.Sub(from) > d.pause {
			return max(0, now.Sub(from))
		}
	}
	return 0
}
