package coordinator

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

const (
	// validity is the time in which an offer must arrive, beside the way of
	// the answer that told the holder's clock.
	validity = 400 * time.Millisecond
	// askEvery is the time between two questions for the room of holders while
	// tasks wait; heartbeats tell it too late for tasks of some 50 ms.
	askEvery = 25 * time.Millisecond
	// askAbroad is the number of holders of other zones that are asked at a time.
	askAbroad = 4
	// lostKeeps is the number of keeps without an answer after which a holder
	// is lost.
	lostKeeps = 5
	// forgetHolder is the time after which a holder that is gone is forgotten.
	forgetHolder = 10 * time.Second
	// cancelFor is the time for which cancels are sent again.
	cancelFor = 2 * time.Second
)

// holder is a holder of targets as this home sees it.
type holder struct {
	peer    medlargw.Peer
	room    medlargw.HolderRoom
	clock   time.Duration // Its clock in its last answer.
	clockAt time.Time     // When that answer arrived; zero is never.
	heard   time.Time     // Sending of the last offer that was answered.
	sent    time.Time     // Last offer.
	lost    bool
	absent  time.Time // Since when it is not among the entries; zero is present.
	cancels []medlargw.TaskID
	unsent  time.Time // Since when cancels wait for an answer.
}

// pool returns what the holder has of a pool, or nil.
func (h *holder) pool(name medlargw.PoolName) *medlargw.PoolRoom {
	for i := range h.room.Pools {
		if h.room.Pools[i].Pool == name {
			return &h.room.Pools[i]
		}
	}
	return nil
}

// offerable reports whether the holder may get tasks.
func (h *holder) offerable() bool { return !h.lost && h.absent.IsZero() }

// uses reports whether tasks are at the holder.
func (c *Coordinator) uses(h *holder) bool {
	for _, t := range c.tasks {
		if t.holder == h {
			return true
		}
	}
	return false
}

// asks returns the holders to ask for their room now, because tasks wait: those
// of the zone, and some of the others in turn.
func (c *Coordinator) asks(now time.Time) map[*holder]bool {
	if now.Sub(c.asked) < askEvery || !c.anyWaiting() {
		return nil
	}
	c.asked = now
	all := map[*holder]bool{}
	var abroad []*holder
	for _, h := range c.order {
		switch {
		case !h.offerable() || h.peer.Incarnation == c.self.Incarnation || now.Sub(h.sent) < askEvery:
		case h.peer.Zone == c.self.Zone:
			all[h] = true
		default:
			abroad = append(abroad, h)
		}
	}
	for range min(len(abroad), askAbroad) {
		all[abroad[c.turn%len(abroad)]] = true
		c.turn++
	}
	return all
}

// anyWaiting reports whether a task waits for room, here or at a holder.
func (c *Coordinator) anyWaiting() bool {
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.state == taskIdle || t.state == taskQueued {
				return true
			}
		}
	}
	return false
}

// message returns what must be sent to a holder now.
func (c *Coordinator) message(now time.Time, h *holder, asked bool) (medlargw.Offer, bool) {
	if h.lost {
		return medlargw.Offer{}, false
	}
	o := medlargw.Offer{From: c.self, Cancels: h.cancels}
	h.cancels = nil
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.holder != h {
				continue
			}
			if t.resend {
				t.resend = false
				o.Tasks = append(o.Tasks, t.offer(now))
			}
			if t.recalled && t.state == taskQueued {
				t.state = taskOffered // Until the recall is answered.
				o.Recalls = append(o.Recalls, t.id)
			}
		}
	}
	if !asked && len(o.Tasks)+len(o.Recalls)+len(o.Cancels) == 0 && (now.Sub(h.sent) < c.settings.Keep || !c.uses(h)) {
		return o, false
	}
	h.sent = now
	if !h.clockAt.IsZero() {
		o.Valid = h.clock + now.Sub(h.clockAt) + validity
	}
	return o, true
}

// offer returns the task as it is offered.
func (t *task) offer(now time.Time) medlargw.OfferedTask {
	m := t.job.job
	return medlargw.OfferedTask{
		ID:       t.id,
		Job:      t.job.number,
		Run:      medlargw.RunID{Task: m.Tasks[t.index].ID, Attempt: t.attempt},
		Payload:  m.Tasks[t.index].Payload,
		Pool:     m.Pool,
		Room:     m.Room,
		Rank:     m.Rank,
		Estimate: t.job.estimate,
		Due:      t.job.due.Sub(now),
		Deadline: m.Deadline.Sub(now),
		Avoid:    t.avoid,
		Queue:    t.queue,
	}
}

