// Package placer picks targets for tasks.
//
// The placer counts the slots in use on each target that this entry may use.
// Targets with the same maximum task size form a tier, and each tier keeps its
// targets with a free slot in a heap, ordered by measured speed and then by the
// share of slots in use. Reserve searches the tiers upwards from the smallest
// that fits the task, so that large targets stay free for large tasks.
//
// A target is quarantined when its attempts fail while the same services
// succeed on other targets, or when it is far slower than the others. Jobs of a
// service that fails on several targets in a row are refused by a circuit
// breaker. Both are probed with single jobs before they return to normal use.
// State changes that depend on time alone are driven by a heap of timers.
package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/ranker"
)

// Placer implements medlargw.Placer.
type Placer struct {
	estimator   medlargw.Estimator
	rules       medlargw.QuarantineRules
	targets     map[medlargw.TargetName]*target
	ordered     []*target // Sorted by name.
	tiers       []*tier   // In ascending order of size.
	timers      ranker.Ranker[*timer]
	dueProbes   ranker.Ranker[*probe] // Quarantined targets to probe now.
	services    services
	free        int
	slots       int
	targetCount int    // Number of targets with slots.
	quarantined int    // Number of targets in quarantine.
	updateSeq   uint64 // Number of calls of SetAllocations.
}

var _ medlargw.Placer = (*Placer)(nil)

// tier is the set of targets with the same maximum task size.
type tier struct {
	size        int64                  // In bytes.
	targetCount int                    // Number of targets with slots, free or not.
	available   ranker.Ranker[*target] // Targets with a free slot.
}

// New returns a placer without targets.
func New(estimator medlargw.Estimator, rules medlargw.QuarantineRules) *Placer {
	return &Placer{
		estimator: estimator,
		rules:     rules,
		targets:   map[medlargw.TargetName]*target{},
		services:  newServices(rules.FailureThreshold),
	}
}

// Reserve reserves one slot for a task of the job. It prefers a quarantined
// target that is due for a probe.
func (p *Placer) Reserve(now time.Time, job *medlargw.Job) (medlargw.Allocation, bool) {
	t := p.pickProbe(now, job)
	if t == nil {
		t = p.pickAvailable(job.TaskMemory)
	}
	if t == nil {
		return medlargw.Allocation{}, false
	}
	t.used++
	p.services.recordStart(now, job)
	p.refresh(now, t)
	return t.allocation, true
}

func (p *Placer) pickAvailable(size int64) *target {
	from, _ := slices.BinarySearchFunc(p.tiers, size, func(t *tier, size int64) int { return cmp.Compare(t.size, size) })
	for _, tier := range p.tiers[from:] {
		if tier.available.Len() > 0 {
			return tier.available.First()
		}
	}
	return nil
}

// pickProbe returns a quarantined target that is due for a probe, or nil. Only
// an idempotent job may probe, unless the target is quarantined just for being
// slow.
func (p *Placer) pickProbe(now time.Time, job *medlargw.Job) *target {
	if p.dueProbes.Len() == 0 || p.services.refusedFor(now, job) > 0 {
		return nil
	}
	t := p.dueProbes.First().target
	if job.TaskMemory > t.tier.size || !job.Idempotent && !t.quarantine.slow {
		return nil
	}
	t.quarantine.probing = true
	t.quarantine.lastJob = job.ID
	return t
}

// Release frees the slot of an attempt and updates what is known of the target
// and the service from its result.
func (p *Placer) Release(now time.Time, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	t := p.targets[a.Target]
	if t == nil || t.used == 0 {
		panic("slot released twice: " + string(a.Target))
	}
	t.used--
	p.learn(now, t, a, end)
	p.refresh(now, t)
}

