package holder

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// Times of the renewals.
const (
	firstRetry = 20 * time.Millisecond // After a renewal that was not answered.
	maxRetry   = 500 * time.Millisecond
	claimRetry = 2 * time.Second // After claims that were not answered.
)

// renew sends the next renewal, or the claim.
func (h *Holder) renew(now time.Time, t *target) {
	t.renewing = true
	if !t.held {
		t.fence = h.fences.next()
		h.actions.Renewals = append(h.actions.Renewals, medlargw.RenewCommand{
			Target:  t.info,
			Renewal: medlargw.Renewal{Fence: t.fence, Seen: t.seen},
		})
		return
	}
	renewal := medlargw.Renewal{Fence: t.fence, Seen: t.seen, Wait: h.settings.Poll}
	if len(t.runs) == 0 {
		renewal.Wait = idlePolls * h.settings.Poll
	}
	if t.failures > 0 {
		renewal.Wait = 0 // An answer is wanted at once.
	}
	if now.Sub(t.heard) < h.settings.Lease/2 {
		renewal.Until = t.clockNow(now, h.settings.Drift) + h.settings.Lease
		t.until = max(t.until, renewal.Until)
	}
	h.actions.Renewals = append(h.actions.Renewals, medlargw.RenewCommand{Target: t.info, Renewal: renewal})
}

// idlePolls is how much longer a target without runs may wait. The lease of a
// run that is started meanwhile must not end before the next renewal.
const idlePolls = 2

// Reported takes the answer to a renewal that was sent at that time, or the
// error without one.
func (h *Holder) Reported(now, sent time.Time, c *medlargw.RenewCommand, report *medlargw.RunReport, err error) {
	t := h.targets[c.Target.Name]
	if t == nil || t.fence != c.Renewal.Fence {
		return
	}
	t.renewing = false
	if err != nil {
		h.silent(now, t, err)
		return
	}
	switch report.Verdict {
	case medlargw.VerdictDone:
	case medlargw.VerdictFenced:
		h.refused(now, t)
		return
	case medlargw.VerdictOther:
		h.endAll(now, t, "another incarnation")
		h.silent(now, t, nil)
		return
	default:
		h.silent(now, t, nil)
		return
	}
	h.answered(now, t)
	h.rebirth(t, report)
	t.hear(now, report.Clock)
	h.takeEnds(now, t, report)
	h.takeActive(now, sent, t, report)
	t.nextRenew = now
	h.renew(now, t)
	h.place(now)
}

// silent takes a renewal that was not answered.
func (h *Holder) silent(now time.Time, t *target, err error) {
	if t.failures == 0 && t.held {
		h.log.Info("target does not answer", zap.String("target", string(t.info.Name)), zap.Int("runs", len(t.runs)), zap.Error(err))
	}
	t.failures++
	retry := min(firstRetry<<min(t.failures, 8), maxRetry)
	if !t.held && t.failures > 1 {
		retry = claimRetry
	}
	t.nextRenew = now.Add(retry)
}

func (h *Holder) answered(now time.Time, t *target) {
	if t.failures > 0 && t.held {
		h.log.Info("target answers again", zap.String("target", string(t.info.Name)), zap.Duration("silent", now.Sub(t.heard)))
	}
	t.failures = 0
	if !t.held {
		h.fences.accepted()
		t.held = true
		h.log.Debug("target claimed", zap.String("target", string(t.info.Name)), zap.Uint64("fence", t.fence))
	}
}

// rebirth notices a new incarnation. What runs in it is what the report lists
// as active; an order meant for the former one may have been carried out, under
// a lease that was cut to the longest.
func (h *Holder) rebirth(t *target, report *medlargw.RunReport) {
	if report.Born.IsZero() || report.Born.Equal(t.born) {
		return
	}
	if !t.born.IsZero() {
		h.log.Info("new incarnation of a target", zap.String("target", string(t.info.Name)), zap.Int("runs", len(t.runs)))
	}
	t.born = report.Born
	t.seen = 0
	t.until = report.Clock + h.settings.Longest
	t.health = newHealth()
}

// takeEnds takes note of the ends in a report.
func (h *Holder) takeEnds(now time.Time, t *target, report *medlargw.RunReport) {
	for i := range report.Ended {
		e := &report.Ended[i]
		if e.Number <= t.seen {
			continue
		}
		t.seen = e.Number
		if r := t.runs[e.Run]; r != nil {
			h.takeEnd(now, t, r, e.Kind)
		}
	}
}

func (h *Holder) takeEnd(now time.Time, t *target, r *run, kind medlargw.RunEndKind) {
	if r.acked.IsZero() {
		r.acked = r.sent
	}
	switch kind {
	case medlargw.RunDone:
		if r.task != nil {
			h.learn(now, r)
		}
		h.ended(now, r, medlargw.TaskDone, "")
	case medlargw.RunFailed:
		t.fails(now)
		h.ended(now, r, medlargw.TaskFailed, "failed")
	case medlargw.RunStopped:
		reason := r.reason
		if reason == "" {
			reason = "stopped by the target"
		}
		h.ended(now, r, medlargw.TaskStopped, reason)
	}
}

// takeActive compares what the target lists as running with what is known.
func (h *Holder) takeActive(now, sent time.Time, t *target, report *medlargw.RunReport) {
	listed := make(map[medlargw.RunID]bool, len(report.Active))
	for i := range report.Active {
		a := &report.Active[i]
		listed[a.Run] = true
		r := t.runs[a.Run]
		if r == nil {
			h.stopForeign(now, t, a.Run)
			continue
		}
		if r.acked.IsZero() {
			r.acked = now
		}
		h.judge(now, r, a.Percent)
	}
	if report.More {
		return
	}
	for _, r := range t.inOrder() {
		if !listed[r.id] {
			h.absent(now, sent, r, report.Clock)
		}
	}
}

// stopForeign stops a run that another holder started. Its size is not known.
func (h *Holder) stopForeign(now time.Time, t *target, id medlargw.RunID) {
	h.log.Info("unknown run stopped", zap.String("task", id.Task), zap.Int("attempt", id.Attempt), zap.String("target", string(t.info.Name)))
	r := &run{id: id, target: t, state: runRunning, sent: now, acked: now}
	t.put(r)
	h.stop(now, r, "unknown")
}

// absent takes a run that a report lacks, if that proves anything: the report
// must have been asked for after the target's last word of the run.
func (h *Holder) absent(now, sent time.Time, r *run, clock time.Duration) {
	switch {
	case r.state == runRunning && !r.acked.After(sent):
		h.ended(now, r, medlargw.TaskStopped, "no longer listed as running")
	case r.state == runDoubtful && !r.stopAnswered.IsZero() && !r.stopAnswered.After(sent),
		r.state == runDoubtful && clock > r.until+lapseMargin:
		r.stopping = false // It never was there: the task may be started anew.
		h.notStarted(now, r)
	}
}

// notStarted gives back a task whose order was proven not carried out. Its
// number is used up.
func (h *Holder) notStarted(now time.Time, r *run) {
	r.target.take(r)
	if r.task != nil {
		h.end(now, r.task, medlargw.TaskReturned, r, "start not answered")
	}
}
