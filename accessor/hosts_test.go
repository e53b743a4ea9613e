package accessor_test

import (
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
