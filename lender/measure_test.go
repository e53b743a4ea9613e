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
