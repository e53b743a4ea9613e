package decider

import (
	"math"
	"slices"

	"medlargw.example/medlargw"
)

// NeedsCapacity reports whether tasks wait for a free slot or because of a
// limit.
func (d *Decider) NeedsCapacity() bool {
	return d.totalWaiting > 0 && (d.placer.Free() == 0 || len(d.pauses) > 0)
}

// Demand returns the resources in use and the tasks that wait for a slot or a
// limit. The classes count only tasks whose teams are below their limits.
func (d *Decider) Demand() medlargw.Demand {
	demand := medlargw.Demand{Classes: d.scheduler.Waiting()}
	d.deductPaused(demand.Classes)
	demand.Targets = d.placer.InUse()
	teams := d.limiter.Running()
	demand.Teams = teams[:0] // Filtered in place.
	for _, use := range teams {
		use.Waiting = d.waitingByTeam[use.Team]
		if use.Running > 0 || use.Waiting > 0 {
			demand.Teams = append(demand.Teams, use)
		}
	}
	return demand
}

// deductPaused subtracts the tasks that could not start even on a free slot.
func (d *Decider) deductPaused(classes []medlargw.ClassDemand) {
	if len(d.pauses) == 0 {
		return
	}
	_, startable := d.scheduler.Peek(math.MaxInt64)
	if !startable {
		for i := range classes {
			classes[i].Tasks = 0
		}
		return
	}
	for _, q := range d.scheduler.Queues() {
		if d.pauses[medlargw.LimitScope{Team: q.Team}] == nil {
			continue
		}
		if i := slices.IndexFunc(classes, func(c medlargw.ClassDemand) bool { return c.Rank == q.Rank }); i >= 0 {
			classes[i].Tasks -= q.Tasks
		}
	}
}
