package lender

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// ratioOf returns the mean response of jobs divided by the ideal.
func ratioOf(jobs [][]*work) float64 {
	sum := 0.0
	for _, job := range jobs {
		var ended, longest time.Duration
		for _, w := range job {
			ended = max(ended, w.ended)
			longest = max(longest, w.run)
		}
		sum += float64(ended-job[0].arrived) / float64(longest)
	}
	return sum / float64(len(jobs))
}

// precedence runs the high class at the first entry against the low class at
// all, and returns the high class's ratio and the messages per task.
func precedence(t *testing.T, favour medlargw.Favour, entries int, seed uint64) (ratio, messages float64) {
	t.Helper()
	g := newGroup(t, seed, favour, entries, 8, 8, "detroit")
	g.setView()
	g.run(time.Second)
	g.calls = 0
	var jobs [][]*work
	for n := range 600 {
		for i := range 4 { // The same low load over all entries.
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
	calls := g.calls
	g.run(time.Minute)
	if g.busy > 0 {
		t.Errorf("refused starts: got %d, want 0", g.busy)
	}
	return ratioOf(jobs), 2 + float64(calls)/float64(tasks)
}

// TestPrecedenceReachesAcrossEntries compares the high class at one of several
// entries with one entry that owns all targets.
func TestPrecedenceReachesAcrossEntries(t *testing.T) {
	alone, _ := precedence(t, medlargw.FavourLatency, 1, 1)
	for _, favour := range []medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages} {
		for _, entries := range []int{2, 4} {
			ratio, messages := precedence(t, favour, entries, 1)
			t.Logf("%s, %d entries: ratio %.3f, alone %.3f, messages per task %.3f", favour, entries, ratio, alone, messages)
			if favour == medlargw.FavourLatency && ratio > 1.1*alone {
				t.Errorf("%d entries: got ratio %.3f, want at most 1.1 times %.3f", entries, ratio, alone)
			}
		}
	}
}

// TestReuseAfterDeath measures how soon the targets of a dead entry are used
// again, from the moment at which the others see it gone.
func TestReuseAfterDeath(t *testing.T) {
	for _, favour := range []medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages} {
		for _, heard := range []bool{true, false} {
			g := newGroup(t, 1, favour, 4, 2, 4, "detroit")
			g.targets = twoEach(g)
			g.setView()
			g.run(3 * time.Second)
			dead := g.entries[1]
			lost := map[medlargw.TargetName]bool{}
			for _, c := range dead.offered {
				lost[c.Target.Name] = true
			}
			for _, e := range g.entries {
				if e != dead {
					e.submit(400, 0, "ice", 200*time.Millisecond)
				}
			}
			g.run(3 * time.Second)
			dead.stop()
			g.run(3 * time.Second) // Until the others suspect it.
			if !heard {
				g.loss = 1 // No report arrives.
			}
			began := g.now
			g.setView()
			for reused := false; !reused; g.run(time.Millisecond) {
				for _, e := range g.entries {
					for name, n := range e.used {
						reused = reused || lost[name] && n > 0 && !e.dead && len(e.l.holdings[targetKey(name)]) == 0
					}
				}
				if g.now-began > 5*time.Second {
					t.Fatalf("%s: the targets of the dead entry were not used again", favour)
				}
			}
			t.Logf("%s, reports heard %t: %s", favour, heard, g.now-began)
			if want := 5 * time.Millisecond; heard && g.now-began > want {
				t.Errorf("%s: got %s until the reuse, want at most %s", favour, g.now-began, want)
			}
		}
	}
}

// TestLendingShortensResponse offers jobs of up to 39 tasks to four entries of
// eight targets, with and without loans.
func TestLendingShortensResponse(t *testing.T) {
	offer := func(favour medlargw.Favour, alone bool) (ratio, messages float64) {
		g := newGroup(t, 3, favour, 4, 2, 8, "detroit")
		g.targets = twoEach(g)
		for i := range g.targets {
			g.targets[i].Slots = 8
		}
		g.setView()
		g.run(3 * time.Second)
		if alone {
			g.cut = func(_, _ medlargw.HostName) bool { return true }
		}
		g.calls = 0
		var jobs [][]*work
		for g.now < 33*time.Second { // Some 60% of 64 slots.
			e := g.entries[g.random.IntN(4)]
			run := 100*time.Millisecond + time.Duration(g.random.IntN(200))*time.Millisecond
			jobs = append(jobs, e.submit(1+g.random.IntN(39), 0, "ice", run))
			g.run(time.Duration(g.random.ExpFloat64() * float64(104*time.Millisecond)))
		}
		calls, tasks := g.calls, len(g.ended)
		if alone {
			calls = 0
		}
		g.run(time.Minute)
		return ratioOf(jobs), 2 + float64(calls)/float64(tasks)
	}
	without, _ := offer(medlargw.FavourLatency, true)
	for _, favour := range []medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages} {
		with, messages := offer(favour, false)
		t.Logf("%s: ratio %.3f with loans, %.3f without; messages per task %.3f and 2", favour, with, without, messages)
		if with > 0.8*without {
			t.Errorf("%s: got ratio %.3f, want at most 0.8 times %.3f", favour, with, without)
		}
	}
}
