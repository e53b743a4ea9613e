package medlargw

import (
	"net/netip"
	"time"
)

// Group is an entry's view of the targets and the entries of the deployment.
type Group struct {
	Targets []Target // Of all zones, from the platform's host list.
	Entries []Peer   // Live and leaving ones, this entry included.
	Unheard bool     // The host list has entries of this zone that this entry has no state of yet.
	Listed  []Peer   // Entries in the host list; empty if the list is out of date.
}

// Peer is the address and the identity of one entry, for messages to it.
type Peer struct {
	Host        HostName
	Zone        ZoneName
	Addr        netip.AddrPort
	Incarnation Incarnation
	Leaving     bool // It is stopping: it owns nothing any more, and still reports what it uses.
}

// Demand is what an entry uses of targets and limits, and what its waiting tasks
// need.
type Demand struct {
	Classes []ClassDemand // Tasks that wait only for a slot, by class.
	Targets []TargetUse
	Teams   []TeamUse
}

// TargetUse is the number of slots in use of one target.
type TargetUse struct {
	Target TargetName
	Used   int
}

// TeamUse is the number of running and of waiting tasks of one team.
type TeamUse struct {
	Team    TeamName
	Running int
	Waiting int
}

// Share is the part of a team's limit that this entry may use.
type Share struct {
	Team  TeamName
	Limit Limit // A zero field allows nothing where the team's limit is bounded.
}

// BorrowCall is a request for loans to be sent to a peer.
type BorrowCall struct {
	To      HostName
	Addr    netip.AddrPort
	Request BorrowRequest
}

// BorrowAnswer is a reply to be sent to a peer that has requested loans.
type BorrowAnswer struct {
	To    HostName
	Reply BorrowReply
}

// LendActions are what the control goroutine must carry out for a Lender.
type LendActions struct {
	Calls      []BorrowCall
	Answers    []BorrowAnswer
	Capacities []Capacity // If Moved, all slots that this entry may use now.
	Moved      bool       // Whether Capacities has changed.
	Shares     []Share    // Those that have changed.
	Wake       time.Time  // When Tick must be called next.
}

// Reset empties the slices and keeps their memory for reuse, except for that of
// Capacities, which the receiver may keep.
func (a *LendActions) Reset() {
	clear(a.Calls)
	clear(a.Answers)
	a.Calls = a.Calls[:0]
	a.Answers = a.Answers[:0]
	a.Capacities = nil
	a.Moved = false
	a.Shares = a.Shares[:0]
}

// Lender accounts for the slots and the units of teams' limits that an entry
// owns, lends and borrows. It is used by one goroutine.
type Lender interface {
	// Configure sets the limits of the teams.
	Configure(now time.Time, cfg *Config)
	// SetGroup updates the owners of targets and limits from the entries and
	// targets of the deployment.
	SetGroup(now time.Time, g *Group)
	// Heard updates the state of a peer from its last digest.
	Heard(now time.Time, from HostName, d Digest)
	// SetDemand sets what this entry uses and needs. It must be called before each
	// call of Handle and of Tick.
	SetDemand(now time.Time, d *Demand)
	// Handle handles a peer's request. The reply may be among the actions of a
	// later call. A request that is older than the sender's latest gets none.
	Handle(now time.Time, r *BorrowRequest)
	// Replied handles the reply to a BorrowCall.
	Replied(now time.Time, from HostName, r *BorrowReply)
	// Failed handles the failure of a BorrowCall, given the number of its request.
	Failed(now time.Time, from HostName, number uint64)
	// Tick ends what has expired, and adds new calls, replies and capacities to
	// the actions.
	Tick(now time.Time)
	// Actions returns the actions since the last Reset of the returned value.
	Actions() *LendActions
	// Status returns the loans that this entry has given and those that it holds.
	Status() (lent, held []LoanStatus)
}
