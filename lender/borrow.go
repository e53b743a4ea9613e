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
	missing := l.missing()
	creditors := l.byPromise()
	among := l.countWorth(now, creditors)
	least := l.leastTokens()
	for _, c := range creditors {
		if c.waits(now, l.term) {
			continue
		}
		slots := 0
		if missing > 0 && l.worthAsking(now, c) {
			slots = c.ask(missing, among)
			among--
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

// countWorth returns among how many creditors to divide what is missing.
func (l *Lender) countWorth(now time.Time, all []*creditor) int {
	if !l.pace.divide {
		return 1
	}
	n := 0
	for _, c := range all {
		if !c.waits(now, l.term) && l.worthAsking(now, c) {
			n++
		}
	}
	return n
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

// mustCall reports whether a renewal or a report is due.
func (c *creditor) mustCall(now time.Time) bool {
	renew := !c.renewAt.IsZero() && !now.Before(c.renewAt)
	return renew || c.report && !now.Before(c.reportAt)
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
// be free, or else the creditor's part among several.
func (c *creditor) ask(missing, among int) int {
	if free := c.digest.Free; !c.heardAt.IsZero() && free > 0 {
		return min(missing, free)
	}
	among = max(1, among)
	return (missing + among - 1) / among
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
	if k.unit {
		want = l.unitsWanted(k)
	} else if !l.short() {
		want = l.peak(k)
	}
	if c.yield && !k.unit {
		want = 0
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
