package holder

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/rater"
)

// transferRetry is the pause after a transfer that failed.
const transferRetry = 100 * time.Millisecond

// release starts the transfer of a target to its new owner once all its runs
// are confirmed, and reports whether the target was removed.
func (h *Holder) release(now time.Time, t *target) bool {
	if t.transferring || now.Before(t.nextTransfer) {
		return false
	}
	if !t.claimed {
		if len(t.runs) > 0 {
			return false // Runs transferred to this entry are passed on after its claim is answered.
		}
		h.removeTarget(t)
		return true
	}
	for _, r := range t.runs {
		if r.state != runRunning {
			return false
		}
	}
	transferred := medlargw.TransferredTarget{
		Name: t.info.Name, IncarnationStart: t.incarnationStart, FenceToken: t.token, AckedSequence: t.ackable(), Rating: t.rater.Rating(),
	}
	for _, r := range t.sortedRuns() {
		if r.task == nil || r.stopping {
			continue // The new holder stops the runs that it does not know.
		}
		r.transferred = true
		transferred.Runs = append(transferred.Runs, r.task.transferred(now))
	}
	for i := range t.pendingEnds {
		if w := t.pendingEnds[i].task; w != nil {
			transferred.Runs = append(transferred.Runs, w.transferred(now)) // The new holder reads its end again.
		}
	}
	if len(transferred.Runs) > 0 {
		h.extendLease(now, t)
	}
	t.transferring = true
	t.transferred = transferred
	t.transferredTo = t.releaseTo.Host
	h.logTransferSent(t)
	h.addTransfer(t.releaseTo, transferred)
	return false
}

// extendLease sends a renewal beside the one in flight if the lease may end before the
// transfer has arrived and the homes of the runs know of the new holder, which only then
// renews it.
func (h *Holder) extendLease(now time.Time, t *target) {
	if now.Sub(t.leasedAt) < h.settings.Lease-h.settings.Call-h.settings.Silence {
		return
	}
	renewal := medlargw.Renewal{FenceToken: t.token, AckedSequence: t.ackable()}
	if h.grantLease(now, t, &renewal); renewal.LeaseEnd > 0 {
		h.actions.Renewals = append(h.actions.Renewals, medlargw.RenewCommand{Target: t.info, Extra: true, Renewal: renewal})
	}
}

// transferred returns the run of a task in the form in which it is handed over.
func (w *task) transferred(now time.Time) medlargw.TransferredRun {
	o := w.offered
	o.Payload = nil
	o.TimeToObjective = w.due.Sub(now)
	o.TimeToDeadline = w.deadline.Sub(now)
	return medlargw.TransferredRun{Home: w.home.peer, Task: o, Elapsed: now.Sub(w.run.acked)}
}

func (h *Holder) addTransfer(to medlargw.Peer, transferred medlargw.TransferredTarget) {
	for i := range h.actions.Transfers {
		if h.actions.Transfers[i].To.Incarnation == to.Incarnation {
			h.actions.Transfers[i].Targets = append(h.actions.Transfers[i].Targets, transferred)
			return
		}
	}
	h.actions.Transfers = append(h.actions.Transfers, medlargw.Transfer{
		From: h.self, To: to, Targets: []medlargw.TransferredTarget{transferred},
	})
}

// TransferAnswered handles the result of a transfer. After an error it is
// unknown whether the new holder has the targets. If it has, it claims them
// with a higher token, and the targets reject this entry's next orders.
func (h *Holder) TransferAnswered(now time.Time, tr *medlargw.Transfer, err error) {
	for i := range tr.Targets {
		transferred := &tr.Targets[i]
		t := h.targets[transferred.Name]
		if t == nil || t.token != transferred.FenceToken || !t.transferring {
			continue
		}
		t.transferring = false
		if err != nil {
			t.nextTransfer = now.Add(transferRetry)
			if t.fenced {
				t.fenced = false
				h.stepDown(now, t) // It is unknown which entry has claimed the target.
				t.nextRenew = now.Add(h.settings.Refused)
			}
			h.log.Warn("target transfer failed", append(transferFields(transferred), zap.String("to", string(tr.To.Host)), zap.Error(err))...)
			continue
		}
		h.logTransferFinished(t, transferred, "answered")
		h.finishTransfer(now, t, transferred)
	}
}

// finishTransfer deletes a target and the tasks that were transferred with it.
// Its other tasks end with TaskUnknown.
func (h *Holder) finishTransfer(now time.Time, t *target, transferred *medlargw.TransferredTarget) {
	transferredRuns := map[medlargw.RunID]bool{}
	for i := range transferred.Runs {
		transferredRuns[transferred.Runs[i].Task.Run] = true
	}
	for _, r := range t.sortedRuns() {
		t.removeRun(r)
		h.abandonHeld(now, r.id)
		switch {
		case r.task == nil:
		case transferredRuns[r.id]:
			h.handOver(now, r.task, t.transferredTo)
		default:
			h.endTask(now, r.task, medlargw.TaskUnknown, r, "handed over while it was stopped")
		}
	}
	h.removeTarget(t)
}

