package decider

import (
	"time"

	"medlargw.example/medlargw"
)

// Status returns a snapshot of the decider's state.
func (d *Decider) Status() medlargw.DispatchStatus {
	return medlargw.DispatchStatus{
		Jobs:    len(d.jobs),
		Free:    d.placer.Free(),
		Queues:  d.scheduler.Queues(),
		Targets: d.placer.Status(),
		Limits:  d.limiter.Status(),
		Bytes:   d.accountant.HeldBytes(),
		Leaks:   d.leaks(),
	}
}

// SetAside takes a target out of use or puts it back.
func (d *Decider) SetAside(now time.Time, target medlargw.TargetName, aside bool) {
	d.placer.SetAside(now, target, aside)
	d.dispatch(now)
}
