// Package selector decides which of the targets that a task fits gets it.
//
// A target that is slow, or cold after its start, gets a task only if the task
// is expected to end there by its due time, or is late anyway. The others go
// first, then cold ones, then slow ones; among equal ones that with the least
// free cores.
package selector

import "time"

// coldFactor is the expected ratio of the run time on a cold target to the
// estimate, until runs there show a higher one.
const coldFactor = 1.5

// Selector selects the target of one task.
type Selector struct {
	estimate  time.Duration
	slack     time.Duration // Time until the task is due.
	late      bool
	found     bool
	bestClass class
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
// the slack. A late task may go to any target.
func New(estimate, slack time.Duration, late bool) *Selector {
	return &Selector{estimate: estimate, slack: slack, late: late}
}

// Consider reports whether a target is the best of those considered so far. The
// slowness is its usual ratio of run time to estimate.
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
	if c != usual && !s.late && time.Duration(float64(s.estimate)*slowness) > s.slack {
		return false
	}
	if s.found && (c > s.bestClass || c == s.bestClass && freeCores >= s.bestFree) {
		return false
	}
	s.found, s.bestClass, s.bestFree = true, c, freeCores
	return true
}
