package placer

import (
	"math"
	"time"

	"medlargw.example/medlargw"
)

const (
	speedSamples = 8        // Measurements before a speed counts.
	speedDecay   = 1.0 / 16 // Weight of the newest measurement.
	speedStep    = 1.3      // Targets within this factor count as equally fast.
	maxSlowdown  = 16       // Larger measurements count as this.
)

// target is what this entry uses and knows of one target.
type target struct {
	capacity    medlargw.Capacity
	tier        *tier
	used        int
	free        int // As counted in the placer.
	usable      int // As counted in the placer.
	shut        int // As counted in the placer.
	round       uint64
	aside       bool // An operator took it out of use.
	asideSince  time.Time
	saidLeaving time.Time // Until when its own word counts.
	paused      time.Time // Gets nothing until then.
	idle        time.Time // When its capacity changed last.
	slowdown    average   // Run time as a multiple of the estimate.
	speed       int       // Step of the slowdown; the lower, the faster.
	left        bool      // It was leaving at the last refresh.
	out         bool      // It got nothing new at the last refresh.
	quarantine  quarantine
	timer       timer
	probe       probe
	index       int
}

// average is a decayed mean; the first samples weigh equally.
type average struct {
	value float64
	n     int
}

func (a *average) add(x float64) {
	a.n++
	a.value += (x - a.value) * max(speedDecay, 1/float64(a.n))
}

// timer is when time alone changes the state of a target.
type timer struct {
	target *target
	at     time.Time
	index  int
}

// Before is part of a ranker's element.
func (t *timer) Before(other *timer) bool { return t.at.Before(other.at) }

// Position is part of a ranker's element.
func (t *timer) Position() *int { return &t.index }

// Before orders targets by learned speed, then by the used share.
func (t *target) Before(other *target) bool {
	if t.speed != other.speed {
		return t.speed < other.speed
	}
	// used/slots < used/slots, without division.
	mine := t.used * other.capacity.Slots
	its := other.used * t.capacity.Slots
	if mine != its {
		return mine < its
	}
	return t.capacity.Target.Name < other.capacity.Target.Name
}

// Position is part of a ranker's element.
func (t *target) Position() *int { return &t.index }

// usableSlots are those that may be used at all.
func (t *target) usableSlots(now time.Time) int {
	if t.aside || t.leaving(now) || t.quarantine.shut || t.expired(now) {
		return 0
	}
	return t.capacity.Slots
}

// inUse returns the slots that no other task can have. The own slots of a target
// that gets nothing new count, so that others are borrowed in their place and
// they are not lent.
func (t *target) inUse() int {
	if t.out && t.capacity.Until.IsZero() {
		return max(t.used, t.capacity.Slots)
	}
	return t.used
}

func (t *target) freeSlots(now time.Time) int {
	if now.Before(t.paused) {
		return 0
	}
	return max(0, t.usableSlots(now)-t.used)
}

func (t *target) leaving(now time.Time) bool {
	return t.capacity.Target.Leaving || now.Before(t.saidLeaving)
}

func (t *target) expired(now time.Time) bool {
	return !t.capacity.Until.IsZero() && !now.Before(t.capacity.Until)
}

// forgettable reports whether nothing is lost with the record but what was
// learned.
func (t *target) forgettable() bool { return t.capacity.Slots == 0 && t.used == 0 && !t.aside }

// wake returns when time alone changes the state next; zero is never.
func (t *target) wake(now time.Time) time.Time {
	var at time.Time
	consider := func(other time.Time) {
		if other.After(now) && (at.IsZero() || other.Before(at)) {
			at = other
		}
	}
	if t.forgettable() {
		consider(t.idle.Add(remembered))
		return at
	}
	consider(t.paused)
	consider(t.saidLeaving)
	consider(t.capacity.Until)
	if t.quarantine.shut {
		consider(t.quarantine.next)
	}
	return at
}

// learnSpeed takes the run time of a task that succeeded.
func (t *target) learnSpeed(elapsed, expected time.Duration) {
	if expected <= 0 || elapsed <= 0 {
		return
	}
	t.slowdown.add(min(maxSlowdown, float64(elapsed)/float64(expected)))
	if t.slowdown.n < speedSamples {
		return
	}
	t.speed = max(0, int(math.Floor(math.Log(t.slowdown.value)/math.Log(speedStep))))
}

func (t *target) status() medlargw.TargetStatus {
	s := medlargw.TargetStatus{
		Target: t.capacity.Target,
		Slots:  t.capacity.Slots,
		Used:   t.used,
		State:  medlargw.TargetServing,
	}
	switch {
	case t.aside:
		s.State, s.Reason, s.Since = medlargw.TargetSetAside, "set aside by an operator", t.asideSince
	case t.capacity.Target.Leaving:
		s.State, s.Reason = medlargw.TargetLeaving, "the host list says so"
	case t.left:
		s.State, s.Reason = medlargw.TargetLeaving, "the target says so"
	case t.quarantine.shut:
		s.State, s.Reason, s.Since = medlargw.TargetQuarantined, t.quarantine.reason, t.quarantine.since
	}
	return s
}
