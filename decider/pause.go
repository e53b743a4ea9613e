package decider

import (
	"time"

	"medlargw.example/medlargw"
)

// pause is a lane whose tasks may not start because of a limit.
type pause struct {
	lane  medlargw.Lane
	until time.Time // Zero means until a running task ends.
	index int
}

// Before orders pauses by their end.
func (p *pause) Before(other *pause) bool { return p.until.Before(other.until) }

// Position returns where the ranker keeps the element's index.
func (p *pause) Position() *int { return &p.index }

func (d *Decider) pause(lane medlargw.Lane, until time.Time) {
	p := &pause{lane: lane, until: until}
	d.pauses[lane] = p
	if !until.IsZero() {
		d.timedPauses.Set(p)
	}
	d.scheduler.Block(lane)
}

func (d *Decider) resume(lane medlargw.Lane) {
	p := d.pauses[lane]
	if p == nil {
		return
	}
	delete(d.pauses, lane)
	d.timedPauses.Remove(p)
	d.scheduler.Unblock(lane)
}

// resumeUntimed resumes a lane that is paused until a running task ends.
func (d *Decider) resumeUntimed(lane medlargw.Lane) {
	if p := d.pauses[lane]; p != nil && p.until.IsZero() {
		d.resume(lane)
	}
}

func (d *Decider) resumeExpired(now time.Time) {
	for d.timedPauses.Len() > 0 && !now.Before(d.timedPauses.First().until) {
		d.resume(d.timedPauses.First().lane)
	}
}
