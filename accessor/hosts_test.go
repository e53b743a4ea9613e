package accessor_test

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
)

// TestTimesOfTargetsTravel asserts that the times of a target keep their distance
// from now when a list is sent, and that a list of an older build has none.
func TestTimesOfTargetsTravel(t *testing.T) {
	now := time.Now()
	list := medlargw.HostList{Version: 1, Targets: []medlargw.Target{
		{Name: "a"}, {Name: "b", ColdUntil: now.Add(4 * time.Second), LeavesAt: now.Add(2 * time.Second)}, {Name: "c", ColdUntil: now.Add(-time.Hour), LeavesAt: now.Add(-time.Hour)},
	}}
	for i := range list.Targets {
		list.Targets[i].Addr = netip.MustParseAddrPort("10.0.0.1:80")
	}
	body, err := accessor.EncodeHosts(&list)
	if err != nil {
		t.Fatal(err)
	}
	got, err := accessor.DecodeHosts(body)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range list.Targets {
		target := &got.Targets[i]
		if target.ColdUntil.IsZero() != want.ColdUntil.IsZero() || target.LeavesAt.IsZero() != want.LeavesAt.IsZero() {
			t.Errorf("target %s: got cold until %v and leaving at %v, want %v and %v", want.Name, target.ColdUntil, target.LeavesAt, want.ColdUntil, want.LeavesAt)
		}
	}
	b, c := &got.Targets[1], &got.Targets[2]
	if left := time.Until(b.ColdUntil); left < 3*time.Second || left > 4*time.Second {
		t.Errorf("cold for: got %v, want about 4 s", left)
	}
	if left := time.Until(c.LeavesAt); left > time.Second {
		t.Errorf("time left of a target that was to leave an hour ago: got %v, want none", left)
	}
}

// TestUnusableTargetsOfPeers guards against a target in the list of a peer, of an older
// build maybe, which states more than any machine has, or no address. The sums of all
// resources would wrap. Among changes, it must not stay as it was before either.
func TestUnusableTargetsOfPeers(t *testing.T) {
	good := func(name string) medlargw.Target {
		return medlargw.Target{
			Name: medlargw.TargetName(name), Zone: "z", Pool: "p", Addr: netip.MustParseAddrPort("10.0.0.1:80"),
			Resources: medlargw.Resources{Cores: 32000, Memory: 1000}, IncarnationStart: time.UnixMilli(1700000000000),
		}
	}
	tests := []struct {
		name string
		odd  func(t *medlargw.Target)
	}{
		{"cores", func(t *medlargw.Target) { t.Resources.Cores = math.MaxInt64 }},
		{"cores below zero", func(t *medlargw.Target) { t.Resources.Cores = -1 }},
		{"memory", func(t *medlargw.Target) { t.Resources.Memory = math.MaxInt64 }},
		{"accelerators", func(t *medlargw.Target) { t.Resources.Accelerators = math.MaxInt64 }},
		{"slots", func(t *medlargw.Target) { t.Slots = math.MaxInt64 }},
		{"slots below zero", func(t *medlargw.Target) { t.Slots = -1 }},
		{"largest task below zero", func(t *medlargw.Target) { t.Memory = -1 }},
		{"start", func(t *medlargw.Target) { t.IncarnationStart = time.UnixMilli(math.MaxInt64) }},
		{"start before 1970", func(t *medlargw.Target) { t.IncarnationStart = time.UnixMilli(-1) }},
		{"port", func(t *medlargw.Target) { t.Addr = netip.MustParseAddrPort("10.0.0.1:0") }},
		{"no address", func(t *medlargw.Target) { t.Addr = netip.AddrPort{} }},
		{"unspecified address", func(t *medlargw.Target) { t.Addr = netip.MustParseAddrPort("0.0.0.0:80") }},
		{"long pool", func(t *medlargw.Target) { t.Pool = medlargw.PoolName(strings.Repeat("p", 1<<20)) }},
		{"control character", func(t *medlargw.Target) { t.Name = "a\n" }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			odd := good("odd")
			test.odd(&odd)
			targets := []medlargw.Target{good("a"), odd, good("z")}
			entries := []medlargw.EntryHost{
				{Name: "e", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.2:1")},
				{Name: "odd", Zone: "z", Addr: netip.MustParseAddrPort("0.0.0.0:1")},
				{Name: "for operators", Zone: "z", AdminAddr: netip.MustParseAddrPort("10.0.0.3:1")},
				{Name: "without", Zone: "z"},
			}
			check := func(kind string, targets []medlargw.Target, entries []medlargw.EntryHost) {
				t.Helper()
				if len(targets) != 2 || targets[0].Name != "a" || targets[1].Name != "z" {
					t.Errorf("%s: targets: got %.200v, want a and z", kind, targets)
				}
				if len(entries) != 2 || entries[0].Name != "e" || entries[1].Name != "for operators" {
					t.Errorf("%s: entries: got %v, want e and the one for operators", kind, entries)
				}
			}
			body, err := accessor.EncodeHosts(&medlargw.HostList{Version: 8, Targets: targets, Entries: entries})
			if err != nil {
				t.Fatal(err)
			}
			list, err := accessor.DecodeHosts(body)
			if err != nil {
				t.Fatal(err)
			}
			check("list", list.Targets, list.Entries)
			body, err = accessor.EncodeChanges(&medlargw.HostListChanges{Base: 7, Version: 8, Targets: targets, Entries: entries})
			if err != nil {
				t.Fatal(err)
			}
			c, err := accessor.DecodeChanges(body)
			if err != nil {
				t.Fatal(err)
			}
			check("changes", c.Targets, c.Entries)
			if !slices.Equal(c.RemovedTargets, []medlargw.TargetName{odd.Name}) || !slices.Equal(c.RemovedEntries, []medlargw.HostName{"odd", "without"}) {
				t.Errorf("changes: removed: got targets %q, entries %q, want the odd ones", c.RemovedTargets, c.RemovedEntries)
			}
		})
	}
}

// TestLongTimesOfPeers guards against a time left in the list of a peer that is longer
// than a duration can be, and so over.
func TestLongTimesOfPeers(t *testing.T) {
	const body = `{"targets":[{"name":"a","addr":"10.0.0.1:80","cold":9223372036854775807,"leaves":9223372036854775807}]}`
	list, err := accessor.DecodeHosts([]byte(body))
	if err != nil || len(list.Targets) != 1 {
		t.Fatalf("got %v, %v, want one target", list.Targets, err)
	}
	if got := &list.Targets[0]; time.Until(got.ColdUntil) < time.Hour || time.Until(got.LeavesAt) < time.Hour {
		t.Errorf("got cold until %v, leaving at %v, want a time in the future", got.ColdUntil, got.LeavesAt)
	}
}
