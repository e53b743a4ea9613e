package medlargw

import (
	"context"
	"net/netip"
	"time"
)

// MemberState is the state of an entry in the view of another entry.
type MemberState int

// The states of an entry, in the order in which it usually has them. The
// numbers are sent to peers.
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
	Host         HostName
	Zone         ZoneName
	Addr         netip.AddrPort // Where it serves the other entries.
	AdminAddr    netip.AddrPort // Where it serves operators.
	Incarnation  Incarnation
	StateVersion uint64 // Increases with each change that the entry makes to its own state.
	State        MemberState
	LastHeard    time.Time // When the entry that keeps this record last heard of it.
	Successor    HostName  // Entry that has its used tickets after a planned stop.
	Capacity     int64     // Of its host, in thousandths of a core of the reference; zero is not stated.
}

// ValidCapacity returns a capacity that a message or a record states, or zero, not
// stated, if it is out of range.
func ValidCapacity(stated int64) int64 {
	if stated < 0 || stated > MaxCapacity {
		return 0
	}
	return stated
}

// CanOwn reports whether the entry may be the owner of targets and limits. A
// suspect entry may not. If it is alive after all, entries disagree on the
// owner for a while, which costs a request in vain; if an entry that is gone
// still counted, its targets would stay idle.
func (m *Member) CanOwn() bool { return m.State == MemberLive }

// HeartbeatObserver is called with each heartbeat of a peer, and must return
// without blocking. The components "watcher", "assigner" and "dispatcher"
// implement it.
type HeartbeatObserver interface {
	HeartbeatReceived(from Member, d Digest)
}

// MembersObserver is called when the known entries or their states have
// changed, and must return without blocking. The components "assigner" and
// "sender" implement it.
type MembersObserver interface {
	MembersChanged(all []Member)
}

// HostListVersioner returns the version and the age of the host list in use.
// The component "assigner" implements it.
type HostListVersioner interface {
	HostsVersion() uint64
	// HostsAge returns the time since any entry of the zone has read the list from
	// the platform.
	HostsAge() time.Duration
}

// Gossiper sends heartbeats before they are due, so that peers learn of new
// state sooner. The component "tracker" implements it.
type Gossiper interface {
	GossipNow()
}

// PreStopper is a component that must be told of a planned stop. PreStop is
// called at its beginning, while all components still serve.
type PreStopper interface {
	PreStop(ctx context.Context) error
}

// Digest summarizes the state of an entry. Peers compare it with their own, to
// fetch what they lack and to borrow where slots are free.
type Digest struct {
	Generation    uint64          // Of the configuration in use.
	HostsVersion  uint64          // Version of the host list in use.
	HostsAge      time.Duration   // Time since any entry of the zone has read the list from the platform.
	FreeSlots     int             // Of the targets that the entry owns.
	Waiting       []ClassDemand   // By class.
	FreeResources HolderResources // Of the targets that it holds under lease.
	Lag           time.Duration   // How late it acts, for lack of processor time; zero while it is on time.
	Heard         []Sighting      // Peers whose silence others may misjudge.
}

// ClassDemand is the number of tasks of a class that wait for a slot, and the
// number of those that use one.
type ClassDemand struct {
	Rank    int
	Tasks   int
	Running int
}

// Enrolment registers this entry in the platform's lists of entries, under leases. All
// calls may be repeated; they return ErrNotFound if the lease has ended.
type Enrolment interface {
	// Grant creates a lease and returns its ID. It ends when it has not been renewed for
	// the TTL, counted from the arrival of the call.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Enrol adds the entry to the list until the lease ends.
	Enrol(ctx context.Context, m Member, lease uint64) error
	// Remember adds the entry to the list of recent entries, likewise.
	Remember(ctx context.Context, m Member, lease uint64) error
	// Renew renews the lease.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends the lease and so removes the entry from the list.
	Revoke(ctx context.Context, lease uint64) error
}
