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
	// maxMoves is the number of attempts of a task that may be stopped so.
	maxMoves = 3
	// restartCost is the time that stopping and placing a run again takes.
	restartCost = 80 * time.Millisecond
)

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
	total := maxSlowness * max(estimate, elapsed)
	if percent > 0 {
		total = elapsed * 100 / time.Duration(percent)
	}
	ratio := float64(total) / float64(estimate)
	if ratio < slowRatio {
		return
	}
	if !r.judged {
		r.judged = true
		r.target.stalls(now, ratio)
	}
	if ratio < stalledRatio && r.target.slowness < slowTarget || r.id.Attempt > maxMoves {
		return
	}
	left := total - elapsed
	again := restartCost + estimate*5/4
	if left <= again || now.Add(again).After(r.task.deadline) || !now.Add(left).After(r.task.due) {
		return
	}
	h.log.Info("stalled run stopped", zap.String("task", r.id.Task), zap.Int("attempt", r.id.Attempt),
		zap.String("target", string(r.target.info.Name)), zap.Float64("slowness", r.target.slowness),
		zap.Int("percent", percent), zap.Duration("elapsed", elapsed), zap.Duration("estimate", estimate))
	h.stop(now, r, "stalled")
}
