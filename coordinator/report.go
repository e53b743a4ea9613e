package coordinator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// HandleOfferReply processes the answer to an offer that was sent at the given
// time, or the error if there was no answer.
func (c *Coordinator) HandleOfferReply(now, sent time.Time, o *medlargw.OfferCommand, reply *medlargw.OfferReply, err error) {
	h := c.holders[o.To.Incarnation]
	if h == nil {
		return
	}
	if err != nil || reply.Incarnation != o.To.Incarnation {
		c.offerFailed(now, h, &o.Offer, err)
		return
	}
	h.recordAnswer(sent)
	h.cancelsAnswered(o.Offer.Cancels)
	h.lastHeard = now
	h.updateClock(now, reply.Clock)
	if h.lost {
		c.markReachable(h, "answers")
	}
	c.SetFreeResources(now, o.To.Incarnation, reply.FreeResources)
	for _, s := range reply.States {
		if t := h.tasks[s.ID]; t != nil {
			c.setTarget(t, s.Target)
			c.applyOfferState(now, t, s.State)
		}
		c.recordAnswer(now, h, &s, slices.Contains(o.Offer.Cancels, s.ID))
	}
}

// markReachable restores a lost holder. It may have received this coordinator's
// messages in time to continue its tasks, so their ends are no longer proven.
// Recalls tell their states: those that have started go on.
func (c *Coordinator) markReachable(h *holder, reason string) {
	h.lost = false
	c.verdicts.Revised++
	c.log.Info("holder answers again", zap.String("holder", string(h.peer.Host)), zap.String("reason", reason), zap.Int("tasks", len(h.tasks)))
	for _, t := range h.sortedTasks() {
		t.endedBy = time.Time{}
		c.queryState(t)
	}
}

// queryState recalls a task whose state at its holder is unknown. The answer
// tells whether it has started; if it has not, it is returned and can be offered
// elsewhere. A recall has no payload.
func (c *Coordinator) queryState(t *task) {
	if t.state == taskOffered {
		c.setState(t, taskQueued)
	}
	t.offerPending = false
	t.unanswered = true
	t.recall()
}

// offerFailed handles an offer that may or may not have arrived: the states of
// its tasks are queried, and its recalls and cancels are sent again.
func (c *Coordinator) offerFailed(now time.Time, h *holder, o *medlargw.Offer, err error) {
	c.log.Debug("offer not answered", zap.String("holder", string(h.peer.Host)), zap.Int("tasks", len(o.Tasks)), zap.Error(err))
	h.recordFailure(now, c.settings.Keep)
	for i := range o.Tasks {
		if t := h.tasks[o.Tasks[i].ID]; t != nil && t.state == taskOffered {
			c.queryState(t)
		}
	}
	for _, id := range o.Recalls {
		if t := h.tasks[id]; t != nil {
			c.queryState(t)
		}
	}
	if len(o.Cancels) > 0 {
		h.cancelsFailed(now)
	}
}

// applyOfferState processes the state of a task in the answer to an offer.
func (c *Coordinator) applyOfferState(now time.Time, t *task, state medlargw.OfferState) {
	switch state {
	case medlargw.OfferStarted:
		c.markStarted(now, t)
	case medlargw.OfferQueued:
		if t.state == taskOffered {
			c.setState(t, taskQueued)
		}
		t.job.setWaits(now)
	case medlargw.OfferRefused, medlargw.OfferExpired:
		if t.state == taskStarted {
			c.logRefusedAfterStart(t, state)
			return
		}
		if state == medlargw.OfferRefused && !t.recalled {
			t.job.setWaits(now)
			t.recordRefusal(now)
		}
		from, doubtful := t.holder, t.unanswered || state == medlargw.OfferExpired
		c.detach(t)
		if t.job.refusing {
			c.refuseIfWithdrawn(now, t.job)
		} else {
			c.place(now, t)
		}
		if doubtful {
			c.logReturned(t, from, state)
		}
	}
}

// markStarted records that a run of the task may have started.
func (c *Coordinator) markStarted(now time.Time, t *task) {
	if t.state == taskDone {
		return
	}
	c.setState(t, taskStarted)
	t.recalled = false
	t.unanswered = false
	t.job.started = true
	if t.job.firstStart == 0 {
		t.job.firstStart = now.Sub(t.job.job.Arrived)
	}
	if t.job.refusing {
		t.job.refusing = false
		c.placeIdle(now, t.job)
	}
}

