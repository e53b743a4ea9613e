package lender

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

func TestBurstUsesPeersTargets(t *testing.T) {
	g := newSimGroup(t, 1, medlargw.FavourLatency, 2, 4, 8, "detroit")
	g.setView()
	g.run(time.Second)
	g.entries[0].submit(32, 0, "ice", 200*time.Millisecond)
	g.run(250 * time.Millisecond)
	if got, want := len(g.ended), 32; got != want {
		t.Errorf("tasks ended in one run time: got %d, want %d", got, want)
	}
	if g.refusedStarts > 0 || g.maxOveruse > 0 {
		t.Errorf("got %d refused starts and %d slots over capacity, want none", g.refusedStarts, g.maxOveruse)
	}
	if g.messages > 20 {
		t.Errorf("messages: got %d, want at most 20", g.messages)
	}
	t.Logf("messages %d", g.messages)
}

func TestZoneWithoutTargetsBorrowsFromAnother(t *testing.T) {
	g := newSimGroup(t, 1, medlargw.FavourLatency, 2, 4, 8, "detroit", "cleveland")
	g.targets = g.targets[:4] // All in Detroit.
	g.setView()
	g.run(time.Second)
	g.entries[3].submit(16, 0, "ice", 200*time.Millisecond)
	g.run(300 * time.Millisecond)
	if got, want := len(g.ended), 16; got != want {
		t.Errorf("tasks ended: got %d, want %d", got, want)
	}
}

func TestBusyZoneBorrowsFromAnother(t *testing.T) {
	g := newSimGroup(t, 1, medlargw.FavourLatency, 2, 2, 4, "detroit", "cleveland")
	g.setView()
	g.run(time.Second)
	g.entries[0].submit(200, 0, "ice", 200*time.Millisecond)
	g.run(400 * time.Millisecond)
	atHome := len(g.ended)
	for _, e := range g.entries[2:] {
		g.entries[0].l.SetDigest(g.entries[0].clock(), e.peer.Host, medlargw.Digest{FreeSlots: 8})
	}
	g.entries[0].l.SetDigest(g.entries[0].clock(), g.entries[1].peer.Host, medlargw.Digest{})
	g.run(2 * time.Second)
	if got, least := len(g.ended)-atHome, 100; got < least {
		t.Errorf("tasks ended in 2 s: got %d, want at least %d with 8 slots at home and 8 away", got, least)
	}
}

func TestTeamWithFewerUnitsThanZonesRunsInEach(t *testing.T) {
	g := newSimGroup(t, 1, medlargw.FavourLatency, 2, 2, 4, "detroit", "cleveland", "buffalo")
	g.cfg.Teams = []medlargw.Team{{Name: "ice", Limit: medlargw.Limit{Running: 2}}}
	g.setView()
	g.run(4 * time.Second)
	for _, e := range g.entries {
		e.submit(2, 0, "ice", 100*time.Millisecond)
	}
	g.run(20 * time.Second)
	if got, want := len(g.ended), 2*len(g.entries); got != want {
		t.Errorf("tasks ended: got %d, want %d", got, want)
	}
	if g.maxTeamOveruse > 0 {
		t.Errorf("tasks beyond the limit: got %d, want 0", g.maxTeamOveruse)
	}
}

// TestNewOwnerKeepsTeamLimit checks that the team's limit holds when the owner
// of its units crashes while others hold loans of them.
func TestNewOwnerKeepsTeamLimit(t *testing.T) {
	g := newSimGroup(t, 1, medlargw.FavourLatency, 4, 4, 8, "detroit")
	g.cfg.Teams = []medlargw.Team{{Name: "ice", Limit: medlargw.Limit{Running: 9}}}
	g.setView()
	g.run(time.Second)
	owner := g.entryOn(g.entries[0].l.owners[teamKey("ice")])
	for _, e := range g.entries {
		if e != owner {
			e.submit(400, 0, "ice", 100*time.Millisecond)
		}
	}
	g.run(2 * time.Second)
	before := len(g.ended)
	owner.crash()
	g.setView()
	g.run(4 * time.Second)
	if g.maxTeamOveruse > 0 {
		t.Errorf("tasks beyond the limit: got %d, want 0", g.maxTeamOveruse)
	}
	// Nine units at a tenth of a second each are 90 tasks a second.
	if got, least := len(g.ended)-before, 300; got < least {
		t.Errorf("tasks ended in the 4 s after: got %d, want at least %d", got, least)
	}
}
