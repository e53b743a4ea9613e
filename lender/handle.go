package lender

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// peerBorrower is the state that this entry, as a lender, keeps of a peer.
type peerBorrower struct {
	incarnation      medlargw.Incarnation
	pastIncarnations []medlargw.Incarnation // Late requests of these are ignored.
	requestSequence  uint64                 // Sequence number of the latest request.
	viewHash         uint64                 // View hash in the latest request.
	reply            *medlargw.BorrowReply  // To the latest request; nil while that is pending.
	slotClaims       []medlargw.Claim       // Claims of the latest request.
	unitClaims       []medlargw.Claim
	claimsExpireAt   time.Time // When the claims no longer count.
	pendingRequest   *medlargw.BorrowRequest
	pendingSince     time.Time // When the pending request arrived.
}

// maxPastIncarnations bounds the past incarnations that are kept of one peer.
const maxPastIncarnations = 8

// HandleRequest processes a peer's request. A repetition of the latest request
// gets the same reply again; an older request gets none.
func (l *Lender) HandleRequest(now time.Time, r *medlargw.BorrowRequest) {
	b := l.borrowers[r.Host]
	if b == nil {
		b = &peerBorrower{incarnation: r.Incarnation}
		l.borrowers[r.Host] = b
	}
	if !b.accept(r) {
		if b.reply != nil && r.Incarnation == b.incarnation && r.Sequence == b.requestSequence {
			l.actions.Replies = append(l.actions.Replies, medlargw.AddressedBorrowReply{To: r.Host, Reply: *b.reply})
		}
		return
	}
	l.recordClaims(now, r)
	b.viewHash = r.ViewHash
	b.slotClaims, b.unitClaims = r.Slots, r.Units
	b.claimsExpireAt = now.Add(l.loanTerm + l.loanMargin)
	b.pendingRequest = r
	b.pendingSince = now
	l.checkPreemption(now, r)
	l.reply(now, r.Host, b)
}

// accept reports whether the request is newer than all earlier requests of its
// sender, and records its sequence number and incarnation if so.
func (b *peerBorrower) accept(r *medlargw.BorrowRequest) bool {
	if r.Incarnation != b.incarnation {
		if slices.Contains(b.pastIncarnations, r.Incarnation) {
			return false
		}
		b.pastIncarnations = append(b.pastIncarnations, b.incarnation)
		b.pastIncarnations = b.pastIncarnations[max(0, len(b.pastIncarnations)-maxPastIncarnations):]
		b.incarnation = r.Incarnation
		b.requestSequence = 0
	}
	if r.Sequence <= b.requestSequence {
		return false
	}
	b.requestSequence = r.Sequence
	b.reply = nil
	return true
}

// recordClaims replaces the grants of the borrower by what it claims to hold. It
// can't hold more, since it ignores replies to its earlier requests.
func (l *Lender) recordClaims(now time.Time, r *medlargw.BorrowRequest) {
	for _, p := range l.pools {
		for _, res := range p.resources {
			delete(res.grants, r.Host)
		}
	}
	until := now.Add(l.loanTerm + l.loanMargin)
	p := l.pools[slotPoolKey]
	held := p.recordClaims(r.Host, r.Slots, until)
	p.peerDemands[r.Host] = &peerDemand{
		classes: scaleDemand(nil, r.Waiting, held),
		limit:   held + r.AnySlots,
		until:   now.Add(2 * l.tuning.emptyReplyWait),
	}
	for _, c := range r.Units {
		p := l.pools[resourceKey{isTeam: true, name: c.Name}]
		if p == nil {
			continue
		}
		held := p.recordClaims(r.Host, []medlargw.Claim{c}, until)
		class := medlargw.ClassDemand{Tasks: max(0, c.Want-held), Running: held}
		p.peerDemands[r.Host] = &peerDemand{classes: []medlargw.ClassDemand{class}, limit: max(held, c.Want), until: until}
	}
}

// restoreGrants records grants for what borrowers claimed before this entry knew
// that it owns the resource.
func (l *Lender) restoreGrants(now time.Time) {
	for host, b := range l.borrowers {
		if !now.Before(b.claimsExpireAt) {
			continue
		}
		l.pools[slotPoolKey].addMissingGrants(host, b.slotClaims, b.claimsExpireAt)
		for _, c := range b.unitClaims {
			if p := l.pools[resourceKey{isTeam: true, name: c.Name}]; p != nil {
				p.addMissingGrants(host, []medlargw.Claim{c}, b.claimsExpireAt)
			}
		}
	}
}

// addMissingGrants records grants for those claims of the host that are on
// resources without a grant to it.
func (p *pool) addMissingGrants(host medlargw.HostName, claims []medlargw.Claim, until time.Time) {
	for _, c := range claims {
		if r := p.resources[c.Name]; r != nil && r.grants[host] == nil && c.Held > 0 {
			r.grants[host] = &grant{amount: c.Held, until: until}
		}
	}
}

// recordClaims records grants for the claims on the pool's resources, and
// returns the total that the host holds of them.
func (p *pool) recordClaims(host medlargw.HostName, claims []medlargw.Claim, until time.Time) int {
	sum := 0
	for _, c := range claims {
		if r := p.resources[c.Name]; r != nil && c.Held > 0 {
			r.grants[host] = &grant{amount: c.Held, until: until}
			sum += c.Held
		}
	}
	return sum
}

