package decider_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/placer"
)

const (
	placementSeed  = 11
	slowEvery      = 20 // Every twentieth target is slow.
	slowFactor     = 5
	failingService = "service3-1"
)

// noEstimator knows no run times, so that a placer measures no speed and
// admission expects no wait.
type noEstimator struct{}

func (noEstimator) Estimate(*medlargw.Job) time.Duration { return 0 }
func (noEstimator) Observe(*medlargw.Job, time.Duration) {}

// variant is a configuration of the placer.
type variant struct {
	name          string
	learnSpeed    bool
	slowThreshold float64
}

// runPlacement offers the load to 60 targets. Every twentieth target is slow,
// and one fails all tasks if broken is true.
func runPlacement(t testing.TB, w variant, total float64, broken bool) *testBench {
	t.Helper()
	deps := deps(medlargw.PolicyLeastWork)
	r := rules()
	r.SlowFactor = w.slowThreshold
	deps.Placer = placer.New(deps.Estimator, r)
	if !w.learnSpeed {
		deps.Placer = placer.New(noEstimator{}, r)
	}
	b := newTestBench(t, placementSeed, settings(), deps)
	b.decider.Configure(b.now, config(12))
	b.setTargetCount(60)
	for i := range 60 {
		if i%slowEvery == 0 {
			b.targets[targetName(i)].runTimeFactor = slowFactor
		}
	}
	b.targets[targetName(7)].fails = broken
	b.offerLoad(load{teams: 12, shares: loadShares(total), duration: 60 * time.Second}, 480)
	b.run()
	b.checkAllReleased()
	return b
}

// BenchmarkPlacement logs the figures of docs/design/placement.md.
func BenchmarkPlacement(b *testing.B) {
	variants := []variant{{"free slots", false, 1e9}, {"speed orders", true, 1e9}, {"slow held back", true, 3}}
	for _, total := range []float64{0.6, 0.8, 0.9} {
		for _, w := range variants {
			run := runPlacement(b, w, total, true)
			for class := range 3 {
				b.Logf("load %.1f, %-14s class %d %v", total, w.name, class, run.summarize(class, warmUp))
			}
		}
	}
}

// BenchmarkQuarantine logs the figures of docs/design/quarantine.md.
func BenchmarkQuarantine(b *testing.B) {
	for _, noise := range []float64{0.01, 0.1} {
		for _, evidence := range []float64{4, 8, 11.5, 16, 1e9} {
			r := medlargw.QuarantineRules{EvidenceThreshold: evidence, FailureThreshold: 8, SlowFactor: 3}
			got := runQuarantine(b, r, true, false, noise)
			b.Logf("bad target: failing jobs %.2f, evidence %4.3g: %+v", noise, evidence, got)
		}
	}
	for _, failures := range []int{4, 8, 16, 1e9} {
		r := medlargw.QuarantineRules{EvidenceThreshold: 16, FailureThreshold: failures, SlowFactor: 3}
		got := runQuarantine(b, r, false, true, 0.01)
		b.Logf("bad service: failures %d: %+v", failures, got)
	}
}

// quarantineResult describes the effect of a bad target or a bad service.
type quarantineResult struct {
	lost            int  // Jobs that would have succeeded on a good target.
	ran             int  // Jobs of a bad service that were started.
	badQuarantined  bool // The bad target was quarantined at some time.
	goodQuarantined int  // Number of good targets that were quarantined at some time.
}

// runQuarantine makes a target, a service or both fail after the warm-up, and
// makes a share of all jobs fail throughout.
func runQuarantine(t testing.TB, r medlargw.QuarantineRules, badTarget, badService bool, noise float64) quarantineResult {
	t.Helper()
	deps := deps(medlargw.PolicyLeastWork)
	est := estimator.New()
	deps.Estimator = est
	deps.Placer = placer.New(est, r)
	b := newTestBench(t, placementSeed, settings(), deps)
	b.decider.Configure(b.now, config(12))
	b.setTargetCount(50)
	b.at(epoch.Add(warmUp), func() { b.targets[targetName(7)].fails = badTarget })
	l := load{teams: 12, shares: loadShares(0.7), duration: 30 * time.Second}
	b.offerLoad(l, 400)
	for _, e := range b.events[1:] {
		submit := e.do
		e.do = func() {
			submit()
			w := b.jobs[medlargw.JobID(len(b.jobs))]
			w.failing = b.rng.Float64() < noise || badService && w.job.Service == failingService && b.now.After(epoch.Add(warmUp))
		}
	}
	quarantined := map[medlargw.TargetName]bool{}
	ends := 0
	b.onEnd = func(*testJob, *medlargw.Attempt, bool) {
		// Sampling misses no quarantine: each lasts at least a second, in which
		// some thousand attempts end.
		if ends++; ends%100 != 0 {
			return
		}
		for _, s := range b.deps.Placer.Status() {
			if s.State == medlargw.TargetQuarantined {
				quarantined[s.Target.Name] = true
			}
		}
	}
	b.run()
	b.checkAllReleased()
	d := quarantineResult{badQuarantined: quarantined[targetName(7)] && badTarget, goodQuarantined: len(quarantined)}
	if d.badQuarantined {
		d.goodQuarantined--
	}
	for i := range b.outcomes {
		failed := b.outcomes[i].outcome.Code == medlargw.CodeTaskFailed
		switch w := b.outcomes[i].testJob; {
		case failed && !w.failing:
			d.lost++
		case failed && w.job.Service == failingService:
			d.ran++
		}
	}
	return d
}

func TestQuarantine(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name       string
		badTarget  bool
		badService bool
		most       int // Upper bound of the lost jobs.
	}{
		{"all is well", false, false, 0},
		{"bad target", true, false, 40},
		{"bad service", false, true, 0},
		{"both", true, true, 40},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			got := runQuarantine(t, rules(), test.badTarget, test.badService, 0.01)
			if got.lost > test.most || got.badQuarantined != test.badTarget || got.goodQuarantined != 0 {
				t.Errorf("got %+v, want at most %d jobs lost, bad target quarantined %t, no good target", got, test.most, test.badTarget)
			}
		})
	}
}
