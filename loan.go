package medlargw

import (
	"net/netip"
	"time"
)

// Group is an entry's view of the targets and the entries of the deployment.
type Group struct {
	Targets           []Target // Of all zones, from the platform's host list.
	Entries           []Peer   // Live and leaving ones, this entry included.
	HasUnknownEntries bool     // The host list has entries of this zone that this entry has no state of yet.
	ListedEntries     []Peer   // Entries in the host list; empty if the list is out of date.
	RecentEntries     []Peer   // As in HostList, without incarnations; this entry included.

	// HasFormerEnrolment means that the host list names a former process of this host as
	// enrolled.
	HasFormerEnrolment bool

	// Zones whose targets get no new tasks, sorted.
	Evacuated []ZoneName
}

// Peer is the address and the identity of one entry, for messages to it.
type Peer struct {
	Host        HostName
	Zone        ZoneName
	Addr        netip.AddrPort
	Incarnation Incarnation
	Leaving     bool  // It is stopping: it owns nothing any more, and still reports what it uses.
	Capacity    int64 // Of its host, as in Member.
}

// TargetShare is the share of one entry in the targets of a zone.
type TargetShare struct {
	Entries  int      // Entries that share the targets.
	Targets  int      // Targets of the zone.
	Owned    int      // Targets that the entry owns.
	Due      float64  // Targets that are due to it by its capacity.
	Capacity int64    // Of the entry, as in Member.
	Weighted bool     // The shares depend on the capacities; otherwise they are equal.
	Unstated HostName // An entry that states no capacity, if there is one.
}

// Demand is what an entry uses of targets and limits, and what its waiting
// tasks need.
type Demand struct {
	Classes []ClassDemand // Tasks that wait only for a slot, by class.
	Targets []TargetUsage
	Teams   []TeamUsage
}

// TargetUsage is the number of slots in use of one target.
type TargetUsage struct {
	Target TargetName
	Used   int
}

// TeamUsage is the number of running and of waiting tasks of one team.
type TeamUsage struct {
	Team    TeamName
	Running int
	Waiting int
}

// LimitShare is the part of a team's limit that this entry may use.
type LimitShare struct {
	Team  TeamName
	Limit Limit // A zero field allows nothing where the team's limit is bounded.
}

// BorrowCall is a request for loans to be sent to a peer.
type BorrowCall struct {
	To      HostName
	Addr    netip.AddrPort
	Request BorrowRequest
}

// AddressedBorrowReply is a reply to be sent to a peer that has requested
// loans.
type AddressedBorrowReply struct {
	To    HostName
	Reply BorrowReply
}

// LenderActions are what the control goroutine must carry out for a Lender.
type LenderActions struct {
	Calls              []BorrowCall
	Replies            []AddressedBorrowReply
	Allocations        []Allocation // If AllocationsChanged, all slots that this entry may use now.
	AllocationsChanged bool         // Whether Allocations has changed.
	Shares             []LimitShare // Those that have changed.
	NextTick           time.Time    // When Tick must be called next.
}

// Reset empties the slices and keeps their memory for reuse, except for that of
// Allocations, which the receiver may keep.
func (a *LenderActions) Reset() {
	clear(a.Calls)
	clear(a.Replies)
	a.Calls = a.Calls[:0]
	a.Replies = a.Replies[:0]
	a.Allocations = nil
	a.AllocationsChanged = false
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
	// SetDigest replaces the state of a peer by its last digest.
	SetDigest(now time.Time, from HostName, d Digest)
	// SetDemand sets what this entry uses and needs. It must be called before each
	// call of HandleRequest and of Tick.
	SetDemand(now time.Time, d *Demand)
	// HandleRequest handles a peer's request. The reply may be among the actions
	// of a later call. A request that is older than the sender's latest gets none.
	HandleRequest(now time.Time, r *BorrowRequest)
	// HandleReply handles the reply to a BorrowCall.
	HandleReply(now time.Time, from HostName, r *BorrowReply)
	// HandleFailure handles the failure of a BorrowCall, given the sequence number
	// of its request.
	HandleFailure(now time.Time, from HostName, sequence uint64)
	// Tick ends what has expired, and adds new calls, replies and allocations to
	// the actions.
	Tick(now time.Time)
	// Actions returns the actions since the last Reset of the returned value.
	Actions() *LenderActions
	// Status returns the loans that this entry has given and those that it holds.
	Status() (lent, held []LoanStatus)
}
