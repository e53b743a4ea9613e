package decider

import "medlargw.example/medlargw"

// Short reports whether tasks wait for a slot or for a unit.
func (d *Decider) Short() bool {
	return d.total > 0 && (d.placer.Free() == 0 || len(d.blocked) > 0)
}

// Demand returns what is in use and what waits for a slot or a unit. The
// classes hold only tasks that their teams' limits let start.
func (d *Decider) Demand() medlargw.Demand {
	demand := medlargw.Demand{Classes: d.scheduler.Waiting()}
	if len(d.blocked) > 0 {
		d.deductBlocked(demand.Classes)
	}
	for _, t := range d.placer.Status() {
		if t.Used > 0 {
			demand.Targets = append(demand.Targets, medlargw.TargetUse{Target: t.Target.Name, Used: t.Used})
		}
	}
	for _, t := range d.limiter.Status() {
		if waiting := d.waiting[t.Team]; t.Running > 0 || waiting > 0 {
			use := medlargw.TeamUse{Team: t.Team, Running: t.Running, Waiting: waiting}
			demand.Teams = append(demand.Teams, use)
		}
	}
	return demand
}

func (d *Decider) deductBlocked(classes []medlargw.ClassDemand) {
	for _, q := range d.scheduler.Queues() {
		if _, ok := d.blocked[q.Team]; !ok {
			continue
		}
		for i := range classes {
			if classes[i].Rank == q.Rank {
				classes[i].Tasks -= q.Tasks
			}
		}
	}
}
