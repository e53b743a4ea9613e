package decider

import (
	"time"

	"medlargw.example/medlargw"
)

// pause is a lane that is held back by a limit.
type pause struct {
	lane  medlargw.Lane
	until time.Time // Zero waits for a running task to end.
	index int
}

// Before is part of a ranker's element.
func (p *pause) Before(other *pause) bool { return p.until.Before(other.until) }

// Position is part of a ranker's element.
func (p *pause) Position() *int { return &p.index }

func (d *Decider) pause(lane medlargw.Lane, until time.Time) {
	p := &pause{lane: lane, until: until}
	d.pauses[lane] = p
	if !until.IsZero() {
		d.expiring.Set(p)
	}
	d.scheduler.Block(lane)
}

func (d *Decider) resume(lane medlargw.Lane) {
	p := d.pauses[lane]
	if p == nil {
		return
	}
	delete(d.pauses, lane)
	d.expiring.Remove(p)
	d.scheduler.Unblock(lane)
}

// resumeFull ends the pause of a lane that waits for a running task to end.
func (d *Decider) resumeFull(lane medlargw.Lane) {
	if p := d.pauses[lane]; p != nil && p.until.IsZero() {
		d.resume(lane)
	}
}

func (d *Decider) resumeExpired(now time.Time) {
	for d.expiring.Len() > 0 && !now.Before(d.expiring.First().until) {
		d.resume(d.expiring.First().lane)
	}
}
