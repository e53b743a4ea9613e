package gatekeeper_test

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw/gatekeeper"
)

const (
	cost       = 10 * time.Millisecond       // Processor time of a job that is taken in.
	refusal    = 300 * time.Microsecond      // That of one that is refused.
	grace      = 60 * time.Millisecond       // Of all services.
	objective  = 150 * time.Millisecond      // Response time that callers expect.
	steps      = 4                           // Waits for the processor in which a job spends its whole wait.
	interval   = 50 * time.Millisecond       // Between measurements.
	jobsPerSec = float64(time.Second / cost) // What the processor can serve.
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// phase is a time of a load.
type phase struct {
	span  time.Duration
	share float64 // Of the entry's processor that all jobs would take.
}

// result counts the jobs of one rank.
type result struct{ asked, inTime, refused int }

func (r result) share() float64 { return float64(r.inTime) / float64(max(r.asked, 1)) }

// median returns the median of the waits, which it sorts.
func median(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[len(waits)/2]
}

// serve sends the load to an entry with one processor, which works in the order of
// arrival, and returns the results by phase and rank. Of ten jobs, two have rank 0,
// seven rank 1 and one rank 2.
func serve(g *gatekeeper.Gatekeeper, phases []phase, gated bool) [][3]result {
	results := make([][3]result, len(phases))
	now, measured, free := start, start, start // The processor has work until free.
	n := 0
	var waits []time.Duration // Since the last measurement.
	for p, phase := range phases {
		gap := time.Duration(float64(cost) / phase.share)
		for end := now.Add(phase.span); now.Before(end); now = now.Add(gap) {
			for ; !measured.After(now); measured = measured.Add(interval) {
				g.Measure(measured, median(waits)/steps)
				waits = waits[:0]
			}
			rank := []int{1, 0, 1, 1, 2, 1, 1, 0, 1, 1}[n%10]
			n++
			r := &results[p][rank]
			r.asked++
			begin := now
			if free.After(now) {
				begin = free
			}
			waits = append(waits, begin.Sub(now))
			if _, ok := g.Admit(now, rank, grace); !ok && gated {
				r.refused++
				free = begin.Add(refusal)
				continue
			}
			free = begin.Add(cost)
			if free.Sub(now) <= objective {
				r.inTime++
			}
		}
	}
	return results
}

// TestCallersBeyondTheProcessor answers callers of three ranks who ask for 2.5 times
// the processor of an entry for three seconds: the most urgent rank is served, and
// two seconds later the entry serves as before. Without the gatekeeper, all ranks
// wait in one queue and none is served in time.
func TestCallersBeyondTheProcessor(t *testing.T) {
	phases := []phase{{2 * time.Second, 0.6}, {3 * time.Second, 2.5}, {2 * time.Second, 0.6}, {2 * time.Second, 0.6}}
	tests := []struct {
		name  string
		gated bool
		first float64 // Least share of rank 0 served in time in the burst.
	}{
		{"gated", true, 0.85},
		{"not gated", false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := serve(gatekeeper.New(), phases, test.gated)
			for p := range got {
				t.Logf("phase %d: %+v", p, got[p])
			}
			calm, burst, after := got[0], got[1], got[3]
			for rank := range calm {
				if calm[rank].refused > 0 || calm[rank].share() < 1 {
					t.Errorf("rank %d before the burst: got %+v, want all served", rank, calm[rank])
				}
				if test.gated && (after[rank].refused > 0 || after[rank].share() < 1) {
					t.Errorf("rank %d two seconds after the burst: got %+v, want all served", rank, after[rank])
				}
			}
			if burst[0].share() < test.first {
				t.Errorf("rank 0 in the burst: got %.2f in time, want at least %.2f", burst[0].share(), test.first)
			}
			if test.gated && (burst[0].share() < burst[1].share() || burst[1].share() < burst[2].share()) {
				t.Errorf("shares in time by rank: got %.2f, %.2f, %.2f, want them in the order of rank", burst[0].share(), burst[1].share(), burst[2].share())
			}
			if !test.gated && burst[0].share() > 0.2 {
				t.Errorf("rank 0 in the burst without a gate: got %.2f in time, want at most 0.2: the load is too small", burst[0].share())
			}
		})
	}
}

