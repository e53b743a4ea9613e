package medlargw

import (
	"net/netip"
	"time"
)

// Group is what an entry knows of the hosts that act together.
type Group struct {
	Targets []Target // Of all zones.
	Entries []Peer   // Live and leaving ones, this entry included.
	Unheard bool     // Entries of the zone are listed that this entry never heard of.
	Listed  []Peer   // Entries that a fresh list of the platform names.
}

// Peer is one entry that acts together with others.
type Peer struct {
	Host        HostName
	Zone        ZoneName
	Addr        netip.AddrPort
	Incarnation Incarnation
	Leaving     bool // It owns nothing any more, and still reports what it uses.
}

// Demand is what an entry uses and what waits for more.
type Demand struct {
	Classes []ClassDemand // Tasks that could start if there were a slot.
	Targets []TargetUse
	Teams   []TeamUse
}

// TargetUse is the number of slots in use of one target.
type TargetUse struct {
	Target TargetName
	Used   int
}

// TeamUse is the number of running and waiting tasks of one team.
type TeamUse struct {
	Team    TeamName
	Running int
	Waiting int
}

// Share is what this entry may use of a team's limit.
type Share struct {
	Team  TeamName
	Limit Limit // Zero allows nothing where the team's limit is a bound.
}

// BorrowCall is a request to send to a peer.
type BorrowCall struct {
	To      HostName
	Addr    netip.AddrPort
	Request BorrowRequest
}

// BorrowAnswer is a reply to a peer's request.
type BorrowAnswer struct {
	To    HostName
	Reply BorrowReply
}

// LendActions are what the control goroutine must carry out for a Lender.
type LendActions struct {
	Calls      []BorrowCall
	Answers    []BorrowAnswer
	Capacities []Capacity // All of them, if Moved.
	Moved      bool
	Shares     []Share   // Those that changed.
	Wake       time.Time // When Tick must come next.
}

// Reset empties the actions and keeps their memory, but for the capacities,
// which the receiver may keep.
func (a *LendActions) Reset() {
	clear(a.Calls)
	clear(a.Answers)
	a.Calls = a.Calls[:0]
	a.Answers = a.Answers[:0]
	a.Capacities = nil
	a.Moved = false
	a.Shares = a.Shares[:0]
}

// Lender keeps the books of what an entry owns, lends and borrows. It is used
// by one goroutine.
type Lender interface {
	// Configure sets the limits of the teams.
	Configure(now time.Time, cfg *Config)
	// SetGroup derives who owns what.
	SetGroup(now time.Time, g *Group)
	// Heard takes what a peer last said of itself.
	Heard(now time.Time, from HostName, d Digest)
	// SetDemand sets what this entry uses. It precedes each of the calls below.
	SetDemand(now time.Time, d *Demand)
	// Handle takes a peer's request. The answer may come with a later action,
	// and a request that is older than another of its sender gets none.
	Handle(now time.Time, r *BorrowRequest)
	// Replied takes the reply to a call.
	Replied(now time.Time, from HostName, r *BorrowReply)
	// Failed says that a call has no reply.
	Failed(now time.Time, from HostName, number uint64)
	// Tick lets time pass. It reports new calls, answers and capacities.
	Tick(now time.Time)
	// Actions returns what to carry out since the last Reset of its result.
	Actions() *LendActions
	// Status returns the loans given and held.
	Status() (lent, held []LoanStatus)
}
