package medlargw

import (
	"net/netip"
	"time"
)

// MemberState is the state of an entry as another entry sees it.
type MemberState int

// The states of an entry, in their usual order.
const (
	MemberJoining MemberState = iota
	MemberLive
	MemberSuspect
	MemberLeaving
	MemberGone
)

// String returns the name used on the wire and in logs.
func (s MemberState) String() string {
	return [...]string{"joining", "live", "suspect", "leaving", "gone"}[s]
}

// Member is one entry of the deployment.
type Member struct {
	Host        HostName
	Zone        ZoneName
	Addr        netip.AddrPort // Where it serves the other entries.
	Admin       netip.AddrPort // Where it serves operators.
	Incarnation Incarnation
	Counter     uint64 // Rises with each change that the entry makes to its own state.
	State       MemberState
	Since       time.Time // When this entry last heard of it.
	Successor   HostName  // Who has its used tickets after a planned stop.
}

// Digest sums up what an entry has, for its peers to compare with their own.
type Digest struct {
	Generation uint64 // Configuration in force.
	Hosts      uint64 // Version of the host list.
	Free       int    // Free slots of the targets it owns.
	Waiting    []ClassDemand
}

// ClassDemand is the number of tasks of a class that wait for a slot, and of
// those that hold one.
type ClassDemand struct {
	Rank    int
	Tasks   int
	Running int
}
