package lender

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// publish reports the capacities and shares if they have changed.
func (l *Lender) publish(now time.Time) {
	all := l.capacities(now)
	if !slices.Equal(all, l.last) {
		l.last = all
		l.actions.Capacities = slices.Clone(all)
		l.actions.Moved = true
	}
	for _, t := range l.config.Teams {
		if unitsOf(t.Limit) == 0 {
			delete(l.shares, t.Name)
			continue
		}
		share := l.share(now, t.Name, t.Limit)
		if old, ok := l.shares[t.Name]; !ok || old != share {
			l.shares[t.Name] = share
			l.actions.Shares = append(l.actions.Shares, share)
		}
	}
}

// capacities returns what may be used of all targets, in the order of names.
func (l *Lender) capacities(now time.Time) []medlargw.Capacity {
	own := l.pools[slotPool].ownSlots(now)
	var all []medlargw.Capacity
	for name, t := range l.targets {
		c := medlargw.Capacity{Target: t, Slots: own[string(name)]}
		for _, h := range l.holdings[targetKey(name)] {
			c.Slots += h.amount
			if h.amount > 0 && (c.Until.IsZero() || h.until.Before(c.Until)) {
				c.Until = h.until
			}
		}
		if c.Slots > 0 {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b medlargw.Capacity) int { return compareNames(a.Target.Name, b.Target.Name) })
	return all
}

func compareNames(a, b medlargw.TargetName) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ownSlots returns what this entry may use of each owned resource: what isn't
// lent, less what borrowers have a better right to as it becomes free.
func (p *pool) ownSlots(now time.Time) map[string]int {
	own := make(map[string]int, len(p.names))
	left := 0
	for _, name := range p.names {
		r := p.resources[name]
		if !now.Before(r.opens) {
			own[name] = max(0, r.total-r.lent())
			left += own[name]
		}
	}
	for reserve := min(left, p.reserve()); reserve > 0; {
		for _, name := range p.names {
			if reserve > 0 && own[name] > 0 {
				own[name]--
				reserve--
			}
		}
	}
	return own
}

// share returns what may be used of a team's limit.
func (l *Lender) share(now time.Time, team medlargw.TeamName, limit medlargw.Limit) medlargw.Share {
	k := teamKey(team)
	units := 0
	if p := l.pools[k]; p != nil {
		units = p.ownSlots(now)[k.name]
	}
	s := medlargw.Share{Team: team}
	s.Limit.Starts = l.startsOf(k.name, units)
	for _, h := range l.holdings[k] {
		units += h.amount
		s.Limit.Starts += h.starts
	}
	if limit.Running > 0 {
		s.Limit.Running = units
	}
	return s
}
