package isolator_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/isolator"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func targets(zone string, n int) []medlargw.Target {
	var all []medlargw.Target
	for i := range n {
		all = append(all, medlargw.Target{
			Name: medlargw.TargetName(fmt.Sprintf("%s-%d", zone, i)), Zone: medlargw.ZoneName(zone), Pool: "pool",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, zone[0], 0, byte(i)}), 80),
		})
	}
	return all
}

func isolated(s *isolator.Isolator, all []medlargw.Target) []medlargw.TargetName {
	var names []medlargw.TargetName
	for _, t := range all {
		if s.IsIsolated(t.Addr) {
			names = append(names, t.Name)
		}
	}
	return names
}

// TestShareOfTargets asserts that a third of the targets of each zone is set apart,
// and none where there are too few.
func TestShareOfTargets(t *testing.T) {
	tests := []struct{ targets, want int }{{0, 0}, {1, 0}, {2, 0}, {3, 1}, {7, 2}, {8, 2}, {16, 5}, {100, 33}}
	for _, test := range tests {
		var s isolator.Isolator
		a, b := targets("a", test.targets), targets("b", 16)
		s.Update(start, append(a, b...))
		if got := len(isolated(&s, a)); got != test.want {
			t.Errorf("isolated of %d targets: got %d, want %d", test.targets, got, test.want)
		}
		if got, want := len(isolated(&s, b)), 5; got != want {
			t.Errorf("isolated of the other zone: got %d, want %d", got, want)
		}
	}
}

// TestCrashedTargetsKeepTheirPlaces guards against a bulkhead that spreads: while
// isolated targets are down no others take their places, and they are isolated
// again when they are back under other names.
func TestCrashedTargetsKeepTheirPlaces(t *testing.T) {
	var s isolator.Isolator
	all := targets("a", 16)
	s.Update(start, all)
	var up []medlargw.Target
	for _, target := range all {
		if !s.IsIsolated(target.Addr) {
			up = append(up, target)
		}
	}
	s.Update(start.Add(5*time.Second), up)
	if got := isolated(&s, up); len(got) > 0 {
		t.Errorf("isolated while those are down: got %v, want none", got)
	}
	for i := range all {
		all[i].Name += "-again"
	}
	s.Update(start.Add(10*time.Second), all)
	if got, want := len(isolated(&s, all)), 5; got != want {
		t.Errorf("isolated after their return: got %d, want %d", got, want)
	}
	s.Update(start.Add(time.Minute), up)
	if got, want := len(isolated(&s, up)), 3; got != want {
		t.Errorf("isolated after the others are gone for good: got %d, want %d", got, want)
	}
}
