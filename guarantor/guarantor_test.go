package guarantor_test

import (
	"math"
	"testing"

	"medlargw.example/medlargw/guarantor"
)

// TestShares answers lasting overload: starts go to rank 0 unless another rank is
// owed them.
func TestShares(t *testing.T) {
	tests := []struct {
		name   string
		shares map[int]float64
		width  int // Starts of the other ranks that come at a time.
		want   [3]float64
	}{
		{"none declared", nil, 1, [3]float64{1, 0, 0}},
		{"one rank", map[int]float64{2: 0.1}, 1, [3]float64{0.9, 0, 0.1}},
		{"jobs of four tasks", map[int]float64{2: 0.1}, 4, [3]float64{0.9, 0, 0.1}},
		{"two ranks", map[int]float64{1: 0.5, 2: 0.2}, 1, [3]float64{0.3, 0.5, 0.2}},
		{"the served rank itself", map[int]float64{0: 0.5}, 1, [3]float64{1, 0, 0}},
		{"the whole", map[int]float64{2: 1}, 1, [3]float64{0, 0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := guarantor.New(2)
			g.SetShares(test.shares)
			var starts [3]float64
			total := 0.0
			for total < 10000 {
				rank, n := 0, 1
				for r := 1; r < len(starts); r++ {
					if g.Owed(r) {
						rank, n = r, test.width
						break
					}
				}
				g.Charge(rank, n)
				starts[rank] += float64(n)
				total += float64(n)
			}
			for r, want := range test.want {
				if got := starts[r] / total; math.Abs(got-want) > 0.002 {
					t.Errorf("share of rank %d: got %.3f, want %.3f", r, got, want)
				}
			}
		})
	}
}

// TestQuietRankIsOwedLittle answers a rank that asks for nothing for a while: it
// must not take all starts when it comes back.
func TestQuietRankIsOwedLittle(t *testing.T) {
	g := guarantor.New(2)
	g.SetShares(map[int]float64{2: 0.1})
	for range 1000 {
		g.Charge(0, 1)
	}
	got := 0
	for ; g.Owed(2); got++ {
		g.Charge(2, 1)
	}
	if got > 2 {
		t.Errorf("starts in a row after the pause: got %d, want at most 2", got)
	}
}
