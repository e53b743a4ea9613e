package conductor_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// refusalCounts counts the tasks of refused jobs.
type refusalCounts struct {
	refused  int             // Tasks of jobs that were answered as not run.
	ordered  int             // Those of which a target had rejected a start order.
	repeated int             // Those of a job that had been submitted before.
	rejected map[string]bool // Tasks of which a target has rejected a start order.
}

func (n *refusalCounts) add(task string, submission int) {
	n.refused++
	if n.rejected[task] {
		n.ordered++
	}
	if submission > 1 {
		n.repeated++
	}
}

// TestRefusedJobsNeverRun guards against an untrue refusal: a job is answered as not run
// though a task of it has started, starts later or runs for a former submission, so that
// its caller, who comes back at once, gives it a second home. Targets reject orders,
// zones are evacuated and jobs come in bursts, beside the disturbances of the other
// searches.
func TestRefusedJobsNeverRun(t *testing.T) {
	t.Parallel()
	var sum refusalCounts
	rapid.Check(t, func(t *rapid.T) {
		w := runSearch(t, &searchPlan{idempotent: rapid.Bool().Draw(t, "idempotent"), returns: true, kinds: drawnWithRefusals}, func(w *searchWorld) []string {
			return slices.Concat(w.targets.Violations(), w.problems, w.endless)
		})
		sum.refused += w.refusals.refused
		sum.ordered += w.refusals.ordered
		sum.repeated += w.refusals.repeated
	})
	t.Logf("refused tasks: %d, %d after a rejected order, %d of a job that was submitted before", sum.refused, sum.ordered, sum.repeated)
	if sum.ordered == 0 || sum.repeated == 0 {
		t.Errorf("got %d refused tasks after a rejected order and %d of a job that was submitted before, want some of both", sum.ordered, sum.repeated)
	}
}
