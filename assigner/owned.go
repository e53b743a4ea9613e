package assigner

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"medlargw.example/medlargw"
)

// serving returns the names of the zone's entries that may own something. When
// there is none, this entry is left, whatever its own state.
func serving(all []medlargw.Member) []string {
	self := &all[0]
	var names []string
	for i := range all {
		joining := i == 0 && all[i].State == medlargw.MemberJoining
		if all[i].Zone == self.Zone && (all[i].Serving() || joining) {
			names = append(names, string(all[i].Host))
		}
	}
	if names == nil {
		names = append(names, string(self.Host))
	}
	return names
}

// owned returns the slots of the targets that this entry, the first of the
// members, owns.
func owned(list *medlargw.HostList, members []medlargw.Member) []medlargw.Capacity {
	self := &members[0]
	ring := rendezvous.New(serving(members), xxhash.Sum64String)
	var all []medlargw.Capacity
	for _, t := range list.Targets {
		if t.Zone == self.Zone && ring.Lookup(string(t.Name)) == string(self.Host) {
			all = append(all, medlargw.Capacity{Target: t, Slots: t.Slots})
		}
	}
	return all
}
