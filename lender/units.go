package lender

import (
	"time"

	"medlargw.example/medlargw"
)

// unitsWanted returns the units of a team that this entry would use, with some
// to spare so that not each new task costs a request.
func (l *Lender) unitsWanted(k key) int {
	want := l.peak(k)
	for _, t := range l.demand.Teams {
		if string(t.Team) == k.name {
			use := t.Running + t.Waiting
			if use > 0 {
				want = max(want, use+use/2+1)
			}
		}
	}
	return min(want, unitsOf(l.limitOf(k.name)))
}

// unitsDue reports whether a team has too few units that the creditor keeps.
func (l *Lender) unitsDue(now time.Time, c *creditor) bool {
	if now.Before(c.unitsAt) {
		return false
	}
	for _, t := range l.demand.Teams {
		k := teamKey(t.Team)
		if t.Waiting > 0 && l.owners[k] == c.peer.Host && l.right(k) < min(t.Running+t.Waiting, l.mostUnits(k)) {
			return true
		}
	}
	return false
}

// shortOfUnits reports whether a team waits for units that a peer keeps.
func (l *Lender) shortOfUnits() bool {
	for _, t := range l.demand.Teams {
		k := teamKey(t.Team)
		if t.Waiting > 0 && l.owners[k] != l.host && l.right(k) < min(t.Running+t.Waiting, l.mostUnits(k)) {
			return true
		}
	}
	return false
}

// mostUnits returns the units that the keeper has of the team's limit.
func (l *Lender) mostUnits(k key) int {
	units := unitsOf(l.limitOf(k.name))
	team, zones := medlargw.TeamName(k.name), l.zones()
	return zoneShare(units, team, keeperZone(units, team, l.zone, zones), zones)
}

// unitsPause returns how long to wait before units are asked for again: a
// while when the last request brought too few.
func (l *Lender) unitsPause(c *creditor) time.Duration {
	for _, k := range c.keys {
		if k.unit && l.right(k) < l.used[k]+1 {
			return 4 * l.pace.backoff
		}
	}
	return l.pace.turn
}
