package lender

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// peerLender is the state that this entry, as a borrower, keeps of a peer.
type peerLender struct {
	peer              medlargw.Peer
	digest            medlargw.Digest // As last received in a heartbeat.
	digestAt          time.Time       // When the digest was received; zero if it never was.
	requestSequence   uint64          // Sequence number of the latest request.
	pending           bool            // The latest request has no reply yet.
	sentAt            time.Time
	requestedSlots    int           // Additional slots requested in the latest request.
	sentViewHash      uint64        // View hash in the latest request.
	claimedKeys       []resourceKey // Resources claimed in the latest request.
	renewAt           time.Time     // When the next renewal is due; zero when nothing is held.
	nextSlotRequestAt time.Time     // Earliest time of the next slot request.
	nextUnitRequestAt time.Time     // Earliest time of the next unit request.
	emptyReplies      int           // Consecutive slot requests that brought no slots.
	reportDue         bool          // The peer must be told what is used of its resources.
	nextReportAt      time.Time     // Earliest time of that report.
	idleSince         time.Time     // Since when some of its loaned slots have been unused; zero if none are.
	returnIdle        bool          // The unused slots are returned with the next request.
	preempted         bool          // All slots are returned with it, since the peer's own work is more urgent.
}

// heldLoan is the amount of one resource that this entry may use under a loan
// of one lender.
type heldLoan struct {
	amount    int
	startRate float64 // Starts per second.
	until     time.Time
	peakUse   int // Highest use since the last request.
}

func (l *Lender) updateLenders(now time.Time) {
	kept := map[medlargw.HostName]bool{}
	for _, p := range l.group.Entries {
		if p.Host == l.host {
			continue
		}
		kept[p.Host] = true
		pl := l.lenders[p.Host]
		if pl == nil {
			pl = &peerLender{}
			l.lenders[p.Host] = pl
		}
		if pl.peer.Incarnation != p.Incarnation {
			*pl = peerLender{nextSlotRequestAt: now}
		}
		pl.peer = p
	}
	for host := range l.lenders {
		if !kept[host] {
			delete(l.lenders, host)
		}
	}
}

// borrowedAmount returns the amount of the resource that held loans allow.
func (l *Lender) borrowedAmount(k resourceKey) int {
	sum := 0
	for _, h := range l.heldLoans[k] {
		sum += h.amount
	}
	return sum
}

func (l *Lender) updatePeakUse() {
	for k, byLender := range l.heldLoans {
		for _, h := range byLender {
			h.peakUse = max(h.peakUse, min(h.amount, l.used[k]))
		}
	}
}

// expireHeldLoans removes the loans that have ended, and those of resources that
// this entry owns and that are open.
func (l *Lender) expireHeldLoans(now time.Time) {
	for k, byLender := range l.heldLoans {
		if r := l.ownedResource(k); r != nil && !now.Before(r.openAt) {
			delete(l.heldLoans, k)
			continue
		}
		for host, h := range byLender {
			if !now.Before(h.until) {
				delete(byLender, host)
			}
		}
		if len(byLender) == 0 {
			delete(l.heldLoans, k)
		}
	}
}

// ownedResource returns the resource if this entry owns it, or nil.
func (l *Lender) ownedResource(k resourceKey) *resource {
	p := l.pools[slotPoolKey]
	if k.isTeam {
		p = l.pools[k]
	}
	if p == nil {
		return nil
	}
	return p.resources[k.name]
}

// isShortOfSlots reports whether more tasks wait than slots are free.
func (l *Lender) isShortOfSlots() bool { return l.waitingTasks() > l.freeSlots() }

func (l *Lender) waitingTasks() int {
	sum := 0
	for _, c := range l.demand.Classes {
		sum += c.Tasks
	}
	return sum
}

// freeSlots returns the number of unused slots in the allocations last published.
func (l *Lender) freeSlots() int {
	sum := 0
	for i := range l.publishedAllocations {
		a := &l.publishedAllocations[i]
		if !a.Target.Draining {
			sum += max(0, a.Slots-l.used[targetKey(a.Target.Name)])
		}
	}
	return sum
}

