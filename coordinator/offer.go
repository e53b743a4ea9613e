package coordinator

import (
	"time"

	"medlargw.example/medlargw"
)

// holdersToProbe returns the holders to ask for their free resources now, those
// of this entry's zone and those of the other zones in rotation. It returns none
// while no task waits or the network link is busy, and within probePause of the
// last probes.
func (c *Coordinator) holdersToProbe(now time.Time) map[*holder]bool {
	if now.Sub(c.lastProbe) < c.probePause() || !c.AnyWaiting() || c.pacer.Busy(now) {
		return nil
	}
	c.lastProbe = now
	var near, remote []*holder
	for _, h := range c.byDistance {
		switch {
		case !h.acceptsOffers() || h.peer.Incarnation == c.self.Incarnation || now.Sub(h.lastSent) < probeInterval:
		case h.peer.Zone == c.self.Zone:
			near = append(near, h)
		default:
			remote = append(remote, h)
		}
	}
	all := map[*holder]bool{}
	c.addProbes(all, near, maxZoneProbes)
	c.addProbes(all, remote, maxProbes-len(all))
	return all
}

// probePause returns the time between two rounds of probes. While the control loop
// lags, an answer waits as long as that for its turn, and more frequent probes would
// only add to the lag.
func (c *Coordinator) probePause() time.Duration {
	transfer := c.pacer.Duration(2 * maxProbes * medlargw.OfferBytes)
	return max(probeInterval, time.Duration(float64(transfer)/probeShare), c.lag)
}

// addProbes adds the next holders of a list, at most n, in rotation.
func (c *Coordinator) addProbes(all map[*holder]bool, from []*holder, n int) {
	for range min(len(from), n) {
		all[from[c.nextProbe%len(from)]] = true
		c.nextProbe++
	}
}

// AnyWaiting reports whether a task waits for resources, unassigned or queued
// at a holder.
func (c *Coordinator) AnyWaiting() bool { return c.taskCounts[taskIdle]+c.taskCounts[taskQueued] > 0 }

// nextOffer returns the message to send to a holder now: a probe of its free
// resources, a keepalive, or an update of its tasks. It returns false if there
// is none.
func (c *Coordinator) nextOffer(now time.Time, h *holder, probe bool) (medlargw.Offer, bool) {
	if h.lost || now.Before(h.retryAt) {
		return medlargw.Offer{}, false
	}
	due := c.keepaliveDue(now, h)
	if !probe && !due && !h.hasUpdates && !h.newCancels {
		return medlargw.Offer{}, false
	}
	o := medlargw.Offer{From: c.self, Holder: h.peer.Incarnation, Cancels: h.cancelIDs(), Protocol: h.resources.Protocol}
	if h.hasUpdates {
		c.addTasks(now, h, &o)
	}
	if !probe && !due && len(o.Tasks)+len(o.Recalls) == 0 && !h.newCancels {
		return o, false
	}
	h.newCancels = false
	if h.peer.Incarnation != c.self.Incarnation {
		c.pacer.Add(now, offerBytes(&o))
	}
	h.lastSent = now
	if h.failures > 0 {
		h.retryAt = now.Add(c.settings.Keep) // One message at a time until it answers.
	}
	if !h.clockAt.IsZero() {
		o.ValidUntil = h.clock + now.Sub(h.clockAt) + medlargw.OfferValidity
	}
	return o, true
}

// keepaliveDue reports whether a holder must hear from this entry although
// nothing has changed: it has tasks or has not answered cancels, or it has not answered
// the last message.
func (c *Coordinator) keepaliveDue(now time.Time, h *holder) bool {
	if h.failures > 0 && h.absentSince.IsZero() {
		return true
	}
	return len(h.tasks)+len(h.cancels) > 0 && now.Sub(h.lastSent) >= c.settings.Keep
}

// addTasks adds the tasks to be offered or recalled to the message.
func (c *Coordinator) addTasks(now time.Time, h *holder, o *medlargw.Offer) {
	h.hasUpdates = false
	for _, t := range h.sortedTasks() {
		if t.offerPending {
			t.offerPending = false
			o.Tasks = append(o.Tasks, t.offer(now))
		}
		if !t.recalled {
			continue
		}
		switch t.state {
		case taskQueued:
			c.setState(t, taskOffered) // Until the recall is answered.
			o.Recalls = append(o.Recalls, t.id)
		case taskStarted:
			t.recalled = false
			o.Recalls = append(o.Recalls, t.id)
		}
	}
}

// offerBytes returns the approximate size of an offer. The tasks of a job, which
// follow each other, share their payload.
func offerBytes(o *medlargw.Offer) int {
	n := medlargw.OfferBytes + medlargw.OfferedTaskBytes*len(o.Tasks)
	for i := range o.Tasks {
		shared := i > 0 && o.Tasks[i].Job == o.Tasks[i-1].Job && o.Protocol >= medlargw.ProtocolSharedPayloads
		if !shared {
			n += len(o.Tasks[i].Payload)
		}
	}
	return n
}

// offer returns the task in the form in which it is offered.
func (t *task) offer(now time.Time) medlargw.OfferedTask {
	m := t.job.job
	return medlargw.OfferedTask{
		ID:              t.id,
		Job:             t.job.number,
		Run:             medlargw.RunID{Task: m.Tasks[t.index].ID, Attempt: t.attempt},
		Payload:         m.Tasks[t.index].Payload,
		Pool:            m.Pool,
		Service:         m.Service,
		Resources:       m.Resources,
		Rank:            m.Rank,
		Estimate:        t.job.estimate,
		TimeToObjective: t.job.due.Sub(now),
		TimeToDeadline:  m.Deadline.Sub(now),
		Avoid:           t.avoid,
		MayQueue:        t.queue,
		Suspect:         t.isSuspect(),
	}
}
