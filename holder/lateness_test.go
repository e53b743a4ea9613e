package holder_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestSilentHomeOfLateHolder answers the load of a holder without processor time,
// which reads the messages of its homes late: 200 ms of its own lag are not silence
// of the home. No lease is renewed in that time, and none of the home's tasks
// starts, so a home that has died finds its tasks ended as before.
func TestSilentHomeOfLateHolder(t *testing.T) {
	tests := []struct {
		name    string
		lag     func(at time.Duration) time.Duration
		stopped time.Duration // When the run is stopped.
	}{
		{"on time", func(time.Duration) time.Duration { return 0 }, 520 * time.Millisecond},
		{"late since the last message", func(time.Duration) time.Duration { return 200 * time.Millisecond }, 720 * time.Millisecond},
		{"late for long", func(time.Duration) time.Duration { return time.Second }, 760 * time.Millisecond},
		{"late again on time", func(at time.Duration) time.Duration {
			return max(0, 600*time.Millisecond-at)
		}, 560 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newFixture(t)
			_, a := x.offer(1, 14000)
			x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: time.Second}, nil)
			begin, stopped := x.now, time.Duration(0)
			for x.now.Sub(begin) < time.Second && stopped == 0 {
				x.now = x.now.Add(20 * time.Millisecond)
				x.h.SetLag(tt.lag(x.now.Sub(begin)))
				x.h.Tick(x.now)
				a := x.takeActions()
				if len(a.Stops) > 0 {
					stopped = x.now.Sub(begin)
				}
				a.Renewals = append(a.Renewals, x.report(medlargw.RunReport{
					Clock: time.Second + x.now.Sub(begin), Active: []medlargw.ActiveRun{{Run: medlargw.RunID{Task: "b", Attempt: 1}, Percent: 99}},
				}).Renewals...)
				for _, r := range a.Renewals {
					if r.Renewal.LeaseEnd > 0 && x.now.Sub(begin) > 500*time.Millisecond {
						t.Errorf("lease renewed after %v of silence", x.now.Sub(begin))
					}
				}
			}
			if stopped != tt.stopped {
				t.Errorf("stop of the run: got after %v, want after %v", stopped, tt.stopped)
			}
		})
	}
}

// TestReadLateFromSilentHome checks that a home whose last message was read late
// gets no more time: it was silent for that long already.
func TestReadLateFromSilentHome(t *testing.T) {
	x := newFixture(t)
	x.h.SetLag(200 * time.Millisecond)
	_, a := x.offer(1, 14000)
	x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: time.Second}, nil)
	x.now = x.now.Add(520 * time.Millisecond)
	x.h.Tick(x.now)
	if got := len(x.takeActions().Stops); got != 1 {
		t.Errorf("stops after 520 ms: got %d, want 1", got)
	}
}

// TestNoStartForSilentHome checks that a task whose home fell silent during a
// pause of this holder does not start after the pause, whatever is read first.
func TestNoStartForSilentHome(t *testing.T) {
	x := newFixture(t)
	x.offer(1, 30000)
	offer := medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Tasks: []medlargw.OfferedTask{{
		ID: 2, Run: medlargw.RunID{Task: "c", Attempt: 1}, Pool: "pool", MayQueue: true, Resources: medlargw.Resources{Cores: 14000},
		Estimate: 100 * time.Millisecond, TimeToObjective: 2 * time.Second, TimeToDeadline: 3 * time.Second,
	}}}
	x.h.HandleOffer(x.now, 0, &offer)
	x.takeActions()
	x.now = x.now.Add(700 * time.Millisecond)
	x.h.SetLag(700 * time.Millisecond)
	a := x.report(medlargw.RunReport{Clock: 1700 * time.Millisecond, Ended: []medlargw.RunEnd{
		{Sequence: 1, Run: medlargw.RunID{Task: "b", Attempt: 1}, Kind: medlargw.RunSucceeded},
	}})
	if got := len(a.Starts); got != 0 {
		t.Errorf("starts for a home that is silent for 700 ms: got %d, want 0", got)
	}
}
