package lender

import (
	"flag"
	"os"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestMain fixes the seed of the property tests, unless the command names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "50")
	os.Exit(m.Run())
}

// faultCase is a fault that is injected into a group of entries under load, with
// the violations that it may cause.
type faultCase struct {
	name          string
	inject        func(g *simGroup)
	maxOveruse    int // Slots of a target beyond its capacity.
	refusedStarts int // Starts that targets refuse.
	teamOveruse   int // Running tasks of the team beyond its limit.
}

func (e *simEntry) crash() { e.crashed = true }

// pause suspends the entry for the given time, without a change to the views of
// the others.
func (e *simEntry) pause(d time.Duration) {
	e.paused = true
	e.g.after(d, func() {
		e.paused = false
		e.step()
	})
}

// partitionTime is how long the views of the entries differ.
// maxPartitionRefusals bounds the starts that are refused meanwhile: one per
// entry, target and refusal pause.
const (
	partitionTime        = 3 * time.Second
	maxPartitionRefusals = 3 * 6 * int(partitionTime/refusalPause)
)

// faultCases returns the faults that TestFaults injects under a steady load of
// three entries, each of which owns two targets of four slots, and a team with a
// limit of seven running tasks.
func faultCases() []faultCase {
	return []faultCase{
		{name: "no fault", inject: func(*simGroup) {}},
		{name: "every fifth message lost", inject: func(g *simGroup) { g.lossRate = 0.2 }},
		{name: "every reply of one lender lost", inject: func(g *simGroup) {
			g.isCut = func(from, _ medlargw.HostName) bool { return from == "detroit-0" }
		}},
		{name: "messages duplicated", inject: func(g *simGroup) { g.duplicationRate = 1 }},
		{name: "messages duplicated, late and out of order", inject: func(g *simGroup) { g.duplicationRate, g.maxDelay = 1, 1500*time.Millisecond }},
		{name: "messages later than a term and out of order", inject: func(g *simGroup) {
			g.maxDelay = 3 * time.Second
		}},
		{name: "clock rates apart by one in a hundred", inject: func(g *simGroup) {
			g.entries[0].clockRate, g.entries[1].clockRate = 1.005, 0.995
		}},
		{name: "clock rates apart and an entry cut off", inject: func(g *simGroup) {
			g.entries[0].clockRate, g.entries[1].clockRate = 1.005, 0.995
			g.isCut = func(from, to medlargw.HostName) bool { return from == "detroit-1" || to == "detroit-1" }
		}},
		{name: "an entry is paused for longer than a term and wakes", inject: func(g *simGroup) {
			g.entries[1].pause(5 * time.Second)
		}},
		{name: "an entry is paused, removed from the views, and resumes", inject: func(g *simGroup) {
			g.entries[1].pause(6 * time.Second)
			g.after(4*time.Second, func() { g.setViewWithout("detroit-1") })
			g.after(7*time.Second, func() { g.setViewWithout() })
		}},
		{name: "an entry crashes", inject: func(g *simGroup) {
			g.entries[1].crash()
			g.after(4*time.Second, func() { g.setView() })
		}},
		// The tasks of the crashed entry still run at the targets for a while.
		{name: "an entry crashes and is removed from the views at once", refusedStarts: 8, teamOveruse: 7, inject: func(g *simGroup) {
			g.entries[1].crash()
			g.setView()
		}},
		{name: "two entries own one target by their views", maxOveruse: 4, refusedStarts: maxPartitionRefusals, teamOveruse: 7, inject: func(g *simGroup) {
			g.isCut = func(from, to medlargw.HostName) bool { return from == "detroit-1" || to == "detroit-1" }
			g.setView()
			g.after(partitionTime, func() {
				g.isCut = nil
				g.setView()
			})
		}},
		{name: "half of the targets are removed", inject: func(g *simGroup) {
			g.targets = g.targets[:3]
			g.setView()
		}},
	}
}

