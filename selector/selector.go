// Package selector decides which of the targets that a task fits gets it.
//
// A target that is slower than usual, or cold after its start, gets a task only if
// the task is expected to end there by its due time, or is late anyway. Those
// without a fault go first, then cold ones, then slow ones. Among these the
// fastest goes first, and among equally fast ones that with the least free cores.
// While other tasks wait, the slowest goes first on which the task still ends in
// time: the fast ones are left to tasks that need them.
package selector

import (
	"math"
	"time"
)

// coldFactor is the expected ratio of the run time on a cold target to the
// estimate, until runs there show a higher one.
const coldFactor = 1.5

// speedRatio is the ratio of the run times of two neighbouring classes of speed.
// Differences within a class may be errors of measurement.
const speedRatio = 1.3

// Selector selects the target of one task.
type Selector struct {
	estimate  time.Duration
	slack     time.Duration // Time until the task is due.
	late      bool
	contended bool
	found     bool
	bestClass class
	bestSpeed int
	bestFree  int64
}

// class orders targets by what hampers them.
type class int

const (
	usual class = iota
	cold
	slow
)

// New returns a selector for a task with an estimated run time that is due in
// the slack. A late task may go to any target. The choice is contended while other
// tasks wait.
func New(estimate, slack time.Duration, late, contended bool) *Selector {
	return &Selector{estimate: estimate, slack: slack, late: late, contended: contended && !late}
}

// Consider reports whether a target is the best of those considered so far. The
// slowness is its expected ratio of run time to estimate.
func (s *Selector) Consider(freeCores int64, slowness float64, isSlow, isCold bool) bool {
	c := usual
	switch {
	case isSlow:
		c = slow
	case isCold:
		c = cold
	}
	if isCold {
		slowness = max(slowness, coldFactor)
	}
	speed := speedClass(slowness)
	if (c != usual || speed > 0) && !s.late && time.Duration(float64(s.estimate)*slowness) > s.slack {
		return false
	}
	if s.found && !s.isBetter(c, speed, freeCores) {
		return false
	}
	s.found, s.bestClass, s.bestSpeed, s.bestFree = true, c, speed, freeCores
	return true
}

// isBetter reports whether a target is preferred to the best one so far.
func (s *Selector) isBetter(c class, speed int, freeCores int64) bool {
	switch {
	case c != s.bestClass:
		return c < s.bestClass
	case speed != s.bestSpeed:
		return (speed > s.bestSpeed) == s.contended
	}
	return freeCores < s.bestFree
}

// speedClass returns the class of a slowness, zero for about the usual speed and
// more for slower targets.
func speedClass(slowness float64) int {
	return int(math.Round(math.Log(slowness) / math.Log(speedRatio)))
}
