package assigner

import (
	"slices"
	"testing"

	"medlargw.example/medlargw"
)

// TestReaders checks that the entries with the most processor read the host list,
// whose changes in an installation of 350 targets take a small host noticeable
// time each second.
func TestReaders(t *testing.T) {
	members := func(capacities ...int64) []medlargw.Member {
		var all []medlargw.Member
		for i, c := range capacities {
			all = append(all, medlargw.Member{Host: medlargw.HostName("abcdef"[i : i+1]), Capacity: c})
		}
		return all
	}
	tests := []struct {
		name    string
		members []medlargw.Member
		want    []medlargw.HostName
	}{
		{"equal", members(480, 480, 480, 480), []medlargw.HostName{"a", "b"}},
		{"not stated", members(0, 0, 0, 0), []medlargw.HostName{"a", "b"}},
		{"one not stated", members(800, 144, 800, 0), []medlargw.HostName{"a", "b"}},
		{"two large", members(800, 144, 800, 144), []medlargw.HostName{"a", "c"}},
		{"one large", members(144, 144, 800, 144), []medlargw.HostName{"a", "c"}},
		{"alone", members(144), []medlargw.HostName{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []medlargw.HostName
			for _, m := range readersOf(test.members) {
				got = append(got, m.Host)
			}
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("readers: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestListedCapacity guards against two views of the owners of targets: the record
// of a silent entry was passed on by an older build, without its capacity.
func TestListedCapacity(t *testing.T) {
	tests := []struct {
		name           string
		record, member int64
		want           int64
	}{
		{"in both", 480, 240, 240},
		{"in the list only", 480, 0, 480},
		{"of the member only", 0, 240, 240},
		{"in neither", 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			list := medlargw.HostList{Entries: []medlargw.EntryHost{{Name: "b", Capacity: test.record}}}
			silent := medlargw.Member{Host: "b", State: medlargw.MemberSuspect, Capacity: test.member}
			if got := listedPeers(&list, []medlargw.Member{silent})[0].Capacity; got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
