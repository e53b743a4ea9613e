package holder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// HandleOffer handles a home's offer. The parameter clock is the current time
// on this entry's clock, to which medlargw.Offer.ValidUntil refers.
func (h *Holder) HandleOffer(now time.Time, clock time.Duration, o *medlargw.Offer) medlargw.OfferReply {
	reply := medlargw.OfferReply{Incarnation: h.self.Incarnation, Clock: clock}
	if len(o.Tasks) > 0 && clock > o.ValidUntil {
		h.log.Debug("stale offer refused", zap.String("home", string(o.From.Host)), zap.Duration("late", clock-o.ValidUntil))
		for i := range o.Tasks {
			reply.States = append(reply.States, medlargw.OfferedState{ID: o.Tasks[i].ID, State: medlargw.OfferExpired})
		}
		reply.FreeResources = h.FreeResources(now)
		return reply
	}
	m := h.ensureHome(now, medlargw.Peer{Host: o.From.Host, Zone: o.From.Zone, Addr: o.From.Addr, Incarnation: o.From.Incarnation})
	if clock <= o.ValidUntil {
		m.lastHeard = now // A late message does not prove that the home is alive now.
	}
	for _, id := range o.Cancels {
		reply.States = append(reply.States, medlargw.OfferedState{ID: id, State: h.cancel(now, m, id)})
	}
	for _, id := range o.Recalls {
		reply.States = append(reply.States, medlargw.OfferedState{ID: id, State: h.recall(now, m, id)})
	}
	added := h.accept(now, m, o.Tasks)
	firstNew := len(h.actions.Reports)
	h.place(now)
	h.dropDuplicateReports(m, firstNew, added)
	for i := range o.Tasks {
		state := h.offeredState(now, m, &o.Tasks[i], added[i])
		reply.States = append(reply.States, medlargw.OfferedState{ID: o.Tasks[i].ID, State: state})
	}
	reply.FreeResources = h.FreeResources(now)
	return reply
}

// dropDuplicateReports removes the reports of starts, from the given index on,
// that the reply to the offer already contains.
func (h *Holder) dropDuplicateReports(m *home, from int, added []*task) {
	kept := slices.DeleteFunc(h.actions.Reports[from:], func(e medlargw.TaskReport) bool {
		return e.Event == medlargw.TaskStarted && e.Home.Incarnation == m.peer.Incarnation &&
			slices.ContainsFunc(added, func(w *task) bool { return w != nil && w.offered.ID == e.ID })
	})
	h.actions.Reports = h.actions.Reports[:from+len(kept)]
}

// accept queues the new tasks of an offer. The result has one element for each
// offered task, nil where the task is already known.
func (h *Holder) accept(now time.Time, m *home, offered []medlargw.OfferedTask) []*task {
	added := make([]*task, len(offered))
	for i := range offered {
		o := &offered[i]
		if m.tasks[o.ID] != nil || m.hasEnded(o.ID) {
			continue
		}
		w := &task{home: m, offered: *o, due: now.Add(o.TimeToObjective), deadline: now.Add(o.TimeToDeadline)}
		m.add(w)
		h.enqueue(w)
		added[i] = w
	}
	return added
}

// endedState returns the state of a task that has ended or was returned. It
// repeats the report of an end, because the first one may have been lost.
func (h *Holder) endedState(m *home, id medlargw.TaskID) medlargw.OfferState {
	e := m.ended[id]
	if e.report.Home.Incarnation == 0 {
		return medlargw.OfferRefused
	}
	h.actions.Reports = append(h.actions.Reports, e.report)
	return medlargw.OfferStarted
}

// hasEnded reports whether a task has ended here or was returned.
func (m *home) hasEnded(id medlargw.TaskID) bool {
	_, ok := m.ended[id]
	return ok
}

// offeredState returns the state of an offered task after the placement. A new
// task that could not be started and may not be queued is returned.
func (h *Holder) offeredState(now time.Time, m *home, o *medlargw.OfferedTask, added *task) medlargw.OfferState {
	w := m.tasks[o.ID]
	switch {
	case w == nil:
		return h.endedState(m, o.ID)
	case w.run != nil:
		return medlargw.OfferStarted
	case o.MayQueue || added == nil:
		return medlargw.OfferQueued
	}
	h.dequeue(w)
	h.forget(now, w)
	return medlargw.OfferRefused
}

// recall returns a task to its home unless it was started.
func (h *Holder) recall(now time.Time, m *home, id medlargw.TaskID) medlargw.OfferState {
	w := m.tasks[id]
	switch {
	case w == nil && !m.hasEnded(id):
		m.ended[id] = endedTask{at: now} // The offer may arrive after its recall.
		return medlargw.OfferRefused
	case w == nil:
		return h.endedState(m, id)
	case w.run != nil:
		return medlargw.OfferStarted
	}
	h.dequeue(w)
	h.forget(now, w)
	return medlargw.OfferRefused
}

// cancel stops a task that was started, and returns one that was not.
func (h *Holder) cancel(now time.Time, m *home, id medlargw.TaskID) medlargw.OfferState {
	state := h.recall(now, m, id)
	if w := m.tasks[id]; w != nil && w.run != nil && !w.run.stopping {
		h.stopRun(now, w.run, "cancelled")
	}
	return state
}
