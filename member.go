package medlargw

import (
	"context"
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

// Serving reports whether the entry counts when an owner is chosen. A suspect
// one does not: an owner too many costs a wasted message, one too few idles
// its targets.
func (m *Member) Serving() bool { return m.State == MemberLive }

// BeatObserver is told of each heartbeat that a peer sent, and must return at
// once. The parts "watcher" and "assigner" are.
type BeatObserver interface {
	HeardBeat(from Member, d Digest)
}

// MembersObserver is told when the known entries or their states have changed,
// and must return at once. The part "assigner" is one.
type MembersObserver interface {
	MembersChanged(all []Member)
}

// HostsVersioner tells how new the host list in use is. The part "assigner"
// does.
type HostsVersioner interface {
	HostsVersion() uint64
	// HostsAge returns the time since an entry of the zone last read the list.
	HostsAge() time.Duration
}

// Spreader tells peers at once what this entry has learnt, before the next
// heartbeat is due. The part "tracker" does.
type Spreader interface {
	Spread()
}

// Leaver is a part that does something at the beginning of a planned stop,
// while it goes on serving.
type Leaver interface {
	Leave(ctx context.Context) error
}

// Digest sums up what an entry has, for its peers to compare with their own.
type Digest struct {
	Generation uint64        // Configuration in force.
	Hosts      uint64        // Version of the host list.
	HostsAge   time.Duration // Since an entry of the zone last read the list.
	Free       int           // Free slots of the targets it owns.
	Waiting    []ClassDemand
	Room       HolderRoom // Of the targets that it holds under lease.
}

// ClassDemand is the number of tasks of a class that wait for a slot, and of
// those that hold one.
type ClassDemand struct {
	Rank    int
	Tasks   int
	Running int
}

// Enrolment keeps this entry among those that the platform lists.
type Enrolment interface {
	// Enrol lists the entry until the time has passed without a renewal, and
	// returns the lease to renew.
	Enrol(ctx context.Context, m Member, ttl time.Duration) (uint64, error)
	// Extend renews the lease; ErrNotFound says that it has ended.
	Extend(ctx context.Context, lease uint64) error
	// Withdraw ends the lease.
	Withdraw(ctx context.Context, lease uint64) error
}
