package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestPauseWhileARequestIsProcessed guards against a task alive twice after its entry
// has stood still at any point between the reading of the request and the sending of
// the start orders. The connection breaks when the pause begins, the entry notices
// that some time after the pause, and the caller submits the job elsewhere.
func TestPauseWhileARequestIsProcessed(t *testing.T) {
	const (
		tasks  = 4
		work   = 200 * time.Millisecond
		notice = 30 * time.Millisecond
		calls  = 30 // Readings of the clock.
	)
	resubmit := leaseSettings().Resubmit
	pause := resubmit + 80*time.Millisecond
	for number := range int64(calls) {
		t.Run(fmt.Sprintf("at reading %d of the clock", number+1), func(t *testing.T) {
			runCluster(t, 1, []string{"a1", "a2"}, func(cl *cluster) {
				halted, other := cl.entries[0], cl.entries[1]
				time.Sleep(time.Millisecond) // Apart from the ticks.
				job := cl.newJob("job", tasks, work, 14000)
				job.Heard = time.Now()
				halted.clock.freezeAfter(number+1, pause)
				ctx, cancel := context.WithTimeout(context.Background(), pause+notice)
				defer cancel()
				go halted.conductor.Submit(ctx, job)
				time.Sleep(resubmit)
				cl.submit(other, "job", tasks, work, 14000)
				time.Sleep(2 * time.Second)
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// TestPauseWhileAJobIsRelayed guards against a task alive twice after an entry has
// stood still at any point while it hands a job to a peer. The caller submits the job
// again at that peer or at another one, some time before the end of the pause.
func TestPauseWhileAJobIsRelayed(t *testing.T) {
	const (
		tasks  = 4
		work   = 900 * time.Millisecond
		lag    = 120 * time.Millisecond
		notice = 30 * time.Millisecond
		calls  = 6 // Readings of the clock.
	)
	tests := []struct {
		name   string
		second int           // Entry of the second submission.
		ahead  time.Duration // Of the second submission, before the end of the pause.
	}{
		{"same peer, at the end of the pause", 1, 0},
		{"same peer, before the end of the pause", 1, 80 * time.Millisecond},
		{"same peer, long before the end of the pause", 1, 300 * time.Millisecond},
		{"another peer, at the end of the pause", 2, 0},
		{"another peer, before the end of the pause", 2, 80 * time.Millisecond},
		{"another peer, long before the end of the pause", 2, 300 * time.Millisecond},
	}
	for _, test := range tests {
		for number := range int64(calls) {
			t.Run(fmt.Sprintf("%s, at reading %d of the clock", test.name, number+1), func(t *testing.T) {
				runClusterWith(t, 1, []string{"a1", "a2", "b1"}, func(cl *cluster) { cl.relay = 50 * time.Millisecond }, func(cl *cluster) {
					late, other := cl.entries[0], cl.entries[test.second]
					resubmit := leaseSettings().Resubmit
					pause := resubmit + test.ahead
					late.clock.freeze(lag)
					time.Sleep(lag + 31*time.Millisecond) // Apart from the ticks.
					job := cl.newJob("job", tasks, work, 14000)
					job.Heard = time.Now()
					late.clock.freezeAfter(number+1, pause)
					ctx, cancel := context.WithTimeout(context.Background(), pause+notice)
					defer cancel()
					go late.conductor.Submit(ctx, job)
					time.Sleep(resubmit)
					cl.submit(other, "job", tasks, work, 14000)
					time.Sleep(4 * time.Second)
					for _, violation := range cl.sim.targets.Violations() {
						t.Error(violation)
					}
				})
			})
		}
	}
}
