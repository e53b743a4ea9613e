// Package discoverer decides when an entry that has just started may claim its
// targets, and which silent entries own targets until then.
//
// An entry that starts does not know which other entries live and what they hold. If
// all entries of a zone start at once, no target has a holder, and each entry can
// claim its own at once. If only one starts, its targets have a holder that transfers
// them. The platform remembers the recent entries, whether they live or not:
//
//   - If this entry is one of them, the recent entries of a zone divide its targets as
//     before all of them stopped. A recent entry that is silent owns its share for a
//     while.
//   - If a former process of this host is still enrolled, no other entry has taken its
//     targets, and they can be claimed at once.
//   - Otherwise a living holder of this entry's targets is one that has run for long. If
//     none of the entries that could be one has, the targets can be claimed: at once if
//     all recent entries of the zone and one of another zone were heard, after a time
//     for answers if the enrolled ones were.
//
// In all other cases it claims the targets after a fixed time.
package discoverer

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

const (
	// maxWait is the time after the first assignment in which an entry claims no
	// targets while it does not know the others.
	maxWait = 300 * time.Millisecond
	// answerTime is the time after the first assignment in which a living entry
	// answers the first heartbeat.
	answerTime = 10 * time.Millisecond
	// retention is the time after the first assignment for which a recent entry that
	// is silent counts as an owner.
	retention = time.Second
	// minAge is the difference of the uptimes from which a peer counts as older.
	minAge = 2 * time.Second
)

// Discoverer keeps what an entry that starts has learned of the others. It is not safe
// for concurrent use.
type Discoverer struct {
	self      medlargw.Member
	startedAt time.Time // Of the first assignment; zero before.
	group     medlargw.Group
	heard     map[medlargw.Incarnation]bool
	enrolled  bool // A former process of this host was still enrolled.
	older     bool // A peer has run for longer.
	complete  bool // No living entry holds targets of this entry.
}

// New returns a discoverer that has learned nothing.
func New(self medlargw.Member) *Discoverer {
	return &Discoverer{self: self, heard: map[medlargw.Incarnation]bool{}}
}

// Update takes a new group.
func (d *Discoverer) Update(now time.Time, g *medlargw.Group) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	d.enrolled = d.enrolled || g.HasFormerEnrolment
	d.group = *g
	d.Review(now)
}

// Hear records a heartbeat of a peer, given the time since the start of this entry
// and of the peer.
func (d *Discoverer) Hear(now time.Time, peer medlargw.Incarnation, uptime, peerUptime time.Duration) {
	if d.starts(now) {
		d.heard[peer] = true
	}
	if peerUptime >= uptime+minAge {
		d.older = true
	}
	d.Review(now)
}

// HasOlderPeer reports whether a peer was heard that has run for long. It may hold the
// targets of this entry, and transfers them.
func (d *Discoverer) HasOlderPeer() bool { return d.older }

// IsComplete reports whether no living entry can hold targets of this entry.
func (d *Discoverer) IsComplete() bool { return d.complete }

// EarliestClaim returns the time before which no target is to be claimed.
func (d *Discoverer) EarliestClaim() time.Time {
	if d.complete {
		return d.startedAt
	}
	return d.startedAt.Add(maxWait)
}

// Silent returns the recent entries that own targets although nothing was heard of
// them since this entry started.
func (d *Discoverer) Silent(now time.Time) []medlargw.Peer {
	if !d.countsRecent(now) {
		return nil
	}
	return d.group.RecentEntries
}

// countsRecent reports whether the recent entries tell this entry what it owns: it was
// one of them, has started just now, and no peer has run for longer.
func (d *Discoverer) countsRecent(now time.Time) bool {
	return !d.older && !d.startedAt.IsZero() && d.starts(now) && d.hasRestarted()
}

// starts reports whether this entry has been assigned targets for less than retention.
func (d *Discoverer) starts(now time.Time) bool {
	return d.startedAt.IsZero() || now.Sub(d.startedAt) < retention
}

// hasRestarted reports whether this entry was among the recent entries, at the same
// address. A host that takes the place of another one has other targets.
func (d *Discoverer) hasRestarted() bool {
	return slices.ContainsFunc(d.group.RecentEntries, func(p medlargw.Peer) bool {
		return p.Host == d.self.Host && p.Zone == d.self.Zone && p.Addr == d.self.Addr
	})
}

// Review updates what is known with the passing of time.
func (d *Discoverer) Review(now time.Time) {
	if d.complete || !d.countsRecent(now) {
		return
	}
	switch {
	case d.enrolled || d.hasHeard(d.group.RecentEntries, d.group.ListedEntries, d.group.Entries):
		d.complete = true
	case now.Sub(d.startedAt) < answerTime:
	default:
		d.complete = d.hasHeard(d.group.ListedEntries, d.group.Entries)
	}
}

// hasHeard reports whether all of the entries that are in this zone were heard, and one
// of the others if there are any.
func (d *Discoverer) hasHeard(lists ...[]medlargw.Peer) bool {
	incarnations := make(map[medlargw.HostName]medlargw.Incarnation, len(d.group.Entries))
	for _, p := range d.group.Entries {
		incarnations[p.Host] = p.Incarnation
	}
	remote, remoteHeard := false, false
	for _, p := range slices.Concat(lists...) {
		heard := d.heard[incarnations[p.Host]]
		switch {
		case p.Host == d.self.Host:
		case p.Zone != d.self.Zone:
			remote, remoteHeard = true, remoteHeard || heard
		case !heard:
			return false
		}
	}
	return !remote || remoteHeard
}
