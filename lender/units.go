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
		if now.Before(l.unitsWaits[k].until) {
			continue
		}
		if t.Waiting > 0 && l.owners[k] == c.peer.Host && l.right(k) < min(t.Running+t.Waiting, l.mostUnits(k)) {
			return true
		}
	}
	return false
}

// shortOfUnits reports whether a team waits for units that a peer keeps.
func (l *Lender) shortOfUnits(now time.Time) bool {
	for _, t := range l.demand.Teams {
		k := teamKey(t.Team)
		if now.Before(l.unitsWaits[k].until) {
			continue
		}
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

// unitsWait is how long a team waits before units are asked for again, because
// the last request brought too few.
type unitsWait struct {
	until time.Time
	next  time.Duration
}

// noteUnits sets which teams wait after the creditor's reply.
func (l *Lender) noteUnits(now time.Time, c *creditor) {
	for _, k := range c.keys {
		if !k.unit {
			continue
		}
		if l.right(k) >= min(l.unitsWanted(k), l.mostUnits(k)) {
			delete(l.unitsWaits, k)
			continue
		}
		w := l.unitsWaits[k]
		w.next = min(maxBackoff/2, max(l.pace.backoff, 2*w.next))
		w.until = now.Add(w.next)
		l.unitsWaits[k] = w
	}
}
