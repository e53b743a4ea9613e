package lender

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// HandleReply processes the reply to a call. A reply to any call but the latest
// is ignored.
func (l *Lender) HandleReply(now time.Time, from medlargw.HostName, r *medlargw.BorrowReply) {
	pl := l.lenders[from]
	if pl == nil || !pl.pending || r.Sequence != pl.requestSequence {
		return
	}
	pl.pending = false
	pl.reportDue = pl.reportDue && pl.sentViewHash != l.viewHash
	for _, k := range pl.claimedKeys {
		l.dropHeldLoans(k)
	}
	extra := 0
	for i := range r.Slots {
		extra += l.addHeldLoan(pl, resourceKey{name: r.Slots[i].Name}, &r.Slots[i])
	}
	for i := range r.Units {
		l.addHeldLoan(pl, resourceKey{isTeam: true, name: r.Units[i].Name}, &r.Units[i])
	}
	pl.digest.FreeSlots = max(0, pl.digest.FreeSlots-extra)
	if extra < pl.requestedSlots {
		pl.digest.FreeSlots = 0
	}
	l.updateSlotBackoff(now, pl, extra > 0)
	l.updateUnitBackoffs(now, pl)
	pl.nextUnitRequestAt = now.Add(l.tuning.checkInterval)
	l.scheduleRenewal(now, pl)
}

// dropHeldLoans removes the held loans of the resource from all lenders, since
// the reply of its owner replaces them.
func (l *Lender) dropHeldLoans(k resourceKey) { delete(l.heldLoans, k) }

// addHeldLoan records a loan and returns its amount if the resource was not
// among those claimed in the request.
func (l *Lender) addHeldLoan(pl *peerLender, k resourceKey, loan *medlargw.Loan) int {
	if l.owners[k] != pl.peer.Host {
		return 0 // The new owner has been told that nothing is held of it.
	}
	added := 0
	if !slices.Contains(pl.claimedKeys, k) {
		l.dropHeldLoans(k)
		added = loan.Amount
	}
	if l.heldLoans[k] == nil {
		l.heldLoans[k] = map[medlargw.HostName]*heldLoan{}
	}
	l.heldLoans[k][pl.peer.Host] = &heldLoan{
		amount:    loan.Amount,
		startRate: loan.Starts,
		until:     pl.sentAt.Add(min(loan.Term, l.loanTerm) - l.loanMargin),
		peakUse:   min(loan.Amount, l.used[k]),
	}
	return added
}

// HandleFailure records that a call failed. The call may still have reached its
// peer; a reply that arrives later is ignored.
func (l *Lender) HandleFailure(now time.Time, from medlargw.HostName, sequence uint64) {
	pl := l.lenders[from]
	if pl == nil || !pl.pending || sequence != pl.requestSequence {
		return
	}
	pl.pending = false
	pl.nextSlotRequestAt = now.Add(maxBackoff)
	pl.nextReportAt = now.Add(l.loanTerm / 4)
	pl.nextUnitRequestAt = now.Add(l.loanTerm / 4)
	l.scheduleRenewal(now, pl)
}

// updateSlotBackoff sets the earliest time of the next slot request after a
// reply. The delay doubles with each request that brings no slots.
func (l *Lender) updateSlotBackoff(now time.Time, pl *peerLender, lent bool) {
	if lent || pl.requestedSlots == 0 {
		pl.emptyReplies = 0
		pl.nextSlotRequestAt = now
		return
	}
	pl.nextSlotRequestAt = now.Add(min(maxBackoff, l.tuning.initialBackoff<<min(pl.emptyReplies, 8)))
	pl.emptyReplies++
}

// scheduleRenewal sets when the lender must be called again for what is held or
// used of its resources.
func (l *Lender) scheduleRenewal(now time.Time, pl *peerLender) {
	pl.renewAt = time.Time{}
	for k := range l.heldLoans {
		if l.heldLoans[k][pl.peer.Host] != nil {
			pl.renewAt = pl.sentAt.Add(l.tuning.renewalInterval(l.loanTerm))
			break
		}
	}
	// Use that no loan covers any more is reported until it has ended.
	for k, used := range l.used {
		if l.owners[k] == pl.peer.Host && used > l.borrowedAmount(k) {
			pl.renewAt = now.Add(l.tuning.overuseReportInterval)
			return
		}
	}
}

// checkPreemption schedules the return of all slots borrowed from a peer if it
// has tasks waiting of a higher rank than all that wait or run here.
func (l *Lender) checkPreemption(now time.Time, r *medlargw.BorrowRequest) {
	pl := l.lenders[r.Host]
	if pl == nil || pl.renewAt.IsZero() {
		return
	}
	if topWaitingRank(r.Waiting) < l.topLocalRank() {
		pl.preempted = true
		pl.renewAt = now
	}
}

// topWaitingRank returns the highest rank that has waiting tasks.
func topWaitingRank(classes []medlargw.ClassDemand) int {
	best := idleRank
	for _, c := range classes {
		if c.Tasks > 0 {
			best = min(best, c.Rank)
		}
	}
	return best
}

// topLocalRank returns the highest rank that has waiting or running tasks here.
func (l *Lender) topLocalRank() int {
	best := topWaitingRank(l.demand.Classes)
	for _, c := range l.demand.Classes {
		if c.Running > 0 {
			best = min(best, c.Rank)
		}
	}
	return best
}
