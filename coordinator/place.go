package coordinator

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

const (
	// maxRefusals is the number of refused offers after which a task waits at
	// a holder instead of trying others.
	maxRefusals = 3
	// packed is the share of the cores that tasks of a third to a half of a
	// target can use.
	packed = 0.8
	// abroad is the wait that a holder of another zone must save.
	abroad = 10 * time.Millisecond
)

// place offers a task to the best holder.
func (c *Coordinator) place(now time.Time, t *task) {
	m := t.job.job
	if t.refusals < maxRefusals {
		if h := c.withRoom(m); h != nil {
			c.offerTo(t, h, false)
			return
		}
	}
	if h := c.soonest(now, m); h != nil {
		c.offerTo(t, h, true)
	}
}

func (c *Coordinator) offerTo(t *task, h *holder, queue bool) {
	c.nextID++
	t.id = c.nextID
	h.attach(t)
	c.move(t, taskOffered)
	t.offerAgain()
	t.queue = queue
	c.tasks[t.id] = t
	if queue {
		m := t.job.job
		h.pool(m.Pool).AddWaiting(m.Rank, m.Room, t.job.estimate)
	}
}

// withRoom returns the nearest holder that is believed to have room for one
// task, and takes the room from what is believed.
func (c *Coordinator) withRoom(m *medlargw.Job) *holder {
	var best *holder
	var room *medlargw.Room
	for _, h := range c.order {
		if best != nil && h.peer.Zone != best.peer.Zone && best.peer.Zone == c.self.Zone {
			break // Room in the own zone is enough.
		}
		if r := h.tightest(m); r != nil && (room == nil || r.Cores < room.Cores) {
			best, room = h, r
		}
	}
	if best != nil {
		*room = room.Minus(m.Room)
	}
	return best
}

// tightest returns the least free room of one target that holds a task.
func (h *holder) tightest(m *medlargw.Job) *medlargw.Room {
	p := h.pool(m.Pool)
	if p == nil || !h.offerable() {
		return nil
	}
	var best *medlargw.Room
	for i := range p.Free {
		if p.Free[i].Holds(m.Room) && (best == nil || p.Free[i].Cores < best.Cores) {
			best = &p.Free[i]
		}
	}
	return best
}

// soonest returns the holder at which a waiting task is expected to start first:
// a run has to end there, and the work before it has to be done.
func (c *Coordinator) soonest(now time.Time, m *medlargw.Job) *holder {
	var best *holder
	var shortest time.Duration
	for _, h := range c.order {
		p := h.pool(m.Pool)
		if p == nil || p.Capacity == 0 || !h.offerable() {
			continue
		}
		wait := max(0, p.Next-now.Sub(h.seen)) + time.Duration(workBefore(p, m.Rank)/p.Capacity)*time.Millisecond
		if h.peer.Zone != c.self.Zone {
			wait += abroad
		}
		if best == nil || wait < shortest {
			best, shortest = h, wait
		}
	}
	return best
}

// workBefore returns the waiting work that goes before a new task of the rank.
func workBefore(p *medlargw.PoolRoom, rank int) int64 {
	var work int64
	for _, w := range p.Waiting {
		if w.Rank <= rank {
			work += w.Work
		}
	}
	return work
}

// HasTargets reports whether any holder has a target that takes runs.
func (c *Coordinator) HasTargets() bool {
	for _, h := range c.order {
		for i := range h.room.Pools {
			if h.offerable() && h.room.Pools[i].Capacity > 0 {
				return true
			}
		}
	}
	return false
}

// expectedWait returns how long a new job waits for room, over all holders; it
// is zero while there is room for one task. False says that no target is known.
func (c *Coordinator) expectedWait(j *job) (time.Duration, bool) {
	m := j.job
	var work, capacity int64
	for _, h := range c.order {
		p := h.pool(m.Pool)
		if p == nil || !h.offerable() {
			continue
		}
		if h.tightest(m) != nil {
			return 0, true
		}
		work += workBefore(p, m.Rank)
		capacity += p.Capacity
	}
	if capacity == 0 {
		return 0, false
	}
	return time.Duration(float64(work)/(float64(capacity)*packed)) * time.Millisecond, true
}

// rebalance recalls waiting tasks for which another holder has room.
func (c *Coordinator) rebalance() {
	if c.in[taskQueued] == 0 {
		return
	}
	var queued []*task
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.state == taskQueued && !t.recalled && !j.refusing {
				queued = append(queued, t)
			}
		}
	}
	slices.SortStableFunc(queued, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.job.Rank, b.job.job.Rank), a.job.latest().Compare(b.job.latest()))
	})
	promised := map[*medlargw.Room]medlargw.Room{}
	for _, t := range queued {
		for _, h := range c.order {
			if h == t.holder {
				continue
			}
			if r := h.tightest(t.job.job); r != nil {
				promised[r] = *r
				*r = r.Minus(t.job.job.Room) // Believed taken until the task comes back.
				t.recall()
				t.refusals = 0
				break
			}
		}
	}
	for r, before := range promised {
		*r = before
	}
}
