package sampler

import (
	"math"
	"runtime/metrics"
	"testing"
	"time"
)

// TestQuantile checks the quantile of the waits that were recorded between two
// readings of a histogram.
func TestQuantile(t *testing.T) {
	buckets := []float64{math.Inf(-1), 0.001, 0.01, 0.1, math.Inf(1)}
	tests := []struct {
		name   string
		before []uint64
		counts []uint64
		want   time.Duration
	}{
		{"none", []uint64{5, 5, 5, 5}, []uint64{5, 5, 5, 5}, 0},
		{"all short", []uint64{0, 0, 0, 0}, []uint64{9, 0, 0, 0}, 0},
		{"a few long", []uint64{0, 0, 0, 0}, []uint64{95, 0, 5, 0}, 0},
		{"many long", []uint64{100, 0, 0, 0}, []uint64{180, 0, 20, 0}, 10 * time.Millisecond},
		{"in between", []uint64{1, 1, 1, 1}, []uint64{2, 99, 2, 1}, time.Millisecond},
		{"longest", []uint64{0, 0, 0, 0}, []uint64{0, 0, 0, 1}, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := &metrics.Float64Histogram{Counts: test.counts, Buckets: buckets}
			if got := quantile(h, test.before, longShare); got != test.want {
				t.Errorf("wait: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestRuntimeHasTheMetric guards against a runtime that no longer has the metric.
func TestRuntimeHasTheMetric(t *testing.T) {
	s := New()
	s.LongWait()
	if got := s.samples[0].Value.Kind(); got != metrics.KindFloat64Histogram {
		t.Errorf("kind of %s: got %v, want a histogram", latencies, got)
	}
}
