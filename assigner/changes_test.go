package assigner

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// listOf returns a list of that version with the given number of targets, of
// which the first ones are draining.
func listOf(version uint64, targets, draining int) medlargw.HostList {
	l := medlargw.HostList{Version: version, TakenAt: time.Unix(1, 0)}
	for i := range targets {
		l.Targets = append(l.Targets, medlargw.Target{
			Name: medlargw.TargetName(fmt.Sprintf("i-%010x", i*7919)), Zone: "detroit", Pool: "spec-desk", Draining: i < draining,
			Addr:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8482),
			Resources: medlargw.Resources{Cores: 32000, Memory: 65536}, IncarnationStart: time.Unix(1700000000+int64(i), 0),
		})
	}
	return l
}

// newAssigner returns an assigner that uses the list.
func newAssigner(list medlargw.HostList) *Assigner {
	a := newTestAssigner(&fakes{})
	a.applyList(&list)
	return a
}

// TestFetchOfAChangedList fetches the list of 1,100 targets of which some have
// changed. The reply must lead to the sender's list, and its size must depend on
// the changes, not on the list.
func TestFetchOfAChangedList(t *testing.T) {
	const targets, maxBytesPerChange = 1100, 250
	history := medlargw.HostHistory{Since: 5, Targets: map[medlargw.TargetName]uint64{}}
	after := listOf(9, targets, 3)
	for i := range 3 {
		history.Targets[after.Targets[i].Name] = 9
	}
	after.History = history
	tests := []struct {
		name     string
		protocol int
		version  uint64 // Of the receiver's list.
		maxBytes int
	}{
		{"three changes", medlargw.ProtocolChanges, 7, 3 * maxBytesPerChange},
		{"changes not known", medlargw.ProtocolChanges, 4, targets * maxBytesPerChange},
		{"older build", 0, 7, targets * maxBytesPerChange},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sender, receiver := newAssigner(after), newAssigner(listOf(test.version, targets, 0))
			reply, err := sender.HandleFetch(t.Context(), medlargw.FetchRequest{Version: test.version, Protocol: test.protocol})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d bytes", len(reply.Body))
			if len(reply.Body) > test.maxBytes {
				t.Errorf("size: got %d bytes, want at most %d", len(reply.Body), test.maxBytes)
			}
			if changed, err := receiver.applyReply(&reply); err != nil || !changed {
				t.Fatalf("apply: got %v, %v, want a newer list", changed, err)
			}
			got := receiver.list.Load()
			if got.Version != 9 || len(got.Targets) != targets {
				t.Errorf("list: got version %d with %d targets, want 9 with %d", got.Version, len(got.Targets), targets)
			}
			for i := range got.Targets {
				if got.Targets[i].Draining != after.Targets[i].Draining {
					t.Errorf("target %d: got draining %v, want %v", i, got.Targets[i].Draining, after.Targets[i].Draining)
				}
			}
		})
	}
}

// TestEvacuatedZonesReachPeers sends a list to a peer that knows zone a as
// evacuated. A list of an older build does not tell the evacuated zones: the peer
// keeps those that it knows, until it gets that version from a build that does.
func TestEvacuatedZonesReachPeers(t *testing.T) {
	type zones = []medlargw.ZoneName
	tests := []struct {
		name     string
		sent     zones
		protocol int
		older    bool // The sender is of an older build.
		want     zones
	}{
		{"changes, evacuated", zones{"a", "b"}, medlargw.ProtocolChanges, false, zones{"a", "b"}},
		{"changes, taken back", zones{}, medlargw.ProtocolChanges, false, zones{}},
		{"whole list, evacuated", zones{"a", "b"}, 0, false, zones{"a", "b"}},
		{"whole list, taken back", zones{}, 0, false, zones{}},
		{"changes of an older build", nil, medlargw.ProtocolChanges, true, zones{"a"}},
		{"whole list of an older build", nil, 0, true, zones{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			after, before := listOf(9, 4, 1), listOf(7, 4, 0)
			after.Evacuated, before.Evacuated = test.sent, zones{"a"}
			after.History = medlargw.HostHistory{Since: 5, Targets: map[medlargw.TargetName]uint64{after.Targets[0].Name: 9}}
			sender, receiver := newAssigner(after), newAssigner(before)
			reply, err := sender.HandleFetch(t.Context(), medlargw.FetchRequest{Version: 7, Protocol: test.protocol})
			if err != nil {
				t.Fatal(err)
			}
			if test.older {
				reply.Body = bytes.Replace(reply.Body, []byte(`"evacuated":null,`), nil, 1)
			}
			if changed, err := receiver.applyReply(&reply); err != nil || !changed {
				t.Fatalf("apply: got %v, %v, want a newer list", changed, err)
			}
			if got := receiver.lastGroup(t).Evacuated; !slices.Equal(got, test.want) {
				t.Errorf("evacuated zones: got %v, want %v", got, test.want)
			}
			read := after
			read.Evacuated = zones{"c"}
			if got := receiver.applyList(&read); got != test.older {
				t.Errorf("the same version read from the platform: got applied %v, want %v", got, test.older)
			}
			if got := receiver.lastGroup(t).Evacuated; test.older && !slices.Equal(got, read.Evacuated) {
				t.Errorf("evacuated zones read from the platform: got %v, want %v", got, read.Evacuated)
			}
		})
	}
}

// lastGroup returns the group that the dispatcher was last given.
func (a *Assigner) lastGroup(t *testing.T) medlargw.Group {
	t.Helper()
	f, ok := a.groupSetter.(*fakes)
	if !ok || len(f.groups) == 0 {
		t.Fatal("got no group, want one")
	}
	return f.groups[len(f.groups)-1]
}
