package holder

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/rater"
)

// Delays before a renewal or a claim is sent again.
const (
	minRenewRetry = 20 * time.Millisecond // Doubled for each renewal in a row without an answer.
	maxRenewRetry = 500 * time.Millisecond
	claimRetry    = 2 * time.Second // After the second claim in a row without an answer.
	// vouchWait is the longest time that a target waits before it reports while it may get
	// no lease: a home that has yet to learn of a takeover may do so at any time.
	vouchWait = 50 * time.Millisecond
)

// renew sends the next renewal, or the claim of a target that is not claimed.
func (h *Holder) renew(now time.Time, t *target) {
	t.renewing = true
	t.awaitsConfirm = false
	if !t.claimed && t.failedRenewals > 1 {
		t.reaching = true
		h.actions.Probes = append(h.actions.Probes, t.info)
		return
	}
	if !t.claimed {
		t.token = h.tokens.next()
		t.claimToken = t.token
		t.grants = grants{}
		h.actions.Renewals = append(h.actions.Renewals, medlargw.RenewCommand{
			Target:  t.info,
			Renewal: medlargw.Renewal{FenceToken: t.token, AckedSequence: t.ackable()},
		})
		return
	}
	anew := t.grants.unanswered > 0 && t.failedRenewals == 0 && !t.transferring && !t.releasing
	fresh := now.Sub(t.answeredAt) <= h.settings.Order
	pause := t.claimedAnewAt.Add(h.settings.Order).Sub(now)
	if anew && fresh && pause <= 0 {
		h.claimAnew(now, t)
	}
	renewal := medlargw.Renewal{FenceToken: t.token, AckedSequence: t.ackable(), MaxWait: h.pollWait(now, t)}
	switch {
	case t.failedRenewals > 0 || t.token > t.grants.seen || anew && !fresh:
		renewal.MaxWait = 0 // The target should answer at once.
	case anew:
		renewal.MaxWait = min(renewal.MaxWait, pause)
	}
	h.grantLease(now, t, &renewal)
	h.actions.Renewals = append(h.actions.Renewals, medlargw.RenewCommand{Target: t.info, Renewal: renewal})
}

// grantLease sets the end of the lease in a renewal, if the target may get one. A target
// whose process may have ended gets no longer lease until it answers: the end of the last
// one is the proof that its runs have ended. Nor does one that has not answered the last
// lease, since that may still be carried out.
func (h *Holder) grantLease(now time.Time, t *target, renewal *medlargw.Renewal) {
	isOpen := t.failedRenewals > 0 && t.grants.unanswered > 0
	if now.Sub(t.lastAnswer) >= h.settings.Lease/2 || !t.closedAt.IsZero() || isOpen || t.mustLapse(now, &h.settings) {
		return
	}
	left := t.leaseLeft(now, &h.settings)
	if left <= 0 {
		renewal.MaxWait = min(renewal.MaxWait, vouchWait)
		return
	}
	renewal.LeaseEnd = t.clockLowerBound(now, h.settings.Drift) + left
	t.leaseEnd = max(t.leaseEnd, renewal.LeaseEnd)
	t.grants.current++
	t.leasedAt = now
	if left < h.settings.Lease {
		renewal.MaxWait = min(renewal.MaxWait, h.settings.Poll) // The next one may bring the full lease.
	}
}

// claimAnew raises the token of a target that has just answered a renewal, so that no
// other entry has claimed it. Once the target has seen the token, the orders that got no
// answer are void. What runs there goes on. The target refuses orders with the former
// token that are under way, so each token is kept for as long as an order may be.
func (h *Holder) claimAnew(now time.Time, t *target) {
	h.log.Debug("target claimed anew", zap.String("target", string(t.info.Name)), zap.Int("unanswered", t.grants.unanswered))
	t.token = h.tokens.raise(t.token)
	t.claimedAnewAt = now
	t.grants.raise()
}

const (
	// maxPollFactor is the factor by which a target may wait longer before it
	// reports while no run is overdue. The lease of a run that is started during
	// the wait must not end before the next renewal.
	maxPollFactor = 3
	// overdueRatio is the ratio of run time to estimate from which the progress of
	// a run is of interest. The end of a run is reported at once in any case.
	overdueRatio = 1.5
)

// pollWait returns how long the target may wait for the end of a run before it
// reports: until its first run is overdue, within bounds.
func (h *Holder) pollWait(now time.Time, t *target) time.Duration {
	wait := maxPollFactor * h.settings.Poll
	for _, r := range t.runs {
		if r.task == nil || r.stopping || r.task.home.silent(now, &h.settings) {
			return h.settings.Poll // The lease is not renewed, or may be soon: its home may be read late.
		}
		overdue := r.sent.Add(time.Duration(overdueRatio * float64(r.task.offered.Estimate)))
		wait = min(wait, overdue.Sub(now))
	}
	return max(wait, h.settings.Poll)
}

