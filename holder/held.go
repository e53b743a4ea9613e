package holder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// activeRuns is the number of runs by task on the targets of a holder. A target tells
// the runs of two submissions of a job apart by their numbers alone, which both homes
// count from 1, and a task must not run twice at a time.
type activeRuns map[string]int

func (a activeRuns) add(id medlargw.RunID) { a[id.Task]++ }

func (a activeRuns) remove(id medlargw.RunID) {
	if a[id.Task]--; a[id.Task] <= 0 {
		delete(a, id.Task)
	}
}

// isActive reports whether another run of the task is here whose end is not proven.
func (h *Holder) isActive(w *task) bool { return h.active[w.offered.Run.Task] > 0 }

// unlistedEnd is the end of a run by the end of its lease, which its target may still
// list as that of a run with this number.
type unlistedEnd struct {
	attempt int
	at      time.Time
}

func (h *Holder) recordUnlisted(now time.Time, id medlargw.RunID) {
	h.unlisted[id.Task] = unlistedEnd{attempt: max(id.Attempt, h.unlisted[id.Task].attempt), at: now}
}

// hasUnlistedEnd reports whether an end that a target lists later could be taken for that
// of the task's next run.
func (h *Holder) hasUnlistedEnd(w *task) bool {
	e, ok := h.unlisted[w.offered.Run.Task]
	return ok && w.offered.Run.Attempt <= e.attempt
}

// mustHold reports whether the task must not start because of another submission's run.
func (h *Holder) mustHold(w *task) bool { return h.isActive(w) || h.hasUnlistedEnd(w) }

func (h *Holder) pruneUnlisted(now time.Time) {
	for task, e := range h.unlisted {
		if now.Sub(e.at) > endedRetention {
			delete(h.unlisted, task)
		}
	}
}

// hold keeps a task from starting until the runs of other submissions of its job have
// ended here; with the number that it has, it does not start then either. To its home it
// counts as started: a task that was returned would start elsewhere beside them.
func (h *Holder) hold(w *task) {
	h.log.Info("task waits for a run of another submission", zap.String("task", w.offered.Run.Task), zap.Int("attempt", w.offered.Run.Attempt),
		zap.String("home", string(w.home.peer.Host)))
	w.run = nil
	w.held = true
	h.held = append(h.held, w)
}

// drop removes a task that has no run from the queue, or from the tasks that are held.
func (h *Holder) drop(w *task) {
	if !w.held {
		h.dequeue(w)
		return
	}
	w.held = false
	h.held = slices.DeleteFunc(h.held, func(other *task) bool { return other == w })
}

// returnHeld returns the held tasks whose other runs have ended. Their homes start them
// with the next number: the targets of those runs refuse the same one.
func (h *Holder) returnHeld(now time.Time) {
	for _, w := range slices.Clone(h.held) {
		if !h.isActive(w) {
			h.drop(w)
			h.endTask(now, w, medlargw.TaskReturned, nil, "another submission's run has ended")
		}
	}
}

// abandonHeld ends the held tasks that wait for a run which may go on under another
// holder.
func (h *Holder) abandonHeld(now time.Time, id medlargw.RunID) {
	for _, w := range slices.Clone(h.held) {
		if w.offered.Run.Task == id.Task {
			h.drop(w)
			h.endTask(now, w, medlargw.TaskUnknown, nil, "another submission's run may go on")
		}
	}
}
