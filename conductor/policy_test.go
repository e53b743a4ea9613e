package conductor_test

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// policyHosts are the hosts of the cluster under load, two in each zone.
var policyHosts = []string{"a1", "a2", "b1", "b2", "c1", "c2"}

// loadDuration is the time during which jobs arrive.
const loadDuration = 8 * time.Second

// scenario is a load, with the faults and events during it, and the bounds of
// the results.
type scenario struct {
	name       string
	load       func(g *generator)
	faults     map[string]medlargw.TargetFaults // Faults of targets, during the whole load.
	resets     map[string][]time.Duration       // Times at which targets restart as a new incarnation.
	duringLoad func(cl *cluster)                // Starts together with the load.

	maxResponse float64 // Maximum mean response time of each kind, relative to the ideal; zero if unbounded.
	payoff      float64 // Minimum share of the ideal's payoff; zero if unbounded.
	wasted      float64 // Maximum share of the core-seconds spent on runs that did not succeed.
}

// minGroupShare is the share of the available payoff that each kind and each
// zone must earn. It is the bound for days of high load in the current
// installations.
const minGroupShare = 0.31

// jobResult is the outcome of a job and its response time.
type jobResult struct {
	job     *loadJob
	age     time.Duration
	outcome medlargw.Outcome
}

// runLoad submits the jobs of a load, and returns their results in the same
// order once all have an outcome.
func (cl *cluster) runLoad(load []loadJob) []jobResult {
	jobResults := make([]jobResult, len(load))
	began := time.Now()
	for i := range load {
		j := &load[i]
		time.Sleep(time.Until(began.Add(j.at)))
		key := fmt.Sprintf("p%d", i)
		m := j.medlargwJob(key)
		cl.withLock(func() {
			cl.pending++
			for _, t := range m.Tasks {
				cl.sim.taskWork[t.ID] = medlargw.SimulatedTask{RunTime: j.work, Resources: m.Resources}
			}
		})
		go func() {
			defer cl.withLock(func() { cl.pending-- })
			jobResults[i] = cl.submitJob(j, m, i)
			cl.recordRefusal(m.Tasks, &jobResults[i].outcome)
		}()
	}
	for open := 1; open > 0; time.Sleep(100 * time.Millisecond) {
		cl.withLock(func() { open = cl.pending })
	}
	return jobResults
}

// submitJob submits one job to an entry of its zone, or to any entry if the
// zone has none, like a load balancer.
func (cl *cluster) submitJob(j *loadJob, m *medlargw.Job, number int) jobResult {
	ctx := context.Background()
	if j.leavesAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, j.leavesAfter)
		defer cancel()
	}
	all := cl.alive()
	near := slices.DeleteFunc(slices.Clone(all), func(e *entry) bool { return zoneOf(e.host) != j.zone })
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return jobResult{job: j, outcome: medlargw.Outcome{Code: medlargw.CodeAttemptLost}}
	}
	o := near[number%len(near)].conductor.Submit(ctx, m)
	return jobResult{job: j, age: time.Since(m.Arrived), outcome: o}
}

// results are the measurements that a scenario is checked by, averaged over
// seeds.
type results struct {
	share       float64    // Share of the available payoff that is earned.
	payoff      float64    // Payoff relative to the ideal's.
	fcfsPayoff  float64    // Payoff of first come, first served relative to the ideal's.
	worstShare  float64    // Share of the available payoff that the worst kind or zone earns.
	response    [3]float64 // Mean response time of each kind relative to the ideal's.
	refused     float64    // Share of the jobs that are refused.
	lateRefused float64    // Share of the jobs that are refused after more than 20 ms.
	wasted      float64    // Share of the core-seconds spent on runs that did not succeed.
}

func (r *results) String() string {
	return fmt.Sprintf("| %.2f | %.2f | %.2f | %.2f | %.2f, %.2f, %.2f | %.3f | %.3f | %.3f |", r.share, r.payoff, r.fcfsPayoff, r.worstShare,
		r.response[0], r.response[1], r.response[2], r.refused, r.lateRefused, r.wasted)
}

// add adds other results with a weight.
func (r *results) add(other *results, share float64) {
	r.share += share * other.share
	r.payoff += share * other.payoff
	r.fcfsPayoff += share * other.fcfsPayoff
	r.worstShare += share * other.worstShare
	for k := range r.response {
		r.response[k] += share * other.response[k]
	}
	r.refused += share * other.refused
	r.lateRefused += share * other.lateRefused
	r.wasted += share * other.wasted
}

