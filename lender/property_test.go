package lender

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlargw.example/medlargw"
)

// TestAllocationsNeverExceedSlots runs random loads under message loss, delay,
// duplication and reordering, and with differing clock rates. While all views
// agree, the allocations and use of a target never exceed its slots, the running
// tasks of a team never exceed its limit, and at the end nothing is lent or held.
func TestAllocationsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		favour := rapid.SampledFrom([]medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages}).Draw(t, "favour")
		g := newSimGroup(t, rapid.Uint64().Draw(t, "seed"), favour, rapid.IntRange(2, 5).Draw(t, "entries"), 3, 4, "detroit")
		g.cfg.Teams = []medlargw.Team{{Name: "ice", Limit: medlargw.Limit{Running: 5}}}
		g.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "loss")
		g.duplicationRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
		g.maxDelay = time.Duration(rapid.SampledFrom([]int{1, 50, 800}).Draw(t, "delay")) * time.Millisecond
		for i, e := range g.entries {
			e.clockRate = []float64{1, 1.01, 0.99}[i%3]
		}
		g.setView()
		for range rapid.IntRange(1, 30).Draw(t, "bursts") {
			e := g.entries[rapid.IntRange(0, len(g.entries)-1).Draw(t, "entry")]
			team := rapid.SampledFrom([]medlargw.TeamName{"desk", "ice"}).Draw(t, "team")
			run := time.Duration(rapid.IntRange(1, 600).Draw(t, "run")) * time.Millisecond
			e.submit(rapid.IntRange(1, 20).Draw(t, "tasks"), rapid.IntRange(0, 2).Draw(t, "rank"), team, run)
			g.run(time.Duration(rapid.IntRange(1, 900).Draw(t, "wait")) * time.Millisecond)
		}
		g.lossRate = 0
		g.run(time.Minute)
		if g.maxOveruse > 0 || g.refusedStarts > 0 {
			t.Fatalf("got %d slots over capacity and %d refused starts, want none", g.maxOveruse, g.refusedStarts)
		}
		if g.maxTeamOveruse > 0 {
			t.Fatalf("got %d units over the limit, want none", g.maxTeamOveruse)
		}
		for _, e := range g.entries {
			lent, held := e.l.Status()
			if waiting := e.waitingTasks(); len(lent)+len(held)+waiting > 0 {
				t.Fatalf("%s at the end: lent %v, held %v, %d tasks wait, want none", e.peer.Host, lent, held, waiting)
			}
		}
	})
}
