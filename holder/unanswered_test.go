package holder_test

import (
	"fmt"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// startOne offers a task and returns its start order.
func (w *worker) startOne() *medlargw.StartCommand {
	w.t.Helper()
	w.last++
	state, a := w.offer(w.last, 8000)
	if state != medlargw.OfferStarted || len(a.Starts) != 1 {
		w.t.Fatalf("offer of task %d: got %v and %d starts, want one", w.last, state, len(a.Starts))
	}
	return &a.Starts[0]
}

// TestUnansweredStart has a target answer start orders within 2 ms and leave one
// unanswered, as targets do that drop part of their orders or carry them out late. The
// task must be returned, proven not to run, well before the order times out.
func TestUnansweredStart(t *testing.T) {
	tests := []struct {
		name   string
		lag    time.Duration
		active bool // The target has carried the order out; only its answer is late.
		want   medlargw.TaskEvent
		within time.Duration
	}{
		{"order lost", 0, false, medlargw.TaskReturned, 90 * time.Millisecond},
		{"order lost while this entry lags", 60 * time.Millisecond, false, medlargw.TaskReturned, 150 * time.Millisecond},
		{"answer lost", 0, true, medlargw.TaskStopped, 90 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := &worker{fixture: newFixture(t)}
			for range 10 {
				if !w.run(2*time.Millisecond, medlargw.RunSucceeded) {
					t.Fatal("no start")
				}
			}
			w.h.SetLag(test.lag)
			start := w.startOne()
			ordered := w.now
			var stop *medlargw.StopCommand
			for stop == nil && w.now.Sub(ordered) < time.Second {
				w.now = w.now.Add(5 * time.Millisecond)
				w.h.HandleOffer(w.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
				w.h.Tick(w.now)
				if a := w.h.TakeActions(); len(a.Stops) > 0 {
					stop = &a.Stops[0]
				}
			}
			if stop == nil {
				t.Fatal("stops: got none, want one")
			}
			if got := w.now.Sub(ordered); got <= test.lag {
				t.Errorf("stop after %v, which this entry's own lag explains", got)
			}
			w.h.StopAnswered(w.now, stop, medlargw.OrderReply{}, nil)
			a := w.h.TakeActions()
			if len(a.Renewals) != 1 || !a.Renewals[0].Extra {
				t.Fatalf("renewals after the stop: got %+v, want an extra one", a.Renewals)
			}
			w.now = w.now.Add(2 * time.Millisecond)
			report := medlargw.RunReport{Clock: w.now.Sub(ordered) + time.Minute}
			if test.active {
				report.Ended = []medlargw.RunEnd{{Sequence: 100, Run: start.Order.Run, Kind: medlargw.RunStopped}}
			}
			w.h.RenewAnswered(w.now, w.now, &a.Renewals[0], &report, nil)
			reports := w.h.TakeActions().Reports
			if len(reports) != 1 || reports[0].Event != test.want {
				t.Fatalf("reports: got %+v, want one event %v", reports, test.want)
			}
			if got := w.now.Sub(ordered); got > test.within {
				t.Errorf("task returned after %v, want at most %v", got, test.within)
			}
			w.h.StartAnswered(w.now, start, medlargw.OrderReply{}, nil) // The answer comes after all.
			if a := w.h.TakeActions(); len(a.Reports) > 0 {
				t.Errorf("reports after the late answer: got %+v, want none", a.Reports)
			}
		})
	}
}

// TestStartThatWasNotSent guards against a start order that is sent long after it was
// made, when the run may have been stopped and its target started again: one that was
// too old to be sent has started nothing, and the task starts anew.
func TestStartThatWasNotSent(t *testing.T) {
	x := newFixture(t)
	_, a := x.offer(1, 14000)
	first := a.Starts[0]
	x.now = x.now.Add(300 * time.Millisecond)
	x.h.StartAnswered(x.now, &first, medlargw.OrderReply{}, fmt.Errorf("old: %w", medlargw.ErrNotSent))
	a = x.takeActions()
	if len(a.Starts) != 1 || a.Starts[0].Order.Run != first.Order.Run {
		t.Errorf("starts after one that was not sent: got %v, want the same run", a.Starts)
	}
	if len(a.Stops) != 0 {
		t.Errorf("stops of a run that was not started: got %d, want none", len(a.Stops))
	}
}
