package decider_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

const (
	orderSeed = 7
	warmUp    = 10 * time.Second
)

// runOrder offers the load to 50 targets and returns one summary for each
// class.
func runOrder(t testing.TB, policy medlargw.QueuePolicy, l load) [3]summary {
	t.Helper()
	b := newTestBench(t, orderSeed, settings(), deps(policy))
	b.decider.Configure(b.now, config(l.teams))
	b.setTargetCount(50)
	b.offerLoad(l, 400)
	b.run()
	b.checkAllReleased()
	return [3]summary{b.summarize(0, warmUp), b.summarize(1, warmUp), b.summarize(2, warmUp)}
}

// loadShares splits a total load into the shares of the three classes.
func loadShares(total float64) [3]float64 { return [3]float64{0.2 * total, 0.5 * total, 0.3 * total} }

// BenchmarkOrders logs the figures of docs/design/order.md.
func BenchmarkOrders(b *testing.B) {
	names := []string{"arrival", "fewest", "least"}
	for _, teams := range []int{1, 12} {
		for _, total := range []float64{0.8, 0.95} {
			for _, estimateError := range []float64{1, 10} {
				l := load{teams: teams, shares: loadShares(total), duration: 60 * time.Second, estimateError: estimateError}
				for policy, name := range names {
					for class, s := range runOrder(b, medlargw.QueuePolicy(policy), l) {
						b.Logf("%2d teams, load %.2f, off %2.0fx, %-8s class %d %v", teams, total, estimateError, name, class, s)
					}
				}
			}
		}
	}
}

func TestResponseTargets(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		load [3]float64
		want [3]float64 // Mean response time divided by the ideal one; zero means no bound.
	}{
		{"60%", loadShares(0.6), [3]float64{1.05}},
		{"80%", loadShares(0.8), [3]float64{1.3, 1.3, 1.3}},
		{"90%", loadShares(0.9), [3]float64{1.15}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			all := runOrder(t, medlargw.PolicyLeastWork, load{teams: 12, shares: test.load, duration: 60 * time.Second})
			for class, want := range test.want {
				t.Logf("class %d: %v", class, all[class])
				if got := all[class].mean; want > 0 && got > want {
					t.Errorf("class %d: got a mean of %.3f, want at most %.2f", class, got, want)
				}
			}
		})
	}
}

func TestLowerClassesDoNotDelayHighest(t *testing.T) {
	t.Parallel()
	l := load{teams: 12, shares: [3]float64{0.2}, duration: 60 * time.Second}
	alone := runOrder(t, medlargw.PolicyLeastWork, l)[0]
	for _, lower := range []float64{0.4, 0.8, 1.6} {
		l.shares = [3]float64{0.2, lower / 2, lower / 2}
		got := runOrder(t, medlargw.PolicyLeastWork, l)[0]
		t.Logf("lower classes at %.1f: %v, alone %v", lower, got, alone)
		if got.mean > 1.05*alone.mean {
			t.Errorf("lower load %.1f: got a mean of %.3f, want at most 1.05 x %.3f", lower, got.mean, alone.mean)
		}
	}
}
