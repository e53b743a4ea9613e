package holder

import (
	"time"

	"go.uber.org/zap"
)

// When a run counts as stalled.
const (
	// judgedAfter is the least run time at which progress says anything.
	judgedAfter = 60 * time.Millisecond
	// slowRatio is how much longer than estimated a run must seem to take to
	// speak against its target. Estimates alone are off by less in 99 of 100.
	slowRatio = 2.5
	// stalledRatio is the same for a run that is stopped without other evidence
	// against its target.
	stalledRatio = 6
	// unevenRatio is how much longer than another task of its job a run must
	// seem to take to speak against its target; tasks of a job are mostly alike.
	unevenRatio = 2
	// maxMoves is the number of attempts of a task that may be stopped so.
	maxMoves = 3
	// restartCost is the time that stopping and placing a run again takes.
	restartCost = 80 * time.Millisecond
)

// learn takes the run time of a run that was done.
func (h *Holder) learn(now time.Time, r *run) {
	estimate := r.task.offered.Estimate
	if estimate <= 0 {
		return
	}
	s := r.task.siblings
	ratio := float64(now.Sub(r.acked)) / float64(estimate)
	if s.fastest == 0 || ratio < s.fastest {
		s.fastest = ratio
	}
	r.target.ran(now, r, ratio/max(s.usual(r), 1))
}

// usual returns how much longer than estimated the other tasks of a job take,
// on other targets, or zero when none of them tells.
func (s *siblings) usual(r *run) float64 {
	usual := s.fastest
	for _, w := range s.tasks {
		if w.run == nil || w.run.target == r.target || w.run.ratio == 0 {
			continue
		}
		if usual == 0 || w.run.ratio < usual {
			usual = w.run.ratio
		}
	}
	return usual
}

// judge looks at the progress of a run, and stops one that would end sooner if
// it was started anew elsewhere.
func (h *Holder) judge(now time.Time, r *run, percent int) {
	if r.task == nil || r.stopping || r.state != runRunning {
		return
	}
	estimate := r.task.offered.Estimate
	elapsed := now.Sub(r.acked)
	if estimate <= 0 || elapsed < max(judgedAfter, estimate/2) {
		return
	}
	total := expectedTotal(estimate, elapsed, percent)
	r.ratio = float64(total) / float64(estimate)
	usual := r.task.siblings.usual(r)
	ratio := r.ratio / max(usual, 1) // The estimate of the whole job may be off.
	if ratio < slowRatio && (usual == 0 || ratio < unevenRatio) {
		return
	}
	if !r.judged {
		r.judged = true
		r.target.takes(now, r, ratio)
	}
	known := r.target.isSlow() || ratio >= stalledRatio
	again := restartCost + time.Duration(float64(estimate)*max(usual, 1.25))
	if !known || r.id.Attempt > maxMoves || !r.gains(now, total-elapsed, again) {
		return
	}
	h.log.Info("stalled run stopped", zap.String("task", r.id.Task), zap.Int("attempt", r.id.Attempt),
		zap.String("target", string(r.target.info.Name)), zap.Float64("slowness", r.target.slowness),
		zap.Float64("usual", usual), zap.Int("percent", percent), zap.Duration("elapsed", elapsed),
		zap.Duration("estimate", estimate))
	h.stop(now, r, "stalled")
}

// expectedTotal returns the run time of a run by its progress.
func expectedTotal(estimate, elapsed time.Duration, percent int) time.Duration {
	if percent <= 0 {
		return maxSlowness * max(estimate, elapsed)
	}
	return elapsed * 100 / time.Duration(percent)
}

// gains reports whether a run that has so much left, too much to be in time,
// would end sooner and before its deadline if it was started again.
func (r *run) gains(now time.Time, left, again time.Duration) bool {
	return left > again && now.Add(left).After(r.task.due) && !now.Add(again).After(r.task.deadline)
}
