package holder

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// endedRetention is the time for which the IDs of ended tasks are kept, so that
// a duplicate offer does not start them again. It is longer than an offer can
// be in transit.
const endedRetention = 10 * time.Second

// home is the state of one home: an entry that offers tasks.
type home struct {
	peer      medlargw.Peer
	lastHeard time.Time
	heardLag  time.Duration // How late this entry acted at lastHeard.
	own       bool          // It is this entry, whose messages take no time.
	// When the latest message of the home was made, at the earliest. What it had given up
	// by then, it has told in that message.
	vouchedAt time.Time
	tasks     map[medlargw.TaskID]*task
	jobs      map[uint64]*jobTasks
	ended     map[medlargw.TaskID]endedTask
	prunedAt  time.Time // Last removal of old elements of ended.
}

// endedTask is the record of a task that has ended here, was returned or was
// handed over.
type endedTask struct {
	at     time.Time
	report medlargw.TaskReport // Zero if there was none.
	run    medlargw.RunID
	to     medlargw.HostName // The new holder of the task's target; empty unless the run was handed over.
}

// jobTasks are the tasks of one job at this holder.
type jobTasks struct {
	tasks    map[medlargw.TaskID]*task
	minRatio float64 // Least ratio of the completed tasks; zero if none.
	// The runs that were completed while the job has tasks here.
	completed []completedRun
}

// completedRun is the ratio of run time to estimate of a run, as if its target
// was of usual speed.
type completedRun struct {
	target *target
	ratio  float64
}

// silent reports whether the home was not heard from for LeaseSettings.Silence. No
// lease of its runs is renewed then, and none of its tasks starts.
func (m *home) silent(now time.Time, s *medlargw.LeaseSettings) bool {
	return now.Sub(m.lastHeard) > s.Silence
}

// hear records a message that is valid until the given time on this entry's clock;
// zero is unknown.
func (m *home) hear(now time.Time, clock, validUntil, lag time.Duration) {
	m.lastHeard, m.heardLag = now, lag
	age := time.Duration(0)
	if validUntil > 0 && !m.own {
		age = max(0, clock-(validUntil-medlargw.OfferValidity))
	}
	if made := now.Add(-age); made.After(m.vouchedAt) {
		m.vouchedAt = made
	}
}

func (m *home) add(w *task) {
	m.tasks[w.offered.ID] = w
	s := m.jobs[w.offered.Job]
	if s == nil {
		s = &jobTasks{tasks: map[medlargw.TaskID]*task{}}
		m.jobs[w.offered.Job] = s
	}
	s.tasks[w.offered.ID] = w
	w.jobTasks = s
}

// remove deletes a task, and its job with its last task.
func (m *home) remove(w *task) {
	delete(m.tasks, w.offered.ID)
	delete(w.jobTasks.tasks, w.offered.ID)
	if len(w.jobTasks.tasks) == 0 {
		delete(m.jobs, w.offered.Job)
	}
}

// task is an offered task that has not ended.
type task struct {
	home     *home
	offered  medlargw.OfferedTask
	due      time.Time
	deadline time.Time
	run      *run // Nil while the task waits.
	held     bool // It waits for the end of another submission's run.
	told     bool // Its home was told that it has started.
	jobTasks *jobTasks
	// When the task was taken over with its run; zero is never. The home may not know
	// that yet, and may have given the task up.
	takenOver time.Time
	confirmed time.Time // When the home is first known to have known that; zero is not yet.
}

// isVouched reports whether the home would have told this entry that the task is given
// up. A home that does not know of the takeover tells the former holder.
func (w *task) isVouched() bool {
	return w.takenOver.IsZero() || !w.confirmed.IsZero() && !w.home.vouchedAt.Before(w.confirmed)
}

// confirm records that the home knew at a time that this entry has the run.
func (w *task) confirm(at time.Time) {
	if w.confirmed.IsZero() || at.Before(w.confirmed) {
		w.confirmed = at
	}
}

// leaseLeft returns the time from now for which the run of the task may have a lease,
// on its target's clock.
func (w *task) leaseLeft(now time.Time, s *medlargw.LeaseSettings) time.Duration {
	if !w.isVouched() {
		return 0
	}
	return max(0, s.RunOn()-now.Sub(w.home.vouchedAt))
}

// latestStart returns the latest start with which the task ends by its due
// time.
func (w *task) latestStart() time.Time { return w.due.Add(-w.offered.Estimate) }

// isLate reports whether the task can no longer end by its due time.
func (w *task) isLate(now time.Time) bool { return now.After(w.latestStart()) }

