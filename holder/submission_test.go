package holder_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// offerAgain offers the task of x.startRun(1) as another home does to which its job was
// submitted again, and returns its state and the start orders.
func (x *fixture) offerAgain() (medlargw.OfferState, []medlargw.StartCommand) {
	x.t.Helper()
	reply := x.h.HandleOffer(x.now, 0, &medlargw.Offer{
		From: medlargw.Member{Host: "second", Incarnation: 8},
		Tasks: []medlargw.OfferedTask{{
			ID: 1, Run: medlargw.RunID{Task: "b", Attempt: 1}, Pool: "pool", Resources: medlargw.Resources{Cores: 14000},
			Estimate: 100 * time.Millisecond, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
		}},
	})
	return reply.States[0].State, x.takeActions().Starts
}

// second sends a message of the second home, and returns the states in its answer.
func (x *fixture) second(o medlargw.Offer) []medlargw.OfferedState {
	o.From = medlargw.Member{Host: "second", Incarnation: 8}
	return x.h.HandleOffer(x.now, 0, &o).States
}

// eventsFor returns the events that are reported to a home.
func eventsFor(home medlargw.Incarnation, reports []medlargw.TaskReport) []medlargw.TaskEvent {
	return events(slices.DeleteFunc(slices.Clone(reports), func(r medlargw.TaskReport) bool { return r.Home.Incarnation != home }))
}

// TestSecondSubmissionWaitsForRunOfFirst guards against a task alive twice: the caller
// submits its job again to another entry while a holder still has a run of the first
// submission. The holder must not start the task beside that run, nor take the end of
// that run, which has the same number, for the second home's, nor lose its resources.
func TestSecondSubmissionWaitsForRunOfFirst(t *testing.T) {
	tests := []struct {
		name      string
		cancelled bool // The first home has given its job up.
		end       medlargw.RunEndKind
		want      medlargw.TaskEvent // Reported to the first home.
	}{
		{"first is being stopped", true, medlargw.RunStopped, medlargw.TaskStopped},
		{"first ends before its stop", true, medlargw.RunSucceeded, medlargw.TaskSucceeded},
		{"first goes on", false, medlargw.RunSucceeded, medlargw.TaskSucceeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			run := x.startRun(1)
			if test.cancelled {
				x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Cancels: []medlargw.TaskID{1}})
				x.h.StopAnswered(x.now, &x.takeActions().Stops[0], medlargw.OrderReply{Clock: time.Second}, nil)
			}
			state, starts := x.offerAgain()
			if state != medlargw.OfferStarted || len(starts) != 0 {
				t.Errorf("offer beside the run: got %v and %d starts, want %v and 0", state, len(starts), medlargw.OfferStarted)
			}
			if got := x.second(medlargw.Offer{Recalls: []medlargw.TaskID{1}})[0].State; got != medlargw.OfferStarted {
				t.Errorf("recall beside the run: got %v, want %v", got, medlargw.OfferStarted)
			}
			a := x.report(medlargw.RunReport{
				Clock: time.Second, IncarnationStart: start, Ended: []medlargw.RunEnd{{Sequence: 1, Run: run, Kind: test.end}},
			})
			if got, want := eventsFor(7, a.Reports), []medlargw.TaskEvent{test.want}; !slices.Equal(got, want) {
				t.Errorf("events for the first home: got %v, want %v", got, want)
			}
			if got, want := eventsFor(8, a.Reports), []medlargw.TaskEvent{medlargw.TaskReturned}; !slices.Equal(got, want) {
				t.Errorf("events for the second home: got %v, want %v", got, want)
			}
			if got, _ := x.offer(2, 32000); got != medlargw.OfferStarted {
				t.Errorf("task that takes the whole target: got %v, want %v", got, medlargw.OfferStarted)
			}
		})
	}
}

// TestQueuedSecondSubmissionWaitsForRunOfFirst guards against a task alive twice: both
// submissions of a job wait at a holder, and the first one starts.
func TestQueuedSecondSubmissionWaitsForRunOfFirst(t *testing.T) {
	x := newFixture(t)
	x.offer(5, 32000)
	task := medlargw.OfferedTask{
		ID: 1, Run: medlargw.RunID{Task: "b", Attempt: 1}, Pool: "pool", Resources: medlargw.Resources{Cores: 14000}, MayQueue: true,
		Estimate: 100 * time.Millisecond, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
	}
	x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Tasks: []medlargw.OfferedTask{task}})
	x.second(medlargw.Offer{Tasks: []medlargw.OfferedTask{task}})
	x.takeActions()
	a := x.report(medlargw.RunReport{
		Clock: time.Second, IncarnationStart: start, Ended: []medlargw.RunEnd{{Sequence: 1, Run: medlargw.RunID{Task: "f", Attempt: 1}}},
	})
	if len(a.Starts) != 1 {
		t.Errorf("starts of the task of two submissions: got %d, want 1", len(a.Starts))
	}
}

