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
	const want = 4 << 10 // Bytes.
	for _, rank := range []int{3, 10_000_000, math.MaxInt} {
		d := &Dispatcher{}
		d.UseLender(nil, nil, &medlargw.Settings{})
		l := d.lending
		l.rankByClass["batch"] = rank
		job := &medlargw.Job{Class: "batch"}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		l.recordStart(&medlargw.Attempt{Job: job})
		runtime.ReadMemStats(&after)
		if got := after.TotalAlloc - before.TotalAlloc; got > want {
			t.Fatalf("bytes for an attempt of rank %d: got %d, want at most %d", rank, got, want)
		}
		if got, want := l.runningByRank[rank], 1; got != want {
			t.Errorf("running attempts of rank %d: got %d, want %d", rank, got, want)
		}
		l.recordEnd("")
		if got, want := l.runningByRank[rank], 0; got != want {
			t.Errorf("running attempts of rank %d at the end: got %d, want %d", rank, got, want)
		}
	}
}
