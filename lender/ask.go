package lender

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// leastTokens returns how many requests must be allowed for one to be made. The
// lowest class that has work here leaves some to those above.
func (l *Lender) leastTokens() float64 {
	lowest := 0
	for _, c := range l.demand.Classes {
		if c.Tasks+c.Running > 0 {
			lowest = max(lowest, c.Rank)
		}
	}
	if top(l.demand.Classes) < lowest {
		return 1
	}
	return 1 + l.pace.burst/2
}

// waits reports whether a request is still on its way.
func (c *creditor) waits(now time.Time, term time.Duration) bool {
	return c.pending && now.Sub(c.sent) < term
}

// missing returns the slots that this entry is short of and has not asked for.
func (l *Lender) missing() int {
	if !l.short() {
		return 0
	}
	n := l.waiting() - l.freeSlots()
	for _, c := range l.creditors {
		if c.pending {
			n -= c.any
		}
	}
	return n
}

// noteIdle lets loans be returned that have not been used for a while.
func (l *Lender) noteIdle(now time.Time) {
	if l.pace.linger == 0 {
		return
	}
	idle := map[medlargw.HostName]bool{}
	for k, from := range l.holdings {
		for host, h := range from {
			if !k.unit && h.amount > l.used[k] {
				idle[host] = true
			}
		}
	}
	for host, c := range l.creditors {
		switch {
		case !idle[host] || l.waiting() > 0:
			c.idleAt = time.Time{}
		case c.idleAt.IsZero():
			c.idleAt = now
		case now.Sub(c.idleAt) >= l.pace.linger && !c.pending:
			c.spare = true
			c.renewAt = now
		}
	}
}

// refill lets the number of requests per second stay within the pace.
func (l *Lender) refill(now time.Time) {
	if l.filled.IsZero() {
		l.tokens = l.pace.burst
	} else {
		l.tokens = min(l.pace.burst, l.tokens+now.Sub(l.filled).Seconds()*l.pace.rate)
	}
	l.filled = now
}

// byPromise returns the creditors, those first that are likely to lend most.
func (l *Lender) byPromise() []*creditor {
	all := make([]*creditor, 0, len(l.creditors))
	for _, c := range l.creditors {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *creditor) int {
		return cmp.Or(
			cmp.Compare(b.near(l), a.near(l)),
			cmp.Compare(b.digest.Free, a.digest.Free),
			a.askAt.Compare(b.askAt),
			cmp.Compare(a.peer.Host, b.peer.Host),
		)
	})
	return all
}

func (c *creditor) near(l *Lender) int {
	if c.peer.Zone == l.zone {
		return 1
	}
	return 0
}

// ask returns how many of the missing slots to ask for: those that are known to
// be free, or else all.
func (c *creditor) ask(missing int) int {
	if free := c.digest.Free; !c.heardAt.IsZero() && free > 0 {
		return min(missing, free)
	}
	return missing
}

// worthAsking reports whether the peer may have slots for what waits here.
func (l *Lender) worthAsking(now time.Time, c *creditor) bool {
	if now.Before(c.askAt) {
		return false
	}
	d := &c.digest
	if c.near(l) == 0 {
		return l.zoneSlots == 0 || l.farBusier(now) && d.Free > 0 && now.Sub(c.heardAt) < farFresh
	}
	if c.heardAt.IsZero() || d.Free > 0 || len(l.pools[slotPool].names) == 0 {
		return true
	}
	return l.moreUrgent(d.Waiting)
}

// The times that matter for borrowing from another zone.
const (
	farFresh = 5 * time.Second        // Age of a digest that is believed.
	farAfter = 250 * time.Millisecond // Of a shortage that the zone can't end.
)

// farBusier reports whether the zone has been without a free slot for a while.
func (l *Lender) farBusier(now time.Time) bool {
	if l.shortSince.IsZero() || now.Sub(l.shortSince) < farAfter {
		return false
	}
	for _, c := range l.creditors {
		if c.near(l) == 1 && c.digest.Free > 0 {
			return false
		}
	}
	return true
}

// noteShortage notes since when tasks have waited without a free slot.
func (l *Lender) noteShortage(now time.Time) {
	switch {
	case !l.short():
		l.shortSince = time.Time{}
	case l.shortSince.IsZero():
		l.shortSince = now
	}
}

// moreUrgent reports whether this entry has far more work waiting than the
// peer, in the highest class that waits here and those above.
func (l *Lender) moreUrgent(peer []medlargw.ClassDemand) bool {
	for _, c := range l.demand.Classes {
		if c.Tasks == 0 {
			continue
		}
		theirs := 0
		for _, p := range peer {
			if p.Rank <= c.Rank {
				theirs += p.Tasks
			}
		}
		return c.Tasks > 2*theirs
	}
	return false
}