// borrow sends the requests that are due.
func (l *Lender) borrow(now time.Time) {
	l.refillTokens(now)
	l.trackShortage(now)
	l.scheduleIdleReturns(now)
	missing := l.missingSlots()
	required := l.requiredTokens()
	for _, pl := range l.lendersByPreference() {
		if pl.requestInFlight(now, l.loanTerm) {
			continue
		}
		slots := 0
		if missing > 0 && l.mayHaveSlots(now, pl) {
			slots = pl.slotsToRequest(missing)
		}
		if l.tokens < required {
			slots = 0
		}
		if slots == 0 && !pl.callDue(now) && !l.unitRequestDue(now, pl) {
			continue
		}
		missing -= slots
		l.sendRequest(now, pl, slots)
	}
}

// callDue reports whether a renewal or a report is due.
func (pl *peerLender) callDue(now time.Time) bool {
	renew := !pl.renewAt.IsZero() && !now.Before(pl.renewAt)
	return renew || pl.reportDue && !now.Before(pl.nextReportAt)
}

// sendRequest queues one request. It reduces the held loans to what the request
// claims, so that no more than that is used from here on.
func (l *Lender) sendRequest(now time.Time, pl *peerLender, slots int) {
	if slots > 0 {
		l.tokens--
	}
	l.requestSequence++
	pl.requestSequence = l.requestSequence
	pl.pending = true
	pl.sentAt = now
	pl.requestedSlots = slots
	pl.sentViewHash = l.viewHash
	pl.claimedKeys = pl.claimedKeys[:0]
	r := medlargw.BorrowRequest{Host: l.host, Incarnation: l.incarnation, Sequence: pl.requestSequence, ViewHash: l.viewHash, AnySlots: slots}
	r.Waiting = slices.Clone(l.demand.Classes)
	for _, k := range l.claimableKeys(pl) {
		claim := l.claim(pl, k)
		if claim.Held == 0 && claim.Want == 0 {
			continue
		}
		pl.claimedKeys = append(pl.claimedKeys, k)
		if k.isTeam {
			r.Units = append(r.Units, claim)
		} else {
			r.Slots = append(r.Slots, claim)
		}
	}
	pl.preempted = false
	pl.returnIdle = false
	pl.idleSince = time.Time{}
	l.actions.Calls = append(l.actions.Calls, medlargw.BorrowCall{To: pl.peer.Host, Addr: pl.peer.Addr, Request: r})
}

// claimableKeys returns the resources that the lender owns or has lent and that
// this entry holds, uses or needs, sorted by name.
func (l *Lender) claimableKeys(pl *peerLender) []resourceKey {
	var keys []resourceKey
	add := func(k resourceKey) {
		if l.owners[k] == pl.peer.Host || l.heldLoans[k][pl.peer.Host] != nil {
			keys = append(keys, k)
		}
	}
	for k := range l.heldLoans {
		add(k)
	}
	for k, used := range l.used {
		if used > 0 {
			add(k)
		}
	}
	for _, t := range l.demand.Teams {
		if t.Waiting > 0 {
			add(teamKey(t.Team))
		}
	}
	slices.SortFunc(keys, func(a, b resourceKey) int { return cmp.Compare(a.name, b.name) })
	return slices.Compact(keys)
}

// claim returns the claim on the resource for a request, and reduces the held
// loans by the amount that it returns.
func (l *Lender) claim(pl *peerLender, k resourceKey) medlargw.Claim {
	borrowed, used := l.borrowedAmount(k), l.used[k]
	want := borrowed
	switch {
	case k.isTeam:
		want = l.wantedUnits(k)
	case pl.preempted:
		want = 0
	case pl.returnIdle:
		want = l.used[k]
	case !l.isShortOfSlots():
		want = l.peakUse(k)
	}
	kept := min(borrowed, want)
	for _, h := range l.heldLoans[k] {
		h.amount = min(h.amount, kept)
		kept -= h.amount
		h.peakUse = min(h.amount, used)
	}
	if l.borrowedAmount(k) == 0 {
		delete(l.heldLoans, k)
	}
	held := max(l.borrowedAmount(k), used)
	return medlargw.Claim{Name: k.name, Held: held, Want: want, Returned: max(0, borrowed-held)}
}

func (l *Lender) peakUse(k resourceKey) int {
	sum := 0
	for _, h := range l.heldLoans[k] {
		sum += h.peakUse
	}
	return sum
}
