package lender

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// creditor is what this entry, as a borrower, knows of a peer.
type creditor struct {
	peer     medlargw.Peer
	digest   medlargw.Digest // What it last said of itself.
	heardAt  time.Time       // Zero when the digest holds nothing.
	number   uint64          // Of the latest request.
	pending  bool            // It has no reply yet.
	sent     time.Time
	any      int       // Slots asked for in it.
	told     uint64    // The view that it was sent under.
	keys     []key     // Claimed in it.
	renewAt  time.Time // Zero when nothing is held.
	askAt    time.Time // No slots are asked for before.
	unitsAt  time.Time // No units are asked for before.
	fails    int       // Requests in vain, one after the other.
	report   bool      // It must be told what is used of its resources.
	reportAt time.Time // Not before.
	idleAt   time.Time // Since when slots of its loans have been unused; zero is in use.
	spare    bool      // They are returned with the next request.
	yield    bool      // Its own work has precedence over what runs on its loans.
}

// holding is what this entry may use of one resource by one lender's loan.
type holding struct {
	amount int
	starts float64
	until  time.Time
	peak   int // The most that was in use since the last request.
}

func (l *Lender) setCreditors(now time.Time) {
	kept := map[medlargw.HostName]bool{}
	for _, p := range l.group.Entries {
		if p.Host == l.host {
			continue
		}
		kept[p.Host] = true
		c := l.creditors[p.Host]
		if c == nil {
			c = &creditor{}
			l.creditors[p.Host] = c
		}
		if c.peer.Incarnation != p.Incarnation {
			*c = creditor{askAt: now}
		}
		c.peer = p
	}
	for host := range l.creditors {
		if !kept[host] {
			delete(l.creditors, host)
		}
	}
}

// right returns what may be used of the resource by loans.
func (l *Lender) right(k key) int {
	sum := 0
	for _, h := range l.holdings[k] {
		sum += h.amount
	}
	return sum
}

func (l *Lender) notePeaks() {
	for k, from := range l.holdings {
		for _, h := range from {
			h.peak = max(h.peak, min(h.amount, l.used[k]))
		}
	}
}

// expireHoldings forgets what has ended, and what is this entry's own by now.
func (l *Lender) expireHoldings(now time.Time) {
	for k, from := range l.holdings {
		if r := l.resource(k); r != nil && !now.Before(r.opens) {
			delete(l.holdings, k)
			continue
		}
		for host, h := range from {
			if !now.Before(h.until) {
				delete(from, host)
			}
		}
		if len(from) == 0 {
			delete(l.holdings, k)
		}
	}
}

// resource returns the owned resource, or nil.
func (l *Lender) resource(k key) *resource {
	p := l.pools[slotPool]
	if k.unit {
		p = l.pools[k]
	}
	if p == nil {
		return nil
	}
	return p.resources[k.name]
}

// short reports whether more tasks wait than slots are free.
func (l *Lender) short() bool { return l.waiting() > l.freeSlots() }

func (l *Lender) waiting() int {
	sum := 0
	for _, c := range l.demand.Classes {
		sum += c.Tasks
	}
	return sum
}

// freeSlots returns the free slots that this entry may use as last published.
func (l *Lender) freeSlots() int {
	sum := 0
	for i := range l.last {
		c := &l.last[i]
		if !c.Target.Leaving {
			sum += max(0, c.Slots-l.used[targetKey(c.Target.Name)])
		}
	}
	return sum
}

// borrow sends the requests that are due.
func (l *Lender) borrow(now time.Time) {
	l.refill(now)
	l.noteShortage(now)
	l.noteIdle(now)
	missing := l.missing()
	least := l.leastTokens()
	for _, c := range l.byPromise() {
		if c.waits(now, l.term) {
			continue
		}
		slots := 0
		if missing > 0 && l.worthAsking(now, c) {
			slots = c.ask(missing)
		}
		if l.tokens < least {
			slots = 0
		}
		if slots == 0 && !c.mustCall(now) && !l.unitsDue(now, c) {
			continue
		}
		missing -= slots
		l.call(now, c, slots)
	}
}

// mustCall reports whether a renewal or a report is due.
func (c *creditor) mustCall(now time.Time) bool {
	renew := !c.renewAt.IsZero() && !now.Before(c.renewAt)
	return renew || c.report && !now.Before(c.reportAt)
}

// call sends one request. From here on no more is used than it claims.
func (l *Lender) call(now time.Time, c *creditor, slots int) {
	if slots > 0 {
		l.tokens--
	}
	l.number++
	c.number = l.number
	c.pending = true
	c.sent = now
	c.any = slots
	c.told = l.view
	c.keys = c.keys[:0]
	r := medlargw.BorrowRequest{Host: l.host, Incarnation: l.incarnation, Number: c.number, View: l.view, Any: slots}
	r.Waiting = slices.Clone(l.demand.Classes)
	for _, k := range l.claimable(c) {
		claim := l.claim(c, k)
		if claim.Held == 0 && claim.Want == 0 {
			continue
		}
		c.keys = append(c.keys, k)
		if k.unit {
			r.Units = append(r.Units, claim)
		} else {
			r.Slots = append(r.Slots, claim)
		}
	}
	c.yield = false
	c.spare = false
	c.idleAt = time.Time{}
	l.actions.Calls = append(l.actions.Calls, medlargw.BorrowCall{To: c.peer.Host, Addr: c.peer.Addr, Request: r})
}

// claimable returns what the creditor owns or has lent, and this entry uses,
// in order.
func (l *Lender) claimable(c *creditor) []key {
	var keys []key
	add := func(k key) {
		if l.owners[k] == c.peer.Host || l.holdings[k][c.peer.Host] != nil {
			keys = append(keys, k)
		}
	}
	for k := range l.holdings {
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
	slices.SortFunc(keys, func(a, b key) int { return cmp.Compare(a.name, b.name) })
	return slices.Compact(keys)
}

// claim states what is held of the resource and returns what isn't needed.
func (l *Lender) claim(c *creditor, k key) medlargw.Claim {
	right, used := l.right(k), l.used[k]
	want := right
	switch {
	case k.unit:
		want = l.unitsWanted(k)
	case c.yield:
		want = 0
	case c.spare:
		want = l.used[k]
	case !l.short():
		want = l.peak(k)
	}
	kept := min(right, want)
	for _, h := range l.holdings[k] {
		h.amount = min(h.amount, kept)
		kept -= h.amount
		h.peak = min(h.amount, used)
	}
	if l.right(k) == 0 {
		delete(l.holdings, k)
	}
	held := max(l.right(k), used)
	return medlargw.Claim{Name: k.name, Held: held, Want: want, Returned: max(0, right-held)}
}

func (l *Lender) peak(k key) int {
	sum := 0
	for _, h := range l.holdings[k] {
		sum += h.peak
	}
	return sum
}
