package holder

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// runFields returns the log fields of a run on the target, with the fencing
// token of this holder and the end up to which it acknowledges.
func (t *target) runFields(id medlargw.RunID) []zap.Field {
	return []zap.Field{
		zap.String("task", id.Task), zap.Int("attempt", id.Attempt), zap.String("target", string(t.info.Name)),
		zap.Uint64("fence", t.token), zap.Uint64("seen", t.ackable()),
	}
}

// transferFields returns the log fields of a transfer, with the fencing token of
// the former holder.
func transferFields(transferred *medlargw.TransferredTarget) []zap.Field {
	return []zap.Field{
		zap.String("target", string(transferred.Name)), zap.Uint64("fence", transferred.FenceToken),
		zap.Uint64("seen", transferred.AckedSequence), zap.Int("runs", len(transferred.Runs)),
	}
}

// logStale logs the answer to a late offer of a task that was known before.
func (h *Holder) logStale(now time.Time, m *home, o *medlargw.OfferedTask, answer medlargw.OfferState) {
	if answer == medlargw.OfferExpired {
		return
	}
	h.log.Info("stale offer of a known task", zap.String("task", o.Run.Task), zap.Int("attempt", o.Run.Attempt),
		zap.String("home", string(m.peer.Host)), zap.Stringer("answer", answer))
	h.logEnded(now, m, o.ID, answer)
}

// logEnded logs the answer to an offer or a recall of a task whose run has ended
// here or was transferred. It logs nothing for other tasks.
func (h *Holder) logEnded(now time.Time, m *home, id medlargw.TaskID, answer medlargw.OfferState) {
	e, ok := m.ended[id]
	if !ok || m.tasks[id] != nil {
		return
	}
	event := "transferred"
	if e.to == "" {
		if e.report.Home.Incarnation == 0 || e.report.Event == medlargw.TaskReturned {
			return
		}
		event = e.report.Event.String()
	}
	h.log.Info("ended task offered or recalled", zap.String("task", e.run.Task), zap.Int("attempt", e.run.Attempt),
		zap.String("home", string(m.peer.Host)), zap.Stringer("answer", answer), zap.String("event", event),
		zap.String("target", string(e.report.Target)), zap.String("to", string(e.to)), zap.Duration("age", now.Sub(e.at)))
}

// logStart logs a start order with the home of its task. A caller that submits its
// job again may have two homes for it.
func (h *Holder) logStart(r *run) {
	if line := h.log.Check(zap.DebugLevel, "run ordered"); line != nil {
		home := &r.task.home.peer
		line.Write(append(r.target.runFields(r.id), zap.String("home", string(home.Host)),
			zap.Uint64("incarnation", uint64(home.Incarnation)), zap.Uint64("job", r.task.offered.Job))...)
	}
}

// logAbandonedEnd logs the end of a run whose job was given up, with the time since
// then.
func (h *Holder) logAbandonedEnd(now time.Time, r *run, event medlargw.TaskEvent) {
	if !r.abandonedAt.IsZero() {
		h.log.Info("abandoned run ended", append(r.target.runFields(r.id), zap.Stringer("event", event), zap.String("reason", r.reason),
			zap.Duration("since", now.Sub(r.abandonedAt)), zap.Duration("age", now.Sub(r.sent)))...)
	}
}

// logEnd logs the end of a run whose home is unknown, unless this holder has
// stopped it, and one that is read while the transfer of its target is in flight.
func (h *Holder) logEnd(t *target, e *medlargw.RunEnd) {
	r := t.runs[e.Run]
	switch {
	case r == nil || r.task == nil && e.Kind != medlargw.RunStopped:
		h.log.Info("end of an unknown run",
			append(t.runFields(e.Run), zap.Stringer("kind", e.Kind), zap.Uint64("sequence", e.Sequence))...)
	case r.task != nil && t.transferring:
		h.log.Info("run ended during the transfer of its target", append(t.runFields(e.Run), zap.Stringer("kind", e.Kind),
			zap.Uint64("sequence", e.Sequence), zap.String("to", string(t.transferredTo)))...)
	}
}

// logAbsent logs what proves the end of a run that a report does not list. The
// clock is that of the target in the report.
func (h *Holder) logAbsent(r *run, reason string, clock time.Duration) {
	h.log.Info("absent run counted as ended", append(r.target.runFields(r.id), zap.String("reason", reason),
		zap.Duration("clock", clock), zap.Duration("lease", r.leaseEnd))...)
}

