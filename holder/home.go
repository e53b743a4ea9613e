package holder

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// remembered is the time for which the ids of ended tasks are kept, so that an
// offer that arrives twice does not start them again. It is longer than any
// offer can be on its way.
const remembered = 10 * time.Second

// home is an entry whose tasks are here.
type home struct {
	peer  medlargw.Peer
	heard time.Time
	tasks map[medlargw.TaskID]*task
	jobs  map[uint64]*siblings
	ended map[medlargw.TaskID]ending
	swept time.Time // When the old ones of them were forgotten.
}

// ending is what is remembered of a task that has ended here.
type ending struct {
	at     time.Time
	report medlargw.TaskReport // Without a home when it was only given back.
}

// siblings are the tasks of one job that are here.
type siblings struct {
	tasks   map[medlargw.TaskID]*task
	fastest float64 // The least run time of an ended one, by its estimate; zero is none.
}

// add takes in a task.
func (m *home) add(w *task) {
	m.tasks[w.offered.ID] = w
	s := m.jobs[w.offered.Job]
	if s == nil {
		s = &siblings{tasks: map[medlargw.TaskID]*task{}}
		m.jobs[w.offered.Job] = s
	}
	s.tasks[w.offered.ID] = w
	w.siblings = s
}

// remove forgets a task.
func (m *home) remove(w *task) {
	delete(m.tasks, w.offered.ID)
	delete(w.siblings.tasks, w.offered.ID)
	if len(w.siblings.tasks) == 0 {
		delete(m.jobs, w.offered.Job)
	}
}

// task is an offered task that has not ended.
type task struct {
	home     *home
	offered  medlargw.OfferedTask
	due      time.Time
	deadline time.Time
	run      *run // Nil while it waits.
	siblings *siblings
}

// latest returns the time at which the task must start to end when it is due.
func (w *task) latest() time.Time { return w.due.Add(-w.offered.Estimate) }

// byPrecedence orders waiting tasks: by the rank of the class, then by the
// latest start.
func byPrecedence(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.offered.Rank, b.offered.Rank),
		a.latest().Compare(b.latest()),
		cmp.Compare(a.offered.ID, b.offered.ID),
	)
}

func (h *Holder) home(now time.Time, peer medlargw.Peer) *home {
	m := h.homes[peer.Incarnation]
	if m == nil {
		m = &home{peer: peer, tasks: map[medlargw.TaskID]*task{}, jobs: map[uint64]*siblings{}, ended: map[medlargw.TaskID]ending{}}
		h.homes[peer.Incarnation] = m
		m.heard = now
	}
	m.peer = peer
	return m
}

// wait puts a task into the queue.
func (h *Holder) wait(w *task) {
	w.run = nil
	at, _ := slices.BinarySearchFunc(h.waiting, w, byPrecedence)
	h.waiting = slices.Insert(h.waiting, at, w)
}

// unwait takes a task out of the queue.
func (h *Holder) unwait(w *task) {
	h.waiting = slices.DeleteFunc(h.waiting, func(other *task) bool { return other == w })
}

// requeue lets a task wait again whose order was proven not carried out.
func (h *Holder) requeue(now time.Time, r *run) {
	w := r.task
	r.target.take(r)
	switch {
	case w == nil:
	case r.stopping:
		h.end(now, w, medlargw.TaskStopped, r, r.reason)
	default:
		h.wait(w)
	}
}

// end reports the last event of a task and forgets it.
func (h *Holder) end(now time.Time, w *task, event medlargw.TaskEvent, r *run, reason string) {
	report := medlargw.TaskReport{Home: w.home.peer, ID: w.offered.ID, Event: event, Reason: reason}
	if r != nil {
		report.Target = r.target.info.Name
		if !r.acked.IsZero() {
			report.Elapsed = now.Sub(r.acked)
		}
	}
	h.forget(now, w)
	w.home.ended[w.offered.ID] = ending{at: now, report: report}
	h.actions.Reports = append(h.actions.Reports, report)
}

func (h *Holder) forget(now time.Time, w *task) {
	w.home.remove(w)
	w.home.ended[w.offered.ID] = ending{at: now}
}

// expireHomes stops the tasks of homes that have fallen silent: their callers
// may ask again elsewhere.
func (h *Holder) expireHomes(now time.Time) {
	for _, m := range h.homesInOrder() {
		if now.Sub(m.heard) > h.settings.Silence && len(m.tasks) > 0 {
			h.abandon(now, m, "home silent")
		}
		if now.Sub(m.swept) > remembered/10 {
			m.sweep(now)
		}
		if now.Sub(m.heard) > 2*remembered && len(m.tasks) == 0 {
			delete(h.homes, m.peer.Incarnation)
		}
	}
}

// sweep forgets the tasks that ended long ago.
func (m *home) sweep(now time.Time) {
	m.swept = now
	for id, e := range m.ended {
		if now.Sub(e.at) > remembered {
			delete(m.ended, id)
		}
	}
}

func (h *Holder) homesInOrder() []*home {
	all := make([]*home, 0, len(h.homes))
	for _, m := range h.homes {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *home) int { return cmp.Compare(a.peer.Incarnation, b.peer.Incarnation) })
	return all
}

// abandon stops all tasks of a home.
func (h *Holder) abandon(now time.Time, m *home, reason string) {
	stopped := 0
	for _, w := range tasksInOrder(m) {
		if w.run == nil {
			h.unwait(w)
			h.end(now, w, medlargw.TaskReturned, nil, reason)
			continue
		}
		if !w.run.stopping {
			stopped++
			h.stop(now, w.run, reason)
		}
	}
	if stopped > 0 {
		h.log.Info("tasks of a home stopped", zap.String("home", string(m.peer.Host)), zap.String("reason", reason),
			zap.Int("runs", stopped), zap.Duration("silent", now.Sub(m.heard)))
	}
}

func tasksInOrder(m *home) []*task {
	all := make([]*task, 0, len(m.tasks))
	for _, w := range m.tasks {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *task) int { return cmp.Compare(a.offered.ID, b.offered.ID) })
	return all
}

// dropExpired gives back the waiting tasks whose end would have no worth.
func (h *Holder) dropExpired(now time.Time) {
	for _, w := range slices.Clone(h.waiting) {
		if now.Add(w.offered.Estimate).After(w.deadline) {
			h.unwait(w)
			h.end(now, w, medlargw.TaskReturned, nil, "deadline")
		}
	}
}
