package holder

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// release starts the transfer of a target to its new owner once all its runs
// are confirmed, and reports whether the target was removed.
func (h *Holder) release(now time.Time, t *target) bool {
	if t.transferring {
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
	t.transferring = true
	transferred := medlargw.TransferredTarget{Name: t.info.Name, IncarnationStart: t.incarnationStart, FenceToken: t.token, AckedSequence: t.lastEnd}
	for _, r := range t.sortedRuns() {
		if r.task == nil || r.stopping {
			continue // The new holder stops the runs that it does not know.
		}
		o := r.task.offered
		o.TimeToObjective = r.task.due.Sub(now)
		o.TimeToDeadline = r.task.deadline.Sub(now)
		transferred.Runs = append(transferred.Runs, medlargw.TransferredRun{Home: r.task.home.peer, Task: o, Elapsed: now.Sub(r.acked)})
	}
	t.transferred = transferred
	h.addTransfer(t.releaseTo, transferred)
	return false
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
			h.log.Warn("target transfer failed", zap.String("target", string(t.info.Name)), zap.String("to", string(tr.To.Host)), zap.Error(err))
			continue
		}
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
		switch {
		case r.task == nil:
		case transferredRuns[r.id]:
			h.handOver(now, r.task)
		default:
			h.endTask(now, r.task, medlargw.TaskUnknown, r, "handed over while it was stopped")
		}
	}
	h.removeTarget(t)
}

// HandleTransfer handles the transfer of targets and their runs to this entry.
func (h *Holder) HandleTransfer(now time.Time, tr *medlargw.Transfer) {
	for i := range tr.Targets {
		transferred := &tr.Targets[i]
		h.tokens.observe(transferred.FenceToken)
		t := h.targets[transferred.Name]
		if t == nil {
			info, ok := h.listedTarget(transferred.Name)
			if !ok {
				continue
			}
			t = newTarget(info)
			h.addTarget(t)
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
}

// mergeTransfer handles the transfer of a target that this entry claimed before
// the transfer arrived. The transferred runs are already being stopped as
// unknown ones; the transfer names the homes to which their ends must be
// reported.
func (h *Holder) mergeTransfer(now time.Time, t *target, transferred *medlargw.TransferredTarget) {
	for i := range transferred.Runs {
		m := &transferred.Runs[i]
		w := h.addTransferredTask(now, m)
		r := t.runs[m.Task.Run]
		if r == nil {
			h.endTask(now, w, medlargw.TaskStopped, nil, "ended before it was handed over")
			continue
		}
		t.removeRun(r)
		r.resources = m.Task.Resources
		t.addRun(r)
		r.task = w
		w.run = r
	}
}

// addTransferredTask adds a task that its former holder has transferred.
func (h *Holder) addTransferredTask(now time.Time, m *medlargw.TransferredRun) *task {
	home := h.ensureHome(now, m.Home)
	w := &task{home: home, offered: m.Task, due: now.Add(m.Task.TimeToObjective), deadline: now.Add(m.Task.TimeToDeadline)}
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
	t.token = 0 // Invalidates a claim in flight, sent before the runs were known.
	t.renewing = false
	t.nextRenew = now
	t.transferredAt = now
	for i := range transferred.Runs {
		m := &transferred.Runs[i]
		w := h.addTransferredTask(now, m)
		r := &run{id: m.Task.Run, resources: m.Task.Resources, task: w, target: t, state: runRunning, sent: now, acked: now.Add(-m.Elapsed)}
		w.run = r
		t.addRun(r)
		h.actions.Reports = append(h.actions.Reports, medlargw.TaskReport{
			Home: w.home.peer, ID: w.offered.ID, Event: medlargw.TaskStarted, Target: t.info.Name, Reason: "handed over",
			TakenOver: true,
		})
	}
}
