package lender

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// borrower is what this entry, as a lender, knows of a peer.
type borrower struct {
	incarnation medlargw.Incarnation
	past        []medlargw.Incarnation // Earlier runs, whose late requests are ignored.
	number      uint64                 // Of the latest request.
	view        uint64                 // That it was sent under.
	answer      *medlargw.BorrowReply  // To the latest request; nil while it is parked.
	slots       []medlargw.Claim       // Of the latest request.
	units       []medlargw.Claim
	until       time.Time // The claims count as long.
	parked      *medlargw.BorrowRequest
	since       time.Time // When it was parked.
}

// maxPast bounds the earlier runs that are remembered of one peer.
const maxPast = 8

// Handle takes a peer's request.
func (l *Lender) Handle(now time.Time, r *medlargw.BorrowRequest) {
	b := l.borrowers[r.Host]
	if b == nil {
		b = &borrower{incarnation: r.Incarnation}
		l.borrowers[r.Host] = b
	}
	if !b.accept(r) {
		if b.answer != nil && r.Incarnation == b.incarnation && r.Number == b.number {
			l.actions.Answers = append(l.actions.Answers, medlargw.BorrowAnswer{To: r.Host, Reply: *b.answer})
		}
		return
	}
	l.record(now, r)
	b.view = r.View
	b.slots, b.units = r.Slots, r.Units
	b.until = now.Add(l.term + l.margin)
	b.parked = r
	b.since = now
	l.yieldTo(now, r)
	l.answer(now, r.Host, b)
}

// accept reports whether the request is newer than all others of its sender.
func (b *borrower) accept(r *medlargw.BorrowRequest) bool {
	if r.Incarnation != b.incarnation {
		if slices.Contains(b.past, r.Incarnation) {
			return false
		}
		b.past = append(b.past, b.incarnation)
		b.past = b.past[max(0, len(b.past)-maxPast):]
		b.incarnation = r.Incarnation
		b.number = 0
	}
	if r.Number <= b.number {
		return false
	}
	b.number = r.Number
	b.answer = nil
	return true
}

// record takes over what the borrower holds. It can't hold more: replies to
// its earlier requests are of no use to it any more.
func (l *Lender) record(now time.Time, r *medlargw.BorrowRequest) {
	for _, p := range l.pools {
		for _, res := range p.resources {
			delete(res.grants, r.Host)
		}
	}
	until := now.Add(l.term + l.margin)
	p := l.pools[slotPool]
	held := p.record(r.Host, r.Slots, until)
	p.needs[r.Host] = &need{
		classes: spread(nil, r.Waiting, held),
		most:    held + r.Any,
		until:   now.Add(2 * l.pace.park),
	}
	for _, c := range r.Units {
		p := l.pools[key{unit: true, name: c.Name}]
		if p == nil {
			continue
		}
		held := p.record(r.Host, []medlargw.Claim{c}, until)
		class := medlargw.ClassDemand{Tasks: max(0, c.Want-held), Running: held}
		p.needs[r.Host] = &need{classes: []medlargw.ClassDemand{class}, most: max(held, c.Want), until: until}
	}
}

// recall enters what borrowers claimed before this entry knew that it owns it.
func (l *Lender) recall(now time.Time) {
	for host, b := range l.borrowers {
		if !now.Before(b.until) {
			continue
		}
		l.pools[slotPool].recordNew(host, b.slots, b.until)
		for _, c := range b.units {
			if p := l.pools[key{unit: true, name: c.Name}]; p != nil {
				p.recordNew(host, []medlargw.Claim{c}, b.until)
			}
		}
	}
}

// recordNew enters the claims on resources that have no grant to the host.
func (p *pool) recordNew(host medlargw.HostName, claims []medlargw.Claim, until time.Time) {
	for _, c := range claims {
		if r := p.resources[c.Name]; r != nil && r.grants[host] == nil && c.Held > 0 {
			r.grants[host] = &grant{amount: c.Held, until: until}
		}
	}
}

// record returns the sum of what is held of the pool.
func (p *pool) record(host medlargw.HostName, claims []medlargw.Claim, until time.Time) int {
	sum := 0
	for _, c := range claims {
		if r := p.resources[c.Name]; r != nil && c.Held > 0 {
			r.grants[host] = &grant{amount: c.Held, until: until}
			sum += c.Held
		}
	}
	return sum
}

