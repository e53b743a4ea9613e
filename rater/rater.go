// Package rater learns how fast a target is by nature: how long its runs take
// compared with those of the same tasks on a target of usual speed.
//
// Faults are not part of the rating. A run that takes far longer than the rating
// explains is left out; the holder's fault detection handles it.
package rater

import (
	"math"

	"medlargw.example/medlargw"
)

const (
	// priorRuns is the number of runs of usual speed that a new rating counts for.
	priorRuns = 4
	// maxRuns bounds the weight of the past, so that a target that has become
	// faster or slower is rated anew within some hundred runs.
	maxRuns = 64
	// aloneWeight is the weight of a run that is compared only with the estimate of
	// its task, which may be far off.
	aloneWeight = 0.25
	// maxRatio is the ratio of the run time to the rated one from which a run shows a
	// fault rather than the speed of the target.
	maxRatio = 2.5
	// maxSlowness bounds a rating, and its inverse.
	maxSlowness = 4
)

// Rater holds the rating of one target. The zero value rates a target of usual
// speed.
type Rater struct {
	logSlowness float64 // Natural logarithm.
	runs        float64 // Weight of the measurements, in runs.
}

// New returns a rater that goes on from a rating, such as that of the former
// holder. It ignores a rating that is not valid.
func New(r medlargw.Rating) Rater {
	if !r.Valid() {
		return Rater{}
	}
	return Rater{logSlowness: math.Log(clamp(r.Slowness)), runs: min(r.Runs, maxRuns)}
}

// Rating returns what was measured, for New. Unlike Slowness it does not count
// any runs of usual speed.
func (r *Rater) Rating() medlargw.Rating {
	return medlargw.Rating{Slowness: math.Exp(r.logSlowness), Runs: r.runs}
}

// Slowness returns the expected run time of a task on the target, divided by that
// on a target of usual speed.
func (r *Rater) Slowness() float64 {
	return clamp(math.Exp(r.logSlowness * r.runs / (r.runs + priorRuns)))
}

// Observe records a completed run. The ratio is its run time divided by the
// estimate of its task. The usual ratio is that of the other tasks of its job on
// other targets, less the slowness of those; zero if there are none.
func (r *Rater) Observe(ratio, usual float64) {
	weight := 1.0
	if usual <= 0 {
		weight, usual = aloneWeight, 1
	}
	if !(ratio > 0) || ratio/usual > maxRatio*r.Slowness() {
		return
	}
	r.runs = min(r.runs+weight, maxRuns)
	r.logSlowness += weight / r.runs * (math.Log(clamp(ratio/usual)) - r.logSlowness)
}

func clamp(slowness float64) float64 { return min(max(slowness, 1.0/maxSlowness), maxSlowness) }
