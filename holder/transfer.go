package holder

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// release hands a target over when no order is on its way, and reports whether
// it is out of use.
func (h *Holder) release(now time.Time, t *target) bool {
	if t.handing {
		return false
	}
	if !t.held {
		if len(t.runs) > 0 {
			return false // What was handed over to here is handed on when the claim is answered.
		}
		h.remove(t)
		return true
	}
	for _, r := range t.runs {
		if r.state != runRunning {
			return false
		}
	}
	t.handing = true
	moved := medlargw.TransferredTarget{Name: t.info.Name, Born: t.born, Fence: t.fence, Seen: t.seen}
	for _, r := range t.inOrder() {
		if r.task == nil || r.stopping {
			continue // The new holder stops what it does not know.
		}
		o := r.task.offered
		o.Due = r.task.due.Sub(now)
		o.Deadline = r.task.deadline.Sub(now)
		moved.Runs = append(moved.Runs, medlargw.TransferredRun{Home: r.task.home.peer, Task: o, Elapsed: now.Sub(r.acked)})
	}
	t.moved = moved
	h.addTransfer(t.releaseTo, moved)
	return false
}

func (h *Holder) addTransfer(to medlargw.Peer, moved medlargw.TransferredTarget) {
	for i := range h.actions.Transfers {
		if h.actions.Transfers[i].To.Incarnation == to.Incarnation {
			h.actions.Transfers[i].Targets = append(h.actions.Transfers[i].Targets, moved)
			return
		}
	}
	h.actions.Transfers = append(h.actions.Transfers, medlargw.Transfer{
		From: h.self, To: to, Targets: []medlargw.TransferredTarget{moved},
	})
}

// TransferAnswered takes the outcome of a transfer. After an error the new
// holder may have the targets or not: its higher token decides.
func (h *Holder) TransferAnswered(now time.Time, tr *medlargw.Transfer, err error) {
	for i := range tr.Targets {
		moved := &tr.Targets[i]
		t := h.targets[moved.Name]
		if t == nil || t.fence != moved.Fence || !t.handing {
			continue
		}
		t.handing = false
		if err != nil {
			h.log.Warn("target not handed over", zap.String("target", string(t.info.Name)), zap.String("to", string(tr.To.Host)), zap.Error(err))
			continue
		}
		h.handedOver(now, t, moved)
	}
}

// handedOver forgets a target and the tasks that moved with it.
func (h *Holder) handedOver(now time.Time, t *target, moved *medlargw.TransferredTarget) {
	gone := map[medlargw.RunID]bool{}
	for i := range moved.Runs {
		gone[moved.Runs[i].Task.Run] = true
	}
	for _, r := range t.inOrder() {
		t.take(r)
		switch {
		case r.task == nil:
		case gone[r.id]:
			h.forget(now, r.task)
		default:
			h.end(now, r.task, medlargw.TaskUnknown, r, "handed over while it was stopped")
		}
	}
	h.remove(t)
}

// Transfer takes targets from their former holder, with what runs there.
func (h *Holder) Transfer(now time.Time, tr *medlargw.Transfer) {
	for i := range tr.Targets {
		moved := &tr.Targets[i]
		h.fences.saw(moved.Fence)
		t := h.targets[moved.Name]
		if t == nil {
			info, ok := h.listed(moved.Name)
			if !ok {
				continue
			}
			t = newTarget(info)
			h.add(t)
		}
		if t.held && t.fence < moved.Fence {
			h.stepDown(now, t) // This entry was replaced and has not noticed yet.
		}
		if t.held {
			h.acknowledge(now, t, moved)
			continue
		}
		h.adopt(now, t, moved)
	}
}

// acknowledge takes a transfer of a target that was claimed before it arrived.
// The runs that were there are being stopped as unknown ones; now it is known
// whom to tell of their ends.
func (h *Holder) acknowledge(now time.Time, t *target, moved *medlargw.TransferredTarget) {
	for i := range moved.Runs {
		m := &moved.Runs[i]
		w := h.transferred(now, m)
		r := t.runs[m.Task.Run]
		if r == nil {
			h.end(now, w, medlargw.TaskStopped, nil, "ended before it was handed over")
			continue
		}
		t.take(r)
		r.room = m.Task.Room
		t.put(r)
		r.task = w
		w.run = r
	}
}

// transferred takes a task from its former holder.
func (h *Holder) transferred(now time.Time, m *medlargw.TransferredRun) *task {
	home := h.home(now, m.Home)
	w := &task{home: home, offered: m.Task, due: now.Add(m.Task.Due), deadline: now.Add(m.Task.Deadline)}
	home.add(w)
	return w
}

func (h *Holder) listed(name medlargw.TargetName) (medlargw.Target, bool) {
	for i := range h.group.Targets {
		if h.group.Targets[i].Name == name {
			return h.group.Targets[i], true
		}
	}
	return medlargw.Target{}, false
}

// adopt takes over the runs of a target and claims it at once.
func (h *Holder) adopt(now time.Time, t *target, moved *medlargw.TransferredTarget) {
	t.born = moved.Born
	t.seen = moved.Seen
	t.fence = 0 // A claim that is on its way with an older view counts no more.
	t.renewing = false
	t.nextRenew = now
	t.adopted = now
	for i := range moved.Runs {
		m := &moved.Runs[i]
		w := h.transferred(now, m)
		r := &run{id: m.Task.Run, room: m.Task.Room, task: w, target: t, state: runRunning, sent: now, acked: now.Add(-m.Elapsed)}
		w.run = r
		t.put(r)
		h.actions.Reports = append(h.actions.Reports, medlargw.TaskReport{
			Home: w.home.peer, ID: w.offered.ID, Event: medlargw.TaskStarted, Target: t.info.Name, Reason: "handed over",
		})
	}
}
