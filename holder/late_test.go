package holder_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// passed lets time pass in which the home is heard and renewals get no answer, and
// returns the terminal reports and the stops of that time.
func (x *fixture) passed(d time.Duration) (ends []medlargw.TaskReport, stops []medlargw.StopCommand) {
	x.t.Helper()
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(10 * time.Millisecond)
		x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
		x.h.Tick(x.now)
		a := x.h.TakeActions()
		for _, e := range a.Reports {
			if e.Event.Terminal() {
				ends = append(ends, e)
			}
		}
		stops = append(stops, a.Stops...)
		for i := range a.Renewals {
			x.renewal = a.Renewals[i]
			x.h.RenewAnswered(x.now, x.now, &a.Renewals[i], &medlargw.RunReport{}, noAnswerError{})
		}
	}
	return ends, stops
}

// TestLateStartOrder guards against a task that runs twice: its start order got no
// answer, the time in the order passed, and the target carries it out after that, with
// a lease that counts from then.
func TestLateStartOrder(t *testing.T) {
	tests := []struct {
		name   string
		silent time.Duration
		prove  func(x *fixture, stop *medlargw.StopCommand) medlargw.HolderActions
		want   int // Terminal reports.
	}{
		{"a report after the end of the lease", 300 * time.Millisecond, func(x *fixture, _ *medlargw.StopCommand) medlargw.HolderActions {
			return x.report(medlargw.RunReport{Clock: time.Minute, IncarnationStart: start})
		}, 0},
		{"a report after the stop was answered", 4 * time.Second, func(x *fixture, stop *medlargw.StopCommand) medlargw.HolderActions {
			x.h.StopAnswered(x.now, stop, medlargw.OrderReply{Clock: time.Minute}, nil)
			x.now = x.now.Add(time.Millisecond)
			return x.report(medlargw.RunReport{Clock: time.Minute, IncarnationStart: start})
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			_, a := x.offer(1, 20000)
			x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{}, noAnswerError{})
			x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, noAnswerError{})
			ends, stops := x.passed(test.silent)
			if got, want := len(stops), int(test.silent/(250*time.Millisecond)); len(ends) != 0 || got < want {
				t.Fatalf("while the target is silent: got %d ends and %d stops, want none and at least %d", len(ends), got, want)
			}
			ended := 0
			for _, e := range test.prove(x, &stops[len(stops)-1]).Reports {
				if e.Event.Terminal() {
					ended++
				}
			}
			if ended != test.want {
				t.Errorf("ends after %s: got %d, want %d", test.name, ended, test.want)
			}
		})
	}
}

// TestUnansweredStartOnUnlistedTarget guards against a holder that drops a target, and
// stops a run no more whose start order may still be carried out, as soon as the host
// list lacks the target.
func TestUnansweredStartOnUnlistedTarget(t *testing.T) {
	x := newFixture(t)
	_, a := x.offer(1, 20000)
	x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{}, noAnswerError{})
	x.h.SetGroup(x.now, medlargw.Group{Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}}})
	x.passed(11 * time.Second)
	ends, stops := x.passed(time.Second)
	if len(ends) != 0 || len(stops) == 0 {
		t.Errorf("12 s after the order: got ends %+v and %d stops, want none and some", ends, len(stops))
	}
	if ends, _ = x.passed(4 * time.Second); len(ends) != 1 || ends[0].Event != medlargw.TaskUnknown {
		t.Errorf("16 s after the order: got ends %+v, want that the state of the run is unknown", ends)
	}
	if _, stops = x.passed(time.Second); len(stops) != 0 {
		t.Errorf("stops after that: got %d, want none", len(stops))
	}
}