// logRunsEnded logs what proves the end of all runs of a target: the lower bound
// of its clock, the latest end of a lease and the time since the transfer.
func (h *Holder) logRunsEnded(now time.Time, t *target, reason string) {
	if len(t.runs) == 0 {
		return
	}
	fields := []zap.Field{
		zap.String("target", string(t.info.Name)), zap.Int("runs", len(t.runs)), zap.String("reason", reason),
		zap.Uint64("fence", t.token), zap.Uint64("seen", t.ackable()), zap.Duration("lease", t.leaseEnd),
	}
	if !t.clockAt.IsZero() {
		fields = append(fields, zap.Duration("clock", t.clockLowerBound(now, h.settings.Drift)))
	}
	if !t.transferredAt.IsZero() {
		fields = append(fields, zap.Duration("transferred", now.Sub(t.transferredAt)))
	}
	h.log.Info("runs of a target counted as ended", fields...)
}

// logSilent logs the first unanswered renewal of a target, and the runs there.
func (h *Holder) logSilent(now time.Time, t *target, err error) {
	h.log.Info("target does not answer", zap.String("target", string(t.info.Name)), zap.Int("runs", len(t.runs)), zap.Error(err))
	for _, r := range t.sortedRuns() {
		if r.task == nil {
			continue
		}
		h.log.Info("run on a silent target", append(t.runFields(r.id), zap.Int("rank", r.task.offered.Rank),
			zap.Bool("confirmed", !r.acked.IsZero()), zap.Duration("age", now.Sub(r.sent)))...)
	}
}

// logClaim logs the answer to a claim.
func (h *Holder) logClaim(now time.Time, t *target, c *medlargw.RenewCommand, report *medlargw.RunReport) {
	unknown := 0
	for i := range report.Active {
		if t.runs[report.Active[i].Run] == nil {
			unknown++
		}
	}
	for i := range report.Ended {
		if t.runs[report.Ended[i].Run] == nil {
			unknown++
		}
	}
	fields := []zap.Field{
		zap.String("target", string(t.info.Name)), zap.Uint64("fence", t.token), zap.Uint64("seen", c.Renewal.AckedSequence),
		zap.Int("active", len(report.Active)), zap.Int("ended", len(report.Ended)), zap.Int("unknown", unknown),
		zap.Duration("waited", now.Sub(t.addedAt)), zap.Time("born", report.IncarnationStart),
	}
	if unknown > 0 || now.Sub(h.firstAssigned) > settleTime {
		h.log.Info("target claimed", fields...)
		return
	}
	h.log.Debug("target claimed", fields...)
}

func (h *Holder) logTransferSent(t *target) {
	kept := 0
	for _, r := range t.runs {
		if r.task == nil || r.stopping {
			kept++
		}
	}
	fields := append(transferFields(&t.transferred), zap.String("to", string(t.transferredTo)), zap.Int("kept", kept))
	if len(t.runs) > 0 {
		h.log.Info("target transfer sent", fields...)
		return
	}
	h.log.Debug("target transfer sent", fields...)
}

func (h *Holder) logTransferFinished(t *target, transferred *medlargw.TransferredTarget, reason string) {
	fields := append(transferFields(transferred), zap.String("to", string(t.transferredTo)), zap.String("reason", reason))
	if len(t.runs)+len(transferred.Runs) > 0 {
		h.log.Info("target transfer finished", fields...)
		return
	}
	h.log.Debug("target transfer finished", fields...)
}

// logTransferReceived logs a transfer, and the fencing token and the runs of
// this entry if it has claimed the target already.
func (h *Holder) logTransferReceived(t *target, transferred *medlargw.TransferredTarget, from medlargw.HostName) {
	fields := append(transferFields(transferred), zap.String("from", string(from)))
	if t.claimed {
		fields = append(fields, zap.Uint64("own", t.token), zap.Uint64("acked", t.ackable()), zap.Int("known", len(t.runs)))
	}
	if t.claimed || len(transferred.Runs) > 0 {
		h.log.Info("target transfer received", fields...)
		return
	}
	h.log.Debug("target transfer received", fields...)
}
