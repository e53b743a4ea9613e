package holder

import (
	"time"

	"go.uber.org/zap"
)

// Parameters of the detection of stalled runs.
const (
	// minJudgedTime is the least run time after which the progress is meaningful.
	minJudgedTime = 60 * time.Millisecond
	// slowRatio is the ratio of run time to estimate from which a run counts as
	// slow. The error of the estimates alone is less in 99 of 100 runs.
	slowRatio = 2.5
	// stalledRatio is the ratio from which a run is stopped although other jobs
	// were not slow on its target.
	stalledRatio = 6
	// jobSlowRatio is the ratio of the run time to that of another task of its job
	// from which a run counts as slow. The tasks of one job mostly take equally
	// long.
	jobSlowRatio = 2
	// maxStalledAttempts is the number of attempts of one task that may be stopped
	// as stalled.
	maxStalledAttempts = 3
	// restartCost is the time to stop a run and to start its task elsewhere.
	restartCost = 80 * time.Millisecond
)

// recordRunTime records the run time of a completed run, for its job and
// target.
func (h *Holder) recordRunTime(now time.Time, r *run) {
	estimate := r.task.offered.Estimate
	if estimate <= 0 {
		return
	}
	s := r.task.jobTasks
	measured := float64(now.Sub(r.acked)) / float64(estimate)
	ratio := measured / r.target.rater.Slowness()
	if s.minRatio == 0 || ratio < s.minRatio {
		s.minRatio = ratio
	}
	r.target.recordRun(now, r, ratio/max(s.baselineRatio(r), 1))
	if r.cold {
		return // It says nothing of the target's speed by nature.
	}
	r.target.rater.Observe(measured, s.usualRatio(r.target))
	s.completed = append(s.completed, completedRun{target: r.target, ratio: ratio})
}

// usualRatio returns the mean ratio of the job's runs that were completed on other
// targets, as if those were of usual speed. It is zero when there are none.
func (s *jobTasks) usualRatio(t *target) float64 {
	sum, n := 0.0, 0
	for _, c := range s.completed {
		if c.target != t {
			sum += c.ratio
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// baselineRatio returns the least ratio of run time to estimate of the job's
// completed tasks and of its active runs on other targets. It is zero when no
// ratio is known.
func (s *jobTasks) baselineRatio(r *run) float64 {
	baseline := s.minRatio
	for _, w := range s.tasks {
		if w.run == nil || w.run.target == r.target || w.run.ratio == 0 {
			continue
		}
		if baseline == 0 || w.run.ratio < baseline {
			baseline = w.run.ratio
		}
	}
	return baseline
}

// checkProgress projects the run time of a run from its progress. A run that
// seems slow is recorded in the health of its target. The run is stopped if the
// target was slow for several jobs or the run is far slower than estimated, and
// a new start of its task is worthwhile (worthRestart). Attempts beyond
// maxStalledAttempts are not stopped.
func (h *Holder) checkProgress(now time.Time, r *run, percent int) {
	if r.task == nil || r.stopping || r.state != runRunning {
		return
	}
	estimate := r.task.offered.Estimate
	elapsed := now.Sub(r.acked)
	if estimate <= 0 || elapsed < max(minJudgedTime, estimate/2) {
		return
	}
	total := expectedTotal(estimate, elapsed, percent)
	r.ratio = float64(total) / (float64(estimate) * r.target.rater.Slowness())
	baseline := r.task.jobTasks.baselineRatio(r)
	ratio := r.ratio / max(baseline, 1) // The estimates of all tasks of the job may be too low.
	if ratio < slowRatio && (baseline == 0 || ratio < jobSlowRatio) {
		return
	}
	if !r.countedSlow {
		r.countedSlow = true
		r.target.recordRatio(now, r, ratio)
	}
	stalled := r.target.isSlow() || ratio >= stalledRatio
	restart := restartCost + time.Duration(float64(estimate)*max(baseline, 1.25))
	if !stalled || r.id.Attempt > maxStalledAttempts || !r.worthRestart(now, total-elapsed, restart) {
		return
	}
	h.log.Info("stalled run stopped", zap.String("task", r.id.Task), zap.Int("attempt", r.id.Attempt),
		zap.String("target", string(r.target.info.Name)), zap.Float64("slowness", r.target.slowness),
		zap.Float64("usual", baseline), zap.Int("percent", percent), zap.Duration("elapsed", elapsed),
		zap.Duration("estimate", estimate))
	h.stopRun(now, r, "stalled")
}

// expectedTotal extrapolates the total run time of a run from its progress. A
// run without progress is assumed to take maxSlowness times its estimate, or
// its elapsed time if that is longer.
func expectedTotal(estimate, elapsed time.Duration, percent int) time.Duration {
	if percent <= 0 {
		return maxSlowness * max(estimate, elapsed)
	}
	return elapsed * 100 / time.Duration(percent)
}

// worthRestart reports whether a run that still needs the time left would miss
// its due time, and would end sooner and by its deadline if it was started
// again. The parameter restart is the time that it needs then.
func (r *run) worthRestart(now time.Time, left, restart time.Duration) bool {
	return left > restart && now.Add(left).After(r.task.due) && !now.Add(restart).After(r.task.deadline)
}