// See takes what a holder says of its room. Older words are ignored.
func (c *Coordinator) See(now time.Time, incarnation medlargw.Incarnation, room medlargw.HolderRoom) {
	h := c.holders[incarnation]
	if h == nil || room.Number <= h.room.Number {
		return
	}
	h.room = room.Clone() // What is offered is taken from it.
	c.rebalance(now)
}

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
	if h.lost {
		c.found(h)
	}
	c.See(now, o.To.Incarnation, reply.Room)
	for _, s := range reply.States {
		if t := c.tasks[s.ID]; t != nil && t.holder == h {
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
	for _, t := range c.tasksOf(h) {
		t.proven = time.Time{}
		t.resend = true
	}
}

// unanswered sends an offer again whose fate is not known. The holder knows a
// task by its id, so that it is not run twice.
func (c *Coordinator) unanswered(now time.Time, h *holder, o *medlargw.Offer, err error) {
	c.log.Debug("offer not answered", zap.String("holder", string(h.peer.Host)), zap.Int("tasks", len(o.Tasks)), zap.Error(err))
	for i := range o.Tasks {
		if t := c.tasks[o.Tasks[i].ID]; t != nil && t.holder == h && t.state == taskOffered {
			t.resend = true
		}
	}
	for _, id := range o.Recalls {
		if t := c.tasks[id]; t != nil && t.holder == h && t.state == taskOffered {
			t.state = taskQueued
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
	t.holder.unsent = time.Time{}
	switch state {
	case medlargw.OfferStarted:
		c.start(t)
	case medlargw.OfferQueued:
		if t.state == taskOffered {
			t.state = taskQueued
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
		c.place(t)
	}
}

// start takes note that a run of the task may have begun.
func (c *Coordinator) start(t *task) {
	if t.state == taskDone {
		return
	}
	t.state = taskStarted
	t.recalled = false
	t.job.started = true
	if t.job.refusing {
		t.job.refusing = false
		c.placeIdle(t.job)
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
		t.holder = from
		t.proven = time.Time{}
		c.take(now, t, e)
	}
}

func (c *Coordinator) take(now time.Time, t *task, e *medlargw.TaskReport) {
	switch e.Event {
	case medlargw.TaskStarted:
		t.resend = false
		c.start(t)
	case medlargw.TaskDone:
		c.start(t)
		c.estimator.Learn(t.job.job, e.Elapsed)
		t.state = taskDone
		c.detach(t)
		t.job.done++
		if t.job.done == len(t.job.tasks) {
			c.complete(now, t.job)
		}
	case medlargw.TaskFailed:
		c.start(t)
		c.failed(now, t, e.Target)
	case medlargw.TaskStopped:
		c.start(t)
		c.again(now, t, e.Target)
	case medlargw.TaskReturned:
		c.again(now, t, e.Target)
	case medlargw.TaskUnknown:
		c.start(t)
		c.giveUp(now, t.job, medlargw.CodeAttemptLost, "the target went to another holder")
	}
}

// tickHolder notices a holder that has fallen silent, and the time at which
// what it may have started has surely ended.
func (c *Coordinator) tickHolder(now time.Time, h *holder) {
	if !c.uses(h) {
		if !h.lost {
			h.heard = now
		}
		if h.lost && now.Sub(h.sent) > c.endsAfter() {
			h.lost = false // It is tried again.
			h.heard = now
		}
		return
	}
	if !h.lost && now.Sub(h.heard) > lostKeeps*c.settings.Keep {
		c.lose(now, h, c.endsAfter()-now.Sub(h.sent))
	}
	for _, t := range c.tasksOf(h) {
		if !t.proven.IsZero() && !now.Before(t.proven) {
			c.again(now, t, "")
		}
	}
}

// endsAfter returns the time after the last offer in which a holder that hears
// no more of this home has stopped its tasks.
func (c *Coordinator) endsAfter() time.Duration {
	return validity + c.settings.Silence + c.settings.Lease + c.settings.Stop + c.settings.Keep
}

// lose gives up a holder. Its tasks have ended when the given time has passed;
// a job that can't wait for this is given up at once.
func (c *Coordinator) lose(now time.Time, h *holder, ends time.Duration) {
	if h.lost {
		return
	}
	h.lost = true
	h.cancels = nil
	all := c.tasksOf(h)
	c.log.Info("holder lost", zap.String("holder", string(h.peer.Host)), zap.Duration("silent", now.Sub(h.heard)), zap.Int("tasks", len(all)))
	for _, t := range all {
		t.proven = now.Add(ends)
		t.job.started = true // Its offer may have been heard.
		if t.job.refusing {
			t.job.refusing = false
		}
		if t.proven.Add(t.job.estimate).After(t.job.job.Deadline) {
			c.giveUp(now, t.job, medlargw.CodeAttemptLost, "the holder of its targets is lost")
		}
	}
}

// tasksOf returns the tasks that are at a holder, in order.
func (c *Coordinator) tasksOf(h *holder) []*task {
	var all []*task
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.holder == h {
				all = append(all, t)
			}
		}
	}
	return all
}
