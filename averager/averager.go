// Package averager measures the rate of events over about the last second.
package averager

import (
	"math"
	"time"
)

// window is the time constant of the decay.
const window = time.Second

// Averager is an exponentially decayed rate. The zero value has seen nothing.
type Averager struct {
	rate float64 // Per second, at the time of the last event.
	at   time.Time
}

// Add counts an event of the given size.
func (a *Averager) Add(now time.Time, size float64) {
	a.rate = a.Rate(now) + size/window.Seconds()
	a.at = now
}

// Rate returns the sum of the sizes per second.
func (a *Averager) Rate(now time.Time) float64 {
	if a.at.IsZero() {
		return 0
	}
	return a.rate * math.Exp(-max(0, now.Sub(a.at).Seconds())/window.Seconds())
}
