package assigner

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/hedger"
)

// fakes implements the components that an assigner uses.
type fakes struct {
	list   medlargw.HostList
	groups []medlargw.Group
}

func (f *fakes) Hosts(context.Context) (medlargw.HostList, error) { return f.list, nil }
func (f *fakes) SetGroup(g medlargw.Group)                        { f.groups = append(f.groups, g) }
func (*fakes) SetListedAddrs([]netip.AddrPort)                    {}
func (*fakes) GossipNow()                                         {}
func (*fakes) Self() medlargw.Member {
	return medlargw.Member{Host: "a", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.2:7720"), Incarnation: 1}
}

func (f *fakes) Members() []medlargw.Member { return []medlargw.Member{f.Self()} }

// newTestAssigner returns an assigner of an entry in zone z that uses the fakes.
func newTestAssigner(f *fakes) *Assigner {
	a := New(zap.NewNop(), nil, medlargw.Settings{Zone: "z"}, f, hedger.New(zap.NewNop(), metrics.NewRegistry()))
	a.groupSetter, a.listedAddrSetter, a.gossiper, a.members = f, f, f, f
	return a
}

// listedEntries returns the number of listed entries in the last group.
func (f *fakes) listedEntries() int { return len(f.groups[len(f.groups)-1].ListedEntries) }

// TestGroupAfterAStart reads lists that tell of a former process of this host, and lists
// of peers, which don't. What was read once about the recent entries must stay.
func TestGroupAfterAStart(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.2:7720")
	elsewhere := netip.MustParseAddrPort("10.0.0.9:7720")
	tests := []struct {
		name  string
		entry medlargw.EntryHost
		want  bool
	}{
		{"former process", medlargw.EntryHost{Name: "a", Zone: "z", Addr: addr, Incarnation: 7}, true},
		{"this process", medlargw.EntryHost{Name: "a", Zone: "z", Addr: addr, Incarnation: 1}, false},
		{"process of an older build", medlargw.EntryHost{Name: "a", Zone: "z", Addr: addr}, false},
		{"host of the same name at another address", medlargw.EntryHost{Name: "a", Zone: "z", Addr: elsewhere, Incarnation: 7}, false},
		{"another host", medlargw.EntryHost{Name: "b", Zone: "z", Addr: addr, Incarnation: 7}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			recent := []medlargw.EntryHost{{Name: "a", Zone: "z", Addr: addr}, {Name: "b", Zone: "z", Addr: elsewhere}}
			f := &fakes{list: medlargw.HostList{Version: 3, Entries: []medlargw.EntryHost{test.entry}, Recent: recent}}
			a := newTestAssigner(f)
			a.readList(t.Context())
			if got := f.groups[0].HasFormerEnrolment; got != test.want {
				t.Errorf("former enrolment: got %v, want %v", got, test.want)
			}
			a.applyList(&medlargw.HostList{Version: 4})
			if got := len(f.groups[len(f.groups)-1].RecentEntries); got != len(recent) {
				t.Errorf("recent entries after a list of a peer: got %d, want %d", got, len(recent))
			}
		})
	}
}

// TestListedAfterAnOutage asserts that the listed entries count again as soon
// as the platform answers, even if its list is the same as before the outage: a
// list with an unchanged version is not applied, so that the read itself must
// update the group.
func TestListedAfterAnOutage(t *testing.T) {
	tests := []struct {
		name string
		heal func(ctx context.Context, a *Assigner)
	}{
		{"read here", func(ctx context.Context, a *Assigner) { a.readList(ctx) }},
		{"read by a peer", func(_ context.Context, a *Assigner) {
			a.HeartbeatReceived(medlargw.Member{Zone: "z"}, medlargw.Digest{HostsVersion: 3, HostsAge: 100 * time.Millisecond})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakes{list: medlargw.HostList{Version: 3, Entries: []medlargw.EntryHost{{Name: "b", Zone: "z"}}}}
				a := newTestAssigner(f)
				a.readList(t.Context())
				if got := f.listedEntries(); got != 1 {
					t.Errorf("entries of a fresh list: got %d, want 1", got)
				}
				time.Sleep(2 * staleAfter)
				a.MembersChanged(nil)
				if got := f.listedEntries(); got != 0 {
					t.Errorf("entries of an old list: got %d, want 0", got)
				}
				test.heal(t.Context(), a)
				if got := f.listedEntries(); got != 1 {
					t.Errorf("entries after the outage: got %d, want 1", got)
				}
			})
		})
	}
}