// TestSecondSubmissionEndsWithItsHolder guards against a second submission that starts
// elsewhere beside a run of the first that may go on: its holder loses the target. The
// home of a cancelled one learns when that run has ended, so that it starts no third one.
func TestSecondSubmissionEndsWithItsHolder(t *testing.T) {
	tests := []struct {
		name string
		end  func(x *fixture)
		want []medlargw.TaskEvent
	}{
		{"fenced", func(x *fixture) {
			x.report(medlargw.RunReport{Status: medlargw.OrderFenced})
		}, []medlargw.TaskEvent{medlargw.TaskUnknown}},
		{"handed over", func(x *fixture) {
			x.h.TransferAnswered(x.now, x.release(), nil)
		}, []medlargw.TaskEvent{medlargw.TaskUnknown}},
		{"its home is silent", func(x *fixture) {
			x.now = x.now.Add(600 * time.Millisecond)
			x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
		}, []medlargw.TaskEvent{medlargw.TaskUnknown}},
		{"cancelled", func(x *fixture) {
			x.second(medlargw.Offer{Cancels: []medlargw.TaskID{1}})
			x.report(medlargw.RunReport{
				Clock: time.Second, IncarnationStart: start, Ended: []medlargw.RunEnd{{Sequence: 1, Run: medlargw.RunID{Task: "b", Attempt: 1}}},
			})
		}, []medlargw.TaskEvent{medlargw.TaskReturned}},
		{"cancelled, and the run goes on", func(x *fixture) {
			x.second(medlargw.Offer{Cancels: []medlargw.TaskID{1}})
			x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start, Active: []medlargw.ActiveRun{{Run: medlargw.RunID{Task: "b", Attempt: 1}}}})
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			x.startRun(1)
			x.offerAgain()
			var got []medlargw.TaskEvent
			x.sink = func(a *medlargw.HolderActions) { got = append(got, eventsFor(8, a.Reports)...) }
			test.end(x)
			x.h.Tick(x.now)
			x.takeActions()
			if !slices.Equal(got, test.want) {
				t.Errorf("events for the second home: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestRecalledTaskAfterRefusedStart guards against a job that waits until its deadline:
// a target refuses the start order of a task, which waits again. Its home, to which it
// counts as started, recalls it and ignores that it was refused.
func TestRecalledTaskAfterRefusedStart(t *testing.T) {
	for _, status := range []medlargw.OrderStatus{medlargw.OrderUnhealthy, medlargw.OrderNoResources, medlargw.OrderExpired} {
		t.Run(status.String(), func(t *testing.T) {
			x := newFixture(t)
			_, a := x.offer(1, 14000)
			x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Status: status, Clock: time.Second}, nil)
			x.takeActions()
			reply := x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Recalls: []medlargw.TaskID{1}})
			if got := reply.States[0].State; got != medlargw.OfferStarted {
				t.Errorf("state: got %v, want %v", got, medlargw.OfferStarted)
			}
			if got, want := events(x.takeActions().Reports), []medlargw.TaskEvent{medlargw.TaskReturned}; !slices.Equal(got, want) {
				t.Errorf("reports: got %v, want %v", got, want)
			}
		})
	}
}

// TestSecondSubmissionAfterLeaseOfFirst guards against an end that is taken for that of
// another submission: the run of the first one has counted as ended with its lease, and
// its target, which has not been asked since, tells its end only later.
func TestSecondSubmissionAfterLeaseOfFirst(t *testing.T) {
	x := newFixture(t)
	run := x.startRun(1)
	x.now = x.now.Add(2500 * time.Millisecond)
	x.h.Tick(x.now)
	if first := eventsFor(7, x.takeActions().Reports); !slices.Equal(first, []medlargw.TaskEvent{medlargw.TaskStopped}) {
		t.Fatalf("events for the first home: got %v, want stopped", first)
	}
	var got []medlargw.TaskEvent
	x.sink = func(a *medlargw.HolderActions) { got = append(got, eventsFor(8, a.Reports)...) }
	if _, starts := x.offerAgain(); len(starts) != 0 {
		t.Errorf("starts with the number of the first run: got %d, want 0", len(starts))
	}
	x.report(medlargw.RunReport{Clock: 3500 * time.Millisecond, IncarnationStart: start, Ended: []medlargw.RunEnd{{Sequence: 1, Run: run}}})
	for _, e := range got {
		if e != medlargw.TaskReturned {
			t.Errorf("events for the second home: got %v, want returned alone", got)
		}
	}
	if len(got) == 0 {
		t.Error("events for the second home: got none, want returned")
	}
}

// TestLateAnswerToOrderOfFormerSubmission guards against a task alive twice: an order of
// a job's first submission is proven void before it is answered, the job is submitted
// again, and the answer is taken for one to the second submission's order, which has the
// same number and has been carried out.
func TestLateAnswerToOrderOfFormerSubmission(t *testing.T) {
	tests := []struct {
		name  string
		reply medlargw.OrderReply
		err   error
	}{
		{"fenced", medlargw.OrderReply{Status: medlargw.OrderFenced}, nil},
		{"unhealthy", medlargw.OrderReply{Status: medlargw.OrderUnhealthy}, nil},
		{"not sent", medlargw.OrderReply{}, medlargw.ErrNotSent},
		{"none", medlargw.OrderReply{}, context.DeadlineExceeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			_, a := x.offer(1, 14000)
			first := a.Starts[0]
			_, a = x.offer(2, 14000)
			x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{}, context.DeadlineExceeded)
			x.now = x.now.Add(210 * time.Millisecond) // Its answer has come in and waits for its turn.
			x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
			x.h.Tick(x.now)
			x.takeActions()
			for range 2 { // The second renewal has a higher token.
				x.report(medlargw.RunReport{Clock: x.now.Sub(start), IncarnationStart: start})
			}
			_, starts := x.offerAgain()
			if len(starts) != 1 || starts[0].Order.Run != first.Order.Run {
				t.Fatalf("starts for the second submission: got %+v, want one of %v", starts, first.Order.Run)
			}
			x.h.StartAnswered(x.now, &first, test.reply, test.err)
			if a := x.takeActions(); len(a.Starts)+len(a.Stops)+len(a.Reports) != 0 {
				t.Errorf("actions after the answer to the first order: got %+v, want none", a)
			}
		})
	}
}
