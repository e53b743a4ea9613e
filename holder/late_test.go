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
		{"a report after the target has seen a higher token", 4 * time.Second, func(x *fixture, _ *medlargw.StopCommand) medlargw.HolderActions {
			former := x.renewal.Renewal.FenceToken
			x.report(medlargw.RunReport{Clock: time.Minute, IncarnationStart: start})
			if got := x.renewal.Renewal.FenceToken; got <= former {
				x.t.Errorf("token after an order without an answer: got %d, want above %d", got, former)
			}
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

// TestResetIsNoEndOfTarget guards against a task that runs twice: a cut resets or refuses
// the connections of a target that lives, and the lease in a start order without an answer
// counts as the end of its run.
func TestResetIsNoEndOfTarget(t *testing.T) {
	tests := []struct {
		name string
		err  error
	}{
		{"connections closed", medlargw.ErrConnectionClosed},
		{"connections refused", medlargw.ErrConnectionRefused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			_, a := x.offer(1, 20000)
			x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{}, noAnswerError{})
			x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, test.err)
			ends, stops := x.passed(12 * time.Second)
			if len(ends) != 0 {
				t.Errorf("ends before a proof: got %+v, want none", ends)
			}
			if len(stops) == 0 {
				t.Fatal("stops: got none, want one")
			}
			x.h.StopAnswered(x.now, &stops[len(stops)-1], medlargw.OrderReply{Clock: time.Minute}, nil)
			x.now = x.now.Add(time.Millisecond)
			a = x.report(medlargw.RunReport{Clock: time.Minute, IncarnationStart: start})
			if len(a.Reports) != 1 || a.Reports[0].Event != medlargw.TaskReturned {
				t.Errorf("reports after the stop was answered: got %+v, want that the task is returned", a.Reports)
			}
		})
	}
}

// TestStartOverRefusedConnection guards against a task that waits for its deadline: its
// start order was not sent, since the target refused the connection.
func TestStartOverRefusedConnection(t *testing.T) {
	x := newFixture(t)
	_, a := x.offer(1, 20000)
	order := a.Starts[0].Order
	x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{}, medlargw.ErrConnectionRefused)
	a = x.takeActions()
	if len(a.Starts)+len(a.Stops) != 0 {
		t.Errorf("after the refusal: got starts %+v and stops %+v, want none", a.Starts, a.Stops)
	}
	x.now = x.now.Add(100 * time.Millisecond)
	x.h.Tick(x.now)
	if a = x.takeActions(); len(a.Starts) != 1 || a.Starts[0].Order.Run != order.Run {
		t.Errorf("starts once the target is used again: got %+v, want the same run", a.Starts)
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

// TestClaimAnewAfterPause guards against a holder that takes a target from another entry:
// it stands still after an answer, the other one claims the target, and it goes on with a
// higher token.
func TestClaimAnewAfterPause(t *testing.T) {
	x := newFixture(t)
	x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, noAnswerError{})
	x.now = x.now.Add(50 * time.Millisecond)
	x.h.Tick(x.now)
	x.takeActions()
	former, sent := x.renewal.Renewal.FenceToken, x.now
	x.now = x.now.Add(900 * time.Millisecond)
	x.h.RenewAnswered(x.now, sent, &x.renewal, &medlargw.RunReport{Clock: 1050 * time.Millisecond, IncarnationStart: start}, nil)
	x.takeActions()
	if got := x.renewal.Renewal; got.FenceToken != former || got.MaxWait != 0 {
		t.Errorf("renewal after an old answer: got %+v, want the former token %d and no wait", got, former)
	}
	x.report(medlargw.RunReport{Clock: 1950 * time.Millisecond, IncarnationStart: start})
	if got := x.renewal.Renewal.FenceToken; got <= former {
		t.Errorf("token after a fresh answer: got %d, want above %d", got, former)
	}
	if _, a := x.offer(1, 4000); len(a.Starts) != 0 {
		t.Errorf("starts before the token is accepted: got %+v, want none", a.Starts)
	}
	x.report(medlargw.RunReport{Clock: 1960 * time.Millisecond, IncarnationStart: start})
	if _, a := x.offer(2, 4000); len(a.Starts) != 1 {
		t.Errorf("starts after that: got %+v, want one", a.Starts)
	}
}

