// Package lender records which resources an entry owns, lends and borrows, and
// decides when it borrows, lends and returns them.
//
// One mechanism serves slots inside a zone, slots across zones, and units of
// team limits. A resource is one target or one team's limit, and its owner is
// found by rendezvous hashing. A pool is a set of interchangeable resources:
// all targets that this entry owns are one pool, and each team's limit is a
// pool of its own.
//
// Each loan is recorded on both sides. The lender keeps a grant per resource
// and borrower, and counts it until the loan term and the margin have passed
// since its reply. The borrower keeps a held loan per resource and lender,
// which ends one margin before the term has passed since it sent the request.
// A borrower has at most one request in flight to each lender and accepts only
// the reply to the latest, so a lost, late, repeated or reordered message can't
// make it hold more than the lender counts.
//
// The package is a state machine without I/O and goroutines: times and events
// are its input; calls, replies and allocations are its output.
package lender

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Lender implements medlargw.Lender.
type Lender struct {
	host        medlargw.HostName
	zone        medlargw.ZoneName
	incarnation medlargw.Incarnation
	loanTerm    time.Duration
	loanMargin  time.Duration
	tuning      tuning

	config    *medlargw.Config
	group     medlargw.Group
	zoneSlots int    // Slots of the zone's targets that are not draining.
	viewHash  uint64 // Hash of the entries of the zone.
	owners    map[resourceKey]medlargw.HostName
	targets   map[medlargw.TargetName]medlargw.Target
	pools     map[resourceKey]*pool // The targets are under slotPoolKey, each team's limit under its own key.
	demand    medlargw.Demand
	used      map[resourceKey]int

	borrowers            map[medlargw.HostName]*peerBorrower
	lenders              map[medlargw.HostName]*peerLender
	heldLoans            map[resourceKey]map[medlargw.HostName]*heldLoan
	unitBackoffs         map[resourceKey]unitBackoff
	requestSequence      uint64  // Of the latest request to any lender.
	tokens               float64 // Token bucket that limits the rate of slot requests.
	tokensRefilledAt     time.Time
	lastTick             time.Time
	shortageSince        time.Time // Zero while there are enough free slots for the waiting tasks.
	resumedAt            time.Time // When this process last resumed after a pause longer than a term.
	publishedShares      map[medlargw.TeamName]medlargw.LimitShare
	actions              medlargw.LenderActions
	publishedAllocations []medlargw.Allocation
}

var _ medlargw.Lender = (*Lender)(nil)

// resourceKey identifies a resource.
type resourceKey struct {
	isTeam bool // The resource is a team's limit, divided into units; otherwise a target.
	name   string
}

// slotPoolKey is the key of the pool of all owned targets.
var slotPoolKey = resourceKey{}

func targetKey(name medlargw.TargetName) resourceKey { return resourceKey{name: string(name)} }

func teamKey(name medlargw.TeamName) resourceKey {
	return resourceKey{isTeam: true, name: string(name)}
}

// New returns a lender that owns no resources and holds no loans.
func New(s *medlargw.Settings, incarnation medlargw.Incarnation) *Lender {
	return &Lender{
		host:            s.Host,
		zone:            s.Zone,
		incarnation:     incarnation,
		loanTerm:        s.Group.Term,
		loanMargin:      s.Group.Margin,
		tuning:          tuningFor(s.Favour, s.Group.Term),
		config:          &medlargw.Config{},
		owners:          map[resourceKey]medlargw.HostName{},
		targets:         map[medlargw.TargetName]medlargw.Target{},
		pools:           map[resourceKey]*pool{slotPoolKey: newPool()},
		used:            map[resourceKey]int{},
		borrowers:       map[medlargw.HostName]*peerBorrower{},
		lenders:         map[medlargw.HostName]*peerLender{},
		heldLoans:       map[resourceKey]map[medlargw.HostName]*heldLoan{},
		unitBackoffs:    map[resourceKey]unitBackoff{},
		publishedShares: map[medlargw.TeamName]medlargw.LimitShare{},
	}
}

// Actions returns the actions to carry out.
func (l *Lender) Actions() *medlargw.LenderActions { return &l.actions }