// setViewWithout gives all entries a view of the group without the named entries.
func (g *simGroup) setViewWithout(gone ...medlargw.HostName) {
	cut := g.isCut
	g.isCut = func(_, to medlargw.HostName) bool {
		for _, host := range gone {
			if to == host {
				return true
			}
		}
		return false
	}
	g.setView()
	g.isCut = cut
}

func TestFaults(t *testing.T) {
	for _, favour := range []medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages} {
		for _, tc := range faultCases() {
			t.Run(string(favour)+"/"+tc.name, func(t *testing.T) { runFaultCase(t, favour, tc) })
		}
	}
}

func runFaultCase(t *testing.T, favour medlargw.Favour, tc faultCase) {
	g := newSimGroup(t, 7, favour, 3, 2, 4, "detroit")
	g.targets = twoTargetsPerEntry(g)
	g.cfg.Teams = []medlargw.Team{{Name: "ice", Limit: medlargw.Limit{Running: 7}}}
	g.setView()
	g.run(3 * time.Second)
	load := func(d time.Duration) {
		for end := g.now + d; g.now < end; g.run(50 * time.Millisecond) {
			e := g.entries[g.random.IntN(len(g.entries))]
			if e.crashed {
				continue
			}
			team := []medlargw.TeamName{"desk", "ice"}[g.random.IntN(2)]
			e.submit(1+g.random.IntN(8), g.random.IntN(3), team, 100*time.Millisecond+time.Duration(g.random.IntN(200))*time.Millisecond)
		}
	}
	load(3 * time.Second)
	tc.inject(g)
	load(10 * time.Second)
	if g.maxOveruse > tc.maxOveruse {
		t.Errorf("slots beyond a target's capacity: got %d, want at most %d", g.maxOveruse, tc.maxOveruse)
	}
	if g.refusedStarts > tc.refusedStarts {
		t.Errorf("refused starts: got %d, want at most %d", g.refusedStarts, tc.refusedStarts)
	}
	if g.maxTeamOveruse > tc.teamOveruse {
		t.Errorf("running tasks of a team beyond its limit: got %d, want at most %d", g.maxTeamOveruse, tc.teamOveruse)
	}
	g.maxOveruse, g.refusedStarts, g.maxTeamOveruse, g.lossRate, g.isCut, g.maxDelay = 0, 0, 0, 0, nil, time.Millisecond
	g.setView()
	g.run(4 * time.Second)
	g.maxOveruse, g.refusedStarts, g.maxTeamOveruse = 0, 0, 0
	load(3 * time.Second)
	g.run(time.Minute)
	if g.maxOveruse > 0 || g.refusedStarts > 0 || g.maxTeamOveruse > 0 {
		t.Errorf("after the fault: got %d slots over capacity, %d refused starts and %d units over the limit, want none", g.maxOveruse, g.refusedStarts, g.maxTeamOveruse)
	}
	for _, e := range g.entries {
		if n := e.waitingTasks(); n > 0 && !e.crashed {
			t.Errorf("%s: got %d tasks waiting at the end, want 0", e.peer.Host, n)
		}
		if lent, held := e.l.Status(); len(lent)+len(held) > 0 && !e.crashed {
			t.Errorf("%s: got lent %v and held %v at the end, want none", e.peer.Host, lent, held)
		}
	}
}

// twoTargetsPerEntry returns targets of which each entry owns two.
func twoTargetsPerEntry(g *simGroup) []medlargw.Target {
	owned := map[medlargw.HostName]int{}
	var all []medlargw.Target
	for n := 0; len(all) < 2*len(g.entries); n++ {
		t := medlargw.Target{Name: medlargw.TargetName("target-" + string(rune('a'+n))), Zone: g.entries[0].peer.Zone, Slots: 4}
		probe := New(&medlargw.Settings{Host: "none", Zone: t.Zone}, 1)
		view := medlargw.Group{Targets: []medlargw.Target{t}}
		for _, e := range g.entries {
			view.Entries = append(view.Entries, e.peer)
		}
		probe.SetGroup(epoch, &view)
		owner := probe.owners[targetKey(t.Name)]
		if owned[owner] < 2 {
			owned[owner]++
			all = append(all, t)
		}
	}
	return all
}
