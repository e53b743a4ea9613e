package holder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// HandleOffer handles a home's offer. The parameter clock is the current time on
// this entry's clock, to which medlargw.Offer.ValidUntil refers. An offer that is
// meant for a former incarnation of this entry has no effect: its validity refers
// to another clock.
func (h *Holder) HandleOffer(now time.Time, clock time.Duration, o *medlargw.Offer) medlargw.OfferReply {
	reply := medlargw.OfferReply{Incarnation: h.self.Incarnation, Clock: clock}
	if o.Holder != 0 && o.Holder != h.self.Incarnation {
		return reply // The home finds that its offer has not reached the holder.
	}
	stale := clock > o.ValidUntil
	m := h.ensureHome(now, medlargw.Peer{Host: o.From.Host, Zone: o.From.Zone, Addr: o.From.Addr, Incarnation: o.From.Incarnation})
	if !stale { // A late message does not prove that the home is alive now.
		if h.isOverdue(now, m) {
			h.cancelAll(now, m, "home silent") // It may have given up to tell this entry what it gave up.
		}
		m.hear(now, clock, o.ValidUntil, h.lag)
	}
	for _, id := range o.Cancels {
		reply.States = append(reply.States, medlargw.OfferedState{ID: id, State: h.cancel(now, m, id)})
	}
	for _, id := range o.Recalls {
		if w := m.tasks[id]; w != nil && !stale {
			w.confirm(m.vouchedAt)
		}
		state := h.recall(now, m, id)
		h.logEnded(now, m, id, state)
		reply.States = append(reply.States, medlargw.OfferedState{ID: id, State: state})
	}
	if stale {
		reply.States = append(reply.States, h.expire(now, m, o.Tasks)...)
	} else {
		reply.States = append(reply.States, h.offered(now, m, o.Tasks)...)
	}
	reply.FreeResources = h.FreeResources(now)
	return reply
}

// offered accepts and places the tasks of a valid offer, and returns their
// states.
func (h *Holder) offered(now time.Time, m *home, tasks []medlargw.OfferedTask) []medlargw.OfferedState {
	states := make([]medlargw.OfferedState, len(tasks))
	added := h.accept(now, m, tasks)
	firstNew := len(h.actions.Reports)
	h.place(now)
	h.dropDuplicateReports(m, firstNew, added)
	for i := range tasks {
		states[i] = medlargw.OfferedState{ID: tasks[i].ID, State: h.offeredState(now, m, &tasks[i], added[i])}
		if w := m.tasks[tasks[i].ID]; w != nil && w.run != nil {
			states[i].Target = w.run.target.info.Name
		}
		if added[i] == nil {
			h.logEnded(now, m, states[i].ID, states[i].State)
		}
	}
	return states
}

// expire returns the states of the tasks of an offer that arrived after the end
// of its validity. A task that an earlier copy of the offer has brought keeps
// its state. Any other one is recorded as returned, so that a later copy does
// not start it: its home offers it to another holder.
func (h *Holder) expire(now time.Time, m *home, tasks []medlargw.OfferedTask) []medlargw.OfferedState {
	if len(tasks) > 0 {
		h.log.Debug("stale offer", zap.String("home", string(m.peer.Host)), zap.Int("tasks", len(tasks)))
	}
	states := make([]medlargw.OfferedState, len(tasks))
	for i := range tasks {
		id := tasks[i].ID
		states[i].ID = id
		switch w := m.tasks[id]; {
		case w != nil && w.isBound():
			states[i].State = medlargw.OfferStarted
		case w != nil:
			states[i].State = medlargw.OfferQueued
		case m.hasEnded(id):
			states[i].State = h.endedState(m, id)
		default:
			m.ended[id] = endedTask{at: now}
			states[i].State = medlargw.OfferExpired
		}
		h.logStale(now, m, &tasks[i], states[i].State)
	}
	return states
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
		if h.mustHold(w) {
			h.hold(w)
		} else {
			h.enqueue(w)
		}
		h.recordService(o.Service, o.Pool)
		added[i] = w
	}
	return added
}

// endedState returns the state of a task that has ended, was returned or was
// handed over. It repeats the report of an end, because the first one may have
// been lost.
func (h *Holder) endedState(m *home, id medlargw.TaskID) medlargw.OfferState {
	e := m.ended[id]
	switch {
	case e.to != "":
		return medlargw.OfferStarted
	case e.report.Home.Incarnation == 0:
		return medlargw.OfferRefused
	}
	h.actions.Reports = append(h.actions.Reports, e.report)
	return medlargw.OfferStarted
}

// hasEnded reports whether a task has ended here, was returned or was handed
// over.
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
	case w.isBound():
		return medlargw.OfferStarted
	case added == nil || o.MayQueue && !h.isEvacuated(now, o.Pool) && h.isAdmitted(now, w):
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
	case w.isBound():
		return medlargw.OfferStarted
	}
	h.dequeue(w)
	if w.told { // Its target refused the order. The home would ignore that the task is refused.
		h.endTask(now, w, medlargw.TaskReturned, nil, "recalled after a refused start")
		return medlargw.OfferStarted
	}
	h.forget(now, w)
	return medlargw.OfferRefused
}

// isBound reports whether the task must not start elsewhere: it has a run here, or
// another submission of its job has.
func (w *task) isBound() bool { return w.run != nil || w.held }

// cancel stops a task that was started, and returns one that was not. One that waits for
// a run of another submission is returned when that has ended.
func (h *Holder) cancel(now time.Time, m *home, id medlargw.TaskID) medlargw.OfferState {
	state := h.recall(now, m, id)
	if w := m.tasks[id]; w != nil && w.run != nil {
		h.abandonRun(now, w.run, "cancelled")
	}
	return state
}
