package placer

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// recordRetention is how long the record of a target is kept after its last
// change of allocation, so that measurements survive a short absence.
const recordRetention = 10 * time.Minute

// SetAllocations replaces the slots that this entry may use. Slots in use on a
// target that is missing from the new list stay counted until they are
// released. Each unchanged target costs one comparison.
func (p *Placer) SetAllocations(now time.Time, all []medlargw.Allocation) {
	p.updateSeq++
	for i := range all {
		t := p.findOrAdd(now, all[i].Target.Name)
		t.updateSeq = p.updateSeq
		if t.allocation != all[i] {
			p.setAllocation(now, t, all[i])
		}
	}
	for _, t := range p.ordered {
		if t.updateSeq != p.updateSeq && t.allocation.Slots > 0 {
			emptied := t.allocation
			emptied.Slots = 0
			p.setAllocation(now, t, emptied)
		}
	}
}

// findOrAdd returns the record of a target and creates it if there is none.
func (p *Placer) findOrAdd(now time.Time, name medlargw.TargetName) *target {
	t := p.targets[name]
	if t == nil {
		t = &target{allocationChanged: now}
		t.allocation.Target.Name = name
		t.timer.target = t
		t.probe.target = t
		t.tier = &tier{}
		p.targets[name] = t
		i, _ := p.position(name)
		p.ordered = slices.Insert(p.ordered, i, t)
	}
	return t
}

// position returns the index of the target in the list sorted by name, and
// whether the target is in the list.
func (p *Placer) position(name medlargw.TargetName) (int, bool) {
	return slices.BinarySearchFunc(p.ordered, name, func(t *target, name medlargw.TargetName) int {
		return cmp.Compare(t.allocation.Target.Name, name)
	})
}

func (p *Placer) setAllocation(now time.Time, t *target, a medlargw.Allocation) {
	hadSlots := t.allocation.Slots > 0
	if hadSlots {
		p.removeFromTier(t)
		p.targetCount--
	}
	if a.Target.Addr != t.allocation.Target.Addr {
		t.drainingUntil = time.Time{} // A new address is another process.
		t.quarantine = quarantine{}
		t.slowdown = average{}
		t.slowdownStep = 0
	}
	t.allocation = a
	t.allocationChanged = now
	if a.Slots > 0 {
		p.addToTier(t)
		p.targetCount++
	}
	p.refresh(now, t)
}

func (p *Placer) addToTier(t *target) {
	size := maxTaskSize(&t.allocation.Target)
	i, found := slices.BinarySearchFunc(p.tiers, size, func(t *tier, size int64) int { return cmp.Compare(t.size, size) })
	if !found {
		p.tiers = slices.Insert(p.tiers, i, &tier{size: size})
	}
	t.tier = p.tiers[i]
	t.tier.targetCount++
}

func (p *Placer) removeFromTier(t *target) {
	t.tier.available.Remove(t)
	t.tier.targetCount--
	if t.tier.targetCount == 0 {
		p.tiers = slices.DeleteFunc(p.tiers, func(other *tier) bool { return other == t.tier })
	}
	t.tier = &tier{size: t.tier.size}
}

// forget deletes the record of a target that has had no slots for
// recordRetention.
func (p *Placer) forget(now time.Time, t *target) {
	if !t.forgettable() || now.Before(t.allocationChanged.Add(recordRetention)) {
		return
	}
	p.timers.Remove(&t.timer)
	p.dueProbes.Remove(&t.probe)
	delete(p.targets, t.allocation.Target.Name)
	if i, found := p.position(t.allocation.Target.Name); found {
		p.ordered = slices.Delete(p.ordered, i, i+1)
	}
}
