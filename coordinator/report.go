package coordinator

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// OfferAnswered takes the answer to an offer that was sent at that time, or
// the error without one.
func (c *Coordinator) OfferAnswered(now, sent time.Time, o *medlargw.HomeOffer, reply *medlargw.OfferReply, err error) {
	h := c.holders[o.To.Incarnation]
	if h == nil {
		return
	}
	if err != nil || reply.Incarnation != o.To.Incarnation {
		c.unanswered(now, h, &o.Offer, err)
		return
	}
	if sent.After(h.heard) {
		h.heard = sent
	}
	h.clock, h.clockAt = reply.Clock, now
	h.unsent = time.Time{}
	if h.lost {
		c.found(h)
	}
	c.See(now, o.To.Incarnation, reply.Room)
	for _, s := range reply.States {
		if t := h.tasks[s.ID]; t != nil {
			c.offered(now, t, s.State)
		}
	}
}

// found takes a lost holder back. It may hear this home in time to go on with
// the tasks, so that their ends are no longer proven: they are offered again by
// the same ids, to learn what became of them.
func (c *Coordinator) found(h *holder) {
	h.lost = false
	c.log.Info("holder answers again", zap.String("holder", string(h.peer.Host)))
	for _, t := range h.inOrder() {
		t.proven = time.Time{}
		t.offerAgain()
	}
}

// unanswered sends an offer again whose fate is not known. The holder knows a
// task by its id, so that it is not run twice.
func (c *Coordinator) unanswered(now time.Time, h *holder, o *medlargw.Offer, err error) {
	c.log.Debug("offer not answered", zap.String("holder", string(h.peer.Host)), zap.Int("tasks", len(o.Tasks)), zap.Error(err))
	for i := range o.Tasks {
		if t := h.tasks[o.Tasks[i].ID]; t != nil && t.state == taskOffered {
			t.offerAgain()
		}
	}
	for _, id := range o.Recalls {
		if t := h.tasks[id]; t != nil && t.state == taskOffered {
			c.move(t, taskQueued)
		}
	}
	if len(o.Cancels) == 0 {
		return
	}
	if h.unsent.IsZero() {
		h.unsent = now
	}
	if now.Sub(h.unsent) < cancelFor {
		h.cancels = append(h.cancels, o.Cancels...)
	}
}

// offered takes the state of an offered task.
func (c *Coordinator) offered(now time.Time, t *task, state medlargw.OfferState) {
	switch state {
	case medlargw.OfferStarted:
		c.start(now, t)
	case medlargw.OfferQueued:
		if t.state == taskOffered {
			c.move(t, taskQueued)
		}
	case medlargw.OfferRefused, medlargw.OfferStale:
		if t.state == taskStarted {
			return
		}
		if state == medlargw.OfferRefused && !t.recalled {
			t.refusals++
		}
		c.detach(t)
		if t.job.refusing {
			c.settle(now, t.job)
			return
		}
		c.place(now, t)
	}
}

// start takes note that a run of the task may have begun.
func (c *Coordinator) start(now time.Time, t *task) {
	if t.state == taskDone {
		return
	}
	c.move(t, taskStarted)
	t.recalled = false
	t.job.started = true
	if t.job.refusing {
		t.job.refusing = false
		c.placeIdle(now, t.job)
	}
}

// Report takes a holder's events.
func (c *Coordinator) Report(now time.Time, r *medlargw.Report) {
	c.See(now, r.From.Incarnation, r.Room)
	from := c.holders[r.From.Incarnation]
	for i := range r.Tasks {
		e := &r.Tasks[i]
		t := c.tasks[e.ID]
		if from == nil {
			continue
		}
		if t == nil {
			if e.Event == medlargw.TaskStarted { // Its job has ended meanwhile.
				from.cancels = append(from.cancels, e.ID)
			}
			continue
		}
		if t.holder != from && e.Event == medlargw.TaskUnknown {
			continue // It was handed over since.
		}
		from.attach(t)
		t.proven = time.Time{}
		c.take(now, t, e)
	}
}

func (c *Coordinator) take(now time.Time, t *task, e *medlargw.TaskReport) {
	if e.Event.Ends() && e.Event != medlargw.TaskDone {
		c.log.Info("attempt ended", zap.String("task", t.job.job.Tasks[t.index].ID), zap.Int("attempt", t.attempt),
			zap.Stringer("event", e.Event), zap.String("target", string(e.Target)), zap.String("reason", e.Reason),
			zap.Duration("elapsed", e.Elapsed))
	}
	switch e.Event {
	case medlargw.TaskStarted:
		t.resend = false
		c.start(now, t)
	case medlargw.TaskDone:
		c.start(now, t)
		c.estimator.Learn(t.job.job, e.Elapsed)
		c.move(t, taskDone)
		c.detach(t)
		t.job.done++
		if t.job.done == len(t.job.tasks) {
			c.complete(now, t.job)
		}
	case medlargw.TaskFailed:
		c.start(now, t)
		c.failed(now, t, e.Target)
	case medlargw.TaskStopped:
		c.start(now, t)
		c.again(now, t, e.Target)
	case medlargw.TaskReturned:
		c.again(now, t, e.Target)
	case medlargw.TaskUnknown:
		c.start(now, t)
		c.giveUp(now, t.job, medlargw.CodeAttemptLost, "the target went to another holder")
	}
}
