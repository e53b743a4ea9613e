package coordinator

import (
	"cmp"
	"slices"
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
	seen    time.Time     // When that word of its room came.
	clock   time.Duration // Its clock in its last answer.
	clockAt time.Time     // When that answer arrived; zero is never.
	heard   time.Time     // Sending of the last offer that was answered.
	sent    time.Time     // Last offer.
	lost    bool
	absent  time.Time                 // Since when it is not among the entries; zero is present.
	tasks   map[medlargw.TaskID]*task // Those that are with it.
	unsaid  bool                      // One of them may have to be offered or recalled.
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

func newHolder(now time.Time) *holder {
	return &holder{heard: now, tasks: map[medlargw.TaskID]*task{}}
}

// attach puts a task with a holder.
func (h *holder) attach(t *task) {
	if t.holder != nil {
		delete(t.holder.tasks, t.id)
	}
	t.holder = h
	h.tasks[t.id] = t
	h.unsaid = true
}

// See takes what a holder says of its room. Older words are ignored.
func (c *Coordinator) See(now time.Time, incarnation medlargw.Incarnation, room medlargw.HolderRoom) {
	h := c.holders[incarnation]
	if h == nil || room.Number <= h.room.Number {
		return
	}
	h.room = room.Clone() // What is offered is taken from it.
	h.seen = now
	c.rebalance()
}

// tickHolder notices a holder that has fallen silent, and the time at which
// what it may have started has surely ended.
func (c *Coordinator) tickHolder(now time.Time, h *holder) {
	if len(h.tasks) == 0 {
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
		c.lose(now, h)
	}
	if !h.lost {
		return
	}
	for _, t := range h.inOrder() {
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

// lose gives up a holder. Its tasks have ended some time after the last offer to
// it; a job that can't wait for this is given up at once.
func (c *Coordinator) lose(now time.Time, h *holder) {
	h.lost = true
	all := h.inOrder()
	c.log.Info("holder lost", zap.String("holder", string(h.peer.Host)), zap.Duration("silent", now.Sub(h.heard)), zap.Int("tasks", len(all)))
	for _, t := range all {
		t.proven = h.sent.Add(c.endsAfter())
		t.job.started = true // Its offer may have been heard.
		if t.job.refusing {
			t.job.refusing = false
		}
		if t.proven.Add(t.job.estimate).After(t.job.job.Deadline) {
			c.giveUp(now, t.job, medlargw.CodeAttemptLost, "the holder of its targets is lost")
		}
	}
}

// inOrder returns the tasks that are with the holder, in the order of their
// offers.
func (h *holder) inOrder() []*task {
	all := make([]*task, 0, len(h.tasks))
	for _, t := range h.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	return all
}
