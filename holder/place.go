package holder

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// place starts what waits and fits. Tasks that can still be in time go before
// those that can't, which get what is left.
func (h *Holder) place(now time.Time) {
	if len(h.waiting) == 0 {
		return
	}
	for _, t := range h.order {
		t.decay(now)
	}
	for _, late := range []bool{false, true} {
		for _, w := range slices.Clone(h.waiting) {
			if now.After(w.latest()) != late {
				continue
			}
			if now.Sub(w.home.heard) > h.settings.Silence {
				continue // Its home is about to be abandoned.
			}
			if t := h.pick(now, w, late); t != nil {
				h.unwait(w)
				h.start(now, t, w)
			}
		}
	}
}

// pick returns the target that keeps the least room free beside the task, or
// nil. A target where the task would end too late is left out, unless it is
// late everywhere.
func (h *Holder) pick(now time.Time, w *task, late bool) *target {
	var best *target
	for _, t := range h.order {
		if t.info.Pool != w.offered.Pool || !t.free.Holds(w.offered.Room) || !t.usable(now, h.settings.Unlisted) {
			continue
		}
		if slices.Contains(w.offered.Avoid, t.info.Name) {
			continue
		}
		if t.slowness >= slowTarget && !late && now.Add(t.expected(w)).After(w.due) {
			continue
		}
		if best == nil || h.better(t, best) {
			best = t
		}
	}
	return best
}

// expected returns the run time of the task on the target.
func (t *target) expected(w *task) time.Duration {
	return time.Duration(float64(w.offered.Estimate) * t.slowness)
}

// better prefers targets that are not slow, then the one with the least room.
func (h *Holder) better(a, b *target) bool {
	if slowA, slowB := a.slowness >= slowTarget, b.slowness >= slowTarget; slowA != slowB {
		return slowB
	}
	return a.free.Cores < b.free.Cores
}

// start orders a run.
func (h *Holder) start(now time.Time, t *target, w *task) {
	r := &run{
		id:     w.offered.Run,
		room:   w.offered.Room,
		task:   w,
		target: t,
		sent:   now,
		until:  t.clockNow(now, h.settings.Drift) + h.settings.Lease,
	}
	w.run = r
	t.put(r)
	t.until = max(t.until, r.until)
	order := medlargw.StartOrder{Run: r.id, Payload: w.offered.Payload, Until: r.until, Fence: t.fence}
	h.actions.Starts = append(h.actions.Starts, medlargw.StartCommand{Target: t.info, Order: order})
	h.actions.Reports = append(h.actions.Reports, medlargw.TaskReport{
		Home: w.home.peer, ID: w.offered.ID, Event: medlargw.TaskStarted, Target: t.info.Name,
	})
}

// stop orders the end of a run. It is repeated until it is answered.
func (h *Holder) stop(now time.Time, r *run, reason string) {
	r.stopping = true
	r.reason = reason
	r.stopSent = now
	order := medlargw.StopOrder{Run: r.id, Fence: r.target.fence}
	h.actions.Stops = append(h.actions.Stops, medlargw.StopCommand{Target: r.target.info, Order: order})
}
