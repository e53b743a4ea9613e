package assigner

import (
	"slices"

	"medlargw.example/medlargw"
)

// newGroup returns all listed targets, and the entries that are live or leaving.
// This entry, the first of the members, counts while it is still joining, so
// that it owns targets before its first jobs arrive.
func newGroup(list *medlargw.HostList, members []medlargw.Member) medlargw.Group {
	g := medlargw.Group{Targets: list.Targets}
	for i := range members {
		m := &members[i]
		joining := i == 0 && m.State == medlargw.MemberJoining
		leaving := m.State == medlargw.MemberLeaving
		if !m.CanOwn() && !joining && !leaving {
			continue
		}
		g.Entries = append(g.Entries, medlargw.Peer{
			Host:        m.Host,
			Zone:        m.Zone,
			Addr:        m.Addr,
			Incarnation: m.Incarnation,
			Leaving:     leaving,
			Capacity:    m.Capacity,
		})
	}
	g.HasUnknownEntries = hasUnknownEntries(list, members)
	return g
}

// hasUnknownEntries reports whether the list names entries of this zone that
// are missing from the membership, because nothing was heard of them yet.
func hasUnknownEntries(list *medlargw.HostList, members []medlargw.Member) bool {
	for _, e := range list.Entries {
		known := slices.ContainsFunc(members, func(m medlargw.Member) bool { return m.Host == e.Name })
		if !known && e.Zone == members[0].Zone {
			return true
		}
	}
	return false
}

// listedPeers returns the entries that the list names. The list does not give
// their incarnations. What an entry has stated as a member precedes its record in
// the list, which an entry of an older build may have passed on without the
// capacity.
func listedPeers(list *medlargw.HostList, members []medlargw.Member) []medlargw.Peer {
	var all []medlargw.Peer
	for _, e := range list.Entries {
		p := peerOf(e)
		for i := range members {
			if members[i].Host == e.Name && members[i].Capacity != 0 {
				p.Capacity = members[i].Capacity
			}
		}
		all = append(all, p)
	}
	return all
}

// peerOf returns a listed entry as a peer, without its incarnation.
func peerOf(e medlargw.EntryHost) medlargw.Peer {
	return medlargw.Peer{Host: e.Name, Zone: e.Zone, Addr: e.Addr, Capacity: e.Capacity}
}

// hasFormerEnrolment reports whether the list has an enrolment of this entry's host
// that another process made.
func hasFormerEnrolment(list *medlargw.HostList, self *medlargw.Member) bool {
	return slices.ContainsFunc(list.Entries, func(e medlargw.EntryHost) bool {
		return e.Name == self.Host && e.Addr == self.Addr && e.Incarnation != 0 && e.Incarnation != self.Incarnation
	})
}