// RenewAnswered handles the answer to a renewal that was sent at the given
// time, or the error when there was no answer.
func (h *Holder) RenewAnswered(now, sent time.Time, c *medlargw.RenewCommand, report *medlargw.RunReport, err error) {
	t := h.targets[c.Target.Name]
	if t == nil || !t.isOwnToken(c.Renewal.FenceToken) {
		return
	}
	if c.Renewal.LeaseEnd > 0 {
		t.grants.settle(c.Renewal.FenceToken, t.token, err)
	}
	if c.Extra {
		h.extraAnswered(now, sent, t, c.Renewal.FenceToken, report, err)
		return
	}
	if t.token != c.Renewal.FenceToken {
		return
	}
	t.renewing = false
	if err != nil {
		h.renewalFailed(now, t, err)
		return
	}
	switch report.Status {
	case medlargw.OrderDone:
	case medlargw.OrderFenced:
		h.handleFenced(now, t)
		return
	case medlargw.OrderWrongIncarnation:
		h.recordCrash(now, t, nil, "another incarnation")
		h.endAllRuns(now, t, "another incarnation")
		h.renewalFailed(now, t, nil)
		return
	default:
		h.renewalFailed(now, t, nil)
		return
	}
	if !t.claimed {
		h.logClaim(now, t, c, report)
	}
	h.renewalAnswered(now, t, report)
	t.grants.accept(c.Renewal.FenceToken)
	t.answeredAt = sent
	// The answer to an extra renewal may have overtaken this one.
	overtaken := report.IncarnationStart.Equal(t.incarnationStart) && report.Clock < t.clock
	h.checkIncarnation(now, t, report)
	t.updateClock(now, report.Clock)
	h.handleEnds(now, t, report)
	if !overtaken {
		h.handleActive(now, sent, t, c.Renewal.FenceToken, report)
	}
	h.scheduleRenewal(now, t)
	h.place(now)
}

// extraAnswered handles the answer to a renewal that only asked for a report.
// Whatever else it tells, the renewal in flight tells too.
func (h *Holder) extraAnswered(now, sent time.Time, t *target, token uint64, report *medlargw.RunReport, err error) {
	sameIncarnation := report.IncarnationStart.IsZero() || report.IncarnationStart.Equal(t.incarnationStart)
	if err != nil || report.Status != medlargw.OrderDone || !t.claimed || !sameIncarnation || report.Clock < t.clock {
		return
	}
	t.updateClock(now, report.Clock)
	t.grants.accept(token)
	h.handleEnds(now, t, report)
	h.handleActive(now, sent, t, token, report)
	h.place(now)
}

// ProbeAnswered handles whether a target accepts connections whose claims were not
// answered. It may have been cut off from this entry together with its holder, of which
// this entry hears only some time after: a claim at once would take the target from a
// holder that lives.
func (h *Holder) ProbeAnswered(now time.Time, name medlargw.TargetName, err error) {
	t := h.targets[name]
	if t == nil || !t.reaching {
		return
	}
	t.reaching, t.renewing = false, false
	if err != nil {
		t.nextRenew = now.Add(claimRetry)
		return
	}
	t.failedRenewals = 1
	t.nextRenew = now.Add(transferWait)
}

// renewalFailed schedules the next attempt after a renewal that was not
// answered or not carried out.
func (h *Holder) renewalFailed(now time.Time, t *target, err error) {
	if t.failedRenewals == 0 && t.claimed {
		h.logSilent(now, t, err)
	}
	h.recordBreak(now, t, err)
	t.failedRenewals++
	retry := min(minRenewRetry<<min(t.failedRenewals, 8), maxRenewRetry)
	if !t.claimed && t.failedRenewals > 1 {
		retry = claimRetry
	}
	t.nextRenew = now.Add(retry)
}

func (h *Holder) renewalAnswered(now time.Time, t *target, report *medlargw.RunReport) {
	if t.failedRenewals > 0 && t.claimed {
		h.log.Info("target answers again", zap.String("target", string(t.info.Name)), zap.Duration("silent", now.Sub(t.lastAnswer)))
	}
	t.failedRenewals = 0
	h.withdrawCrash(t, report)
	if !t.claimed {
		h.tokens.accepted()
		t.claimed = true
		t.claimedAt = now
		t.leaseEnd = max(t.leaseEnd, report.Clock+h.settings.Longest) // A former holder may have renewed the lease until now.
	}
}

