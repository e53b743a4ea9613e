package lender

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Replied takes the reply to a call. Only the latest call's counts.
func (l *Lender) Replied(now time.Time, from medlargw.HostName, r *medlargw.BorrowReply) {
	c := l.creditors[from]
	if c == nil || !c.pending || r.Number != c.number {
		return
	}
	c.pending = false
	c.report = c.report && c.told != l.view
	for _, k := range c.keys {
		l.drop(k)
	}
	extra := 0
	for i := range r.Slots {
		extra += l.hold(c, key{name: r.Slots[i].Name}, &r.Slots[i])
	}
	for i := range r.Units {
		l.hold(c, key{unit: true, name: r.Units[i].Name}, &r.Units[i])
	}
	c.digest.Free = max(0, c.digest.Free-extra)
	if extra < c.any {
		c.digest.Free = 0
	}
	l.backOff(now, c, extra > 0)
	l.noteUnits(now, c)
	c.unitsAt = now.Add(l.pace.turn)
	l.planRenewal(now, c)
}

// drop forgets the holdings of the resource by every lender: its owner's reply
// replaces them.
func (l *Lender) drop(k key) { delete(l.holdings, k) }

// hold takes a loan over and returns its amount if it is a new one.
func (l *Lender) hold(c *creditor, k key, loan *medlargw.Loan) int {
	if l.owners[k] != c.peer.Host {
		return 0 // The new owner was told that nothing is held.
	}
	fresh := 0
	if !slices.Contains(c.keys, k) {
		l.drop(k)
		fresh = loan.Amount
	}
	if l.holdings[k] == nil {
		l.holdings[k] = map[medlargw.HostName]*holding{}
	}
	l.holdings[k][c.peer.Host] = &holding{
		amount: loan.Amount,
		starts: loan.Starts,
		until:  c.sent.Add(min(loan.Term, l.term) - l.margin),
		peak:   min(loan.Amount, l.used[k]),
	}
	return fresh
}

// Failed says that a call has no reply. It may still have reached its peer,
// and its reply is of no use from here on.
func (l *Lender) Failed(now time.Time, from medlargw.HostName, number uint64) {
	c := l.creditors[from]
	if c == nil || !c.pending || number != c.number {
		return
	}
	c.pending = false
	c.askAt = now.Add(maxBackoff)
	c.reportAt = now.Add(l.term / 4)
	c.unitsAt = now.Add(l.term / 4)
	l.planRenewal(now, c)
}

func (l *Lender) backOff(now time.Time, c *creditor, lent bool) {
	if lent || c.any == 0 {
		c.fails = 0
		c.askAt = now
		return
	}
	c.askAt = now.Add(min(maxBackoff, l.pace.backoff<<min(c.fails, 8)))
	c.fails++
}

// planRenewal sets when the creditor must be called again for what is held.
func (l *Lender) planRenewal(now time.Time, c *creditor) {
	c.renewAt = time.Time{}
	for k := range l.holdings {
		if l.holdings[k][c.peer.Host] != nil {
			c.renewAt = c.sent.Add(l.pace.renew(l.term))
			break
		}
	}
	// What is still in use without a right is reported until it has ended.
	for k, used := range l.used {
		if l.owners[k] == c.peer.Host && used > l.right(k) {
			c.renewAt = now.Add(l.pace.drain)
			return
		}
	}
}

// yieldTo stops the use of the loans of a peer that has more urgent work
// waiting than any of this entry's.
func (l *Lender) yieldTo(now time.Time, r *medlargw.BorrowRequest) {
	c := l.creditors[r.Host]
	if c == nil || c.renewAt.IsZero() {
		return
	}
	if top(r.Waiting) < l.topOwn() {
		c.yield = true
		c.renewAt = now
	}
}

// top returns the highest rank of which tasks wait.
func top(classes []medlargw.ClassDemand) int {
	best := idleRank
	for _, c := range classes {
		if c.Tasks > 0 {
			best = min(best, c.Rank)
		}
	}
	return best
}

// topOwn returns the highest rank that waits or runs here.
func (l *Lender) topOwn() int {
	best := top(l.demand.Classes)
	for _, c := range l.demand.Classes {
		if c.Running > 0 {
			best = min(best, c.Rank)
		}
	}
	return best
}