// answerParked answers what can be answered, in the order of arrival.
func (l *Lender) answerParked(now time.Time) {
	var hosts []medlargw.HostName
	for host, b := range l.borrowers {
		if b.parked != nil {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(x, y medlargw.HostName) int {
		return cmp.Or(l.borrowers[x].since.Compare(l.borrowers[y].since), cmp.Compare(x, y))
	})
	for _, host := range hosts {
		l.answer(now, host, l.borrowers[host])
	}
}

// answer answers the parked request, unless waiting may bring more.
func (l *Lender) answer(now time.Time, host medlargw.HostName, b *borrower) {
	r := b.parked
	p := l.pools[slotPool]
	extra := l.extra(now, host, r)
	waited := now.Sub(b.since)
	if extra < r.Any && len(r.Units) == 0 && p.total() > 0 {
		if waited < l.pace.patience || (extra == 0 && waited < l.pace.park) {
			return
		}
	}
	reply := medlargw.BorrowReply{Incarnation: l.incarnation, Number: r.Number}
	reply.Owner = p.total() > 0 || len(r.Slots)+r.Any == 0
	reply.Slots = l.lendSlots(now, host, r, extra)
	for _, c := range r.Units {
		if loan, ok := l.lendUnits(now, host, &c); ok {
			reply.Units = append(reply.Units, loan)
		}
	}
	b.parked = nil
	b.answer = &reply
	l.actions.Answers = append(l.actions.Answers, medlargw.BorrowAnswer{To: host, Reply: reply})
}

// extra returns how many slots the borrower can get now beyond those it holds.
func (l *Lender) extra(now time.Time, host medlargw.HostName, r *medlargw.BorrowRequest) int {
	if r.Any == 0 {
		return 0
	}
	p := l.pools[slotPool]
	free := 0
	for _, res := range p.resources {
		free += res.free(now)
	}
	return max(0, min(r.Any, free, p.entitled(host)-p.lentTo(host)))
}

// lendSlots renews what the borrower may keep and lends the extra slots.
func (l *Lender) lendSlots(now time.Time, host medlargw.HostName, r *medlargw.BorrowRequest, extra int) []medlargw.Loan {
	p := l.pools[slotPool]
	amounts := map[string]int{}
	keep := p.kept(host)
	for _, c := range r.Slots {
		res := p.resources[c.Name]
		if res == nil || res.target.Leaving {
			continue
		}
		others := res.lent() - res.lentTo(host)
		n := max(0, min(c.Want, c.Held, keep, res.total-others))
		amounts[c.Name] = n
		keep -= n
	}
	for _, res := range p.byFree(now) {
		n := min(extra, res.free(now))
		amounts[string(res.target.Name)] += n
		extra -= n
		res.give(host, res.lentTo(host)+n, now.Add(l.term+l.margin))
	}
	return l.slotLoans(now, host, amounts)
}

// slotLoans writes the amounts into the books and returns them as loans.
func (l *Lender) slotLoans(now time.Time, host medlargw.HostName, amounts map[string]int) []medlargw.Loan {
	p := l.pools[slotPool]
	var loans []medlargw.Loan
	for _, name := range p.names {
		n := amounts[name]
		if n == 0 {
			continue
		}
		res := p.resources[name]
		res.give(host, max(n, res.lentTo(host)), now.Add(l.term+l.margin))
		loans = append(loans, medlargw.Loan{Name: name, Amount: n, Term: l.term})
	}
	return loans
}

// kept returns how much of what the host holds it may keep: all, unless
// others have a better right to it.
func (p *pool) kept(host medlargw.HostName) int {
	spare := p.total()
	got := 0
	for _, w := range p.entitlements() {
		spare -= w.got
		if w.host == host {
			got = w.got
		}
	}
	return got + spare
}

// byFree returns the resources with something free, the most first.
func (p *pool) byFree(now time.Time) []*resource {
	var all []*resource
	for _, name := range p.names {
		if r := p.resources[name]; r.free(now) > 0 {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *resource) int { return cmp.Compare(b.free(now), a.free(now)) })
	return all
}

// lendUnits renews and lends units of one team's limit.
func (l *Lender) lendUnits(now time.Time, host medlargw.HostName, c *medlargw.Claim) (medlargw.Loan, bool) {
	p := l.pools[key{unit: true, name: c.Name}]
	if p == nil {
		return medlargw.Loan{}, false
	}
	r := p.resources[c.Name]
	held := r.lentTo(host)
	others := r.lent() - held
	n := min(c.Want, p.kept(host), held+r.free(now), r.total-others)
	if n <= 0 {
		return medlargw.Loan{}, false
	}
	r.give(host, max(n, held), now.Add(l.term+l.margin))
	return medlargw.Loan{Name: c.Name, Amount: n, Term: l.term, Starts: l.startsOf(c.Name, n)}, true
}

func (r *resource) lentTo(host medlargw.HostName) int {
	if g := r.grants[host]; g != nil {
		return g.amount
	}
	return 0
}

func (r *resource) give(host medlargw.HostName, amount int, until time.Time) {
	if amount > 0 {
		r.grants[host] = &grant{amount: amount, until: until}
	}
}
