package holder

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// fullPause is the pause of a target that refused a run for lack of resources.
// It gives time for the next report, which lists the runs that take them.
const fullPause = 50 * time.Millisecond

// refusalPause is the pause of a target that has refused a connection. The renewal that
// follows tells whether it is silent.
const refusalPause = 50 * time.Millisecond

// minOrderWait is the least time after which a start order counts as unanswered. It
// allows for the pause of a target that is throttled for a part of its quota.
const minOrderWait = 60 * time.Millisecond

// orderWait returns the time after which an answer to an order is unlikely to come.
// An answer that this entry reads late is no silence of the target.
func (h *Holder) orderWait() time.Duration {
	return min(h.answerTimes.Limit()+h.lag, h.settings.Order)
}

// stopUnanswered stops the runs whose start orders are unanswered for longer than
// answers usually take. Once the stop is answered, a report proves that the run is
// not there, and its task can start elsewhere, well before the order times out.
func (h *Holder) stopUnanswered(now time.Time, t *target) {
	if !t.claimed {
		return
	}
	for _, r := range t.sortedRuns() {
		if r.state == runStarting && !r.stopping && now.Sub(r.sent) > h.orderWait() {
			h.log.Debug("start not answered in the usual time", t.runFields(r.id)...)
			r.state = runUnconfirmed
			h.stopRun(now, r, "start not answered")
		}
	}
}

// StartAnswered handles the answer to a start order, or the error when there
// was no answer.
func (h *Holder) StartAnswered(now time.Time, c *medlargw.StartCommand, reply medlargw.OrderReply, err error) {
	t, r := h.findRun(c.Target.Name, c.Order.Run, c.Order.FenceToken)
	if t != nil {
		t.grants.settle(c.Order.FenceToken, t.token, err)
	}
	if r == nil || r.state == runRunning || !r.isOrderedBy(c) {
		return
	}
	if errors.Is(err, medlargw.ErrNotSent) || errors.Is(err, medlargw.ErrConnectionRefused) {
		h.log.Info("start not sent", append(t.runFields(r.id), zap.Error(err))...)
		if errors.Is(err, medlargw.ErrConnectionRefused) {
			t.pause(now, refusalPause)
		}
		h.requeue(now, r)
		h.place(now)
		return
	}
	if err != nil {
		h.log.Info("start not answered", zap.String("task", r.id.Task), zap.Int("attempt", r.id.Attempt),
			zap.String("target", string(t.info.Name)), zap.Error(err))
		r.state = runUnconfirmed
		if !r.stopping {
			h.stopRun(now, r, "start not answered")
		}
		return
	}
	t.updateClock(now, reply.Clock)
	h.answerTimes.Observe(now.Sub(r.sent))
	if reply.Status == medlargw.OrderDone {
		t.grants.accept(c.Order.FenceToken)
		r.state = runRunning
		r.acked = now
		if r.task != nil {
			r.task.offered.Payload = nil // The target has it; the task is not started from here again.
		}
		return
	}
	h.log.Info("start refused", zap.String("task", r.id.Task), zap.Int("attempt", r.id.Attempt),
		zap.String("target", string(t.info.Name)), zap.Stringer("verdict", reply.Status))
	if reply.Status == medlargw.OrderFenced && c.Order.FenceToken < t.token {
		h.requeue(now, r) // This holder has claimed the target anew in the meantime.
	} else {
		h.handleRefusedStart(now, t, r, reply.Status)
	}
	h.place(now)
}

// isOrderedBy reports whether a start order is that of this run. One that is proven void
// before it is answered may be followed by another submission's order of the same number.
func (r *run) isOrderedBy(c *medlargw.StartCommand) bool {
	return r.token == c.Order.FenceToken && r.sent.Equal(c.DecidedAt)
}

// handleRefusedStart handles a run that is proven not started.
func (h *Holder) handleRefusedStart(now time.Time, t *target, r *run, status medlargw.OrderStatus) {
	switch status {
	case medlargw.OrderFenced:
		h.handleFenced(now, t)
	case medlargw.OrderSuperseded, medlargw.OrderInvalid:
		w := r.task
		t.removeRun(r)
		if w != nil {
			h.endTask(now, w, medlargw.TaskReturned, r, status.String())
		}
	case medlargw.OrderWrongIncarnation:
		h.recordCrash(now, t, r, "another incarnation")
		h.endAllRuns(now, t, "another incarnation")
		t.failedRenewals++
	case medlargw.OrderUnhealthy:
		t.recordFailure(now)
		h.requeue(now, r)
	default:
		t.pause(now, fullPause)
		h.requeue(now, r)
	}
}

// StopAnswered handles the answer to a stop order, or the error when there was
// no answer.
func (h *Holder) StopAnswered(now time.Time, c *medlargw.StopCommand, reply medlargw.OrderReply, err error) {
	t, r := h.findRun(c.Target.Name, c.Order.Run, c.Order.FenceToken)
	if r == nil || err != nil {
		return // Tick sends an unanswered order again.
	}
	t.updateClock(now, reply.Clock)
	switch reply.Status {
	case medlargw.OrderDone:
		t.grants.accept(c.Order.FenceToken)
		if r.stopAnswered.IsZero() {
			r.stopAnswered = now
			h.lookForRun(t, r)
		}
	case medlargw.OrderFenced:
		if c.Order.FenceToken == t.token { // Otherwise it is sent again.
			h.handleFenced(now, t)
		}
	}
}

