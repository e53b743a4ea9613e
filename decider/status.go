package decider

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// leakAge is how long a reservation may outlive its job.
const leakAge = time.Minute

// Status returns a snapshot of the state.
func (d *Decider) Status() medlargw.CoreStatus {
	return medlargw.CoreStatus{
		Jobs:    len(d.jobs),
		Free:    d.placer.Free(),
		Queues:  d.scheduler.Queues(),
		Targets: d.placer.Status(),
		Limits:  d.limiter.Status(),
		Bytes:   d.accountant.Held(),
		Leaks:   d.leaks(),
	}
}

// leaks returns the reservations whose job ended a minute ago or longer.
func (d *Decider) leaks() []medlargw.LeakStatus {
	var all []medlargw.LeakStatus
	for _, leak := range d.orphans {
		if d.now.Sub(leak.Ended) >= leakAge {
			all = append(all, leak)
		}
	}
	slices.SortFunc(all, func(a, b medlargw.LeakStatus) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Target, b.Target))
	})
	return all
}

// SetAside takes a target out of use, or back into it.
func (d *Decider) SetAside(now time.Time, target medlargw.TargetName, aside bool) {
	d.placer.SetAside(now, target, aside)
	d.dispatch(now)
}
