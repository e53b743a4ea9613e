package conductor_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"medlargw.example/medlargw"
)

// returningCallers submits the jobs of a load until they are answered or have been
// refused for longer than patience. Callers come back when they were told to, in
// whole seconds, as over HTTP. It returns the time until each answer, zero if there
// was none, and the work asked for in each second.
func (cl *cluster) returningCallers(load []loadJob, patience time.Duration) ([]time.Duration, []float64) {
	answered := make([]time.Duration, len(load))
	asked := make([]float64, int((patience+loadDuration)/time.Second)*2)
	began := time.Now()
	var wg conc.WaitGroup
	for i := range load {
		j := &load[i]
		time.Sleep(time.Until(began.Add(j.at)))
		wg.Go(func() {
			arrived := time.Now()
			for try := 0; time.Since(arrived) < patience; try++ {
				key := fmt.Sprintf("r%d-%d", i, try)
				m := j.medlargwJob(key)
				cl.withLock(func() {
					asked[int(time.Since(began)/time.Second)] += float64(j.cores) * j.work.Seconds() * float64(j.tasks)
					for _, t := range m.Tasks {
						cl.sim.taskWork[t.ID] = medlargw.SimulatedTask{RunTime: j.work, Resources: m.Resources}
					}
				})
				r := cl.submitJob(j, m, i+try)
				cl.recordRefusal(m.Tasks, &r.outcome)
				if r.outcome.Complete {
					answered[i] = time.Since(arrived)
					return
				}
				time.Sleep((r.outcome.RetryAfter + time.Second - 1).Truncate(time.Second))
			}
		})
	}
	wg.Wait()
	return answered, asked
}

// TestCallersReturnInOrder answers a burst of twice the demand that the targets can
// serve whose refused callers come back as they were told: their return must not
// add a second peak, and they must be answered in the order of their classes.
func TestCallersReturnInOrder(t *testing.T) {
	const (
		burst    = 2 * time.Second
		calm     = 5 * time.Second
		until    = 20 * time.Second
		patience = 40 * time.Second
		maxPeak  = 1.15 // Demand in any later second relative to the first one of the burst; arrivals vary by chance.
	)
	runCluster(t, 1, policyHosts, func(cl *cluster) {
		jobs := cl.burst(1, burst, calm, until)
		answered, asked := cl.returningCallers(jobs, patience)
		for _, violation := range cl.sim.targets.Violations() {
			t.Error(violation)
		}
		var mean [3]time.Duration
		var n, unanswered [3]int
		for i := range jobs {
			if j := &jobs[i]; j.at >= burst && j.at < calm {
				n[j.kind]++
				mean[j.kind] += answered[i]
				if answered[i] == 0 {
					unanswered[j.kind]++
				}
			}
		}
		for s := range asked {
			asked[s] /= float64(cl.totalCores())
		}
		t.Logf("asked for in each second, of all cores: %.2f", asked)
		first := asked[int(burst/time.Second)]
		if got := slices.Max(asked[int(burst/time.Second)+1:]); got > maxPeak*first {
			t.Errorf("later peak: got %.2f of the cores, want at most %.2f", got, maxPeak*first)
		}
		for k := range mean {
			mean[k] /= time.Duration(max(n[k], 1))
			t.Logf("%s: answered after %v on average, %d of %d not answered", kinds[k].name, mean[k].Round(time.Millisecond), unanswered[k], n[k])
			if unanswered[k] > 0 {
				t.Errorf("%s: got %d callers without an answer, want none", kinds[k].name, unanswered[k])
			}
			if k > 0 && mean[k] < mean[k-1] {
				t.Errorf("%s: answered after %v, want no earlier than %s after %v", kinds[k].name, mean[k], kinds[k-1].name, mean[k-1])
			}
		}
	})
}
