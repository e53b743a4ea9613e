package lender

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// meanSlowdown returns the mean over the jobs of the response time divided by
// the ideal one, the run time of the job's longest task.
func meanSlowdown(jobs [][]*simTask) float64 {
	sum := 0.0
	for _, job := range jobs {
		var ended, longest time.Duration
		for _, w := range job {
			ended = max(ended, w.ended)
			longest = max(longest, w.runTime)
		}
		sum += float64(ended-job[0].arrived) / float64(longest)
	}
	return sum / float64(len(jobs))
}

// measurePrecedence runs jobs of the highest class at the first entry against a
// load of the lowest class at all entries, and returns the slowdown of the
// highest class and the messages per task.
func measurePrecedence(t *testing.T, favour medlargw.Favour, entries int, seed uint64) (slowdown, messages float64) {
	t.Helper()
	g := newSimGroup(t, seed, favour, entries, 8, 8, "detroit")
	g.setView()
	g.run(time.Second)
	g.messages = 0
	var jobs [][]*simTask
	for n := range 600 {
		for i := range 4 { // The same total low-class load for any number of entries.
			e := g.entries[i%entries]
			if len(e.waiting[2]) < 100 {
				e.submit(8, 2, "ice", 100*time.Millisecond+time.Duration(g.random.IntN(200))*time.Millisecond)
			}
		}
		if n > 60 && n%5 == 0 {
			size := 8 + g.random.IntN(16)
			run := 150*time.Millisecond + time.Duration(g.random.IntN(100))*time.Millisecond
			jobs = append(jobs, g.entries[0].submit(size, 0, "desk", run))
		}
		g.run(40 * time.Millisecond)
	}
	tasks := len(g.ended)
	calls := g.messages
	g.run(time.Minute)
	if g.refusedStarts > 0 {
		t.Errorf("refused starts: got %d, want 0", g.refusedStarts)
	}
	return meanSlowdown(jobs), 2 + float64(calls)/float64(tasks)
}

// TestPrecedenceReachesAcrossEntries compares the slowdown of the highest class
// at one of several entries with that at a single entry that owns all targets.
func TestPrecedenceReachesAcrossEntries(t *testing.T) {
	alone, _ := measurePrecedence(t, medlargw.FavourLatency, 1, 1)
	for _, favour := range []medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages} {
		for _, entries := range []int{2, 4} {
			slowdown, messages := measurePrecedence(t, favour, entries, 1)
			t.Logf("%s, %d entries: slowdown %.3f, alone %.3f, messages per task %.3f", favour, entries, slowdown, alone, messages)
			if favour == medlargw.FavourLatency && slowdown > 1.1*alone {
				t.Errorf("%d entries: got slowdown %.3f, want at most 1.1 times %.3f", entries, slowdown, alone)
			}
		}
	}
}

// TestReuseAfterCrash measures how soon the targets of a crashed entry are used
// again after the other entries remove it from their views.
func TestReuseAfterCrash(t *testing.T) {
	for _, favour := range []medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages} {
		for _, reportsArrive := range []bool{true, false} {
			g := newSimGroup(t, 1, favour, 4, 2, 4, "detroit")
			g.targets = twoTargetsPerEntry(g)
			g.setView()
			g.run(3 * time.Second)
			crashed := g.entries[1]
			ownedByCrashed := map[medlargw.TargetName]bool{}
			for _, c := range crashed.allocations {
				ownedByCrashed[c.Target.Name] = true
			}
			for _, e := range g.entries {
				if e != crashed {
					e.submit(400, 0, "ice", 200*time.Millisecond)
				}
			}
			g.run(3 * time.Second)
			crashed.crash()
			g.run(3 * time.Second) // Until the others suspect it.
			if !reportsArrive {
				g.lossRate = 1 // No report arrives.
			}
			crashSeenAt := g.now
			g.setView()
			for reused := false; !reused; g.run(time.Millisecond) {
				for _, e := range g.entries {
					for name, n := range e.used {
						reused = reused || ownedByCrashed[name] && n > 0 && !e.crashed && len(e.l.heldLoans[targetKey(name)]) == 0
					}
				}
				if g.now-crashSeenAt > 5*time.Second {
					t.Fatalf("%s: the targets of the crashed entry were not used again", favour)
				}
			}
			t.Logf("%s, reports heard %t: %s", favour, reportsArrive, g.now-crashSeenAt)
			if want := 5 * time.Millisecond; reportsArrive && g.now-crashSeenAt > want {
				t.Errorf("%s: got %s until the reuse, want at most %s", favour, g.now-crashSeenAt, want)
			}
		}
	}
}

// TestLendingShortensResponse compares the slowdown of jobs of up to 39 tasks at
// four entries with eight targets, with and without loans.
func TestLendingShortensResponse(t *testing.T) {
	measure := func(favour medlargw.Favour, withoutLoans bool) (slowdown, messages float64) {
		g := newSimGroup(t, 3, favour, 4, 2, 8, "detroit")
		g.targets = twoTargetsPerEntry(g)
		for i := range g.targets {
			g.targets[i].Slots = 8
		}
		g.setView()
		g.run(3 * time.Second)
		if withoutLoans {
			g.isCut = func(_, _ medlargw.HostName) bool { return true }
		}
		g.messages = 0
		var jobs [][]*simTask
		for g.now < 33*time.Second { // A load of about 60% of 64 slots.
			e := g.entries[g.random.IntN(4)]
			run := 100*time.Millisecond + time.Duration(g.random.IntN(200))*time.Millisecond
			jobs = append(jobs, e.submit(1+g.random.IntN(39), 0, "ice", run))
			g.run(time.Duration(g.random.ExpFloat64() * float64(104*time.Millisecond)))
		}
		calls, tasks := g.messages, len(g.ended)
		if withoutLoans {
			calls = 0
		}
		g.run(time.Minute)
		return meanSlowdown(jobs), 2 + float64(calls)/float64(tasks)
	}
	without, _ := measure(medlargw.FavourLatency, true)
	for _, favour := range []medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages} {
		with, messages := measure(favour, false)
		t.Logf("%s: slowdown %.3f with loans, %.3f without; messages per task %.3f and 2", favour, with, without, messages)
		if with > 0.8*without {
			t.Errorf("%s: got slowdown %.3f, want at most 0.8 times %.3f", favour, with, without)
		}
	}
}