// evaluate computes the results of a run from the outcomes of the jobs,
// compared with both baselines, and from the core-seconds spent.
func evaluate(jobResults []jobResult, idealJobs, fcfsJobs []*baselineJob, done, wasted float64) *results {
	r := &results{fcfsPayoff: totalPayoff(fcfsJobs) / totalPayoff(idealJobs), wasted: wasted / (done + wasted)}
	earned, available := map[string]float64{}, map[string]float64{}
	var sums, idealSums [3]time.Duration
	for i := range jobResults {
		a, b := &jobResults[i], idealJobs[i]
		if !a.job.callerWaits() {
			continue
		}
		for _, key := range []string{"", kinds[a.job.kind].name, "zone " + a.job.zone} {
			if a.job.deadline >= a.job.work { // No policy could complete the others.
				available[key] += a.job.payoffAt(0)
			}
			if a.outcome.Complete {
				earned[key] += a.job.payoffAt(a.age)
			}
		}
		if a.outcome.Complete && b.end > 0 {
			sums[a.job.kind] += a.age
			idealSums[a.job.kind] += b.end - b.at
		}
		if a.outcome.Code == medlargw.CodeOverloaded {
			r.refused += 1 / float64(len(jobResults))
			if a.age > 20*time.Millisecond {
				r.lateRefused += 1 / float64(len(jobResults))
			}
		}
	}
	r.share, r.payoff, r.worstShare = earned[""]/available[""], earned[""]/totalPayoff(idealJobs), math.Inf(1)
	for key, of := range available {
		r.worstShare = min(r.worstShare, earned[key]/of)
	}
	for k := range sums {
		r.response[k] = float64(sums[k]) / float64(max(idealSums[k], 1))
	}
	return r
}

// check compares the results with the bounds of the scenario.
func (s *scenario) check(t *testing.T, r *results) {
	for k, got := range r.response {
		if s.maxResponse > 0 && got > s.maxResponse {
			t.Errorf("response of %s: got %.3f of the ideal, want at most %.2f", kinds[k].name, got, s.maxResponse)
		}
	}
	if r.payoff < s.payoff {
		t.Errorf("payoff: got %.3f of the ideal, want at least %.2f", r.payoff, s.payoff)
	}
	if r.worstShare < minGroupShare {
		t.Errorf("worst kind or zone: got %.3f of the available payoff, want at least %.2f", r.worstShare, minGroupShare)
	}
	if r.wasted > s.wasted {
		t.Errorf("wasted work: got %.3f of the core-seconds, want at most %.2f", r.wasted, s.wasted)
	}
}

// baselineTargets returns the targets of a cluster for a baseline.
func baselineTargets(s *scenario, targets []medlargw.Target) []*baselineTarget {
	var all []*baselineTarget
	for _, t := range targets {
		fault := s.faults[string(t.Name)]
		all = append(all, &baselineTarget{
			free: t.Resources.Cores, slowdown: cmp.Or(fault.SlowFactor, 1), hang: fault.Hang, fail: fault.Fail, resets: s.resets[string(t.Name)],
		})
	}
	return all
}

// run runs the scenario and both baselines with several seeds, and returns the
// mean of the results.
func (s *scenario) run(t *testing.T) *results {
	mean := &results{}
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, seed, policyHosts, func(cl *cluster) { mean.add(s.runOnce(cl, seed), 1/float64(seeds())) })
		})
	}
	t.Logf("| %s %v", s.name, mean)
	return mean
}

func (s *scenario) runOnce(cl *cluster, seed uint64) *results {
	targets := cl.sim.targets.Targets()
	g := newGenerator(seed, loadDuration, cl.totalCores())
	s.load(g)
	slices.SortStableFunc(g.jobs, func(a, b loadJob) int { return cmp.Compare(a.at, b.at) })
	for name, fault := range s.faults {
		cl.sim.targets.SetFaults(medlargw.TargetName(name), fault)
	}
	for name, times := range s.resets {
		for _, at := range times {
			time.AfterFunc(at, func() { cl.sim.targets.Crash(medlargw.TargetName(name)) })
			time.AfterFunc(at+time.Second, func() { cl.setGroups() }) // The host list is read each second.
		}
	}
	if s.duringLoad != nil {
		go s.duringLoad(cl)
	}
	jobResults := cl.runLoad(g.jobs)
	for _, violation := range cl.sim.targets.Violations() {
		cl.sim.t.Error(violation)
	}
	fresh := func() []*baselineTarget { return baselineTargets(s, targets) }
	done, wasted := cl.sim.targets.CoreSeconds()
	return evaluate(jobResults, ideal(g.jobs, fresh), (&baseline{targets: fresh()}).simulate(g.jobs), done, wasted)
}

// steady returns a load at a constant share of the capacity.
func steady(share float64) func(g *generator) {
	return func(g *generator) { g.add(0, g.until, share) }
}

// firstTargets returns the fault for the first n targets, spread over the
// entries.
func firstTargets(n int, fault medlargw.TargetFaults) map[string]medlargw.TargetFaults {
	all := map[string]medlargw.TargetFaults{}
	for i := range n {
		all[fmt.Sprintf("%s-t%d", policyHosts[i%len(policyHosts)], i/len(policyHosts))] = fault
	}
	return all
}

