// Package placer picks targets for tasks.
//
// It counts the slots in use of each target that this entry may use. Targets
// with a free slot are kept in one heap per tier, a tier being the targets that
// can hold the same task size; the first of a heap has the best learned speed,
// and among equals the smallest used share. A pick looks at the tiers from the
// smallest that fits, so that large targets stay free for large tasks.
//
// A target whose attempts fail where the same services succeed elsewhere is
// quarantined; a service that fails on all targets is refused. Both are tried
// again with single jobs. What time alone changes waits in a heap of timers.
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
	estimator medlargw.Estimator
	rules     medlargw.QuarantineRules
	targets   map[medlargw.TargetName]*target
	ordered   []*target // By name.
	tiers     []*tier   // In ascending order of size.
	timers    ranker.Ranker[*timer]
	due       ranker.Ranker[*probe] // Quarantined targets that may be probed now.
	services  services
	free      int
	slots     int
	known     int // Targets with slots.
	shut      int // Targets in quarantine.
	round     uint64
}

var _ medlargw.Placer = (*Placer)(nil)

// tier holds the targets of one size that have a free slot.
type tier struct {
	size  int64
	known int // Targets with slots, free or not.
	open  ranker.Ranker[*target]
}

// New returns a placer without targets.
func New(estimator medlargw.Estimator, rules medlargw.QuarantineRules) *Placer {
	return &Placer{
		estimator: estimator,
		rules:     rules,
		targets:   map[medlargw.TargetName]*target{},
		services:  newServices(rules.Failures),
	}
}

// Pick reserves one slot.
func (p *Placer) Pick(now time.Time, job *medlargw.Job) (medlargw.Capacity, bool) {
	t := p.pickProbe(now, job)
	if t == nil {
		t = p.pickOpen(job.Size)
	}
	if t == nil {
		return medlargw.Capacity{}, false
	}
	t.used++
	p.services.started(now, job)
	p.refresh(now, t)
	return t.capacity, true
}

func (p *Placer) pickOpen(size int64) *target {
	from, _ := slices.BinarySearchFunc(p.tiers, size, func(t *tier, size int64) int { return cmp.Compare(t.size, size) })
	for _, tier := range p.tiers[from:] {
		if tier.open.Len() > 0 {
			return tier.open.First()
		}
	}
	return nil
}

// pickProbe returns a quarantined target that is due, for an idempotent job;
// to one that is only slow, any job may go.
func (p *Placer) pickProbe(now time.Time, job *medlargw.Job) *target {
	if p.due.Len() == 0 || p.services.failing(now, job) > 0 {
		return nil
	}
	t := p.due.First().target
	if job.Size > t.tier.size || !job.Idempotent && !t.quarantine.slow {
		return nil
	}
	t.quarantine.probing = true
	t.quarantine.job = job.ID
	return t
}

// Release frees the slot of an attempt and learns from its end.
func (p *Placer) Release(now time.Time, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	t := p.targets[a.Target]
	if t == nil || t.used == 0 {
		panic("slot released twice: " + string(a.Target))
	}
	t.used--
	p.learn(now, t, a, end)
	p.refresh(now, t)
}

// refresh puts the target where its state belongs.
func (p *Placer) refresh(now time.Time, t *target) {
	free := t.freeSlots(now)
	p.free += free - t.free
	t.free = free
	usable := max(t.used, t.usableSlots(now))
	p.slots += usable - t.usable
	t.usable = usable
	p.shut -= t.shut
	t.shut = 0
	if t.quarantine.shut && t.capacity.Slots > 0 {
		t.shut = 1
	}
	p.shut += t.shut
	t.left = t.leaving(now)
	t.out = t.usableSlots(now) == 0
	if free > 0 {
		t.tier.open.Set(t)
	} else {
		t.tier.open.Remove(t)
	}
	if t.probeDue(now) {
		p.due.Set(&t.probe)
	} else {
		p.due.Remove(&t.probe)
	}
	t.timer.at = t.wake(now)
	if t.timer.at.IsZero() {
		p.timers.Remove(&t.timer)
	} else {
		p.timers.Set(&t.timer)
	}
}

// Tick lets time alone change the state of targets.
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

// Wake returns when time alone changes the state next.
func (p *Placer) Wake() time.Time {
	if p.timers.Len() == 0 {
		return time.Time{}
	}
	return p.timers.First().at
}

// Free returns the number of free slots.
func (p *Placer) Free() int { return p.free }

// Slots returns the number of slots in use or free.
func (p *Placer) Slots() int { return p.slots }

// Room returns the largest task size that a free slot can hold.
func (p *Placer) Room() int64 {
	for _, tier := range slices.Backward(p.tiers) {
		if tier.open.Len() > 0 {
			return tier.size
		}
	}
	return -1
}

// Sizes returns the distinct task sizes that targets can hold.
func (p *Placer) Sizes() []int64 {
	sizes := make([]int64, len(p.tiers))
	for i, tier := range p.tiers {
		sizes[i] = tier.size
	}
	return sizes
}

// Fits reports whether any known target could hold a task of that size.
func (p *Placer) Fits(size int64) bool {
	return len(p.tiers) == 0 || size <= p.tiers[len(p.tiers)-1].size
}

// Failing returns how long jobs of the service are refused.
func (p *Placer) Failing(now time.Time, job *medlargw.Job) time.Duration {
	return p.services.failing(now, job)
}

// SetAside takes a target out of use, or back into it.
func (p *Placer) SetAside(now time.Time, name medlargw.TargetName, aside bool) {
	t := p.target(now, name)
	t.aside = aside
	t.asideSince = now
	t.quarantine = quarantine{} // The operator has looked at it.
	p.refresh(now, t)
}

// InUse returns the targets with slots in use, or out of use, in the order of
// their names.
func (p *Placer) InUse() []medlargw.TargetUse {
	all := make([]medlargw.TargetUse, 0, len(p.ordered))
	for _, t := range p.ordered {
		if n := t.inUse(); n > 0 {
			all = append(all, medlargw.TargetUse{Target: t.capacity.Target.Name, Used: n})
		}
	}
	return all
}

// Status returns the targets in the order of their names.
func (p *Placer) Status() []medlargw.TargetStatus {
	all := make([]medlargw.TargetStatus, 0, len(p.ordered))
	for _, t := range p.ordered {
		if t.capacity.Slots > 0 || t.used > 0 || t.aside {
			all = append(all, t.status())
		}
	}
	return all
}

// sizeOf returns the largest task size that a target can hold.
func sizeOf(t *medlargw.Target) int64 {
	if t.Memory == 0 {
		return math.MaxInt64
	}
	return t.Memory
}
