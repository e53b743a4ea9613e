// Package sampler measures how long the goroutines of this process wait for a
// processor.
package sampler

import (
	"math"
	"runtime/metrics"
	"time"
)

// latencies is the metric of the Go runtime with the time that goroutines have
// spent runnable before they ran, in seconds.
const latencies = "/sched/latencies:seconds"

// Sampler reads the waits of this process. It is not safe for concurrent use.
type Sampler struct {
	samples []metrics.Sample
	counts  []uint64 // By bucket, of the last call.
}

// New returns a sampler whose first result is about all waits since the process has
// started.
func New() *Sampler { return &Sampler{samples: []metrics.Sample{{Name: latencies}}} }

// Median returns the median of the waits that have ended since the last call, and
// zero if there were none.
func (s *Sampler) Median() time.Duration {
	metrics.Read(s.samples)
	if s.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.samples[0].Value.Float64Histogram()
	if len(s.counts) != len(h.Counts) {
		s.counts = make([]uint64, len(h.Counts))
	}
	m := median(h, s.counts)
	copy(s.counts, h.Counts)
	return m
}

// median returns the median of a histogram of seconds less the counts of before.
func median(h *metrics.Float64Histogram, before []uint64) time.Duration {
	var total uint64
	for i, n := range h.Counts {
		total += n - before[i]
	}
	var seen uint64
	for i, n := range h.Counts {
		if seen += n - before[i]; 2*seen > total {
			return lowerBound(h.Buckets[i])
		}
	}
	return 0
}

// lowerBound returns the lower bound of a bucket; that of the first one is minus
// infinity.
func lowerBound(seconds float64) time.Duration {
	if math.IsInf(seconds, 0) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
