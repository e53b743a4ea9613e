package coordinator

import (
	"time"

	"medlargw.example/medlargw"
)

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
func (c *Coordinator) anyWaiting() bool { return c.in[taskIdle]+c.in[taskQueued] > 0 }

// message returns what must be sent to a holder now.
func (c *Coordinator) message(now time.Time, h *holder, asked bool) (medlargw.Offer, bool) {
	if h.lost {
		return medlargw.Offer{}, false
	}
	due := len(h.tasks) > 0 && now.Sub(h.sent) >= c.settings.Keep
	if !asked && !due && !h.unsaid && len(h.cancels) == 0 {
		return medlargw.Offer{}, false
	}
	o := medlargw.Offer{From: c.self, Cancels: h.cancels}
	h.cancels = nil
	if h.unsaid {
		c.say(now, h, &o)
	}
	if !asked && !due && len(o.Tasks)+len(o.Recalls)+len(o.Cancels) == 0 {
		return o, false
	}
	h.sent = now
	if !h.clockAt.IsZero() {
		o.Valid = h.clock + now.Sub(h.clockAt) + validity
	}
	return o, true
}

// say adds the tasks to be offered and to be recalled.
func (c *Coordinator) say(now time.Time, h *holder, o *medlargw.Offer) {
	h.unsaid = false
	for _, t := range h.inOrder() {
		if t.resend {
			t.resend = false
			o.Tasks = append(o.Tasks, t.offer(now))
		}
		if t.recalled && t.state == taskQueued {
			c.move(t, taskOffered) // Until the recall is answered.
			o.Recalls = append(o.Recalls, t.id)
		}
	}
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
