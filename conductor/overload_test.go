package conductor_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// classResult is what became of the jobs of one kind.
type classResult struct {
	earned, available float64
	admitted          int // Not refused.
	unserved          int // Admitted, and failed or ended later than any caller has a use for.
}

func (c *classResult) add(r *jobResult) {
	payoff := 0.0
	if r.outcome.Complete {
		payoff = r.job.payoffAt(r.age)
	}
	c.earned += payoff
	c.available += r.job.payoffAt(0)
	if r.outcome.Code != medlargw.CodeOverloaded {
		c.admitted++
		if payoff == 0 {
			c.unserved++
		}
	}
}

// share returns the earned share of the available payoff.
func (c *classResult) share() float64 { return c.earned / c.available }

// TestBurstOfTwiceTheRoom answers six seconds of twice the demand that the targets
// can serve, between seconds of 0.6: the more urgent classes must be served best, a
// job that is not refused must be served, and two seconds after the burst all must
// be as before.
func TestBurstOfTwiceTheRoom(t *testing.T) {
	const (
		burst       = 2 * time.Second // When it begins.
		calm        = 8 * time.Second // When it ends.
		normal      = calm + 2*time.Second
		until       = 13 * time.Second
		maxUnserved = 0.02 // Share of the admitted jobs.
		minAfter    = 0.98 // Payoff after the burst, relative to that before.
	)
	var before, after, during classResult
	var byKind [3]classResult
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, seed, policyHosts, func(cl *cluster) {
				for _, r := range cl.runLoad(cl.burst(seed, burst, calm, until)) {
					switch {
					case r.job.at < burst:
						before.add(&r)
					case r.job.at < calm:
						during.add(&r)
						byKind[r.job.kind].add(&r)
					case r.job.at >= normal:
						after.add(&r)
					}
				}
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
		})
	}
	for k := range byKind {
		got := byKind[k].share()
		t.Logf("%s: earned %.2f", kinds[k].name, got)
		if k > 0 && got > byKind[k-1].share() {
			t.Errorf("share of the payoff of %s: got %.2f, want no more than that of %s", kinds[k].name, got, kinds[k-1].name)
		}
	}
	got := float64(during.unserved) / float64(during.admitted)
	t.Logf("admitted and not served: %.3f", got)
	if got > maxUnserved {
		t.Errorf("admitted and not served: got %.3f, want at most %.2f", got, maxUnserved)
	}
	if got, want := after.share(), minAfter*before.share(); got < want {
		t.Errorf("payoff from two seconds after the burst on: got %.3f, want at least %.3f", got, want)
	}
}

// TestMinimumShareUnderOverload answers lasting overload by urgent work: a class
// with a declared minimum share of the starts keeps it, or all that it asks for,
// and what is admitted by it is on time. Without one, the class is refused first.
func TestMinimumShareUnderOverload(t *testing.T) {
	const (
		build = 2
		share = 0.05
	)
	tests := []struct {
		name     string
		minShare float64
	}{{"no share", 0}, {"a share", share}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			starts, late, jobs := [3]int{}, 0, 0
			runCluster(t, 1, policyHosts, func(cl *cluster) {
				for _, e := range cl.entries {
					e.conductor.Configure(&medlargw.Config{Classes: []medlargw.Class{{Name: "build", Rank: build, MinShare: test.minShare}}})
				}
				g := newGenerator(1, 3*loadDuration, cl.totalCores())
				g.add(0, g.until, 2)
				for _, r := range cl.runLoad(g.jobs) {
					if r.job.at < time.Second || r.outcome.Code == medlargw.CodeOverloaded {
						continue
					}
					starts[r.job.kind] += r.job.tasks
					if r.job.kind == build {
						jobs++
						if r.age > r.job.objective() {
							late++
						}
					}
				}
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
			got := float64(starts[build]) / float64(starts[0]+starts[1]+starts[2])
			t.Logf("share of the starts: %.3f; %d of %d jobs late", got, late, jobs)
			if kept := got >= share; kept != (test.minShare > 0) {
				t.Errorf("share of the starts: got %.3f, want at least %.3f only with a declared share", got, share)
			}
			if test.minShare > 0 && late > jobs/10 {
				t.Errorf("late jobs of the class: got %d of %d, want at most a tenth", late, jobs)
			}
		})
	}
}

// TestInvalidMinimumShares checks that an entry which meets shares that publishing
// would refuse ignores and logs them.
func TestInvalidMinimumShares(t *testing.T) {
	const one, all = "minimum share of a class ignored", "minimum shares of all classes ignored"
	tests := []struct {
		name   string
		shares []float64
		want   map[string]int
	}{
		{"none", []float64{0, 0}, map[string]int{}},
		{"the whole", []float64{0.6, 0.4}, map[string]int{}},
		{"negative", []float64{-0.1, 0.4}, map[string]int{one: 1}},
		{"over one", []float64{0.1, 1.1}, map[string]int{one: 1}},
		{"not a number", []float64{math.NaN(), 0.1}, map[string]int{one: 1}},
		{"more than the whole", []float64{0.6, 0.5}, map[string]int{all: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := logs{}
			runLoggedCluster(t, 1, []string{"a1"}, l, func(cl *cluster) {
				cfg := &medlargw.Config{}
				for i, share := range test.shares {
					cfg.Classes = append(cfg.Classes, medlargw.Class{Rank: i, MinShare: share})
				}
				cl.entries[0].conductor.Configure(cfg)
			})
			for _, msg := range []string{one, all} {
				if got := l.count(t, msg); got != test.want[msg] {
					t.Errorf("lines %q: got %d, want %d", msg, got, test.want[msg])
				}
			}
		})
	}
}

// TestShortBurstKeepsPatientJobs answers a fifth of a second of twice the
// demand that the targets can serve, after which they drain its queues in less time than
// the least urgent jobs can wait: none of these may be refused.
func TestShortBurstKeepsPatientJobs(t *testing.T) {
	const (
		burst = 2 * time.Second
		calm  = burst + 200*time.Millisecond
		until = 5 * time.Second
	)
	patient := len(kinds) - 1
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, seed, policyHosts, func(cl *cluster) {
				refused, all := 0, 0
				for _, r := range cl.runLoad(cl.burst(seed, burst, calm, until)) {
					if r.job.kind != patient {
						continue
					}
					all++
					if r.outcome.Code == medlargw.CodeOverloaded {
						refused++
					}
				}
				if refused > 0 || all == 0 {
					t.Errorf("refused jobs of %s: got %d of %d, want none", kinds[patient].name, refused, all)
				}
			})
		})
	}
}
