package placer

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// remembered is how long what was learned of a target outlives its capacity.
const remembered = 10 * time.Minute

// SetCapacity replaces what this entry may use. Slots in use of a target that
// is no longer among them are counted until they are released. Targets that
// did not change cost one comparison each.
func (p *Placer) SetCapacity(now time.Time, all []medlargw.Capacity) {
	p.round++
	for i := range all {
		t := p.target(now, all[i].Target.Name)
		t.round = p.round
		if t.capacity != all[i] {
			p.setCapacity(now, t, all[i])
		}
	}
	for _, t := range p.ordered {
		if t.round != p.round && t.capacity.Slots > 0 {
			gone := t.capacity
			gone.Slots = 0
			p.setCapacity(now, t, gone)
		}
	}
}

// target finds the record of a target, and makes it where there is none.
func (p *Placer) target(now time.Time, name medlargw.TargetName) *target {
	t := p.targets[name]
	if t == nil {
		t = &target{idle: now}
		t.capacity.Target.Name = name
		t.timer.target = t
		t.probe.target = t
		t.tier = &tier{}
		p.targets[name] = t
		i, _ := p.find(name)
		p.ordered = slices.Insert(p.ordered, i, t)
	}
	return t
}

// find returns the position of the target in the order of names.
func (p *Placer) find(name medlargw.TargetName) (int, bool) {
	return slices.BinarySearchFunc(p.ordered, name, func(t *target, name medlargw.TargetName) int {
		return cmp.Compare(t.capacity.Target.Name, name)
	})
}

func (p *Placer) setCapacity(now time.Time, t *target, c medlargw.Capacity) {
	had := t.capacity.Slots > 0
	if had {
		p.leaveTier(t)
		p.known--
	}
	if c.Target.Addr != t.capacity.Target.Addr {
		t.saidLeaving = time.Time{} // Another process, of which nothing is known.
		t.quarantine = quarantine{}
		t.slowdown = average{}
		t.speed = 0
	}
	t.capacity = c
	t.idle = now
	if c.Slots > 0 {
		p.enterTier(t)
		p.known++
	}
	p.refresh(now, t)
}

func (p *Placer) enterTier(t *target) {
	size := sizeOf(&t.capacity.Target)
	i, found := slices.BinarySearchFunc(p.tiers, size, func(t *tier, size int64) int { return cmp.Compare(t.size, size) })
	if !found {
		p.tiers = slices.Insert(p.tiers, i, &tier{size: size})
	}
	t.tier = p.tiers[i]
	t.tier.known++
}

func (p *Placer) leaveTier(t *target) {
	t.tier.open.Remove(t)
	t.tier.known--
	if t.tier.known == 0 {
		p.tiers = slices.DeleteFunc(p.tiers, func(other *tier) bool { return other == t.tier })
	}
	t.tier = &tier{size: t.tier.size}
}

// forget drops the record of a target that has been out of use for long.
func (p *Placer) forget(now time.Time, t *target) {
	if !t.forgettable() || now.Before(t.idle.Add(remembered)) {
		return
	}
	p.timers.Remove(&t.timer)
	p.due.Remove(&t.probe)
	delete(p.targets, t.capacity.Target.Name)
	if i, found := p.find(t.capacity.Target.Name); found {
		p.ordered = slices.Delete(p.ordered, i, i+1)
	}
}