// TestAdmit checks which requests are admitted after measurements.
func TestAdmit(t *testing.T) {
	const busy = 20 * time.Millisecond // A third above what callers allow.
	tests := []struct {
		name  string
		waits []time.Duration // The measurements; between them, ten requests of each rank arrive.
		grace time.Duration
		ranks []int
		grows bool   // The number of requests doubles with each measurement.
		want  []bool // Whether any request of the rank is refused after the last measurement.
	}{
		{"on time", []time.Duration{0, time.Millisecond, 0, 15 * time.Millisecond}, grace, []int{0, 1}, false, []bool{false, false}},
		{"a pause", []time.Duration{0, busy}, grace, []int{0, 1}, false, []bool{false, false}},
		{"two pauses", []time.Duration{0, busy, 0, busy}, grace, []int{0, 1}, false, []bool{false, false}},
		{"an overload", []time.Duration{0, busy, busy}, grace, []int{0, 1}, false, []bool{false, true}},
		{"the lowest rank first", []time.Duration{0, busy, busy}, grace, []int{0, 1, 2}, false, []bool{false, false, true}},
		{"never the first rank", []time.Duration{0, busy, busy, busy, busy, busy, busy, busy, busy, busy}, grace, []int{0, 1}, false, []bool{false, true}},
		{"a single rank", []time.Duration{0, busy, busy, busy}, grace, []int{2}, false, []bool{false}},
		{"a single rank that grows", []time.Duration{0, busy, busy, 0, 0}, grace, []int{0}, true, []bool{false}},
		{"the first rank grows", []time.Duration{0, busy, busy, 0, 0}, grace, []int{0, 1}, true, []bool{false, true}},
		{"large ranks", []time.Duration{0, busy, busy}, grace, []int{40, 10_000_000, math.MaxInt}, false, []bool{false, false, true}},
		{"negative rank", []time.Duration{0, busy, busy}, grace, []int{-1}, false, []bool{false}},
		{"on time again", []time.Duration{0, busy, busy, busy, 0, 0, 0, 0, 0}, grace, []int{0, 1}, false, []bool{false, false}},
		{"no objective declared", []time.Duration{0, busy, busy}, 0, []int{0, 1}, false, []bool{false, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gatekeeper.New()
			now := start
			requests := 10
			refused := make([]bool, len(test.ranks))
			for _, wait := range test.waits {
				g.Measure(now, wait)
				clear(refused)
				for range requests {
					for i, rank := range test.ranks {
						retry, ok := g.Admit(now, rank, test.grace)
						refused[i] = refused[i] || !ok
						if !ok && retry < time.Second {
							t.Errorf("rank %d may return after: got %v, want at least 1 s", rank, retry)
						}
					}
				}
				now = now.Add(interval)
				if test.grows {
					requests *= 2
				}
			}
			for i, want := range test.want {
				if refused[i] != want {
					t.Errorf("rank %d refused: got %v, want %v", test.ranks[i], refused[i], want)
				}
			}
		})
	}
}

// TestRankThatStartsInAnOverload has a rank send its first requests while the intake is
// limited and more urgent ranks use all of it. It guards against a share of zero by zero,
// which refused all requests of that rank in this overload and in each later one.
func TestRankThatStartsInAnOverload(t *testing.T) {
	const busy = 20 * time.Millisecond
	g := gatekeeper.New()
	now := start
	measure := func(wait time.Duration, ranks ...int) (refused int) {
		now = now.Add(interval)
		g.Measure(now, wait)
		for range 10 {
			for _, rank := range ranks {
				if _, ok := g.Admit(now, rank, grace); !ok && rank == 2 {
					refused++
				}
			}
		}
		return refused
	}
	for range 4 {
		measure(busy, 0, 1, 3)
	}
	measure(busy, 0, 1, 2, 3)
	for range 200 { // The overload is over.
		measure(0, 0, 1, 2, 3)
	}
	// The least urgent rank alone brings as much as is to be refused.
	for range 3 {
		if got := measure(busy, 0, 1, 2, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3); got > 0 {
			t.Errorf("requests of rank 2 refused in the next overload: got %d of 10, want 0", got)
		}
	}
}

// bytesPerRun returns the mean of the bytes that f allocates. The Go runtime may start a
// thread meanwhile, whose 5 KB count as well.
func bytesPerRun(f func()) uint64 {
	const runs = 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		f()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / runs
}

// TestMemoryOfLargeRanks has queues with large priorities send requests. It guards against
// memory that grows with the number of the rank, which ended an entry at the first request
// of a queue with priority 10,000,000.
func TestMemoryOfLargeRanks(t *testing.T) {
	const want = 4 << 10 // Bytes for the state of one rank.
	for _, rank := range []int{3, 10_000_000, 1 << 32, math.MaxInt} {
		got := bytesPerRun(func() {
			g := gatekeeper.New()
			g.Admit(start, rank, grace)
			g.Measure(start, 0)
			g.Measure(start.Add(interval), 0)
		})
		if got > want {
			t.Fatalf("bytes for a request of rank %d: got %d, want at most %d", rank, got, want)
		}
	}
}

// TestMemoryOfFormerRanks has each configuration bring another priority. It guards against
// a rank that is kept after its queue was removed.
func TestMemoryOfFormerRanks(t *testing.T) {
	const (
		versions = 30_000
		want     = 256 << 10
	)
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	g := gatekeeper.New()
	now := start
	before := heap()
	for rank := range versions {
		now = now.Add(100 * time.Millisecond)
		g.Admit(now, rank, grace)
		g.Measure(now, 0)
	}
	if got := int64(heap() - before); got > want {
		t.Errorf("bytes after %d ranks, one at a time: got %d, want at most %d", versions, got, want)
	}
	runtime.KeepAlive(g)
}

// BenchmarkMeasure measures under overload, with a request of each rank between two
// measurements. Requests wait for the lock that a measurement holds.
func BenchmarkMeasure(b *testing.B) {
	for _, ranks := range []int{3, 2000} {
		b.Run(fmt.Sprintf("ranks=%d", ranks), func(b *testing.B) {
			g := gatekeeper.New()
			now := start
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				now = now.Add(interval)
				for rank := range ranks {
					g.Admit(now, rank*1000, grace)
				}
				b.StartTimer()
				g.Measure(now, 2*grace)
			}
		})
	}
}

// BenchmarkAdmit admits requests of all ranks in turn.
func BenchmarkAdmit(b *testing.B) {
	for _, ranks := range []int{3, 2000} {
		b.Run(fmt.Sprintf("ranks=%d", ranks), func(b *testing.B) {
			g := gatekeeper.New()
			n := 0
			for b.Loop() {
				g.Admit(start, n%ranks*1000, grace)
				n++
			}
		})
	}
}
