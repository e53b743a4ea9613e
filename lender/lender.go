// Package lender keeps the books of what an entry owns, lends and borrows.
//
// One mechanism serves slots inside a zone, slots across zones, and units of
// team limits. A resource is one target or one team's limit, and its owner is
// found by rendezvous hashing. A pool is a set of resources of which any will
// do: all targets that this entry owns are one pool, and each team's limit is
// a pool of its own.
//
// The books have two sides. As a lender, an entry holds a grant per resource
// and borrower; it counts the grant until the term and the margin have passed
// since its reply. As a borrower, it holds a holding per resource and lender,
// which ends a margin before the term has passed since it sent the request. A
// borrower has one request on its way to each lender and takes only the reply
// to the latest, so a lost, late, repeated or reordered message can't make it
// hold more than the lender counts.
//
// The machine has no I/O and no goroutines: times and events come in, calls,
// answers and capacities come out.
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
	term        time.Duration
	margin      time.Duration
	pace        pace

	config    *medlargw.Config
	group     medlargw.Group
	zoneSlots int    // Of all targets of the zone that have an owner.
	view      uint64 // Hash of the entries of the zone.
	owners    map[key]medlargw.HostName
	targets   map[medlargw.TargetName]medlargw.Target
	pools     map[key]*pool // By the pool's own key; slotPool for the targets.
	demand    medlargw.Demand
	used      map[key]int

	borrowers  map[medlargw.HostName]*borrower
	creditors  map[medlargw.HostName]*creditor
	holdings   map[key]map[medlargw.HostName]*holding
	unitsWaits map[key]unitsWait
	number     uint64  // Of the latest request to any lender.
	tokens     float64 // Requests that may be sent at once.
	filled     time.Time
	ticked     time.Time
	shortSince time.Time // Zero while slots are free or nothing waits.
	woken      time.Time // When this process last woke from a pause.
	shares     map[medlargw.TeamName]medlargw.Share
	actions    medlargw.LendActions
	last       []medlargw.Capacity
}

var _ medlargw.Lender = (*Lender)(nil)

// key names a resource.
type key struct {
	unit bool // Units of a team's limit, and not slots of a target.
	name string
}

// slotPool is the key of the pool of all owned targets.
var slotPool = key{}

func targetKey(name medlargw.TargetName) key { return key{name: string(name)} }

func teamKey(name medlargw.TeamName) key { return key{unit: true, name: string(name)} }

// New returns a lender that owns and holds nothing.
func New(s *medlargw.Settings, incarnation medlargw.Incarnation) *Lender {
	return &Lender{
		host:        s.Host,
		zone:        s.Zone,
		incarnation: incarnation,
		term:        s.Group.Term,
		margin:      s.Group.Margin,
		pace:        paceOf(s.Favour, s.Group.Term),
		config:      &medlargw.Config{},
		owners:      map[key]medlargw.HostName{},
		targets:     map[medlargw.TargetName]medlargw.Target{},
		pools:       map[key]*pool{slotPool: newPool()},
		used:        map[key]int{},
		borrowers:   map[medlargw.HostName]*borrower{},
		creditors:   map[medlargw.HostName]*creditor{},
		holdings:    map[key]map[medlargw.HostName]*holding{},
		unitsWaits:  map[key]unitsWait{},
		shares:      map[medlargw.TeamName]medlargw.Share{},
	}
}

// Actions returns what to carry out.
func (l *Lender) Actions() *medlargw.LendActions { return &l.actions }

// SetDemand sets what this entry uses.
func (l *Lender) SetDemand(_ time.Time, d *medlargw.Demand) {
	l.demand = *d
	clear(l.used)
	for _, t := range d.Targets {
		l.used[targetKey(t.Target)] = t.Used
	}
	for _, t := range d.Teams {
		l.used[teamKey(t.Team)] = t.Running
	}
	for k, p := range l.pools {
		p.setOwn(l, k)
	}
	l.notePeaks()
}

// Tick lets time pass.
func (l *Lender) Tick(now time.Time) {
	l.notePause(now)
	l.open(now)
	for _, p := range l.pools {
		p.expire(now)
	}
	l.expireHoldings(now)
	l.answerParked(now)
	l.publish(now)
	l.borrow(now)
	l.publish(now) // A request gives up what it returns.
	l.actions.Wake = l.wake(now)
}

// notePause gives up what is owned when this process was stopped for so long
// that the others may have taken it over.
func (l *Lender) notePause(now time.Time) {
	if !l.ticked.IsZero() && now.Sub(l.ticked) > l.term {
		l.woken = now
		for _, p := range l.pools {
			p.settle(now.Add(l.settling()))
		}
	}
	l.ticked = now
}

// open opens what this entry came to own once every other entry of the zone
// has said what it uses of it, under the same view of who owns what.
func (l *Lender) open(now time.Time) {
	if l.group.Unheard || now.Sub(l.woken) < l.settling() {
		return // Reports that waited while this process was paused are out of date.
	}
	for host, c := range l.creditors {
		if c.peer.Zone != l.zone {
			continue
		}
		b := l.borrowers[host]
		if b == nil || b.view != l.view || b.incarnation != c.peer.Incarnation {
			return
		}
	}
	for _, p := range l.pools {
		p.open(now)
	}
}

// settling is how long a new owner waits at most: then no loan of its
// predecessor can be in use.
func (l *Lender) settling() time.Duration { return l.term + 2*l.margin }

// wake returns when time alone changes something.
func (l *Lender) wake(now time.Time) time.Time {
	wake := now.Add(l.term / 4) // Also notices a pause.
	sooner := func(t time.Time) {
		if t.After(now) && t.Before(wake) {
			wake = t
		}
	}
	for _, b := range l.borrowers {
		if b.parked != nil {
			sooner(now.Add(l.pace.turn))
		}
	}
	l.wakeForCreditors(sooner)
	for _, w := range l.unitsWaits {
		sooner(w.until)
	}
	for _, held := range l.holdings {
		for _, h := range held {
			sooner(h.until)
		}
	}
	if l.short() || l.shortOfUnits(now) {
		sooner(now.Add(l.pace.turn))
	}
	return wake
}

// wakeForCreditors gives the times at which requests are due.
func (l *Lender) wakeForCreditors(sooner func(t time.Time)) {
	for _, c := range l.creditors {
		if !c.idleAt.IsZero() {
			sooner(c.idleAt.Add(l.pace.linger))
		}
		if !c.pending && c.report {
			sooner(c.reportAt)
		}
		if !c.pending && !c.renewAt.IsZero() {
			sooner(c.renewAt)
		}
	}
}

// Status returns the loans given and held, in the order of their names.
func (l *Lender) Status() (lent, held []medlargw.LoanStatus) {
	for _, p := range l.pools {
		for name, r := range p.resources {
			for host, g := range r.grants {
				lent = append(lent, medlargw.LoanStatus{Peer: host, Name: name, Amount: g.amount, Until: g.until})
			}
		}
	}
	for k, from := range l.holdings {
		for host, h := range from {
			held = append(held, medlargw.LoanStatus{Peer: host, Name: k.name, Amount: h.amount, Until: h.until})
		}
	}
	slices.SortFunc(lent, compareStatus)
	slices.SortFunc(held, compareStatus)
	return lent, held
}

func compareStatus(a, b medlargw.LoanStatus) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Peer, b.Peer))
}
