package decider_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/placer"
)

const (
	placementSeed = 11
	slowShare     = 20 // Every twentieth target is slow.
	slowFactor    = 5
	badName       = "service3-1"
)

// noEstimator lets a placer learn no speed.
type noEstimator struct{}

func (noEstimator) Estimate(*medlargw.Job) time.Duration { return 0 }
func (noEstimator) Learn(*medlargw.Job, time.Duration)   {}

// way is a way of placing tasks.
type way struct {
	name  string
	learn bool
	slow  float64
}

// placementRun offers the load to 60 targets of which 3 are slow and one fails
// all tasks.
func placementRun(t testing.TB, w way, total float64, broken bool) *bench {
	t.Helper()
	tools := tools(medlargw.OrderLeast)
	r := rules()
	r.Slow = w.slow
	tools.Placer = placer.New(tools.Estimator, r)
	if !w.learn {
		tools.Placer = placer.New(noEstimator{}, r)
	}
	b := newBench(t, placementSeed, settings(), tools)
	b.decider.Configure(b.now, config(12))
	b.grow(60)
	for i := range 60 {
		if i%slowShare == 0 {
			b.targets[targetName(i)].factor = slowFactor
		}
	}
	b.targets[targetName(7)].fails = broken
	b.offer(load{teams: 12, shares: at(total), last: 60 * time.Second}, 480)
	b.run()
	b.balanced()
	return b
}

// BenchmarkPlacement prints the figures of docs/design/placement.md.
func BenchmarkPlacement(b *testing.B) {
	ways := []way{{"free slots", false, 1e9}, {"speed orders", true, 1e9}, {"slow held back", true, 3}}
	for _, total := range []float64{0.6, 0.8, 0.9} {
		for _, w := range ways {
			run := placementRun(b, w, total, true)
			for class := range 3 {
				b.Logf("load %.1f, %-14s class %d %v", total, w.name, class, run.summarise(class, warmUp))
			}
		}
	}
}

// BenchmarkQuarantine prints the figures of docs/design/quarantine.md.
func BenchmarkQuarantine(b *testing.B) {
	for _, noise := range []float64{0.01, 0.1} {
		for _, evidence := range []float64{4, 8, 11.5, 16, 1e9} {
			r := medlargw.QuarantineRules{Evidence: evidence, Failures: 8, Slow: 3}
			got := quarantineRun(b, r, true, false, noise)
			b.Logf("bad target: failing jobs %.2f, evidence %4.3g: %+v", noise, evidence, got)
		}
	}
	for _, failures := range []int{4, 8, 16, 1e9} {
		r := medlargw.QuarantineRules{Evidence: 16, Failures: failures, Slow: 3}
		got := quarantineRun(b, r, false, true, 0.01)
		b.Logf("bad service: failures %d: %+v", failures, got)
	}
}

// damage is what a bad target or a bad service does.
type damage struct {
	lost int  // Jobs that would have succeeded on a good target.
	ran  int  // Jobs of a bad service that were started.
	shut bool // The bad target was shut out.
	good int  // Good targets that were shut out at some time.
}

// quarantineRun lets a target or a service become bad after the warm-up, and a
// share of all jobs fail.
func quarantineRun(t testing.TB, r medlargw.QuarantineRules, badTarget, badService bool, noise float64) damage {
	t.Helper()
	tools := tools(medlargw.OrderLeast)
	est := estimator.New()
	tools.Estimator = est
	tools.Placer = placer.New(est, r)
	b := newBench(t, placementSeed, settings(), tools)
	b.decider.Configure(b.now, config(12))
	b.grow(50)
	b.at(epoch.Add(warmUp), func() { b.targets[targetName(7)].fails = badTarget })
	l := load{teams: 12, shares: at(0.7), last: 30 * time.Second}
	b.offer(l, 400)
	for _, e := range b.events[1:] {
		submit := e.do
		e.do = func() {
			submit()
			w := b.jobs[medlargw.JobID(len(b.jobs))]
			w.bad = b.rng.Float64() < noise || badService && w.job.Service == badName && b.now.After(epoch.Add(warmUp))
		}
	}
	shut := map[medlargw.TargetName]bool{}
	ends := 0
	b.onEnd = func(*work, *medlargw.Attempt, bool) {
		// A quarantine lasts a second at least, some thousand ends.
		if ends++; ends%100 != 0 {
			return
		}
		for _, s := range b.tools.Placer.Status() {
			if s.State == medlargw.TargetQuarantined {
				shut[s.Target.Name] = true
			}
		}
	}
	b.run()
	b.balanced()
	d := damage{shut: shut[targetName(7)] && badTarget, good: len(shut)}
	if d.shut {
		d.good--
	}
	for i := range b.outcomes {
		failed := b.outcomes[i].outcome.Code == medlargw.CodeTaskFailed
		switch w := b.outcomes[i].work; {
		case failed && !w.bad:
			d.lost++
		case failed && w.job.Service == badName:
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
		most       int // Jobs that may be lost.
	}{
		{"all is well", false, false, 0},
		{"bad target", true, false, 40},
		{"bad service", false, true, 0},
		{"both", true, true, 40},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			got := quarantineRun(t, rules(), test.badTarget, test.badService, 0.01)
			if got.lost > test.most || got.shut != test.badTarget || got.good != 0 {
				t.Errorf("got %+v, want at most %d jobs lost, shut %t, no good target", got, test.most, test.badTarget)
			}
		})
	}
}