// byPrecedence orders waiting tasks by the rank of their class, then by their
// latest start.
func byPrecedence(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.offered.Rank, b.offered.Rank),
		a.latestStart().Compare(b.latestStart()),
		cmp.Compare(a.offered.ID, b.offered.ID),
	)
}

// ensureHome returns the state of a home, and creates it when it is missing.
func (h *Holder) ensureHome(now time.Time, peer medlargw.Peer) *home {
	m := h.homes[peer.Incarnation]
	if m == nil {
		m = &home{peer: peer, own: peer.Incarnation == h.self.Incarnation, tasks: map[medlargw.TaskID]*task{}, jobs: map[uint64]*jobTasks{}, ended: map[medlargw.TaskID]endedTask{}}
		h.homes[peer.Incarnation] = m
		m.lastHeard, m.vouchedAt = now, now
	}
	m.peer = peer
	return m
}

// enqueue inserts a task into the queue by its precedence.
func (h *Holder) enqueue(w *task) {
	w.run = nil
	at, _ := slices.BinarySearchFunc(h.waiting, w, byPrecedence)
	h.waiting = slices.Insert(h.waiting, at, w)
}

// dequeue removes a task from the queue.
func (h *Holder) dequeue(w *task) {
	h.waiting = slices.DeleteFunc(h.waiting, func(other *task) bool { return other == w })
}

// requeue removes a run whose start order is proven not to have been carried
// out, and queues its task again. If the run was being stopped, the task ends
// instead.
func (h *Holder) requeue(now time.Time, r *run) {
	w := r.task
	r.target.removeRun(r)
	switch {
	case w == nil:
	case r.stopping:
		h.endTask(now, w, medlargw.TaskStopped, r, r.reason)
	default:
		h.enqueue(w)
	}
}

// endTask reports the last event of a task and deletes the task.
func (h *Holder) endTask(now time.Time, w *task, event medlargw.TaskEvent, r *run, reason string) {
	report := medlargw.TaskReport{Home: w.home.peer, ID: w.offered.ID, Event: event, Reason: reason}
	if r != nil {
		report.Target = r.target.info.Name
		h.logAbandonedEnd(now, r, event)
		if !r.acked.IsZero() {
			report.Elapsed = time.Duration(float64(now.Sub(r.acked)) / r.target.rater.Slowness())
			h.attributor.RecordRun(now, w.offered.Service, now.Sub(r.acked))
		}
		// A run whose start was not answered may have crashed the target too.
		if event != medlargw.TaskSucceeded && event != medlargw.TaskFailed {
			report.Crash, report.Blame = r.crash, r.blame
		}
	}
	h.forget(now, w)
	w.home.ended[w.offered.ID] = endedTask{at: now, report: report, run: w.offered.Run}
	h.actions.Reports = append(h.actions.Reports, report)
}

// forget deletes a task and records it as returned without a report.
func (h *Holder) forget(now time.Time, w *task) {
	w.home.remove(w)
	w.home.ended[w.offered.ID] = endedTask{at: now, run: w.offered.Run}
}

// handOver deletes a task whose run the new holder of its target goes on with.
func (h *Holder) handOver(now time.Time, w *task, to medlargw.HostName) {
	w.home.remove(w)
	w.home.ended[w.offered.ID] = endedTask{at: now, run: w.offered.Run, to: to}
}

// maxStopDelay bounds the time for which this entry's own lag delays the stop of
// the runs of a silent home. They must end before the home's callers, who wait for
// at least 1.3 s, submit their jobs again.
const maxStopDelay = 250 * time.Millisecond

// expireHomes stops the tasks of homes that were not heard from for
// LeaseSettings.Silence, because their callers may submit the jobs again at
// another entry. While this entry lags, messages of the home may be there unread,
// so the stop waits, unless the last message was read late too. From Silence on,
// no task of the home starts and no lease of its runs is renewed in any case.
//
// The wait has an end by the time when the last message was made too: after RunOn from
// then, runs of other homes on the same targets would end.
func (h *Holder) expireHomes(now time.Time) {
	for _, m := range h.sortedHomes() {
		delay := max(0, min(h.lag, h.settings.Lag, maxStopDelay)-m.heardLag)
		if now.Sub(m.lastHeard) > h.settings.Silence+delay || h.isOverdue(now, m) {
			h.cancelAll(now, m, "home silent")
		} else {
			h.expireTakenOver(now, m)
		}
		if now.Sub(m.prunedAt) > endedRetention/10 {
			m.pruneEnded(now)
		}
		if now.Sub(m.lastHeard) > 2*endedRetention && len(m.tasks) == 0 {
			delete(h.homes, m.peer.Incarnation)
		}
	}
}