// refresh recomputes the counters, heap positions and timer that derive from
// the target's state.
func (p *Placer) refresh(now time.Time, t *target) {
	free := t.freeSlots(now)
	p.free += free - t.free
	t.free = free
	usable := max(t.used, t.usableSlots(now))
	p.slots += usable - t.usable
	t.usable = usable
	p.quarantined -= t.quarantined
	t.quarantined = 0
	if t.quarantine.quarantined && t.allocation.Slots > 0 {
		t.quarantined = 1
	}
	p.quarantined += t.quarantined
	t.wasDraining = t.draining(now)
	t.wasUnusable = t.usableSlots(now) == 0
	if free > 0 {
		t.tier.available.AddOrFix(t)
	} else {
		t.tier.available.Remove(t)
	}
	if t.probeDue(now) {
		p.dueProbes.AddOrFix(&t.probe)
	} else {
		p.dueProbes.Remove(&t.probe)
	}
	t.timer.at = t.nextTick(now)
	if t.timer.at.IsZero() {
		p.timers.Remove(&t.timer)
	} else {
		p.timers.AddOrFix(&t.timer)
	}
}

// Tick applies the state changes that are due by now.
func (p *Placer) Tick(now time.Time) {
	for p.timers.Len() > 0 {
		first := p.timers.First()
		if now.Before(first.at) {
			return
		}
		p.refresh(now, first.target)
		p.forget(now, first.target)
	}
}

// NextTick returns the time of the next state change that needs no event; zero
// means never.
func (p *Placer) NextTick() time.Time {
	if p.timers.Len() == 0 {
		return time.Time{}
	}
	return p.timers.First().at
}

// Free returns the number of free slots.
func (p *Placer) Free() int { return p.free }

// Slots returns the number of slots in use or free.
func (p *Placer) Slots() int { return p.slots }

// MaxTaskSize returns the largest task size that a free slot can hold, or -1 if
// no slot is free.
func (p *Placer) MaxTaskSize() int64 {
	for _, tier := range slices.Backward(p.tiers) {
		if tier.available.Len() > 0 {
			return tier.size
		}
	}
	return -1
}

// TaskSizes returns the distinct maximum task sizes of the targets, ascending.
func (p *Placer) TaskSizes() []int64 {
	sizes := make([]int64, len(p.tiers))
	for i, tier := range p.tiers {
		sizes[i] = tier.size
	}
	return sizes
}

// Fits reports whether some target can hold a task of that size. Without any
// target it returns true.
func (p *Placer) Fits(size int64) bool {
	return len(p.tiers) == 0 || size <= p.tiers[len(p.tiers)-1].size
}

// ServiceBackoff returns how long the job is refused because the circuit
// breaker of its service is open; zero admits it.
func (p *Placer) ServiceBackoff(now time.Time, job *medlargw.Job) time.Duration {
	return p.services.refusedFor(now, job)
}

// SetAside takes a target out of use or puts it back, and ends its quarantine.
func (p *Placer) SetAside(now time.Time, name medlargw.TargetName, aside bool) {
	t := p.findOrAdd(now, name)
	t.setAside = aside
	t.setAsideSince = now
	t.quarantine = quarantine{} // The operator's decision overrides it.
	p.refresh(now, t)
}

// InUse returns the targets with slots that no other task can use, ordered by
// name.
func (p *Placer) InUse() []medlargw.TargetUsage {
	all := make([]medlargw.TargetUsage, 0, len(p.ordered))
	for _, t := range p.ordered {
		if n := t.inUse(); n > 0 {
			all = append(all, medlargw.TargetUsage{Target: t.allocation.Target.Name, Used: n})
		}
	}
	return all
}

// Status returns the targets that have slots, are in use or are set aside,
// ordered by name.
func (p *Placer) Status() []medlargw.TargetStatus {
	all := make([]medlargw.TargetStatus, 0, len(p.ordered))
	for _, t := range p.ordered {
		if t.allocation.Slots > 0 || t.used > 0 || t.setAside {
			all = append(all, t.status())
		}
	}
	return all
}

// maxTaskSize returns the largest task size that a target can hold, in bytes.
func maxTaskSize(t *medlargw.Target) int64 {
	if t.Memory == 0 {
		return math.MaxInt64
	}
	return t.Memory
}