// staggered returns restart times for the first n targets, one after the other.
func staggered(n int, interval time.Duration) map[string][]time.Duration {
	all := map[string][]time.Duration{}
	for i := range n {
		name := fmt.Sprintf("%s-t%d", policyHosts[i%len(policyHosts)], i/len(policyHosts))
		all[name] = []time.Duration{time.Duration(i+1) * interval}
	}
	return all
}

// TestPolicy runs each load scenario. The bounds are those of issue 10: 1.05 of
// the ideal response time at 60% load, 0.85 of the ideal payoff at demand above
// the capacity, and 2% of the core-seconds wasted without faults or 5% with
// faults.
func TestPolicy(t *testing.T) {
	tests := []scenario{
		{name: "60% load", load: steady(0.6), maxResponse: 1.05, payoff: 0.95, wasted: 0.02},
		{name: "90% load", load: steady(0.9), payoff: 0.85, wasted: 0.02},
		{name: "burst of one kind", load: func(g *generator) {
			g.add(0, g.until, 0.5)
			g.add(2*time.Second, 5*time.Second, 1.5, 1)
		}, payoff: 0.85, wasted: 0.02},
		{name: "burst of all", load: func(g *generator) {
			g.add(0, g.until, 0.5)
			g.add(2*time.Second, 5*time.Second, 1)
		}, payoff: 0.85, wasted: 0.02},
		{name: "wide jobs at once", load: func(g *generator) {
			g.add(0, g.until, 0.4)
			for i := range 12 {
				j := g.job(time.Duration(1+i/6*3)*time.Second, 0)
				j.tasks = 40
				g.jobs = append(g.jobs, j)
			}
		}, payoff: 0.85, wasted: 0.02},
		{name: "demand above capacity", load: func(g *generator) {
			g.add(0, g.until, 0.6)
			g.add(2*time.Second, 6*time.Second, 1)
		}, payoff: 0.85, wasted: 0.02},
		{name: "a zone without hosts", load: steady(0.6), duringLoad: func(cl *cluster) {
			time.Sleep(2 * time.Second)
			cl.stop(cl.entries[4])
			cl.stop(cl.entries[5])
			time.Sleep(500 * time.Millisecond)
			cl.setGroups()
		}, payoff: 0.85, wasted: 0.05},
		{
			name: "a third of the targets slow", load: steady(0.5),
			faults: firstTargets(10, medlargw.TargetFaults{SlowFactor: 4}), payoff: 0.85, wasted: 0.05,
		},
		{
			name: "a tenth of the targets hang", load: steady(0.6),
			faults: firstTargets(3, medlargw.TargetFaults{Hang: true}), payoff: 0.85, wasted: 0.05,
		},
		{
			name: "a tenth of the targets fail all", load: steady(0.6),
			faults: firstTargets(3, medlargw.TargetFaults{Fail: true}), payoff: 0.85, wasted: 0.05,
		},
		{name: "hopeless jobs", load: func(g *generator) {
			g.add(0, g.until, 0.6)
			for i := range g.jobs {
				if i%5 == 0 {
					g.jobs[i].deadline = g.jobs[i].work / 3
				}
			}
		}, maxResponse: 1.05, payoff: 0.95, wasted: 0.02},
		{name: "callers that leave early", load: func(g *generator) {
			g.add(0, g.until, 0.7)
			for i := range g.jobs {
				if i%3 == 0 {
					g.jobs[i].leavesAfter = g.jobs[i].work / 2
				}
			}
		}, payoff: 0.95, wasted: 0.3}, // A fifth of the work is done when its caller disconnects; stopping a run takes another 30 ms.
		{name: "targets replaced in turn", load: steady(0.6), resets: staggered(24, 300*time.Millisecond), payoff: 0.85, wasted: 0.05},
		{name: "all hosts lost at once", load: steady(0.6), duringLoad: func(cl *cluster) {
			time.Sleep(2 * time.Second)
			cl.restartAll(1200 * time.Millisecond)
		}, wasted: 0.05},
	}
	for i := range tests {
		t.Run(tests[i].name, func(t *testing.T) {
			t.Parallel()
			tests[i].check(t, tests[i].run(t))
		})
	}
}

// TestUrgentAtHighLoad checks the bound of issue 10 for the response time of
// the most urgent kind at 90% load.
func TestUrgentAtHighLoad(t *testing.T) {
	const want = 1.10
	s := scenario{name: "90% load", load: steady(0.9)}
	if got := s.run(t).response[0]; got > want {
		t.Errorf("response of %s: got %.3f of the ideal, want at most %.2f", kinds[0].name, got, want)
	}
}
