package decider

import (
	"math"
	"time"
)

const (
	arrivalWindow = time.Second // Over which arrivals are averaged.
	// leastShare is the share of the slots that a class is expected to get
	// however much work of higher classes arrives.
	leastShare = 0.02
)

// arrivals are the work of one class that was admitted lately, as a decayed sum.
type arrivals struct {
	work time.Duration
	at   time.Time
}

func (a *arrivals) decayed(now time.Time) time.Duration {
	if a.work == 0 {
		return 0
	}
	return time.Duration(float64(a.work) * math.Exp(-now.Sub(a.at).Seconds()/arrivalWindow.Seconds()))
}

func (a *arrivals) add(now time.Time, work time.Duration) {
	a.work = a.decayed(now) + work
	a.at = now
}

// admitted notes the work of a job that was admitted.
func (d *Decider) admitted(now time.Time, rank int, work time.Duration) {
	for len(d.arrivals) <= rank {
		d.arrivals = append(d.arrivals, arrivals{})
	}
	d.arrivals[rank].add(now, work)
}

// available returns the number of slots that the higher classes are expected
// to leave, from what arrived lately.
func (d *Decider) available(now time.Time, rank int) float64 {
	slots := float64(max(d.placer.Slots(), d.reach))
	taken := 0.0
	for i := range d.arrivals[:min(rank, len(d.arrivals))] {
		taken += float64(d.arrivals[i].decayed(now)) / float64(arrivalWindow)
	}
	return max(slots-taken, leastShare*slots)
}
