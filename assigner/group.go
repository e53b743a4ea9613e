package assigner

import (
	"slices"

	"medlargw.example/medlargw"
)

// groupOf returns the hosts that act together: all listed targets, and the
// entries that are live or leaving. This entry, the first of the members, takes
// part before it is live, so that it has targets as soon as it has jobs.
func groupOf(list *medlargw.HostList, members []medlargw.Member) medlargw.Group {
	g := medlargw.Group{Targets: list.Targets}
	for i := range members {
		m := &members[i]
		joining := i == 0 && m.State == medlargw.MemberJoining
		leaving := m.State == medlargw.MemberLeaving
		if !m.Serving() && !joining && !leaving {
			continue
		}
		g.Entries = append(g.Entries, medlargw.Peer{
			Host:        m.Host,
			Zone:        m.Zone,
			Addr:        m.Addr,
			Incarnation: m.Incarnation,
			Leaving:     leaving,
		})
	}
	g.Unheard = unheard(list, members)
	return g
}

// unheard reports whether the list has entries of the zone that are in no
// state, because no word of them has come yet.
func unheard(list *medlargw.HostList, members []medlargw.Member) bool {
	for _, e := range list.Entries {
		known := slices.ContainsFunc(members, func(m medlargw.Member) bool { return m.Host == e.Name })
		if !known && e.Zone == members[0].Zone {
			return true
		}
	}
	return false
}

// listedPeers returns the entries that the list names. Their incarnations are
// not known.
func listedPeers(list *medlargw.HostList) []medlargw.Peer {
	var all []medlargw.Peer
	for _, e := range list.Entries {
		all = append(all, medlargw.Peer{Host: e.Name, Zone: e.Zone, Addr: e.Addr})
	}
	return all
}
