package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestJobIsNotRelayedAwayFromItsHome guards against a task alive twice: an entry that has
// given a job up lags, and hands the next submission of the job to a peer, which knows
// nothing of the runs.
func TestJobIsNotRelayedAwayFromItsHome(t *testing.T) {
	const (
		lag   = 120 * time.Millisecond
		tasks = 4
		work  = 900 * time.Millisecond
	)
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runClusterWith(t, seed, []string{"a1", "a2", "b1"}, func(cl *cluster) { cl.relay = 50 * time.Millisecond }, func(cl *cluster) {
				home := cl.entries[0]
				ctx, leave := context.WithCancel(context.Background())
				time.AfterFunc(100*time.Millisecond, func() { home.clock.freeze(lag) })
				time.AfterFunc(100*time.Millisecond+lag+30*time.Millisecond, leave)
				home.conductor.Submit(ctx, cl.newJob("job", tasks, work, 14000))
				time.Sleep(25 * time.Millisecond)
				if got := cl.submitOnce(home, "job", tasks, work, 14000); !got.Complete {
					t.Errorf("second submission: got %+v, want a complete job", got)
				}
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}