// checkIncarnation resets the state of the target when the report comes from a
// new incarnation. The report lists the runs that are active in it. The target
// may also have carried out an order meant for its former incarnation, under a
// lease that it limited to LeaseSettings.Longest.
func (h *Holder) checkIncarnation(now time.Time, t *target, report *medlargw.RunReport) {
	if report.IncarnationStart.IsZero() || report.IncarnationStart.Equal(t.incarnationStart) {
		return
	}
	if !t.incarnationStart.IsZero() {
		h.log.Info("new incarnation of a target", zap.String("target", string(t.info.Name)), zap.Int("runs", len(t.runs)))
		h.recordCrash(now, t, nil, "new incarnation")
		t.crashed, t.blamed = false, false
	}
	t.incarnationStart = report.IncarnationStart
	t.lastEnd = 0
	t.pendingEnds = nil
	t.leaseEnd = report.Clock + h.settings.Longest
	t.health = newHealth()
	t.rater = rater.Rater{}
}

// handleEnds processes the ends in a report that are new.
func (h *Holder) handleEnds(now time.Time, t *target, report *medlargw.RunReport) {
	for i := range report.Ended {
		e := &report.Ended[i]
		if e.Sequence <= t.lastEnd {
			continue
		}
		h.logEnd(t, e)
		t.lastEnd = e.Sequence
		r := t.runs[e.Run]
		if r == nil {
			t.addPendingEnd(now, *e, nil)
			continue
		}
		t.addPendingEnd(now, *e, r.task)
		h.handleEnd(now, t, r, e.Kind)
	}
}

func (h *Holder) handleEnd(now time.Time, t *target, r *run, kind medlargw.RunEndKind) {
	if r.acked.IsZero() {
		r.acked = r.sent
	}
	switch kind {
	case medlargw.RunSucceeded:
		if r.task != nil {
			h.recordRunTime(now, r)
		}
		h.endRun(now, r, medlargw.TaskSucceeded, "")
	case medlargw.RunFailed:
		t.recordFailure(now)
		h.endRun(now, r, medlargw.TaskFailed, "failed")
	case medlargw.RunStopped:
		reason := r.reason
		if reason == "" {
			reason = "stopped by the target"
		}
		h.endRun(now, r, medlargw.TaskStopped, reason)
	}
}

// handleActive compares the runs that the target lists as active with the known
// ones, given the token with which the report was requested.
func (h *Holder) handleActive(now, sent time.Time, t *target, token uint64, report *medlargw.RunReport) {
	listed := make(map[medlargw.RunID]bool, len(report.Active))
	for i := range report.Active {
		a := &report.Active[i]
		listed[a.Run] = true
		r := t.runs[a.Run]
		if r == nil {
			h.stopUnknown(now, t, a.Run, report.Clock)
			continue
		}
		if r.acked.IsZero() {
			r.acked = now
		}
		h.checkProgress(now, r, a.Percent)
	}
	if report.HasMore {
		return
	}
	for _, r := range t.sortedRuns() {
		if !listed[r.id] {
			h.handleAbsent(now, sent, r, token, report.Clock)
		}
	}
}

// stopUnknown stops a run that another holder started. Its size is unknown, so
// no run is started on the target until it has ended. The other holder may have renewed
// its lease until the given time on the target's clock.
func (h *Holder) stopUnknown(now time.Time, t *target, id medlargw.RunID, clock time.Duration) {
	h.log.Info("unknown run stopped", t.runFields(id)...)
	t.leaseEnd = max(t.leaseEnd, clock+h.settings.Longest)
	r := &run{id: id, target: t, state: runRunning, sent: now, acked: now}
	t.addRun(r)
	h.abandonRun(now, r, "unknown")
}

// handleAbsent handles a run that a report does not list. The absence proves
// that the run is not there only if the report was requested after the target
// had confirmed the start or the stop of the run, or with a higher token than
// its start order, which the target does not carry out any more. That the time
// in the order has passed proves nothing: it may count from the arrival.
func (h *Holder) handleAbsent(now, sent time.Time, r *run, token uint64, clock time.Duration) {
	switch {
	case r.state == runRunning && !r.acked.After(sent):
		h.logAbsent(r, "not listed", clock)
		h.endRun(now, r, medlargw.TaskStopped, "no longer listed as running")
	case r.state == runUnconfirmed && !r.stopAnswered.IsZero() && !r.stopAnswered.After(sent):
		h.logAbsent(r, "stop answered", clock)
		h.returnTask(now, r)
	case r.state == runUnconfirmed && r.token < token:
		h.logAbsent(r, "claimed anew", clock)
		h.returnTask(now, r)
	}
}

// returnTask returns a task whose start order is proven not to have been
// carried out. The attempt number of the run can't be used again.
func (h *Holder) returnTask(now time.Time, r *run) {
	r.stopping = false // The run was never started, so its task may be started again.
	r.target.removeRun(r)
	if r.task != nil {
		h.endTask(now, r.task, medlargw.TaskReturned, r, "start not answered")
	}
}
