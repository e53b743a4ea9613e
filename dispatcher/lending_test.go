package dispatcher

import (
	"math"
	"runtime"
	"testing"

	"medlargw.example/medlargw"
)

// TestRunningAttemptsOfLargeRanks guards against memory that grows with the number of a
// rank.
func TestRunningAttemptsOfLargeRanks(t *testing.T) {
	const (
		dispatchers = 20      // The Go runtime may start a thread meanwhile, whose 5 KB count as well.
		want        = 4 << 10 // Bytes, the mean of all dispatchers.
	)
	for _, rank := range []int{3, 10_000_000, math.MaxInt} {
		var all []*lending
		for range dispatchers {
			d := &Dispatcher{}
			d.UseLender(nil, nil, &medlargw.Settings{})
			d.lending.rankByClass["batch"] = rank
			all = append(all, d.lending)
		}
		job := &medlargw.Job{Class: "batch"}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for _, l := range all {
			l.recordStart(&medlargw.Attempt{Job: job})
		}
		runtime.ReadMemStats(&after)
		if got := (after.TotalAlloc - before.TotalAlloc) / dispatchers; got > want {
			t.Fatalf("bytes for an attempt of rank %d: got %d, want at most %d", rank, got, want)
		}
		l := all[0]
		if got, want := l.runningByRank[rank], 1; got != want {
			t.Errorf("running attempts of rank %d: got %d, want %d", rank, got, want)
		}
		l.recordEnd("")
		if got, want := l.runningByRank[rank], 0; got != want {
			t.Errorf("running attempts of rank %d at the end: got %d, want %d", rank, got, want)
		}
	}
}
