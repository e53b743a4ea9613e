package holder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// Offer takes a home's offer. The clock is this entry's, in the terms of
// medlargw.Offer.Valid.
func (h *Holder) Offer(now time.Time, clock time.Duration, o *medlargw.Offer) medlargw.OfferReply {
	reply := medlargw.OfferReply{Incarnation: h.self.Incarnation, Clock: clock}
	if len(o.Tasks) > 0 && clock > o.Valid {
		h.log.Debug("stale offer refused", zap.String("home", string(o.From.Host)), zap.Duration("late", clock-o.Valid))
		for i := range o.Tasks {
			reply.States = append(reply.States, medlargw.OfferedState{ID: o.Tasks[i].ID, State: medlargw.OfferStale})
		}
		reply.Room = h.Room(now)
		return reply
	}
	m := h.home(now, medlargw.Peer{Host: o.From.Host, Zone: o.From.Zone, Addr: o.From.Addr, Incarnation: o.From.Incarnation})
	if clock <= o.Valid {
		m.heard = now // An old message says nothing of the home's present.
	}
	for _, id := range o.Cancels {
		reply.States = append(reply.States, medlargw.OfferedState{ID: id, State: h.cancel(now, m, id)})
	}
	for _, id := range o.Recalls {
		reply.States = append(reply.States, medlargw.OfferedState{ID: id, State: h.recall(now, m, id)})
	}
	fresh := h.accept(now, m, o.Tasks)
	reported := len(h.actions.Reports)
	h.place(now)
	h.untell(m, reported, fresh)
	for i := range o.Tasks {
		state := h.settle(now, m, &o.Tasks[i], fresh[i])
		reply.States = append(reply.States, medlargw.OfferedState{ID: o.Tasks[i].ID, State: state})
	}
	reply.Room = h.Room(now)
	return reply
}

// untell drops the reports of starts that the answer to the offer tells too.
func (h *Holder) untell(m *home, from int, fresh []*task) {
	kept := slices.DeleteFunc(h.actions.Reports[from:], func(e medlargw.TaskReport) bool {
		return e.Event == medlargw.TaskStarted && e.Home.Incarnation == m.peer.Incarnation &&
			slices.ContainsFunc(fresh, func(w *task) bool { return w != nil && w.offered.ID == e.ID })
	})
	h.actions.Reports = h.actions.Reports[:from+len(kept)]
}

// accept lets the new tasks of an offer wait, and returns which are new.
func (h *Holder) accept(now time.Time, m *home, offered []medlargw.OfferedTask) []*task {
	fresh := make([]*task, len(offered))
	for i := range offered {
		o := &offered[i]
		if m.tasks[o.ID] != nil || m.hasEnded(o.ID) {
			continue
		}
		w := &task{home: m, offered: *o, due: now.Add(o.Due), deadline: now.Add(o.Deadline)}
		m.add(w)
		h.wait(w)
		fresh[i] = w
	}
	return fresh
}

// endedState returns the state of a task that has ended or was given back, and
// reports its end again: the first report may be lost.
func (h *Holder) endedState(m *home, id medlargw.TaskID) medlargw.OfferState {
	e := m.ended[id]
	if e.report.Home.Incarnation == 0 {
		return medlargw.OfferRefused
	}
	h.actions.Reports = append(h.actions.Reports, e.report)
	return medlargw.OfferStarted
}

// hasEnded reports whether a task has ended here or was given back.
func (m *home) hasEnded(id medlargw.TaskID) bool {
	_, ok := m.ended[id]
	return ok
}

// settle returns the state of an offered task after the placement, and gives
// back a new one that may not wait here.
func (h *Holder) settle(now time.Time, m *home, o *medlargw.OfferedTask, fresh *task) medlargw.OfferState {
	w := m.tasks[o.ID]
	switch {
	case w == nil:
		return h.endedState(m, o.ID)
	case w.run != nil:
		return medlargw.OfferStarted
	case o.Queue || fresh == nil:
		return medlargw.OfferQueued
	}
	h.unwait(w)
	h.forget(now, w)
	return medlargw.OfferRefused
}

// recall gives a task back that was not started.
func (h *Holder) recall(now time.Time, m *home, id medlargw.TaskID) medlargw.OfferState {
	w := m.tasks[id]
	switch {
	case w == nil && !m.hasEnded(id):
		m.ended[id] = ending{at: now} // The offer may still be on its way.
		return medlargw.OfferRefused
	case w == nil:
		return h.endedState(m, id)
	case w.run != nil:
		return medlargw.OfferStarted
	}
	h.unwait(w)
	h.forget(now, w)
	return medlargw.OfferRefused
}

// cancel stops a task or gives it back.
func (h *Holder) cancel(now time.Time, m *home, id medlargw.TaskID) medlargw.OfferState {
	state := h.recall(now, m, id)
	if w := m.tasks[id]; w != nil && w.run != nil && !w.run.stopping {
		h.stop(now, w.run, "cancelled")
	}
	return state
}
