package holder

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

const (
	// confirmWait is the time for which the renewal of a lease waits at first until
	// the homes have confirmed the ends in the last report. While an end is not
	// acknowledged, the target answers a renewal at once. The wait doubles up to
	// maxConfirmWait with each renewal that has brought no other end.
	confirmWait    = 20 * time.Millisecond
	maxConfirmWait = 80 * time.Millisecond
	// unknownEndWait is the time after the claim of a target for which the ends of
	// runs that this holder does not know are not acknowledged. A transfer may still
	// name their homes.
	unknownEndWait = transferWait
)

// pendingEnd is the end of a run that was processed and must not be acknowledged
// yet: the target is the only one to tell it as long as the home does not know.
type pendingEnd struct {
	end       medlargw.RunEnd
	task      *task     // Nil if the run is unknown.
	expiresAt time.Time // When the end of an unknown run may be acknowledged.
}

// ackable returns the sequence number up to which ends may be acknowledged. While
// a transfer is in flight, the new holder must still find the ends that it does not
// name.
func (t *target) ackable() uint64 {
	switch {
	case t.transferring:
		return t.transferred.AckedSequence
	case len(t.pendingEnds) > 0:
		return t.pendingEnds[0].end.Sequence - 1
	}
	return t.lastEnd
}

// addPendingEnd records an end that was processed. The task is nil if the run is
// unknown.
func (t *target) addPendingEnd(now time.Time, end medlargw.RunEnd, w *task) {
	if w == nil && t.unheld {
		return // Nobody is left who could tell its home.
	}
	p := pendingEnd{end: end, task: w, expiresAt: t.claimedAt.Add(unknownEndWait)}
	if w != nil || now.Before(p.expiresAt) {
		t.pendingEnds = append(t.pendingEnds, p)
	}
}

// pendingEnd returns the end of a run that is not acknowledged yet, or nil.
func (t *target) pendingEnd(id medlargw.RunID) *pendingEnd {
	for i := range t.pendingEnds {
		if t.pendingEnds[i].end.Run == id {
			return &t.pendingEnds[i]
		}
	}
	return nil
}

// dropPendingEnds allows the acknowledgement of ends that wait in vain: those of
// unknown runs, and those whose home is silent. A silent home gives up its tasks
// here, or starts them again only if they are idempotent.
func (t *target) dropPendingEnds(now time.Time, silence time.Duration) {
	t.pendingEnds = slices.DeleteFunc(t.pendingEnds, func(p pendingEnd) bool {
		if p.task == nil {
			return !now.Before(p.expiresAt)
		}
		return now.Sub(p.task.home.lastHeard) > silence
	})
}

// ConfirmReports handles the answer of a home to reports of its tasks: their ends
// may be acknowledged to the targets.
func (h *Holder) ConfirmReports(now time.Time, reports []medlargw.TaskReport) {
	for i := range reports {
		e := &reports[i]
		if e.TakenOver {
			h.confirmTakeover(now, e)
		}
		t := h.targets[e.Target]
		if t == nil || !e.Event.Terminal() {
			continue
		}
		t.pendingEnds = slices.DeleteFunc(t.pendingEnds, func(p pendingEnd) bool {
			return p.task != nil && p.task.offered.ID == e.ID && p.task.home.peer.Incarnation == e.Home.Incarnation
		})
		if t.claimed && t.awaitsConfirm && t.ackable() == t.lastEnd {
			h.renewNow(now, t)
		}
	}
}

// confirmTakeover records that a home knows that this entry has the run of a task. What
// it gives up from then on, it tells this entry.
func (h *Holder) confirmTakeover(now time.Time, e *medlargw.TaskReport) {
	m := h.homes[e.Home.Incarnation]
	if m == nil {
		return
	}
	if w := m.tasks[e.ID]; w != nil {
		w.confirm(now)
	}
}

// scheduleRenewal sends the next renewal after an answered one. While ends wait
// for the confirmation of their homes, the renewal is delayed.
func (h *Holder) scheduleRenewal(now time.Time, t *target) {
	if t.ackable() == t.lastEnd {
		t.confirmWait = 0
		h.renewNow(now, t)
		return
	}
	if t.awaitedEnd != t.lastEnd {
		t.awaitedEnd, t.confirmWait = t.lastEnd, 0
	}
	t.confirmWait = min(max(confirmWait, 2*t.confirmWait), maxConfirmWait)
	t.awaitsConfirm = true
	t.nextRenew = now.Add(t.confirmWait)
}

func (h *Holder) renewNow(now time.Time, t *target) {
	t.nextRenew = now
	h.renew(now, t)
}
