package lender

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// publish reports the allocations and shares that have changed as actions.
func (l *Lender) publish(now time.Time) {
	allocations := l.allocations(now)
	if !slices.Equal(allocations, l.publishedAllocations) {
		l.publishedAllocations = allocations
		l.actions.Allocations = slices.Clone(allocations)
		l.actions.AllocationsChanged = true
	}
	for _, t := range l.config.Teams {
		if limitUnits(t.Limit) == 0 {
			delete(l.publishedShares, t.Name)
			continue
		}
		share := l.teamShare(now, t.Name, t.Limit)
		if old, ok := l.publishedShares[t.Name]; !ok || old != share {
			l.publishedShares[t.Name] = share
			l.actions.Shares = append(l.actions.Shares, share)
		}
	}
}

// allocations returns the slots that this entry may use of each target, sorted
// by name.
func (l *Lender) allocations(now time.Time) []medlargw.Allocation {
	own := l.pools[slotPoolKey].usableAmounts(now)
	var all []medlargw.Allocation
	for name, t := range l.targets {
		alloc := medlargw.Allocation{Target: t, Slots: own[string(name)]}
		for _, h := range l.heldLoans[targetKey(name)] {
			alloc.Slots += h.amount
			if h.amount > 0 && (alloc.ExpiresAt.IsZero() || h.until.Before(alloc.ExpiresAt)) {
				alloc.ExpiresAt = h.until
			}
		}
		if alloc.Slots > 0 {
			all = append(all, alloc)
		}
	}
	slices.SortFunc(all, func(a, b medlargw.Allocation) int { return compareTargetNames(a.Target.Name, b.Target.Name) })
	return all
}

func compareTargetNames(a, b medlargw.TargetName) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// usableAmounts returns the amount of each owned resource that this entry may
// use: what isn't lent, minus what the borrowers are still owed.
func (p *pool) usableAmounts(now time.Time) map[string]int {
	own := make(map[string]int, len(p.names))
	left := 0
	for _, name := range p.names {
		r := p.resources[name]
		if !now.Before(r.openAt) {
			own[name] = max(0, r.total-r.lent())
			left += own[name]
		}
	}
	for reserve := min(left, p.owedToBorrowers()); reserve > 0; {
		for _, name := range p.names {
			if reserve > 0 && own[name] > 0 {
				own[name]--
				reserve--
			}
		}
	}
	return own
}

// teamShare returns the share of a team's limit that this entry may use.
func (l *Lender) teamShare(now time.Time, team medlargw.TeamName, limit medlargw.Limit) medlargw.LimitShare {
	k := teamKey(team)
	units := 0
	if p := l.pools[k]; p != nil {
		units = p.usableAmounts(now)[k.name]
	}
	s := medlargw.LimitShare{Team: team}
	s.Limit.Starts = l.startsPerSecond(k.name, units)
	for _, h := range l.heldLoans[k] {
		units += h.amount
		s.Limit.Starts += h.startRate
	}
	if limit.Running > 0 {
		s.Limit.Running = units
	}
	return s
}
