package decider

import (
	"time"

	"medlargw.example/medlargw"
)

// pause is a limit scope whose tasks may not start now.
type pause struct {
	scope medlargw.LimitScope
	until time.Time // Zero means until a running task ends.
	index int
}

// Before orders pauses by their end.
func (p *pause) Before(other *pause) bool { return p.until.Before(other.until) }

// Position returns where the ranker keeps the element's index.
func (p *pause) Position() *int { return &p.index }

func (d *Decider) pause(scope medlargw.LimitScope, until time.Time) {
	p := &pause{scope: scope, until: until}
	d.pauses[scope] = p
	if !until.IsZero() {
		d.timedPauses.AddOrFix(p)
	}
	d.scheduler.Block(scope)
}

func (d *Decider) resume(scope medlargw.LimitScope) {
	p := d.pauses[scope]
	if p == nil {
		return
	}
	delete(d.pauses, scope)
	d.timedPauses.Remove(p)
	d.scheduler.Unblock(scope)
}

// resumeUntimed resumes a scope that is paused until a running task ends.
func (d *Decider) resumeUntimed(scope medlargw.LimitScope) {
	if p := d.pauses[scope]; p != nil && p.until.IsZero() {
		d.resume(scope)
	}
}

func (d *Decider) resumeExpired(now time.Time) {
	for d.timedPauses.Len() > 0 && !now.Before(d.timedPauses.First().until) {
		d.resume(d.timedPauses.First().scope)
	}
}