// isOverdue reports whether the tasks of a home must be stopped however late this entry
// acts, because the last message of the home was made too long ago.
func (h *Holder) isOverdue(now time.Time, m *home) bool {
	return now.Sub(m.vouchedAt) > h.settings.Silence+maxStopDelay
}

// expireTakenOver stops the runs that were taken over LeaseSettings.Silence ago and
// that their home has not vouched for since.
func (h *Holder) expireTakenOver(now time.Time, m *home) {
	var late []*task
	for _, w := range m.tasks {
		if w.run != nil && !w.isVouched() && now.Sub(w.takenOver) > h.settings.Silence {
			late = append(late, w)
		}
	}
	for _, w := range sortByID(late) {
		h.abandonRun(now, w.run, "home silent since the takeover")
	}
}

// pruneEnded removes the ended tasks that are past endedRetention.
func (m *home) pruneEnded(now time.Time) {
	m.prunedAt = now
	for id, e := range m.ended {
		if now.Sub(e.at) > endedRetention {
			delete(m.ended, id)
		}
	}
}

func (h *Holder) sortedHomes() []*home {
	all := make([]*home, 0, len(h.homes))
	for _, m := range h.homes {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *home) int { return cmp.Compare(a.peer.Incarnation, b.peer.Incarnation) })
	return all
}

// cancelAll stops the runs of a home, and returns its waiting tasks.
func (h *Holder) cancelAll(now time.Time, m *home, reason string) {
	stopped := 0
	for _, w := range sortedTasks(m) {
		if w.run == nil {
			event := medlargw.TaskReturned
			if w.held {
				event = medlargw.TaskUnknown
			}
			h.drop(w)
			h.endTask(now, w, event, nil, reason)
			continue
		}
		if !w.run.stopping {
			stopped++
		}
		h.abandonRun(now, w.run, reason)
	}
	if stopped > 0 {
		h.log.Info("tasks of a home stopped", zap.String("home", string(m.peer.Host)), zap.String("reason", reason),
			zap.Int("runs", stopped), zap.Duration("silent", now.Sub(m.lastHeard)))
	}
}

func sortedTasks(m *home) []*task {
	all := make([]*task, 0, len(m.tasks))
	for _, w := range m.tasks {
		all = append(all, w)
	}
	return sortByID(all)
}

func sortByID(tasks []*task) []*task {
	slices.SortFunc(tasks, func(a, b *task) int { return cmp.Compare(a.offered.ID, b.offered.ID) })
	return tasks
}

// returnUnserved returns to their homes the waiting tasks of pools of which this
// entry holds no target that it will keep, so that they are offered elsewhere.
func (h *Holder) returnUnserved(now time.Time) {
	if len(h.waiting) == 0 {
		return
	}
	served, evacuated := h.servedPools(now)
	for _, w := range slices.Clone(h.waiting) {
		if served[w.offered.Pool] {
			if !h.isAdmitted(now, w) {
				h.dequeue(w)
				h.endTask(now, w, medlargw.TaskReturned, nil, "no target for a confined service")
			}
			continue
		}
		reason := "no targets left"
		if evacuated[w.offered.Pool] {
			reason = medlargw.ReasonEvacuated
		}
		h.dequeue(w)
		h.endTask(now, w, medlargw.TaskReturned, nil, reason)
	}
}

// isEvacuated reports whether this entry holds targets of a pool that it will
// keep, all of them in evacuated zones.
func (h *Holder) isEvacuated(now time.Time, pool medlargw.PoolName) bool {
	if len(h.evacuated) == 0 {
		return false
	}
	served, evacuated := h.servedPools(now)
	return evacuated[pool] && !served[pool]
}

// servedPools returns the pools of which this entry holds a target that it will
// keep, apart from those whose only such targets are in evacuated zones.
func (h *Holder) servedPools(now time.Time) (served, evacuated map[medlargw.PoolName]bool) {
	served, evacuated = map[medlargw.PoolName]bool{}, map[medlargw.PoolName]bool{}
	for _, t := range h.sorted {
		switch {
		case !t.isKept(now, &h.settings):
		case t.evacuated:
			evacuated[t.info.Pool] = true
		default:
			served[t.info.Pool] = true
		}
	}
	return served, evacuated
}

// dropExpired returns to their homes the waiting tasks that can no longer end
// by their deadline.
func (h *Holder) dropExpired(now time.Time) {
	for _, w := range slices.Clone(h.waiting) {
		if now.Add(w.offered.Estimate).After(w.deadline) {
			h.dequeue(w)
			h.endTask(now, w, medlargw.TaskReturned, nil, "deadline")
		}
	}
}
