package lender

import (
	"time"

	"medlargw.example/medlargw"
)

// wantedUnits returns the units of a team to ask for: what its running and
// waiting tasks need and half as much again, so that not every new task costs a
// request, and at least the peak use.
func (l *Lender) wantedUnits(k resourceKey) int {
	want := l.peakUse(k)
	for _, t := range l.demand.Teams {
		if string(t.Team) == k.name {
			use := t.Running + t.Waiting
			if use > 0 {
				want = max(want, use+use/2+1)
			}
		}
	}
	return min(want, limitUnits(l.teamLimit(k.name)))
}

// unitRequestDue reports whether tasks wait for units that the lender owns.
func (l *Lender) unitRequestDue(now time.Time, pl *peerLender) bool {
	if now.Before(pl.nextUnitRequestAt) {
		return false
	}
	for _, t := range l.demand.Teams {
		k := teamKey(t.Team)
		if now.Before(l.unitBackoffs[k].until) {
			continue
		}
		if t.Waiting > 0 && l.owners[k] == pl.peer.Host && l.borrowedAmount(k) < min(t.Running+t.Waiting, l.zoneUnits(k)) {
			return true
		}
	}
	return false
}

// isShortOfUnits reports whether tasks wait for units that a peer owns.
func (l *Lender) isShortOfUnits(now time.Time) bool {
	for _, t := range l.demand.Teams {
		k := teamKey(t.Team)
		if now.Before(l.unitBackoffs[k].until) {
			continue
		}
		if t.Waiting > 0 && l.owners[k] != l.host && l.borrowedAmount(k) < min(t.Running+t.Waiting, l.zoneUnits(k)) {
			return true
		}
	}
	return false
}

// zoneUnits returns the units of the team's limit that belong to the zone that
// serves this one.
func (l *Lender) zoneUnits(k resourceKey) int {
	units := limitUnits(l.teamLimit(k.name))
	team, zones := medlargw.TeamName(k.name), l.zones()
	return zoneShare(units, team, ownerZone(units, team, l.zone, zones), zones)
}

// unitBackoff delays the next request for a team's units after one that brought
// too few.
type unitBackoff struct {
	until time.Time
	delay time.Duration
}

// updateUnitBackoffs starts, extends or clears the backoffs of the teams that the
// latest request to the lender claimed units of.
func (l *Lender) updateUnitBackoffs(now time.Time, pl *peerLender) {
	for _, k := range pl.claimedKeys {
		if !k.isTeam {
			continue
		}
		if l.borrowedAmount(k) >= min(l.wantedUnits(k), l.zoneUnits(k)) {
			delete(l.unitBackoffs, k)
			continue
		}
		ub := l.unitBackoffs[k]
		ub.delay = min(maxBackoff/2, max(l.tuning.initialBackoff, 2*ub.delay))
		ub.until = now.Add(ub.delay)
		l.unitBackoffs[k] = ub
	}
}