// SetDemand replaces the demand and the use of this entry.
func (l *Lender) SetDemand(_ time.Time, d *medlargw.Demand) {
	l.demand = *d
	clear(l.used)
	for _, t := range d.Targets {
		l.used[targetKey(t.Target)] = t.Used
	}
	for _, t := range d.Teams {
		l.used[teamKey(t.Team)] = t.Running
	}
	for poolKey, p := range l.pools {
		p.updateOwnDemand(l, poolKey)
	}
	l.updatePeakUse()
}

// Tick advances the state to the given time.
func (l *Lender) Tick(now time.Time) {
	l.detectPause(now)
	l.openResources(now)
	for _, p := range l.pools {
		p.expire(now)
	}
	l.expireHeldLoans(now)
	l.replyToPending(now)
	l.publish(now)
	l.borrow(now)
	l.publish(now) // Sending a request reduces the allocations by what it returns.
	l.actions.NextTick = l.nextTick(now)
}

// detectPause closes all owned resources when this process has been stopped for
// so long that other entries may have taken them over.
func (l *Lender) detectPause(now time.Time) {
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) > l.loanTerm {
		l.resumedAt = now
		for _, p := range l.pools {
			p.closeUntil(now.Add(l.takeoverDelay()))
		}
	}
	l.lastTick = now
}

// openResources opens newly owned resources as soon as every other entry of the
// zone has reported what it uses of them, under the same view of the zone's
// entries. Without all reports, a resource opens after the takeover delay.
func (l *Lender) openResources(now time.Time) {
	if l.group.HasUnknownEntries || now.Sub(l.resumedAt) < l.takeoverDelay() {
		return // Reports that arrived while this process was paused are out of date.
	}
	for host, pl := range l.lenders {
		if pl.peer.Zone != l.zone {
			continue
		}
		b := l.borrowers[host]
		if b == nil || b.viewHash != l.viewHash || b.incarnation != pl.peer.Incarnation {
			return
		}
	}
	for _, p := range l.pools {
		p.open(now)
	}
}

// takeoverDelay returns how long a new owner waits at most before it uses or
// lends a resource. After that no loan of the previous owner can be in use.
func (l *Lender) takeoverDelay() time.Duration { return l.loanTerm + 2*l.loanMargin }

// nextTick returns when Tick must be called next if no event comes before.
func (l *Lender) nextTick(now time.Time) time.Time {
	next := now.Add(l.loanTerm / 4) // Frequent enough for detectPause.
	tickBy := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	for _, b := range l.borrowers {
		if b.pendingRequest != nil {
			tickBy(now.Add(l.tuning.checkInterval))
		}
	}
	l.addLenderDeadlines(tickBy)
	for _, ub := range l.unitBackoffs {
		tickBy(ub.until)
	}
	for _, held := range l.heldLoans {
		for _, h := range held {
			tickBy(h.until)
		}
	}
	if l.isShortOfSlots() || l.isShortOfUnits(now) {
		tickBy(now.Add(l.tuning.checkInterval))
	}
	return next
}

// addLenderDeadlines calls tickBy with the times at which requests to lenders
// become due.
func (l *Lender) addLenderDeadlines(tickBy func(t time.Time)) {
	for _, pl := range l.lenders {
		if !pl.idleSince.IsZero() {
			tickBy(pl.idleSince.Add(l.tuning.idleRetention))
		}
		if !pl.pending && pl.reportDue {
			tickBy(pl.nextReportAt)
		}
		if !pl.pending && !pl.renewAt.IsZero() {
			tickBy(pl.renewAt)
		}
	}
}

// Status returns the loans lent and held, sorted by resource name and peer.
func (l *Lender) Status() (lent, held []medlargw.LoanStatus) {
	for _, p := range l.pools {
		for name, r := range p.resources {
			for host, g := range r.grants {
				lent = append(lent, medlargw.LoanStatus{Peer: host, Name: name, Amount: g.amount, ExpiresAt: g.until})
			}
		}
	}
	for k, byLender := range l.heldLoans {
		for host, h := range byLender {
			held = append(held, medlargw.LoanStatus{Peer: host, Name: k.name, Amount: h.amount, ExpiresAt: h.until})
		}
	}
	slices.SortFunc(lent, compareLoanStatus)
	slices.SortFunc(held, compareLoanStatus)
	return lent, held
}

func compareLoanStatus(a, b medlargw.LoanStatus) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Peer, b.Peer))
}
