package lender

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// requiredTokens returns the number of tokens that must be available for a slot
// request to be sent. When only the lowest class that has work here waits, half
// of the burst is left for requests of higher classes.
func (l *Lender) requiredTokens() float64 {
	lowest := 0
	for _, c := range l.demand.Classes {
		if c.Tasks+c.Running > 0 {
			lowest = max(lowest, c.Rank)
		}
	}
	if topWaitingRank(l.demand.Classes) < lowest {
		return 1
	}
	return 1 + l.tuning.requestBurst/2
}

// requestInFlight reports whether a request of the last term awaits its reply.
func (pl *peerLender) requestInFlight(now time.Time, term time.Duration) bool {
	return pl.pending && now.Sub(pl.sentAt) < term
}

// missingSlots returns the number of slots that this entry lacks and has not
// requested yet.
func (l *Lender) missingSlots() int {
	if !l.isShortOfSlots() {
		return 0
	}
	n := l.waitingTasks() - l.freeSlots()
	for _, pl := range l.lenders {
		if pl.pending {
			n -= pl.requestedSlots
		}
	}
	return n
}

// scheduleIdleReturns schedules the return of loans that have been unused for the
// retention time.
func (l *Lender) scheduleIdleReturns(now time.Time) {
	if l.tuning.idleRetention == 0 {
		return
	}
	idle := map[medlargw.HostName]bool{}
	for k, byLender := range l.heldLoans {
		for host, h := range byLender {
			if !k.isTeam && h.amount > l.used[k] {
				idle[host] = true
			}
		}
	}
	for host, pl := range l.lenders {
		switch {
		case !idle[host] || l.waitingTasks() > 0:
			pl.idleSince = time.Time{}
		case pl.idleSince.IsZero():
			pl.idleSince = now
		case now.Sub(pl.idleSince) >= l.tuning.idleRetention && !pl.pending:
			pl.returnIdle = true
			pl.renewAt = now
		}
	}
}

// refillTokens adds the tokens for the time since the last refill.
func (l *Lender) refillTokens(now time.Time) {
	if l.tokensRefilledAt.IsZero() {
		l.tokens = l.tuning.requestBurst
	} else {
		l.tokens = min(l.tuning.requestBurst, l.tokens+now.Sub(l.tokensRefilledAt).Seconds()*l.tuning.requestsPerSecond)
	}
	l.tokensRefilledAt = now
}

// lendersByPreference returns the lenders, sorted by how likely they are to
// lend: those of the same zone first, then those with more free slots.
func (l *Lender) lendersByPreference() []*peerLender {
	all := make([]*peerLender, 0, len(l.lenders))
	for _, pl := range l.lenders {
		all = append(all, pl)
	}
	slices.SortFunc(all, func(a, b *peerLender) int {
		return cmp.Or(
			cmp.Compare(b.locality(l), a.locality(l)),
			cmp.Compare(b.digest.FreeSlots, a.digest.FreeSlots),
			a.nextSlotRequestAt.Compare(b.nextSlotRequestAt),
			cmp.Compare(a.peer.Host, b.peer.Host),
		)
	})
	return all
}

// locality returns 1 for a lender in the same zone, and 0 for others.
func (pl *peerLender) locality(l *Lender) int {
	if pl.peer.Zone == l.zone {
		return 1
	}
	return 0
}

// slotsToRequest returns how many of the missing slots to request: as many as
// the lender is known to have free, or all if none are known to be free.
func (pl *peerLender) slotsToRequest(missing int) int {
	if free := pl.digest.FreeSlots; !pl.digestAt.IsZero() && free > 0 {
		return min(missing, free)
	}
	return missing
}

// mayHaveSlots reports whether the lender may have slots for the waiting tasks.
func (l *Lender) mayHaveSlots(now time.Time, pl *peerLender) bool {
	if now.Before(pl.nextSlotRequestAt) {
		return false
	}
	d := &pl.digest
	if pl.locality(l) == 0 {
		return l.zoneSlots == 0 || l.zoneExhausted(now) && d.FreeSlots > 0 && now.Sub(pl.digestAt) < maxRemoteDigestAge
	}
	if pl.digestAt.IsZero() || d.FreeSlots > 0 || len(l.pools[slotPoolKey].names) == 0 {
		return true
	}
	return l.hasMoreWaiting(d.Waiting)
}

// Conditions for borrowing slots from another zone.
const (
	maxRemoteDigestAge = 5 * time.Second        // Older digests are ignored.
	remoteBorrowDelay  = 250 * time.Millisecond // Duration of a shortage before other zones are asked.
)

// zoneExhausted reports whether this entry has been short of slots for the
// remote borrow delay and no lender of its zone has a free slot.
func (l *Lender) zoneExhausted(now time.Time) bool {
	if l.shortageSince.IsZero() || now.Sub(l.shortageSince) < remoteBorrowDelay {
		return false
	}
	for _, pl := range l.lenders {
		if pl.locality(l) == 1 && pl.digest.FreeSlots > 0 {
			return false
		}
	}
	return true
}

// trackShortage records since when more tasks have waited than slots were free.
func (l *Lender) trackShortage(now time.Time) {
	switch {
	case !l.isShortOfSlots():
		l.shortageSince = time.Time{}
	case l.shortageSince.IsZero():
		l.shortageSince = now
	}
}

// hasMoreWaiting reports whether this entry has more than twice as many tasks
// waiting in its highest waiting class as the peer has in that class and those
// above it.
func (l *Lender) hasMoreWaiting(peer []medlargw.ClassDemand) bool {
	for _, c := range l.demand.Classes {
		if c.Tasks == 0 {
			continue
		}
		peerTasks := 0
		for _, p := range peer {
			if p.Rank <= c.Rank {
				peerTasks += p.Tasks
			}
		}
		return c.Tasks > 2*peerTasks
	}
	return false
}
