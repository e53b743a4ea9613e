package holder

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/averager"
	"medlargw.example/medlargw/guarantor"
	"medlargw.example/medlargw/selector"
)

// maxCredit is the number of starts that a class with a minimum share may be owed.
const maxCredit = 2

// place starts the waiting tasks that fit, while the network link can take their
// payloads: first those of a class that is owed a start and that can still end by their
// due time, then the others by rank. Within a rank, late tasks come last. They go before
// less urgent ones, since the rest of their jobs has run or is running. Where classes have
// minimum shares of the starts, late tasks come after all others.
func (h *Holder) place(now time.Time) {
	h.returnHeld(now)
	if len(h.waiting) == 0 {
		return
	}
	for _, t := range h.sorted {
		t.decay(now)
	}
	h.reserve(now)
	if len(h.minShares) > 0 {
		h.placeWaiting(now, func(w *task) bool { return !w.isLate(now) && h.isOwed(w) })
	}
	h.placeWaiting(now, nil)
}

// placeWaiting starts the waiting tasks that fit, and that the filter accepts when it
// is their turn; nil accepts all.
func (h *Holder) placeWaiting(now time.Time, filter func(w *task) bool) {
	for _, w := range h.byTurn(now) {
		if filter != nil && !filter(w) {
			continue
		}
		if w.home.silent(now, &h.settings) {
			continue // The tasks of its home are about to be cancelled.
		}
		if h.mustHold(w) {
			h.dequeue(w)
			h.hold(w)
			continue
		}
		if h.pacer.Busy(now) {
			return
		}
		if t := h.pickTarget(now, w, w.isLate(now)); t != nil {
			h.dequeue(w)
			h.startRun(now, t, w)
		}
	}
}

// byTurn returns the waiting tasks in the order in which they start.
func (h *Holder) byTurn(now time.Time) []*task {
	all := make([]*task, 0, len(h.waiting))
	if len(h.minShares) > 0 {
		return appendLateLast(all, now, h.waiting)
	}
	for rest := h.waiting; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].offered.Rank == rest[0].offered.Rank {
			n++
		}
		all = appendLateLast(all, now, rest[:n])
		rest = rest[n:]
	}
	return all
}

// appendLateLast appends the tasks that are on time, and then the late ones.
func appendLateLast(to []*task, now time.Time, tasks []*task) []*task {
	var late []*task
	for _, w := range tasks {
		if w.isLate(now) {
			late = append(late, w)
		} else {
			to = append(to, w)
		}
	}
	return append(to, late...)
}

// SetMinShares replaces the minimum shares of the starts, by rank.
func (h *Holder) SetMinShares(shares map[int]float64) {
	h.minShares = shares
	for _, a := range h.starts {
		a.SetShares(shares)
	}
}

// isOwed reports whether the next start in its pool is owed to the rank of a task.
func (h *Holder) isOwed(w *task) bool {
	a := h.starts[w.offered.Pool]
	return a != nil && a.Owed(w.offered.Rank)
}

// pickTarget returns the target for the task, or nil if there is none.
func (h *Holder) pickTarget(now time.Time, w *task, late bool) *target {
	var best *target
	contended := len(h.waiting) > 1
	s := selector.New(w.offered.Estimate, w.due.Sub(now), late, contended)
	for _, t := range h.sorted {
		if t.info.Pool != w.offered.Pool || !t.free.Covers(w.offered.Resources) || !t.usable(now, &h.settings) {
			continue
		}
		if !h.admits(t, w) || slices.Contains(w.offered.Avoid, t.info.Name) {
			continue
		}
		// A lease is never shortened.
		if t.leaseEnd-t.clockLowerBound(now, h.settings.Drift) > w.leaseLeft(now, &h.settings) {
			continue
		}
		if s.Consider(t.free.Cores, t.expectedSlowness(), t.slowness >= slowThreshold, t.isCold(now)) {
			best = t
		}
	}
	return best
}

// expectedRunTime returns the expected run time of the task on the target.
func (t *target) expectedRunTime(w *task) time.Duration {
	return time.Duration(float64(w.offered.Estimate) * t.expectedSlowness())
}

// expectedSlowness returns the expected run time of a task on the target, divided
// by that on a target of usual speed. It includes the recent slowness only where
// that shows a fault.
func (t *target) expectedSlowness() float64 {
	if t.slowness >= slowThreshold {
		return t.rater.Slowness() * t.slowness
	}
	return t.rater.Slowness()
}

// startRun creates the start order of a run.
func (h *Holder) startRun(now time.Time, t *target, w *task) {
	r := &run{
		id:        w.offered.Run,
		resources: w.offered.Resources,
		task:      w,
		target:    t,
		sent:      now,
		cold:      t.isCold(now),
		leaseEnd:  t.clockLowerBound(now, h.settings.Drift) + min(t.leaseLeft(now, &h.settings), w.leaseLeft(now, &h.settings)),
	}
	r.token = t.token
	t.grants.current++
	t.leasedAt = now
	w.run = r
	w.told = true
	t.addRun(r)
	h.countStart(now, w)
	t.leaseEnd = max(t.leaseEnd, r.leaseEnd)
	order := medlargw.StartOrder{Run: r.id, Payload: w.offered.Payload, LeaseEnd: r.leaseEnd, FenceToken: t.token}
	h.pacer.Add(now, medlargw.OrderBytes+len(order.Payload))
	h.actions.Starts = append(h.actions.Starts, medlargw.StartCommand{Target: t.info, Order: order, DecidedAt: now})
	h.logStart(r)
	h.actions.Reports = append(h.actions.Reports, medlargw.TaskReport{
		Home: w.home.peer, ID: w.offered.ID, Event: medlargw.TaskStarted, Target: t.info.Name,
	})
}

// countStart counts the work of a task that is started.
func (h *Holder) countStart(now time.Time, w *task) {
	a := h.startedWork[w.offered.Pool]
	if a == nil {
		a = &averager.Averager{}
		h.startedWork[w.offered.Pool] = a
	}
	if len(h.minShares) > 0 {
		h.account(w.offered.Pool).Charge(w.offered.Rank, 1)
	}
	a.Add(now, float64(w.offered.Resources.Work(1, w.offered.Estimate)))
}

// account returns the account of the minimum shares in a pool.
func (h *Holder) account(pool medlargw.PoolName) *guarantor.Guarantor {
	a := h.starts[pool]
	if a == nil {
		a = guarantor.New(maxCredit)
		a.SetShares(h.minShares)
		h.starts[pool] = a
	}
	return a
}

// stopRun creates the stop order of a run. The order is sent again until it is
// answered.
func (h *Holder) stopRun(now time.Time, r *run, reason string) {
	r.stopping = true
	r.reason = reason
	r.stopSent = now
	order := medlargw.StopOrder{Run: r.id, FenceToken: r.target.token}
	h.actions.Stops = append(h.actions.Stops, medlargw.StopCommand{Target: r.target.info, Order: order})
}

// abandonRun stops a run whose job was given up. Its home doesn't wait for the
// proof of its end.
func (h *Holder) abandonRun(now time.Time, r *run, reason string) {
	if r.abandonedAt.IsZero() {
		r.abandonedAt = now
	}
	if !r.stopping {
		h.stopRun(now, r, reason)
	}
}
