package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestRelayOfJobThatRunsAtItsPeer guards against a task alive twice: the caller of a job
// submits it again to another entry, which hands it to the home of the first submission.
// The home has not noticed that the caller's connection has ended.
func TestRelayOfJobThatRunsAtItsPeer(t *testing.T) {
	const (
		lag   = 120 * time.Millisecond
		tasks = 4
		work  = 900 * time.Millisecond
	)
	runClusterWith(t, 1, []string{"a1", "a2", "b1"}, func(cl *cluster) { cl.relay = 50 * time.Millisecond }, func(cl *cluster) {
		late, peer := cl.entries[0], cl.entries[1]
		late.clock.freeze(lag)
		time.Sleep(lag + 30*time.Millisecond)
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(150*time.Millisecond, leave)
		go peer.conductor.Submit(ctx, cl.newJob("job", tasks, work, 14000))
		time.Sleep(50 * time.Millisecond)
		cl.submitOnce(late, "job", tasks, work, 14000)
		if got := peer.counter("relays.received"); got != 1 {
			t.Fatalf("received by the peer: got %d, want 1", got)
		}
		time.Sleep(2 * time.Second)
		for _, violation := range cl.sim.targets.Violations() {
			t.Error(violation)
		}
	})
}

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
