package decider

import (
	"math"
	"time"
)

const (
	arrivalWindow = time.Second // Time constant of the average of arriving work.
	// minClassShare is the share of the slots that a class is expected to get
	// even if higher classes could use all of them.
	minClassShare = 0.02
)

// recentWork is an exponentially decayed sum of the admitted work of one class.
type recentWork struct {
	work    time.Duration
	updated time.Time
}

func (w *recentWork) value(now time.Time) time.Duration {
	if w.work == 0 {
		return 0
	}
	return time.Duration(float64(w.work) * math.Exp(-now.Sub(w.updated).Seconds()/arrivalWindow.Seconds()))
}

func (w *recentWork) add(now time.Time, work time.Duration) {
	w.work = w.value(now) + work
	w.updated = now
}

// recordAdmission adds the work of an admitted job to that of its class.
func (d *Decider) recordAdmission(now time.Time, rank int, work time.Duration) {
	for len(d.recentWork) <= rank {
		d.recentWork = append(d.recentWork, recentWork{})
	}
	d.recentWork[rank].add(now, work)
}

// availableSlots returns the number of slots that higher classes are expected
// to leave free, judged by their recently admitted work.
func (d *Decider) availableSlots(now time.Time, rank int) float64 {
	slots := float64(max(d.placer.Slots(), d.expectedSlots))
	taken := 0.0
	for i := range d.recentWork[:min(rank, len(d.recentWork))] {
		taken += float64(d.recentWork[i].value(now)) / float64(arrivalWindow)
	}
	return max(slots-taken, minClassShare*slots)
}