// TestLateRenewal guards against a task that runs twice: a renewal without an answer is
// carried out late, the lease in it counts from then, and the runs on a silent target
// go on when the leases that its holder knows have ended.
func TestLateRenewal(t *testing.T) {
	const lease, slack = 800 * time.Millisecond, 150 * time.Millisecond
	tests := []struct {
		name string
		late bool // An earlier renewal got no answer.
		seen bool // The target has seen a higher token since.
		want time.Duration
	}{
		{"the last renewal", false, false, 2 * lease},
		{"an earlier one too", true, false, 3 * lease},
		{"an earlier one, which a claim has made void", true, true, 2 * lease},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			x.now = x.now.Add(300 * time.Millisecond) // The claim has granted more than a renewal does.
			clock := 1300 * time.Millisecond
			x.report(medlargw.RunReport{Clock: clock, IncarnationStart: start})
			_, a := x.offer(1, 14000)
			x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: clock}, nil)
			active := medlargw.RunReport{Clock: clock, IncarnationStart: start, Active: []medlargw.ActiveRun{{Run: a.Starts[0].Order.Run}}}
			if test.late {
				x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, noAnswerError{})
				x.now = x.now.Add(50 * time.Millisecond)
				x.h.Tick(x.now)
				x.takeActions()
				x.report(active) // The lease is renewed with a higher token.
			}
			if test.seen {
				x.report(active)
			}
			sent := x.now
			ends, _ := x.passed(test.want - slack)
			if len(ends) != 0 {
				t.Errorf("end of the run within %v of the last renewal: got %+v, want none", x.now.Sub(sent), ends)
			}
			if ends, _ = x.passed(2 * slack); len(ends) != 1 || ends[0].Event != medlargw.TaskStopped {
				t.Errorf("ends within %v of the last renewal: got %+v, want that the run was stopped", x.now.Sub(sent), ends)
			}
		})
	}
}

// TestClaimAnewKeepsRuns guards against runs that are lost to a claim of their own holder:
// orders with the former token, in flight meanwhile, are refused by the target.
func TestClaimAnewKeepsRuns(t *testing.T) {
	x := newFixture(t)
	clock := 1300 * time.Millisecond
	_, a := x.offer(1, 14000)
	x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: clock}, nil)
	active := medlargw.RunReport{Clock: clock, IncarnationStart: start, Active: []medlargw.ActiveRun{{Run: a.Starts[0].Order.Run}}}
	_, a = x.offer(2, 14000)
	second := a.Starts[0]
	x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, noAnswerError{})
	x.now = x.now.Add(50 * time.Millisecond)
	x.h.Tick(x.now)
	x.takeActions()
	former := x.renewal.Renewal.FenceToken
	x.report(active)
	if got := x.renewal.Renewal.FenceToken; got <= former {
		t.Fatalf("token of the next renewal: got %d, want above %d", got, former)
	}
	x.report(active)
	x.h.StartAnswered(x.now, &second, medlargw.OrderReply{Status: medlargw.OrderFenced, Clock: clock}, nil)
	a = x.takeActions()
	if len(a.Reports) > 1 || len(a.Starts) != 1 || a.Starts[0].Order.Run != second.Order.Run || a.Starts[0].Order.FenceToken <= former {
		t.Errorf("after a start with the former token was refused: got reports %+v and starts %+v, want the same run with a higher token", a.Reports, a.Starts)
	}
	if _, a = x.offer(3, 4000); len(a.Starts) != 1 {
		t.Errorf("starts after the claim: got %d, want 1", len(a.Starts))
	}
}
