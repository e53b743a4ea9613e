package holder

import (
	"time"

	"medlargw.example/medlargw"
)

// What speaks against a target.
const (
	// slowTarget is the slowness from which a target gets only tasks that are
	// still in time there, and counts as no free room for homes.
	slowTarget = 2.0
	// slownessWeight is the weight of one new run in the average.
	slownessWeight = 0.3
	// slownessHalf is the time in which the excess of the slowness halves, so
	// that a target is tried again.
	slownessHalf = 2 * time.Second
	maxSlowness  = 10

	firstPause = 300 * time.Millisecond // After a failed run.
	maxPause   = 4 * time.Second
)

// slowJob names the job that last spoke against a target.
type slowJob struct {
	home   medlargw.Incarnation
	number uint64
}

// health is how a target did lately.
type health struct {
	slowness float64 // Run times against the estimates, an average.
	judged   time.Time
	slowJobs int // Jobs in a row whose runs took far longer than estimated.
	lastSlow slowJob
	failed   int // Runs in a row that failed.
	paused   time.Time
}

func newHealth() health { return health{slowness: 1} }

// ran learns from a run that was done, by its run time against the expected.
func (h *health) ran(now time.Time, r *run, ratio float64) {
	h.failed = 0
	if ratio < slowRatio {
		h.slowJobs = 0
		h.lastSlow = slowJob{}
	}
	h.takes(now, r, ratio)
}

// takes takes note of how much longer than estimated a run takes or seems to
// take. The tasks of one job may all be long, so that they count once.
func (h *health) takes(now time.Time, r *run, ratio float64) {
	h.judge(now, slownessWeight, min(ratio, maxSlowness))
	job := slowJob{home: r.task.home.peer.Incarnation, number: r.task.offered.Job}
	if ratio >= slowRatio && job != h.lastSlow {
		h.lastSlow = job
		h.slowJobs++
	}
}

// isSlow reports whether the runs of more than one job speak against the
// target.
func (h *health) isSlow() bool { return h.slowJobs > 1 && h.slowness >= slowTarget }

func (h *health) judge(now time.Time, weight, ratio float64) {
	h.slowness += weight * (ratio - h.slowness)
	h.judged = now
}

// decay lets the slowness fade while nothing is learnt.
func (h *health) decay(now time.Time) {
	if h.slowness > slowTarget && now.Sub(h.judged) >= slownessHalf {
		h.judge(now, 0.5, 1)
	}
}

// fails holds the target back after failed runs, longer each time.
func (h *health) fails(now time.Time) {
	pause := min(firstPause<<min(h.failed, 8), maxPause)
	h.failed++
	h.pause(now, pause)
}

func (h *health) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(h.paused) {
		h.paused = until
	}
}
