package decider_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

const (
	refusalSeed = 13
	burst       = 10 * time.Second
)

// overload is what became of the jobs of a burst.
type overload struct {
	jobs, refused, shed, inTime, late int
	wasted                            int           // Messages.
	normal                            time.Duration // After the burst, until less than a tenth of the slots' number waits.
}

// burstRun offers half the capacity for 30 s, and five times the capacity for
// 10 s from the tenth second on. All jobs have a deadline of two seconds.
func burstRun(t testing.TB, estimates bool, off float64) [3]overload {
	t.Helper()
	tools := tools(medlargw.OrderLeast)
	if !estimates {
		tools.Estimator = noEstimator{}
	}
	b := newBench(t, refusalSeed, settings(), tools)
	b.decider.Configure(b.now, config(12))
	b.grow(50)
	l := load{teams: 12, shares: at(0.5), last: 30 * time.Second, off: off, limit: 2 * time.Second}
	b.offer(l, 400)
	b.at(epoch.Add(warmUp), func() {
		l.last = burst
		l.shares = at(4.5)
		b.offer(l, 400)
	})
	var normal time.Duration
	for after := time.Duration(0); after < burst; after += 10 * time.Millisecond {
		b.at(epoch.Add(warmUp+burst+after), func() {
			waiting := 0
			for _, c := range b.decider.Waiting() {
				waiting += c.Tasks
			}
			if waiting >= 40 {
				normal = after
			}
		})
	}
	b.run()
	b.balanced()
	var all [3]overload
	for i := range b.outcomes {
		r := &b.outcomes[i]
		arrived := r.work.job.Arrived.Sub(epoch)
		if arrived < warmUp || arrived >= warmUp+burst {
			continue
		}
		o := &all[r.work.class]
		o.add(r)
		o.wasted = b.wasted
		o.normal = normal
	}
	return all
}

func (o *overload) add(r *result) {
	o.jobs++
	switch {
	case r.outcome.Complete:
		o.inTime++
	case r.outcome.Code == medlargw.CodeDeadline:
		o.late++
	case r.at.Equal(r.work.job.Arrived):
		o.refused++
	default:
		o.shed++
	}
}

// BenchmarkBurst prints the figures of docs/design/refusal.md.
func BenchmarkBurst(b *testing.B) {
	for _, off := range []float64{1, 10} {
		for _, estimates := range []bool{false, true} {
			for class, o := range burstRun(b, estimates, off) {
				b.Logf("off %2.0fx, expected wait %-5t class %d: %+v", off, estimates, class, o)
			}
		}
	}
}

func TestBurstSparesTheHighestClass(t *testing.T) {
	t.Parallel()
	all := burstRun(t, true, 10)
	top := all[0]
	if got := float64(top.inTime) / float64(top.jobs); got < 0.95 {
		t.Errorf("highest class: got %.3f of the jobs answered in time, want at least 0.95: %+v", got, top)
	}
	for class, o := range all {
		if got := float64(o.late) / float64(o.jobs); got > 0.05 {
			t.Errorf("class %d: got %.3f of the jobs late, want at most 0.05: %+v", class, got, o)
		}
	}
}
