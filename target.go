package medlargw

import (
	"net/netip"
	"time"
)

// Target is a host of the platform that runs tasks.
type Target struct {
	Name     TargetName
	Zone     ZoneName
	Addr     netip.AddrPort
	Slots    int   // Number of tasks that it can run at a time.
	Memory   int64 // Memory of the largest task that it can run, in bytes; zero is unlimited.
	Draining bool  // Whether the platform drains it: it gets no new tasks.

	// Evacuated is set by the dispatcher, together with Draining, while the
	// target's zone is evacuated. It is not sent to peers.
	Evacuated bool

	// Only of targets that run tasks under a lease.
	Pool             PoolName
	Resources        Resources // All its resources, free or not.
	IncarnationStart time.Time // Start of its incarnation; zero is unknown.

	// Estimates on the clock of this process, which may be off by some seconds.
	ColdUntil time.Time // When it is no longer slow after its start; zero or past: it is not.
	LeavesAt  time.Time // When it ends while it is draining, at the earliest; zero is unknown.
}

// TargetReport dates what a target has reported of itself to the platform.
type TargetReport struct {
	Clock            time.Duration // The target's clock when it made the report; zero is unknown.
	IncarnationStart time.Time     // Of the incarnation that made it.
}

// EntryHost is one entry host in the platform's host list.
type EntryHost struct {
	Name      HostName
	Zone      ZoneName
	Addr      netip.AddrPort // Where it serves the other entries.
	AdminAddr netip.AddrPort // Where it serves operators.
	Capacity  int64          // Of the host, as in Member.

	// Of the entry that is enrolled; zero is unknown. Peers don't pass it on.
	Incarnation Incarnation
}

// HostList is the platform's list of hosts. It may be out of date.
type HostList struct {
	Version uint64    // Increases with each change.
	TakenAt time.Time // Time at which the list was current.
	Targets []Target
	Entries []EntryHost
	History HostHistory

	// Entries that were enrolled recently, whether they still are or not. Only a list
	// that was read from the platform has them, and they don't change its version.
	Recent []EntryHost

	// The latest reports of the targets. Only a list that was read from the platform has
	// them, and they don't change its version.
	Reports map[TargetName]TargetReport

	// Zones whose targets get no new tasks until the operators take the request
	// back, sorted. Nil is unknown: the list comes from a peer of an older build.
	Evacuated []ZoneName
}

// HostHistory tells when the elements of a HostList changed. An element that
// changed and changed back counts too: another reader of the platform may have
// seen it in between.
type HostHistory struct {
	Since   uint64                // Version after which all changes are known; zero: none is.
	Targets map[TargetName]uint64 // Versions of the latest changes, removals included.
	Entries map[HostName]uint64   // Versions of the latest changes, removals included.
}

// maxHistory is the number of elements whose changes are remembered.
const maxHistory = 4096

// Bounded returns the history of a list of that version, without any change if it
// holds too many. Peers then fetch the whole list once.
func (h HostHistory) Bounded(version uint64) HostHistory {
	if len(h.Targets)+len(h.Entries) > maxHistory {
		return HostHistory{Since: version}
	}
	return h
}

// HostListChanges are the changes that lead from one version of a HostList to
// another one.
type HostListChanges struct {
	Base           uint64 // Version that the changes apply to.
	Version        uint64 // Version that they lead to.
	TakenAt        time.Time
	Targets        []Target    // Added or changed.
	Entries        []EntryHost // Added or changed.
	RemovedTargets []TargetName
	RemovedEntries []HostName
	Evacuated      []ZoneName // All evacuated zones, as in HostList.
}