// lookForRun asks for a report at once if the renewal in flight was sent before the
// stop of an unconfirmed run was answered, so that its report proves nothing.
func (h *Holder) lookForRun(t *target, r *run) {
	if r.state != runUnconfirmed || !t.renewing {
		return
	}
	h.actions.Renewals = append(h.actions.Renewals, medlargw.RenewCommand{
		Target: t.info, Extra: true,
		Renewal: medlargw.Renewal{FenceToken: t.token, AckedSequence: t.ackable()},
	})
}

// findRun returns the target and the run of an order. The target is nil if the
// order belongs to a former claim, the run if it has ended.
func (h *Holder) findRun(name medlargw.TargetName, id medlargw.RunID, token uint64) (*target, *run) {
	t := h.targets[name]
	if t == nil || !t.isOwnToken(token) {
		return nil, nil
	}
	return t, t.runs[id]
}

// isOwnToken reports whether a token belongs to the present claim.
func (t *target) isOwnToken(token uint64) bool { return t.claimToken <= token && token <= t.token }

// resendStops sends the stop orders again that were not answered in time.
func (h *Holder) resendStops(now time.Time, t *target) {
	if !t.claimed {
		return
	}
	for _, r := range t.sortedRuns() {
		if r.stopping && r.stopAnswered.IsZero() && now.Sub(r.stopSent) >= h.orderWait() {
			h.stopRun(now, r, r.reason)
		}
	}
}

// sortedRuns returns the runs by task and attempt, for a deterministic order.
func (t *target) sortedRuns() []*run {
	all := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.id.Task, b.id.Task), cmp.Compare(a.id.Attempt, b.id.Attempt))
	})
	return all
}

// handleFenced handles the rejection of an order or a claim by a target that
// has seen a higher fencing token. A rejected claim is repeated at once with a
// higher token. During a transfer, its answer tells whether the new holder has
// the runs. Otherwise this holder gives up its claim, and claims the target again
// after LeaseSettings.Refused if it is still the owner.
func (h *Holder) handleFenced(now time.Time, t *target) {
	h.tokens.rejected(t.token)
	if !t.claimed {
		t.nextRenew = now
		if !t.releasing {
			h.renew(now, t) // Tries the claim again with a higher token.
		}
		return
	}
	if t.transferring {
		t.fenced = true
		t.nextRenew = now.Add(h.settings.Call)
		return
	}
	h.stepDown(now, t)
	t.nextRenew = now.Add(h.settings.Refused)
}

// stepDown gives up the claim to a target that another entry has claimed with a
// higher token.
func (h *Holder) stepDown(now time.Time, t *target) {
	h.log.Warn("target lost to a higher fencing token", zap.String("target", string(t.info.Name)), zap.Int("runs", len(t.runs)),
		zap.Uint64("fence", t.token), zap.Uint64("seen", t.ackable()))
	h.abandonRuns(now, t, "fenced")
	t.claimed = false
	t.renewing = false
	t.token = 0
}

// abandonRuns removes the runs of a target, which may go on under another
// holder.
func (h *Holder) abandonRuns(now time.Time, t *target, reason string) {
	for _, r := range t.sortedRuns() {
		t.removeRun(r)
		h.abandonHeld(now, r.id)
		if r.task != nil {
			h.endTask(now, r.task, medlargw.TaskUnknown, r, reason)
		}
	}
}

// endAllRuns ends all runs of a target after proof that none of them goes on.
func (h *Holder) endAllRuns(now time.Time, t *target, reason string) {
	h.logRunsEnded(now, t, reason)
	for _, r := range t.sortedRuns() {
		h.endRun(now, r, medlargw.TaskStopped, reason)
	}
}

// endLeases ends the runs of a target after the end of the leases that this holder knows.
// A new holder that has the transfer of a run may have renewed its lease. A run whose
// start order may still be carried out is stopped until that is answered.
func (h *Holder) endLeases(now time.Time, t *target) {
	h.logRunsEnded(now, t, "lease ended")
	h.suspectCrash(t)
	for _, r := range t.sortedRuns() {
		if r.mayStart() {
			continue
		}
		h.recordUnlisted(now, r.id)
		if r.transferred {
			h.endRun(now, r, medlargw.TaskUnknown, "lease ended after a transfer")
			continue
		}
		h.endRun(now, r, medlargw.TaskStopped, "lease ended")
	}
}

// endRun removes a run that has ended or may go on under another holder, and ends
// its task.
func (h *Holder) endRun(now time.Time, r *run, event medlargw.TaskEvent, reason string) {
	r.target.removeRun(r)
	if r.task != nil {
		h.endTask(now, r.task, event, r, reason)
	}
}
