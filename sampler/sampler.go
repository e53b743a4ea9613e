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

// longShare is the share of waits that are not longer than LongWait.
const longShare = 0.9

// Sampler reads the waits of this process. It is not safe for concurrent use.
type Sampler struct {
	samples []metrics.Sample
	counts  []uint64 // By bucket, of the last call.
}

// New returns a sampler whose first result is about all waits since the process has
// started.
func New() *Sampler { return &Sampler{samples: []metrics.Sample{{Name: latencies}}} }

// LongWait returns the wait that nine of ten waits since the last call have not
// exceeded, and zero if there were none. Most waits are those of goroutines that
// another one has just woken, which run next; the tenth that is longer are those for
// the network, which wait for all others.
func (s *Sampler) LongWait() time.Duration {
	metrics.Read(s.samples)
	if s.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.samples[0].Value.Float64Histogram()
	if len(s.counts) != len(h.Counts) {
		s.counts = make([]uint64, len(h.Counts))
	}
	wait := quantile(h, s.counts, longShare)
	copy(s.counts, h.Counts)
	return wait
}

// quantile returns the lower bound of the bucket with the given share of the counts
// below it, in a histogram of seconds less the counts of before.
func quantile(h *metrics.Float64Histogram, before []uint64, share float64) time.Duration {
	var total uint64
	for i, n := range h.Counts {
		total += n - before[i]
	}
	var seen uint64
	for i, n := range h.Counts {
		if seen += n - before[i]; float64(seen) > share*float64(total) {
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
