package medlargw_test

import (
	"math"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestWork guards against work that wraps, and would then count for other jobs as less than
// none.
func TestWork(t *testing.T) {
	tests := []struct {
		n     int
		cores int64
		d     time.Duration
		want  int64
	}{
		{8, 14000, 60 * time.Millisecond, 8 * 14000 * 60},
		{290, 64000, 900 * time.Millisecond, 290 * 64000 * 900},
		{2, 1 << 62, 60 * time.Millisecond, medlargw.MaxWork},
		{1, 1000 * medlargw.MaxTargetCores, medlargw.MaxTimeLeft, medlargw.MaxWork},
		{1, math.MinInt64, time.Second, 0},
		{1, 1000, -time.Second, 0},
	}
	for _, test := range tests {
		r := medlargw.Resources{Cores: test.cores}
		if got := r.Work(test.n, test.d); got != test.want {
			t.Errorf("work of %d tasks of %d for %v: got %d, want %d", test.n, test.cores, test.d, got, test.want)
		}
		var p medlargw.PoolResources
		for range 1000 {
			p.AddWaiting(0, r, test.d)
		}
		if got := p.WorkAhead(0); got < 0 || got > medlargw.MaxWork {
			t.Errorf("waiting work of 1,000 tasks of %d for %v: got %d, want 0 to %d", test.cores, test.d, got, int64(medlargw.MaxWork))
		}
	}
}

// TestDuration guards against times that differ between kinds of machines.
func TestDuration(t *testing.T) {
	tests := []struct {
		ms   float64
		want time.Duration
	}{
		{60, 60 * time.Millisecond},
		{-7.5, -7500 * time.Microsecond},
		{1e300, medlargw.MaxTimeLeft},
		{math.Inf(-1), -medlargw.MaxTimeLeft},
		{math.NaN(), 0},
	}
	for _, test := range tests {
		if got := medlargw.Milliseconds(test.ms); got != test.want {
			t.Errorf("%v ms: got %v, want %v", test.ms, got, test.want)
		}
	}
}
