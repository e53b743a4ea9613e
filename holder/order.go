package holder

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// fullPause holds back a target that refused a run for want of room, until its
// next report shows what is there.
const fullPause = 50 * time.Millisecond

// StartAnswered takes the answer to a start order, or the error without one.
func (h *Holder) StartAnswered(now time.Time, c *medlargw.StartCommand, reply medlargw.OrderReply, err error) {
	t, r := h.find(c.Target.Name, c.Order.Run, c.Order.Fence)
	if r == nil || r.state == runRunning {
		return
	}
	if err != nil {
		h.log.Info("start not answered", zap.String("task", r.id.Task), zap.Int("attempt", r.id.Attempt),
			zap.String("target", string(t.info.Name)), zap.Error(err))
		r.state = runDoubtful
		if !r.stopping {
			h.stop(now, r, "start not answered")
		}
		return
	}
	t.hear(now, reply.Clock)
	if reply.Verdict == medlargw.VerdictDone {
		r.state = runRunning
		r.acked = now
		return
	}
	h.log.Info("start refused", zap.String("task", r.id.Task), zap.Int("attempt", r.id.Attempt),
		zap.String("target", string(t.info.Name)), zap.Stringer("verdict", reply.Verdict))
	h.refusedStart(now, t, r, reply.Verdict)
	h.place(now)
}

// refusedStart takes a run that was proven not started.
func (h *Holder) refusedStart(now time.Time, t *target, r *run, v medlargw.Verdict) {
	switch v {
	case medlargw.VerdictFenced:
		h.refused(now, t)
	case medlargw.VerdictOld, medlargw.VerdictInvalid:
		w := r.task
		t.take(r)
		if w != nil {
			h.end(now, w, medlargw.TaskReturned, r, v.String())
		}
	case medlargw.VerdictOther:
		h.endAll(now, t, "another incarnation")
		t.failures++
	case medlargw.VerdictUnhealthy:
		t.fails(now)
		h.requeue(now, r)
	default:
		t.pause(now, fullPause)
		h.requeue(now, r)
	}
}

// StopAnswered takes the answer to a stop order, or the error without one.
func (h *Holder) StopAnswered(now time.Time, c *medlargw.StopCommand, reply medlargw.OrderReply, err error) {
	t, r := h.find(c.Target.Name, c.Order.Run, c.Order.Fence)
	if r == nil || err != nil {
		return // Repeated by the next tick that finds it unanswered.
	}
	t.hear(now, reply.Clock)
	switch reply.Verdict {
	case medlargw.VerdictDone:
		if r.stopAnswered.IsZero() {
			r.stopAnswered = now
		}
	case medlargw.VerdictFenced:
		h.refused(now, t)
	}
}

// find returns the target and the run that an order was for. An order of a
// former claim is not of interest any more.
func (h *Holder) find(name medlargw.TargetName, id medlargw.RunID, fence uint64) (*target, *run) {
	t := h.targets[name]
	if t == nil || t.fence != fence {
		return nil, nil
	}
	return t, t.runs[id]
}

// repeatStops sends the stops again that were not answered in time.
func (h *Holder) repeatStops(now time.Time, t *target) {
	if !t.held {
		return
	}
	for _, r := range t.inOrder() {
		if r.stopping && r.stopAnswered.IsZero() && now.Sub(r.stopSent) >= h.settings.Order {
			h.stop(now, r, r.reason)
		}
	}
}

// inOrder returns the runs in a fixed order.
func (t *target) inOrder() []*run {
	all := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.id.Task, b.id.Task), cmp.Compare(a.id.Attempt, b.id.Attempt))
	})
	return all
}

// refused steps down: another entry holds the target with a higher token.
func (h *Holder) refused(now time.Time, t *target) {
	h.fences.refused()
	if !t.held {
		t.nextRenew = now // The claim is tried again with a higher token.
		return
	}
	if t.handing { // The new holder has claimed it.
		h.handedOver(now, t, &t.moved)
		return
	}
	h.stepDown(now, t)
	t.nextRenew = now.Add(h.settings.Refused)
}

// stepDown gives up the claim to a target that another entry holds.
func (h *Holder) stepDown(now time.Time, t *target) {
	h.log.Warn("target lost to a higher fencing token", zap.String("target", string(t.info.Name)), zap.Int("runs", len(t.runs)))
	for _, r := range t.inOrder() {
		t.take(r)
		if r.task != nil {
			h.end(now, r.task, medlargw.TaskUnknown, r, "fenced")
		}
	}
	t.held = false
	t.renewing = false
	t.fence = 0
}

// endAll ends all runs of a target: none of them can go on.
func (h *Holder) endAll(now time.Time, t *target, reason string) {
	for _, r := range t.inOrder() {
		h.ended(now, r, medlargw.TaskStopped, reason)
	}
}

// ended takes the proven end of a run.
func (h *Holder) ended(now time.Time, r *run, event medlargw.TaskEvent, reason string) {
	r.target.take(r)
	if r.task != nil {
		h.end(now, r.task, event, r, reason)
	}
}
