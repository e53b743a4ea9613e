package holder

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// SetPeerCrashes records what another entry has seen of crashes.
func (h *Holder) SetPeerCrashes(now time.Time, peer medlargw.Incarnation, crashes []medlargw.ServiceCrashes) {
	h.attributor.SetPeer(now, peer, crashes)
}

// updateConfined decides which services are confined to the isolated targets.
func (h *Holder) updateConfined(now time.Time) {
	if !h.confinedAt.IsZero() {
		h.attributor.RecordTargets(now, len(h.sorted), now.Sub(h.confinedAt))
	}
	h.confinedAt = now
	if !h.attributor.Update(now) {
		return
	}
	confined := h.attributor.Confined()
	names := make([]string, len(confined))
	h.confinedPools = map[medlargw.PoolName]bool{}
	for i, service := range confined {
		names[i] = string(service)
		if pool, known := h.services[service]; known {
			h.confinedPools[pool] = true
		}
	}
	h.log.Info("confined services changed", zap.Strings("services", names))
}

// recordService records the pool of a service, which may be confined by what peers have
// seen before any task of it came here.
func (h *Holder) recordService(service medlargw.ServiceName, pool medlargw.PoolName) {
	h.services[service] = pool
	if h.attributor.IsConfined(service) {
		h.confinedPools[pool] = true
	}
}

// admits reports whether a task may start on a target as far as crashes are concerned.
// A suspect task runs alone; those of a confined service run on isolated targets, and
// all others on the rest while there is such a service.
func (h *Holder) admits(t *target, w *task) bool {
	switch {
	case w.offered.Suspect:
		return t.reserved && len(t.runs) == 0
	case t.isHeldForSuspect():
		return false
	}
	return h.isAdmittedTo(t, w)
}

// isAdmittedTo reports whether a target is one of those on which the task may ever
// start.
func (h *Holder) isAdmittedTo(t *target, w *task) bool {
	if !h.confinedPools[t.info.Pool] {
		return true
	}
	return t.isolated == (w.offered.Suspect || h.attributor.IsConfined(w.offered.Service))
}

// isAdmitted reports whether this entry holds a target that it will keep and on which
// the task may start.
func (h *Holder) isAdmitted(now time.Time, w *task) bool {
	if !h.confinedPools[w.offered.Pool] {
		return true
	}
	return slices.ContainsFunc(h.sorted, func(t *target) bool {
		return t.info.Pool == w.offered.Pool && t.isKept(now, &h.settings) && !t.evacuated && h.isAdmittedTo(t, w)
	})
}

// isHeldForSuspect reports whether a suspect task runs on the target, or waits for it.
func (t *target) isHeldForSuspect() bool {
	if t.reserved {
		return true
	}
	for _, r := range t.runs {
		if r.task != nil && r.task.offered.Suspect {
			return true
		}
	}
	return false
}

// reserve chooses the targets that are left to the suspect tasks which wait: those with
// the fewest runs, isolated ones if this entry holds any that the task can use. At most
// half of them are reserved at a time.
func (h *Holder) reserve(now time.Time) {
	waiting := map[medlargw.PoolName][]*task{}
	for _, w := range h.waiting {
		if w.offered.Suspect {
			waiting[w.offered.Pool] = append(waiting[w.offered.Pool], w)
		}
	}
	for _, t := range h.sorted {
		t.reserved = false
	}
	for pool, tasks := range waiting {
		isolated, others := h.suspectTargets(now, pool)
		if h.confinedPools[pool] {
			reserveFor(tasks, isolated, len(isolated)/2)
			continue
		}
		rest := reserveFor(tasks, isolated, max(len(isolated)/2, 1))
		reserveFor(rest, others, max(len(others)/2, 1))
	}
}

// reserveFor reserves a target for each task, up to the limit, and returns the tasks that
// can use none of the targets.
func reserveFor(tasks []*task, targets []*target, limit int) []*task {
	var rest []*task
	for _, w := range tasks {
		canUse := func(t *target) bool {
			return t.info.Resources.Covers(w.offered.Resources) && !slices.Contains(w.offered.Avoid, t.info.Name)
		}
		if !slices.ContainsFunc(targets, canUse) {
			rest = append(rest, w)
			continue
		}
		i := slices.IndexFunc(targets, func(t *target) bool { return !t.reserved && canUse(t) })
		if limit > 0 && i >= 0 {
			targets[i].reserved = true
			limit--
		}
	}
	return rest
}

// suspectTargets returns the targets of a pool that suspect tasks may use, isolated ones
// and others, each with those with the fewest runs first.
func (h *Holder) suspectTargets(now time.Time, pool medlargw.PoolName) (isolated, others []*target) {
	for _, t := range h.sorted {
		switch {
		case t.info.Pool != pool || !t.usable(now, &h.settings) || t.isHeldForSuspect():
		case t.isolated:
			isolated = append(isolated, t)
		default:
			others = append(others, t)
		}
	}
	byRuns := func(a, b *target) int { return cmp.Compare(len(a.runs), len(b.runs)) }
	slices.SortStableFunc(isolated, byRuns)
	slices.SortStableFunc(others, byRuns)
	return isolated, others
}
