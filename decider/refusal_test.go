package decider_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

const (
	refusalSeed   = 13
	burstDuration = 10 * time.Second
)

// burstResult counts the outcomes of the jobs of a burst.
type burstResult struct {
	jobs, refused, displaced, inTime, late int
	wasted                                 int           // Messages of attempts that a target refused as busy or that were stopped.
	recovery                               time.Duration // Time until fewer tasks wait than a tenth of the slots.
}

// runBurst offers a load of half the capacity for 30 s, raised to five times
// the capacity for 10 s from the tenth second on. All jobs have a deadline of
// two seconds.
func runBurst(t testing.TB, estimates bool, estimateError float64) [3]burstResult {
	t.Helper()
	deps := deps(medlargw.PolicyLeastWork)
	if !estimates {
		deps.Estimator = noEstimator{}
	}
	b := newTestBench(t, refusalSeed, settings(), deps)
	b.decider.Configure(b.now, config(12))
	b.setTargetCount(50)
	l := load{teams: 12, shares: loadShares(0.5), duration: 30 * time.Second, estimateError: estimateError, timeLimit: 2 * time.Second}
	b.offerLoad(l, 400)
	b.at(epoch.Add(warmUp), func() {
		l.duration = burstDuration
		l.shares = loadShares(4.5)
		b.offerLoad(l, 400)
	})
	var recovery time.Duration
	for after := time.Duration(0); after < burstDuration; after += 10 * time.Millisecond {
		b.at(epoch.Add(warmUp+burstDuration+after), func() {
			waiting := 0
			for _, c := range b.decider.Waiting() {
				waiting += c.Tasks
			}
			if waiting >= 40 {
				recovery = after
			}
		})
	}
	b.run()
	b.checkAllReleased()
	var all [3]burstResult
	for i := range b.outcomes {
		r := &b.outcomes[i]
		arrived := r.testJob.job.Arrived.Sub(epoch)
		if arrived < warmUp || arrived >= warmUp+burstDuration {
			continue
		}
		o := &all[r.testJob.class]
		o.add(r)
		o.wasted = b.wasted
		o.recovery = recovery
	}
	return all
}

func (o *burstResult) add(r *result) {
	o.jobs++
	switch {
	case r.outcome.Complete:
		o.inTime++
	case r.outcome.Code == medlargw.CodeDeadline:
		o.late++
	case r.at.Equal(r.testJob.job.Arrived):
		o.refused++
	default:
		o.displaced++
	}
}

// BenchmarkBurst logs the figures of docs/design/refusal.md.
func BenchmarkBurst(b *testing.B) {
	for _, estimateError := range []float64{1, 10} {
		for _, estimates := range []bool{false, true} {
			for class, o := range runBurst(b, estimates, estimateError) {
				b.Logf("off %2.0fx, expected wait %-5t class %d: %+v", estimateError, estimates, class, o)
			}
		}
	}
}

func TestBurstKeepsHighestClassInTime(t *testing.T) {
	t.Parallel()
	all := runBurst(t, true, 10)
	top := all[0]
	if got := float64(top.inTime) / float64(top.jobs); got < 0.95 {
		t.Errorf("highest class: got %.3f of the jobs answered in time, want at least 0.95: %+v", got, top)
	}
	for class, o := range all {
		if got := float64(o.late) / float64(o.jobs); got > 0.05 {
			t.Errorf("class %d: got %.3f of the jobs late, want at most 0.05: %+v", class, got, o)
		}
	}
}
