package coordinator

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// host returns the name of the holder's host, or "" if the holder is nil.
func (h *holder) host() string {
	if h == nil {
		return ""
	}
	return string(h.peer.Host)
}

// logFields returns the log fields of an attempt of the task at a holder.
func (t *task) logFields(attempt int, h *holder) []zap.Field {
	return []zap.Field{
		zap.String("task", t.job.job.Tasks[t.index].ID), zap.Int("attempt", attempt), zap.String("holder", h.host()),
	}
}

// logReturned logs that a task was taken from a holder by a late answer, or by
// one after a message that was not answered. The field "to" is the holder to
// which it was offered since, under the same attempt number.
func (c *Coordinator) logReturned(t *task, from *holder, answer medlargw.OfferState) {
	c.log.Info("task returned after an unanswered offer",
		append(t.logFields(t.attempt, from), zap.Stringer("answer", answer), zap.String("to", t.holder.host()))...)
}

// logRefusedAfterStart logs an answer that contradicts an earlier one, or a
// report, of the same holder.
func (c *Coordinator) logRefusedAfterStart(t *task, answer medlargw.OfferState) {
	c.log.Info("task refused after its start", append(t.logFields(t.attempt, t.holder), zap.Stringer("answer", answer))...)
}

// logEndedByTime logs that an attempt counted as ended because its holder must
// have stopped it by now. The field "to" is the holder of the next attempt.
func (c *Coordinator) logEndedByTime(now time.Time, t *task, attempt int, from *holder) {
	c.log.Info("attempt counted as ended", append(t.logFields(attempt, from), zap.String("reason", "holder lost"),
		zap.Duration("silent", now.Sub(from.lastAnswered)), zap.Duration("sent", now.Sub(from.lastSent)), zap.String("to", t.holder.host()))...)
}

// logMoved logs that another holder than the known one reports a task.
func (c *Coordinator) logMoved(t *task, to *holder, e *medlargw.TaskReport) {
	c.log.Info("task moved to another holder", append(t.logFields(t.attempt, t.holder), zap.String("to", to.host()),
		zap.Stringer("event", e.Event), zap.String("target", string(e.Target)))...)
}

// logFormerOffer logs a report of a run that was believed not to have started or
// to have ended. The field "to" is the present holder of its task, which may run
// it a second time.
func (c *Coordinator) logFormerOffer(from *holder, e *medlargw.TaskReport) {
	t := c.formerTasks[e.ID]
	if t == nil || e.Event == medlargw.TaskReturned {
		return
	}
	c.log.Info("report on a former offer", append(t.logFields(t.attempt, from), zap.Stringer("event", e.Event),
		zap.String("target", string(e.Target)), zap.String("reason", e.Reason), zap.String("to", t.holder.host()))...)
}