// HandleTransfer handles the transfer of targets and their runs to this entry. It
// takes none of them and returns an error if this entry's host list lacks one: its
// address is unknown, and its runs need the former holder until then.
func (h *Holder) HandleTransfer(now time.Time, tr *medlargw.Transfer) error {
	for i := range tr.Targets {
		transferred := &tr.Targets[i]
		if _, listed := h.listedTarget(transferred.Name); !listed && h.targets[transferred.Name] == nil {
			h.log.Info("target transfer refused", append(transferFields(transferred), zap.String("from", string(tr.From.Host)))...)
			return fmt.Errorf("transfer from %s: target %s is not listed", tr.From.Host, transferred.Name)
		}
	}
	for i := range tr.Targets {
		transferred := &tr.Targets[i]
		h.tokens.observe(transferred.FenceToken)
		t := h.targets[transferred.Name]
		if t == nil {
			info, _ := h.listedTarget(transferred.Name)
			t = h.newTarget(info)
			h.addTarget(now, t)
		}
		h.logTransferReceived(t, transferred, tr.From.Host)
		if known := t.rater.Rating(); known.Runs < transferred.Rating.Runs {
			t.rater = rater.New(transferred.Rating)
		}
		if t.claimed && t.token < transferred.FenceToken {
			h.stepDown(now, t) // Another entry claimed the target without this one's knowledge.
		}
		if t.claimed {
			h.mergeTransfer(now, t, transferred)
			continue
		}
		h.takeOver(now, t, transferred)
	}
	return nil
}

// mergeTransfer handles the transfer of a target that this entry claimed before
// the transfer arrived. The transferred runs are already being stopped as
// unknown ones, or their ends are not acknowledged yet; the transfer names the
// homes to which the ends must be reported.
func (h *Holder) mergeTransfer(now time.Time, t *target, transferred *medlargw.TransferredTarget) {
	for i := range transferred.Runs {
		m := &transferred.Runs[i]
		w := h.addTransferredTask(now, m)
		if w == nil {
			continue
		}
		h.reportTakeover(t, w)
		if r := t.runs[m.Task.Run]; r != nil {
			t.removeRun(r)
			r.resources = m.Task.Resources
			t.addRun(r)
			r.task = w
			w.run = r
			continue
		}
		r := &run{id: m.Task.Run, task: w, target: t, state: runRunning, sent: now, acked: now.Add(-m.Elapsed)}
		w.run = r
		if p := t.pendingEnd(r.id); p != nil {
			p.task = w
			h.handleEnd(now, t, r, p.end.Kind)
			continue
		}
		h.log.Info("transferred run is gone", append(t.runFields(r.id), zap.String("home", string(m.Home.Host)))...)
		h.endTask(now, w, medlargw.TaskUnknown, r, "ended before it was handed over")
	}
}

// addTransferredTask adds a task that its former holder has transferred. It
// returns nil for a task that is already known from an earlier transfer.
func (h *Holder) addTransferredTask(now time.Time, m *medlargw.TransferredRun) *task {
	home := h.ensureHome(now, m.Home)
	if home.tasks[m.Task.ID] != nil {
		return nil
	}
	w := &task{home: home, offered: m.Task, due: now.Add(m.Task.TimeToObjective), deadline: now.Add(m.Task.TimeToDeadline)}
	w.takenOver = now
	home.add(w)
	return w
}

func (h *Holder) listedTarget(name medlargw.TargetName) (medlargw.Target, bool) {
	for i := range h.group.Targets {
		if h.group.Targets[i].Name == name {
			return h.group.Targets[i], true
		}
	}
	return medlargw.Target{}, false
}

// takeOver adds the transferred runs of a target and claims the target at once.
func (h *Holder) takeOver(now time.Time, t *target, transferred *medlargw.TransferredTarget) {
	t.incarnationStart = transferred.IncarnationStart
	t.lastEnd = transferred.AckedSequence
	t.pendingEnds = nil
	t.token = 0 // Invalidates a claim in flight, sent before the runs were known.
	t.renewing, t.reaching = false, false
	t.nextRenew = now
	t.transferredAt = now
	for i := range transferred.Runs {
		m := &transferred.Runs[i]
		w := h.addTransferredTask(now, m)
		if w == nil {
			continue
		}
		r := &run{id: m.Task.Run, resources: m.Task.Resources, task: w, target: t, state: runRunning, sent: now, acked: now.Add(-m.Elapsed)}
		w.run = r
		t.addRun(r)
		h.reportTakeover(t, w)
	}
}

// reportTakeover reports to the home of a task that this entry has its run now.
func (h *Holder) reportTakeover(t *target, w *task) {
	h.actions.Reports = append(h.actions.Reports, medlargw.TaskReport{
		Home: w.home.peer, ID: w.offered.ID, Event: medlargw.TaskStarted, Target: t.info.Name, Reason: medlargw.ReasonHandedOver,
		TakenOver: true,
	})
}
