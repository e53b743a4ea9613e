package conductor_test

import (
	"context"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestUnreadRequestStartsNothing guards against a task alive twice since its job has
// two homes. A request waits unread at its entry, its connection breaks, and the
// caller submits the job elsewhere. Then the entry reads the request, some time before
// it notices that the connection is closed.
func TestUnreadRequestStartsNothing(t *testing.T) {
	const (
		tasks  = 4
		work   = 200 * time.Millisecond
		notice = 30 * time.Millisecond
	)
	resubmit := leaseSettings().Resubmit
	unread := resubmit + 80*time.Millisecond
	tests := []struct {
		name   string
		freeze time.Duration // Of the entry, from the arrival of the request.
	}{
		{"the entry stood still", unread},
		{"the entry had no processor time", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 1, []string{"a1", "a2", "a3"}, func(cl *cluster) {
				late, other := cl.entries[0], cl.entries[1]
				sent := time.Now()
				late.clock.freeze(test.freeze)
				time.Sleep(resubmit)
				cl.submit(other, "job", tasks, work, 14000)
				time.Sleep(unread - resubmit)
				job := cl.newJob("job", tasks, work, 14000)
				job.Heard = sent
				ctx, cancel := context.WithTimeout(context.Background(), notice)
				defer cancel()
				got := late.conductor.Submit(ctx, job)
				if len(got.Tasks) != tasks || !got.NotRun() || got.RetryAfter <= 0 {
					t.Errorf("request read late: got %+v, want tasks that have not run and a time to retry", got)
				}
				time.Sleep(2 * time.Second)
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
				if got := late.counter("refused.unread-rank-0"); got != 1 {
					t.Errorf("counted refusals: got %d, want 1", got)
				}
				cl.withLock(func() {
					if got := cl.outcomes[""]; got != 1 {
						t.Errorf("complete jobs at the other entry: got %d, want 1 of %v", got, cl.outcomes)
					}
				})
				if got := cl.submitOnce(late, "next", tasks, work, 14000); !got.Complete {
					t.Errorf("request that is read in time: got %+v, want a complete job", got)
				}
			})
		})
	}
}

// TestUnreadLimit guards against an entry that refuses all requests since leases are
// longer than the time until callers submit their jobs again.
func TestUnreadLimit(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name     string
		settings medlargw.LeaseSettings
		want     time.Duration
	}{
		{"usual", medlargw.LeaseSettings{Resubmit: 1300 * ms, Lease: 800 * ms, Drift: 0.025, Stop: 50 * ms, Call: 200 * ms}, 230 * ms},
		{"shorter lease", medlargw.LeaseSettings{Resubmit: 1300 * ms, Lease: 400 * ms, Drift: 0.025, Stop: 50 * ms, Call: 200 * ms}, 640 * ms},
		{"lease beyond the return of callers", medlargw.LeaseSettings{Resubmit: 1300 * ms, Lease: 1600 * ms, Drift: 0.025, Stop: 50 * ms, Call: 200 * ms}, 100 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.settings.UnreadLimit().Round(time.Microsecond); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
