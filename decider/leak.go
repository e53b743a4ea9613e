package decider

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

const (
	// leakAge is the time after the end of a job at which a reservation that the
	// job still holds counts as a leak.
	leakAge           = time.Minute
	leakCheckInterval = 10 * time.Second
)

// orphan is an attempt that still holds a reservation though its job has ended.
type orphan struct {
	leak     medlargw.LeakStatus
	reported bool
}

// leaks returns the reservations whose job ended at least leakAge ago.
func (d *Decider) leaks() []medlargw.LeakStatus {
	var all []medlargw.LeakStatus
	for _, o := range d.orphans {
		if o.isLeak(d.now) {
			all = append(all, o.leak)
		}
	}
	sortLeaks(all)
	return all
}

func (o *orphan) isLeak(now time.Time) bool { return now.Sub(o.leak.Ended) >= leakAge }

// reportLeaks adds each leak to the actions once.
func (d *Decider) reportLeaks(now time.Time) {
	if len(d.orphans) == 0 || now.Before(d.nextLeakCheck) {
		return
	}
	d.nextLeakCheck = now.Add(leakCheckInterval)
	for _, o := range d.orphans {
		if !o.reported && o.isLeak(now) {
			o.reported = true
			d.actions.Leaks = append(d.actions.Leaks, o.leak)
		}
	}
	sortLeaks(d.actions.Leaks)
}

func sortLeaks(all []medlargw.LeakStatus) {
	slices.SortFunc(all, func(a, b medlargw.LeakStatus) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Target, b.Target))
	})
}
