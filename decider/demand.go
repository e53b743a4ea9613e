package decider

import (
	"math"
	"time"
)

const (
	demandWindow = time.Second // Over which arrivals are averaged.
	// leastShare is the share of the slots that a class is expected to get
	// however much work of higher classes arrives.
	leastShare = 0.02
)

// demand is the work of one class that was admitted lately, as a decayed sum.
type demand struct {
	work time.Duration
	at   time.Time
}

func (d *demand) decayed(now time.Time) time.Duration {
	if d.work == 0 {
		return 0
	}
	return time.Duration(float64(d.work) * math.Exp(-now.Sub(d.at).Seconds()/demandWindow.Seconds()))
}

func (d *demand) add(now time.Time, work time.Duration) {
	d.work = d.decayed(now) + work
	d.at = now
}

// admitted notes the work of a job that was admitted.
func (d *Decider) admitted(now time.Time, rank int, work time.Duration) {
	for len(d.demands) <= rank {
		d.demands = append(d.demands, demand{})
	}
	d.demands[rank].add(now, work)
}

// available returns the number of slots that the higher classes are expected
// to leave, from what arrived lately.
func (d *Decider) available(now time.Time, rank int) float64 {
	slots := float64(max(d.placer.Slots(), d.reach))
	taken := 0.0
	for i := range d.demands[:min(rank, len(d.demands))] {
		taken += float64(d.demands[i].decayed(now)) / float64(demandWindow)
	}
	return max(slots-taken, leastShare*slots)
}
