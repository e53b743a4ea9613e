package holder

import (
	"math"
	"time"

	"medlargw.example/medlargw"
)

// Parameters of the health of a target.
const (
	// slowThreshold is the slowness from which a target gets only tasks that
	// would still end in time there, or that are late already. Such a target does
	// not count in the free resources that are reported to homes.
	slowThreshold = 2.0
	// slownessWeight is the weight of one run in the moving average.
	slownessWeight = 0.3
	// slownessHalfLife is the time without a measurement after which the excess
	// of the slowness over 1 halves, so that the target is tried again.
	slownessHalfLife = 2 * time.Second
	maxSlowness      = 10

	initialFailurePause = 300 * time.Millisecond // After the first failed run.
	maxFailurePause     = 4 * time.Second
	// failureDecay is the factor of the failure score for each run that succeeds. A
	// target that fails a third of its runs comes to a score of 2, one that fails
	// one run in a hundred stays at 1.
	failureDecay = 0.7
)

// slowJob identifies a job whose runs were slow on a target.
type slowJob struct {
	home   medlargw.Incarnation
	number uint64 // OfferedTask.Job.
}

// health is the recent performance of a target, compared with its rating.
type health struct {
	slowness    float64   // Moving average of run time divided by the expected one.
	slownessAt  time.Time // Last change of slowness.
	slowJobs    int       // Consecutive jobs whose runs took far longer than estimated.
	lastSlowJob slowJob
	probing     bool    // It was slow, and takes one run at a time until one ends in usual time.
	failures    float64 // Failed runs, less those that are made up for by runs that succeeded since.
	pausedUntil time.Time
}

func newHealth() health { return health{slowness: 1} }

// recordRun records a completed run. The ratio is its run time divided by the
// expected one.
func (h *health) recordRun(now time.Time, r *run, ratio float64) {
	h.failures *= failureDecay
	if ratio < slowRatio {
		h.slowJobs = 0
		h.lastSlowJob = slowJob{}
		h.probing = false
	}
	h.recordRatio(now, r, ratio)
}

// recordRatio records a measured or projected ratio of run time to expected
// run time. The tasks of one job may all be long, so consecutive slow runs of
// one job count once.
func (h *health) recordRatio(now time.Time, r *run, ratio float64) {
	h.updateSlowness(now, slownessWeight, min(ratio, maxSlowness))
	job := slowJob{home: r.task.home.peer.Incarnation, number: r.task.offered.Job}
	if ratio >= slowRatio && job != h.lastSlowJob {
		h.lastSlowJob = job
		h.slowJobs++
	}
}

// isSlow reports whether the target is slow by the runs of more than one job.
func (h *health) isSlow() bool { return h.slowJobs > 1 && h.slowness >= slowThreshold }

func (h *health) updateSlowness(now time.Time, weight, ratio float64) {
	h.slowness += weight * (ratio - h.slowness)
	h.slownessAt = now
}

// decay reduces the slowness when there was no measurement for a half-life.
func (h *health) decay(now time.Time) {
	if h.slowness > slowThreshold && now.Sub(h.slownessAt) >= slownessHalfLife {
		h.updateSlowness(now, 0.5, 1)
		h.probing = true
	}
}

// recordFailure pauses the target after a failed run. The pause doubles with
// each further failure that few runs have made up for, up to maxFailurePause, so
// that a target which fails part of its runs attracts no work by ending them
// early.
func (h *health) recordFailure(now time.Time) {
	h.pause(now, time.Duration(min(float64(initialFailurePause)*math.Exp2(h.failures), float64(maxFailurePause))))
	h.failures++
}

func (h *health) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}
