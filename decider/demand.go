package decider

import (
	"math"

	"medlargw.example/medlargw"
)

// Short reports whether tasks wait for a slot or for a unit of a limit.
func (d *Decider) Short() bool {
	return d.total > 0 && (d.placer.Free() == 0 || len(d.pauses) > 0)
}

// Demand returns what is in use and what waits for a slot or a unit. The
// classes hold only tasks that their teams' limits let start.
func (d *Decider) Demand() medlargw.Demand {
	demand := medlargw.Demand{Classes: d.scheduler.Waiting()}
	d.deductHeldBack(demand.Classes)
	demand.Targets = d.placer.InUse()
	teams := d.limiter.Running()
	demand.Teams = teams[:0] // Filtered in place.
	for _, use := range teams {
		use.Waiting = d.waiting[use.Team]
		if use.Running > 0 || use.Waiting > 0 {
			demand.Teams = append(demand.Teams, use)
		}
	}
	return demand
}

// deductHeldBack leaves out what no slot would help.
func (d *Decider) deductHeldBack(classes []medlargw.ClassDemand) {
	if len(d.pauses) == 0 {
		return
	}
	_, some := d.scheduler.Peek(math.MaxInt64)
	if !some {
		for i := range classes {
			classes[i].Tasks = 0
		}
		return
	}
	for _, q := range d.scheduler.Queues() {
		if d.pauses[medlargw.Lane{Team: q.Team}] != nil {
			classes[q.Rank].Tasks -= q.Tasks
		}
	}
}
