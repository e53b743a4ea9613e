package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestStalledHomeCancelsFirst guards against two runs of a task at the same time: the
// connection of a caller ends while the home stands still, and the home tells the holder
// that it lives before it reads that. The message with the cancel and the stop are lost,
// and the caller submits the job at another entry.
func TestStalledHomeCancelsFirst(t *testing.T) {
	const stall = 350 * time.Millisecond // A holder stops the runs of a silent home only later.
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, seed, []string{"a1", "b1", "b2"}, func(cl *cluster) {
				home, holder, next := cl.entries[0], cl.entries[1], cl.entries[2]
				cl.submit(home, "fill", 10, 4*time.Second, 14000) // The targets of its zone.
				time.Sleep(20 * time.Millisecond)
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				go home.conductor.Submit(ctx, cl.newJob("job", 4, 2*time.Second, 14000))
				time.Sleep(500 * time.Millisecond)
				home.clock.freeze(stall)
				time.Sleep(stall + time.Millisecond)
				leave()
				for _, other := range []*entry{holder, next} {
					cl.sim.setLinkDown(home.host, other.host, true)
				}
				time.Sleep(480 * time.Millisecond)
				for _, target := range cl.sim.targets.Targets() {
					cl.sim.setLinkDown(holder.host, string(target.Name), true)
				}
				time.Sleep(resendAfter - stall - 481*time.Millisecond)
				cl.submit(next, "job", 4, 2*time.Second, 14000)
				time.Sleep(4 * time.Second)
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// TestHomeThatIsAlwaysLate guards against callers who get no answer: a home that is
// interrupted again and again holds its messages and outcomes back each time.
func TestHomeThatIsAlwaysLate(t *testing.T) {
	const (
		period = 200 * time.Millisecond
		awake  = 9 * time.Millisecond // Of each period.
		jobs   = 10
	)
	runCluster(t, 1, []string{"a1", "b1"}, func(cl *cluster) {
		home := cl.entries[0]
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				home.clock.freeze(period - awake)
				time.Sleep(period)
			}
		}()
		time.Sleep(time.Second)
		ended := make(chan struct{}, jobs)
		for i := range jobs {
			go func() {
				home.conductor.Submit(ctx, cl.newJob(fmt.Sprintf("job%d", i), 2, 60*time.Millisecond, 1000))
				ended <- struct{}{}
			}()
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(7 * time.Second)
		if got := len(ended); got != jobs {
			t.Errorf("jobs with an outcome: got %d, want %d", got, jobs)
		}
	})
}
