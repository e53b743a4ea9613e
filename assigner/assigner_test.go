package assigner

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// fakes stand in for the parts that an assigner tells and asks.
type fakes struct {
	list   medlargw.HostList
	groups []medlargw.Group
}

func (f *fakes) Hosts(context.Context) (medlargw.HostList, error) { return f.list, nil }
func (f *fakes) SetGroup(g medlargw.Group)                        { f.groups = append(f.groups, g) }
func (*fakes) Hint([]netip.AddrPort)                              {}
func (*fakes) Spread()                                            {}
func (*fakes) Self() medlargw.Member                              { return medlargw.Member{Host: "a", Zone: "z"} }

func (f *fakes) Members() []medlargw.Member { return []medlargw.Member{f.Self()} }

// listed returns the number of listed entries in the last group.
func (f *fakes) listed() int { return len(f.groups[len(f.groups)-1].Listed) }

// TestListedAfterAnOutage asserts that entries with a lease count again as soon
// as the platform answers, although its list is the same as before.
func TestListedAfterAnOutage(t *testing.T) {
	tests := []struct {
		name string
		heal func(a *Assigner)
	}{
		{"read here", func(a *Assigner) { a.read(t.Context()) }},
		{"read by a peer", func(a *Assigner) {
			a.HeardBeat(medlargw.Member{Zone: "z"}, medlargw.Digest{Hosts: 3, HostsAge: 100 * time.Millisecond})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakes{list: medlargw.HostList{Version: 3, Entries: []medlargw.EntryHost{{Name: "b", Zone: "z"}}}}
				a := New(zap.NewNop(), nil, medlargw.Settings{Zone: "z"}, f)
				a.sink, a.hinter, a.spreader, a.members = f, f, f, f
				a.read(t.Context())
				if got := f.listed(); got != 1 {
					t.Errorf("entries of a fresh list: got %d, want 1", got)
				}
				time.Sleep(2 * blindAfter)
				a.MembersChanged(nil)
				if got := f.listed(); got != 0 {
					t.Errorf("entries of an old list: got %d, want 0", got)
				}
				test.heal(a)
				if got := f.listed(); got != 1 {
					t.Errorf("entries after the outage: got %d, want 1", got)
				}
			})
		})
	}
}
