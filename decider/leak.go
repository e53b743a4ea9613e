package decider

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// leakAge is how long a reservation may outlive its job, and leakPause the time
// between two looks for such ones.
const (
	leakAge   = time.Minute
	leakPause = 10 * time.Second
)

// orphan is the reservation of an attempt whose job has ended.
type orphan struct {
	leak medlargw.LeakStatus
	told bool
}

// leaks returns the reservations whose job ended a minute ago or longer.
func (d *Decider) leaks() []medlargw.LeakStatus {
	var all []medlargw.LeakStatus
	for _, o := range d.orphans {
		if o.leaks(d.now) {
			all = append(all, o.leak)
		}
	}
	sortLeaks(all)
	return all
}

func (o *orphan) leaks(now time.Time) bool { return now.Sub(o.leak.Ended) >= leakAge }

// tellLeaks tells each leak once.
func (d *Decider) tellLeaks(now time.Time) {
	if len(d.orphans) == 0 || now.Before(d.leakCheck) {
		return
	}
	d.leakCheck = now.Add(leakPause)
	for _, o := range d.orphans {
		if !o.told && o.leaks(now) {
			o.told = true
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