// replyToPending replies to those pending requests that need not wait longer, in
// the order of their arrival.
func (l *Lender) replyToPending(now time.Time) {
	var hosts []medlargw.HostName
	for host, b := range l.borrowers {
		if b.pendingRequest != nil {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(x, y medlargw.HostName) int {
		return cmp.Or(l.borrowers[x].pendingSince.Compare(l.borrowers[y].pendingSince), cmp.Compare(x, y))
	})
	for _, host := range hosts {
		l.reply(now, host, l.borrowers[host])
	}
}

// reply replies to the pending request. A request for slots only, of which not
// all can be granted yet, is held for partialReplyWait, or for emptyReplyWait if
// none can be granted. If this entry owns no slots, it replies at once.
func (l *Lender) reply(now time.Time, host medlargw.HostName, b *peerBorrower) {
	r := b.pendingRequest
	p := l.pools[slotPoolKey]
	extra := l.grantableSlots(now, host, r)
	waited := now.Sub(b.pendingSince)
	if extra < r.AnySlots && len(r.Units) == 0 && p.total() > 0 {
		if waited < l.tuning.partialReplyWait || (extra == 0 && waited < l.tuning.emptyReplyWait) {
			return
		}
	}
	reply := medlargw.BorrowReply{Incarnation: l.incarnation, Sequence: r.Sequence}
	reply.IsOwner = p.total() > 0 || len(r.Slots)+r.AnySlots == 0
	reply.Slots = l.lendSlots(now, host, r, extra)
	for _, c := range r.Units {
		if loan, ok := l.lendUnits(now, host, &c); ok {
			reply.Units = append(reply.Units, loan)
		}
	}
	b.pendingRequest = nil
	b.reply = &reply
	l.actions.Replies = append(l.actions.Replies, medlargw.AddressedBorrowReply{To: host, Reply: reply})
}

// grantableSlots returns how many slots the borrower can get now in addition to
// those that it holds.
func (l *Lender) grantableSlots(now time.Time, host medlargw.HostName, r *medlargw.BorrowRequest) int {
	if r.AnySlots == 0 {
		return 0
	}
	p := l.pools[slotPoolKey]
	free := 0
	for _, res := range p.resources {
		free += res.free(now)
	}
	return max(0, min(r.AnySlots, free, p.entitlement(host)-p.lentTo(host)))
}

// lendSlots renews the loans that the borrower may keep and lends it the extra
// slots.
func (l *Lender) lendSlots(now time.Time, host medlargw.HostName, r *medlargw.BorrowRequest, extra int) []medlargw.Loan {
	p := l.pools[slotPoolKey]
	amounts := map[string]int{}
	retainable := p.retainable(host)
	for _, c := range r.Slots {
		res := p.resources[c.Name]
		if res == nil || res.target.Draining {
			continue
		}
		others := res.lent() - res.lentTo(host)
		n := max(0, min(c.Want, c.Held, retainable, res.total-others))
		amounts[c.Name] = n
		retainable -= n
	}
	for _, res := range p.resourcesByFree(now) {
		n := min(extra, res.free(now))
		amounts[string(res.target.Name)] += n
		extra -= n
		res.setGrant(host, res.lentTo(host)+n, now.Add(l.loanTerm+l.loanMargin))
	}
	return l.recordSlotLoans(now, host, amounts)
}

// recordSlotLoans records grants of the amounts and returns them as loans.
func (l *Lender) recordSlotLoans(now time.Time, host medlargw.HostName, amounts map[string]int) []medlargw.Loan {
	p := l.pools[slotPoolKey]
	var loans []medlargw.Loan
	for _, name := range p.names {
		n := amounts[name]
		if n == 0 {
			continue
		}
		res := p.resources[name]
		res.setGrant(host, max(n, res.lentTo(host)), now.Add(l.loanTerm+l.loanMargin))
		loans = append(loans, medlargw.Loan{Name: name, Amount: n, Term: l.loanTerm})
	}
	return loans
}

// retainable returns how much the host may keep of what it holds: its fair share
// and all that no other claimant is entitled to.
func (p *pool) retainable(host medlargw.HostName) int {
	spare := p.total()
	got := 0
	for _, cl := range p.entitlements() {
		spare -= cl.allotted
		if cl.host == host {
			got = cl.allotted
		}
	}
	return got + spare
}

// resourcesByFree returns the resources that have something free, sorted by
// falling free amount.
func (p *pool) resourcesByFree(now time.Time) []*resource {
	var all []*resource
	for _, name := range p.names {
		if r := p.resources[name]; r.free(now) > 0 {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *resource) int { return cmp.Compare(b.free(now), a.free(now)) })
	return all
}

// lendUnits renews and extends the borrower's loan of units of one team's limit.
func (l *Lender) lendUnits(now time.Time, host medlargw.HostName, c *medlargw.Claim) (medlargw.Loan, bool) {
	p := l.pools[resourceKey{isTeam: true, name: c.Name}]
	if p == nil {
		return medlargw.Loan{}, false
	}
	r := p.resources[c.Name]
	held := r.lentTo(host)
	others := r.lent() - held
	n := min(c.Want, p.retainable(host), held+r.free(now), r.total-others)
	if n <= 0 {
		return medlargw.Loan{}, false
	}
	r.setGrant(host, max(n, held), now.Add(l.loanTerm+l.loanMargin))
	return medlargw.Loan{Name: c.Name, Amount: n, Term: l.loanTerm, Starts: l.startsPerSecond(c.Name, n)}, true
}

func (r *resource) lentTo(host medlargw.HostName) int {
	if g := r.grants[host]; g != nil {
		return g.amount
	}
	return 0
}

func (r *resource) setGrant(host medlargw.HostName, amount int, until time.Time) {
	if amount > 0 {
		r.grants[host] = &grant{amount: amount, until: until}
	}
}