// HandleReport processes a holder's task events. It ignores those for another
// incarnation of this entry, which numbered its tasks alike.
func (c *Coordinator) HandleReport(now time.Time, r *medlargw.Report) {
	c.SetFreeResources(now, r.From.Incarnation, r.FreeResources)
	from := c.holders[r.From.Incarnation]
	if from == nil {
		from = c.addReporter(now, &r.From)
	}
	from.lastHeard = now
	for i := range r.Tasks {
		e := &r.Tasks[i]
		t := c.tasks[e.ID]
		if e.Home.Incarnation != c.self.Incarnation {
			continue
		}
		if t == nil {
			c.logFormerOffer(from, e)
			c.recordEvent(now, from, e)
			if e.Event == medlargw.TaskStarted { // The job has ended in the meantime.
				from.cancel(now, e.ID)
			}
			continue
		}
		if t.holder != from && t.isOutdated(from, e) {
			continue // The task has moved to another holder since, which tells its end.
		}
		moved := t.holder != from
		if moved {
			c.logMoved(t, from, e)
		}
		from.attach(t)
		t.endedBy = time.Time{}
		c.applyEvent(now, t, e)
		if moved && t.holder == from && t.state == taskStarted {
			t.recall() // The holder renews the lease of the run once it knows that this entry knows.
		}
	}
}

// isOutdated reports whether an event at a holder that the task has left says nothing of
// its run at the present holder.
func (t *task) isOutdated(from *holder, e *medlargw.TaskReport) bool {
	switch e.Event {
	case medlargw.TaskUnknown:
		return true
	case medlargw.TaskStopped:
		return slices.Contains(t.formers, from)
	case medlargw.TaskStarted:
		return slices.Contains(t.formers, from) && e.Reason != medlargw.ReasonHandedOver && e.Crash == medlargw.CrashNone
	}
	return false
}

// addReporter adds a holder that reports before this entry has it in its group. It
// gets no new tasks until then.
func (c *Coordinator) addReporter(now time.Time, m *medlargw.Member) *holder {
	c.log.Info("report from an unknown holder", zap.String("holder", string(m.Host)))
	h := newHolder(now)
	h.peer = medlargw.Peer{Host: m.Host, Zone: m.Zone, Addr: m.Addr, Incarnation: m.Incarnation}
	h.affinity = c.affinity(m.Host)
	h.absentSince = now
	c.holders[m.Incarnation] = h
	c.sortHolders()
	return h
}

func (c *Coordinator) applyEvent(now time.Time, t *task, e *medlargw.TaskReport) {
	if e.Event.Terminal() && e.Event != medlargw.TaskSucceeded {
		c.log.Info("attempt ended", zap.String("task", t.job.job.Tasks[t.index].ID), zap.Int("attempt", t.attempt),
			zap.Stringer("event", e.Event), zap.String("target", string(e.Target)), zap.String("reason", e.Reason),
			zap.Stringer("crash", e.Crash), zap.Duration("elapsed", e.Elapsed), zap.String("holder", string(t.holder.peer.Host)))
	}
	c.setTarget(t, e.Target)
	if c.applyCrash(now, t, e) {
		return
	}
	switch e.Event {
	case medlargw.TaskStarted:
		t.offerPending = false
		c.markStarted(now, t)
	case medlargw.TaskSucceeded:
		c.markStarted(now, t)
		c.estimator.Observe(t.job.job, e.Elapsed)
		c.setState(t, taskDone)
		c.detach(t)
		t.job.done++
		if t.job.done == len(t.job.tasks) {
			c.complete(now, t.job)
		}
	case medlargw.TaskFailed:
		c.markStarted(now, t)
		c.recordFailure(now, t, e.Target)
	case medlargw.TaskStopped:
		c.markStarted(now, t)
		c.retry(now, t, e.Target)
	case medlargw.TaskReturned:
		if e.Reason == medlargw.ReasonInvalid && c.recordRejection(now, t) {
			return
		}
		c.retry(now, t, e.Target)
	case medlargw.TaskUnknown:
		c.markStarted(now, t)
		c.abort(now, t.job, medlargw.CodeAttemptLost, "the target went to another holder")
	}
}
