package placer

import (
	"math"
	"time"

	"medlargw.example/medlargw"
)

const (
	minSlowdownSamples = 8        // Measurements needed before the slowdown is used.
	slowdownDecay      = 1.0 / 16 // Weight of the newest measurement.
	slowdownStepFactor = 1.3      // Targets within one step rank as equally fast.
	maxSlowdown        = 16       // Larger measurements are clipped to this.
)

// target is the state of one target at this entry.
type target struct {
	allocation        medlargw.Allocation
	tier              *tier
	used              int
	free              int    // Contribution to Placer.free.
	usable            int    // Contribution to Placer.slots.
	quarantined       int    // Contribution to Placer.quarantined: 0 or 1.
	updateSeq         uint64 // Of the last SetAllocations that listed the target.
	setAside          bool   // Taken out of use by an operator.
	setAsideSince     time.Time
	drainingUntil     time.Time // The target counts as draining by its own report.
	pausedUntil       time.Time // Gets no task before this time.
	allocationChanged time.Time // Time of the last change of allocation.
	slowdown          average   // Of the run time divided by the estimate.
	slowdownStep      int       // The slowdown in logarithmic steps; 0 is fastest.
	wasDraining       bool      // As of the last refresh.
	wasUnusable       bool      // As of the last refresh.
	quarantine        quarantine
	timer             timer
	probe             probe
	index             int
}

// average is an exponentially decayed mean whose first samples weigh equally.
type average struct {
	value float64
	n     int
}

func (a *average) add(x float64) {
	a.n++
	a.value += (x - a.value) * max(slowdownDecay, 1/float64(a.n))
}

// timer is the time of a target's next state change that needs no event.
type timer struct {
	target *target
	at     time.Time
	index  int
}

// Before orders timers by time.
func (t *timer) Before(other *timer) bool { return t.at.Before(other.at) }

// Position returns where the ranker keeps the element's index.
func (t *timer) Position() *int { return &t.index }

// Before orders targets by measured speed, then by the share of slots in use.
func (t *target) Before(other *target) bool {
	if t.slowdownStep != other.slowdownStep {
		return t.slowdownStep < other.slowdownStep
	}
	// used/slots < used/slots, without division.
	own := t.used * other.allocation.Slots
	others := other.used * t.allocation.Slots
	if own != others {
		return own < others
	}
	return t.allocation.Target.Name < other.allocation.Target.Name
}

// Position returns where the ranker keeps the element's index.
func (t *target) Position() *int { return &t.index }

// usableSlots returns the number of slots that may hold tasks, in use or free.
func (t *target) usableSlots(now time.Time) int {
	if t.setAside || t.draining(now) || t.quarantine.quarantined || t.expired(now) {
		return 0
	}
	return t.allocation.Slots
}

// inUse returns the number of slots that no other task can use. All slots that
// this entry owns on an unusable target count, so that they are not lent and
// other slots are borrowed in their place.
func (t *target) inUse() int {
	if t.wasUnusable && t.allocation.ExpiresAt.IsZero() {
		return max(t.used, t.allocation.Slots)
	}
	return t.used
}

func (t *target) freeSlots(now time.Time) int {
	if now.Before(t.pausedUntil) {
		return 0
	}
	return max(0, t.usableSlots(now)-t.used)
}

func (t *target) draining(now time.Time) bool {
	return t.allocation.Target.Draining || now.Before(t.drainingUntil)
}

func (t *target) expired(now time.Time) bool {
	return !t.allocation.ExpiresAt.IsZero() && !now.Before(t.allocation.ExpiresAt)
}

// forgettable reports whether the record holds nothing but measurements.
func (t *target) forgettable() bool { return t.allocation.Slots == 0 && t.used == 0 && !t.setAside }

// nextTick returns the time of the next state change that needs no event; zero
// means never.
func (t *target) nextTick(now time.Time) time.Time {
	var at time.Time
	consider := func(other time.Time) {
		if other.After(now) && (at.IsZero() || other.Before(at)) {
			at = other
		}
	}
	if t.forgettable() {
		consider(t.allocationChanged.Add(recordRetention))
		return at
	}
	consider(t.pausedUntil)
	consider(t.drainingUntil)
	consider(t.allocation.ExpiresAt)
	if t.quarantine.quarantined {
		consider(t.quarantine.nextProbe)
	}
	return at
}

// learnSlowdown adds the relative run time of a successful task to the average.
func (t *target) learnSlowdown(elapsed, expected time.Duration) {
	if expected <= 0 || elapsed <= 0 {
		return
	}
	t.slowdown.add(min(maxSlowdown, float64(elapsed)/float64(expected)))
	if t.slowdown.n < minSlowdownSamples {
		return
	}
	t.slowdownStep = max(0, int(math.Floor(math.Log(t.slowdown.value)/math.Log(slowdownStepFactor))))
}

func (t *target) status() medlargw.TargetStatus {
	s := medlargw.TargetStatus{
		Target: t.allocation.Target,
		Slots:  t.allocation.Slots,
		Used:   t.used,
		State:  medlargw.TargetServing,
	}
	switch {
	case t.setAside:
		s.State, s.Reason, s.Since = medlargw.TargetSetAside, "set aside by an operator", t.setAsideSince
	case t.allocation.Target.Evacuated:
		s.State, s.Reason = medlargw.TargetDraining, "its zone is evacuated"
	case t.allocation.Target.Draining:
		s.State, s.Reason = medlargw.TargetDraining, "the host list says so"
	case t.wasDraining:
		s.State, s.Reason = medlargw.TargetDraining, "the target says so"
	case t.quarantine.quarantined:
		s.State, s.Reason, s.Since = medlargw.TargetQuarantined, t.quarantine.reason, t.quarantine.since
	}
	return s
}
