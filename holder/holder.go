// Package holder decides what runs on the targets that this entry holds under
// lease.
//
// Each target has one holder at a time, which starts and stops its runs, renews
// their lease and reads their ends. A new holder claims a target with a higher
// fencing token, so the target itself refuses what the former one still sends;
// nothing is started before the claim is answered, because only then the room
// is known. What runs there and was not handed over is stopped.
//
// Room is counted here, exactly: a run takes its room from the moment in which
// its order is made until its end is proven. An end is proven by the target's
// report, by a new incarnation of the target, or by the end of the lease on the
// target's own clock.
//
// The holder is a state machine without I/O. The time is an argument of each
// event, and what must be sent is collected until TakeActions.
package holder

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// Holder is the state machine. It is used by one goroutine.
type Holder struct {
	log        *zap.Logger
	settings   medlargw.LeaseSettings
	self       medlargw.Member
	fences     fencer
	targets    map[medlargw.TargetName]*target
	order      []*target // By name, so that equal targets are taken in one order.
	owners     map[medlargw.TargetName]medlargw.Peer
	candidates candidates // Of the last assignment.
	homes      map[medlargw.Incarnation]*home
	waiting    []*task
	group      medlargw.Group
	began      time.Time // First assignment.
	assigned   time.Time // Last assignment.
	number     uint64
	actions    medlargw.HolderActions
}

// New returns a holder without targets.
func New(log *zap.Logger, settings medlargw.LeaseSettings, self medlargw.Member) *Holder {
	return &Holder{
		log:      log.Named("holder"),
		settings: settings,
		self:     self,
		fences:   newFencer(self.Addr),
		targets:  map[medlargw.TargetName]*target{},
		owners:   map[medlargw.TargetName]medlargw.Peer{},
		homes:    map[medlargw.Incarnation]*home{},
	}
}

// TakeActions returns what must be sent and forgets it.
func (h *Holder) TakeActions() medlargw.HolderActions {
	a := h.actions
	h.actions = medlargw.HolderActions{}
	return a
}

// Tick lets time alone change the state.
func (h *Holder) Tick(now time.Time) {
	h.expireHomes(now)
	if !h.began.IsZero() && now.Sub(h.began) >= settleTime && h.assigned.Sub(h.began) < settleTime {
		h.Assign(now, h.group) // Targets of zones without an entry are due.
	}
	for _, t := range slices.Clone(h.order) {
		h.tickTarget(now, t)
	}
	h.dropExpired(now)
	h.place(now)
}

func (h *Holder) tickTarget(now time.Time, t *target) {
	switch {
	case t.droppable(now, h.settings.Unlisted):
		h.drop(t, "no longer listed")
		return
	case t.lapsed(now, &h.settings):
		h.endAll(now, t, "lease ended")
	}
	if t.releasing && h.release(now, t) {
		return
	}
	h.repeatStops(now, t)
	if !t.renewing && !now.Before(t.nextRenew) {
		h.renew(now, t)
	}
}

// add takes a target into use.
func (h *Holder) add(t *target) {
	h.targets[t.info.Name] = t
	h.order = append(h.order, t)
	slices.SortFunc(h.order, func(a, b *target) int { return cmp.Compare(a.info.Name, b.info.Name) })
}

// remove forgets a target. Its runs must have ended or been handed over.
func (h *Holder) remove(t *target) {
	delete(h.targets, t.info.Name)
	h.order = slices.DeleteFunc(h.order, func(other *target) bool { return other == t })
}

// drop gives up a target that nobody will hold.
func (h *Holder) drop(t *target, reason string) {
	h.log.Info("target dropped", zap.String("target", string(t.info.Name)), zap.String("reason", reason))
	h.remove(t)
}

// Room sums up what is free.
func (h *Holder) Room(now time.Time) medlargw.HolderRoom {
	h.number++
	sum := medlargw.HolderRoom{Number: h.number}
	pool := func(name medlargw.PoolName) *medlargw.PoolRoom {
		for i := range sum.Pools {
			if sum.Pools[i].Pool == name {
				return &sum.Pools[i]
			}
		}
		sum.Pools = append(sum.Pools, medlargw.PoolRoom{Pool: name})
		return &sum.Pools[len(sum.Pools)-1]
	}
	for _, t := range h.order {
		if !t.usable(now, h.settings.Unlisted) {
			continue
		}
		p := pool(t.info.Pool)
		p.Capacity += t.info.Room.Cores
		if t.slowness < slowTarget {
			p.Free = append(p.Free, t.free)
			p.Next = t.nextEnd(now, p.Next)
		}
	}
	for _, w := range h.waiting {
		pool(w.offered.Pool).AddWaiting(w.offered.Rank, w.offered.Room, w.offered.Estimate)
	}
	return sum
}
