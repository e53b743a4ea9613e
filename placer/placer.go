// Package placer picks targets for tasks.
//
// It counts the slots in use of each target that this entry may use. Targets
// with a free slot are kept in buckets by the number of free slots, so that a
// pick costs the same however many targets there are.
package placer

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Placer implements medlargw.Placer.
type Placer struct {
	targets map[medlargw.TargetName]*targetUse
	free    []*targetUse // Targets with a free slot, in no order.
	slots   int          // Free slots of all targets.
	next    int          // Where the next pick starts in free.
}

var _ medlargw.Placer = (*Placer)(nil)

// targetUse is what this entry uses of one target.
type targetUse struct {
	capacity medlargw.Capacity
	used     int
	aside    bool // An operator took it out of use.
	index    int  // Position in free; -1 is outside.
}

func (u *targetUse) freeSlots() int {
	if u.capacity.Target.Leaving || u.aside {
		return 0
	}
	return max(0, u.capacity.Slots-u.used)
}

// New returns a placer without targets.
func New() *Placer {
	return &Placer{targets: map[medlargw.TargetName]*targetUse{}}
}

// SetCapacity replaces what this entry may use. Slots in use of a target that
// is no longer among them are counted until they are released.
func (p *Placer) SetCapacity(_ time.Time, all []medlargw.Capacity) {
	for _, u := range p.targets {
		u.capacity.Slots = 0
	}
	for _, c := range all {
		u := p.targets[c.Target.Name]
		if u == nil {
			u = &targetUse{index: -1}
			p.targets[c.Target.Name] = u
		}
		u.capacity = c
	}
	p.rebuild()
}

// rebuild derives the free list anew and forgets targets without any use.
func (p *Placer) rebuild() {
	p.free = p.free[:0]
	p.slots = 0
	for name, u := range p.targets {
		u.index = -1
		if u.capacity.Slots == 0 && u.used == 0 && !u.aside {
			delete(p.targets, name)
			continue
		}
		p.slots += u.freeSlots()
		p.list(u)
	}
}

// list keeps the target in the free list exactly while it has a free slot.
func (p *Placer) list(u *targetUse) {
	switch {
	case u.freeSlots() > 0 && u.index < 0:
		u.index = len(p.free)
		p.free = append(p.free, u)
	case u.freeSlots() == 0 && u.index >= 0:
		last := p.free[len(p.free)-1]
		p.free[u.index] = last
		last.index = u.index
		p.free = p.free[:len(p.free)-1]
		u.index = -1
	}
}

// Pick reserves one slot, going round the targets that have one free.
func (p *Placer) Pick(now time.Time, job *medlargw.Job) (medlargw.Capacity, bool) {
	for range len(p.free) {
		p.next = (p.next + 1) % len(p.free)
		u := p.free[p.next]
		if !fits(&u.capacity.Target, job.Size) || expired(&u.capacity, now) {
			continue
		}
		u.used++
		p.slots--
		p.list(u)
		return u.capacity, true
	}
	return medlargw.Capacity{}, false
}

func fits(t *medlargw.Target, size int64) bool { return t.Memory == 0 || size <= t.Memory }

func expired(c *medlargw.Capacity, now time.Time) bool {
	return !c.Until.IsZero() && now.After(c.Until)
}

// Release frees the slot of an attempt.
func (p *Placer) Release(_ time.Time, a *medlargw.Attempt, _ *medlargw.AttemptEnd) {
	u := p.targets[a.Target]
	if u == nil || u.used == 0 {
		panic("slot released twice: " + string(a.Target))
	}
	before := u.freeSlots()
	u.used--
	p.slots += u.freeSlots() - before
	p.list(u)
}

// Free returns the number of free slots.
func (p *Placer) Free() int { return p.slots }

// Fits reports whether any known target could hold a task of that size.
func (p *Placer) Fits(size int64) bool {
	for _, u := range p.targets {
		if fits(&u.capacity.Target, size) {
			return true
		}
	}
	return len(p.targets) == 0
}

// SetAside takes a target out of use, or back into it.
func (p *Placer) SetAside(_ time.Time, target medlargw.TargetName, aside bool) {
	u := p.targets[target]
	if u == nil {
		u = &targetUse{index: -1}
		p.targets[target] = u
	}
	u.aside = aside
	p.rebuild()
}

// Status returns the targets in the order of their names.
func (p *Placer) Status() []medlargw.TargetStatus {
	all := make([]medlargw.TargetStatus, 0, len(p.targets))
	for _, u := range p.targets {
		all = append(all, medlargw.TargetStatus{
			Target: u.capacity.Target,
			Slots:  u.capacity.Slots,
			Used:   u.used,
			State:  u.state(),
		})
	}
	slices.SortFunc(all, func(a, b medlargw.TargetStatus) int { return cmp.Compare(a.Target.Name, b.Target.Name) })
	return all
}

func (u *targetUse) state() medlargw.TargetState {
	switch {
	case u.aside:
		return medlargw.TargetSetAside
	case u.capacity.Target.Leaving:
		return medlargw.TargetLeaving
	}
	return medlargw.TargetServing
}
