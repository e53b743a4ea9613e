package holder_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// offerTask offers a task that may wait and returns its state and the actions.
func (x *fixture) offerTask(id medlargw.TaskID, suspect bool) (medlargw.OfferState, medlargw.HolderActions) {
	x.t.Helper()
	reply := x.h.HandleOffer(x.now, 0, &medlargw.Offer{
		From: medlargw.Member{Host: "home", Incarnation: 7},
		Tasks: []medlargw.OfferedTask{{
			ID: id, Run: medlargw.RunID{Task: string(rune('a' + id)), Attempt: 1}, Pool: "pool", Service: "s", MayQueue: true, Suspect: suspect,
			Resources: medlargw.Resources{Cores: 8000}, Estimate: 100 * time.Millisecond, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
		}},
	})
	return reply.States[0].State, x.takeActions()
}

// TestSuspectRunsAlone guards against neighbours that a task which has probably crashed
// a target takes with it again, and against a suspect that never gets a target: it
// waits until a target is idle, which takes no other run meanwhile.
func TestSuspectRunsAlone(t *testing.T) {
	x := newFixture(t)
	state, a := x.offerTask(1, false)
	if state != medlargw.OfferStarted {
		t.Fatalf("task: got %v, want %v", state, medlargw.OfferStarted)
	}
	first := a.Starts[0]
	x.h.StartAnswered(x.now, &first, medlargw.OrderReply{Clock: time.Second}, nil)
	if state, _ = x.offerTask(2, true); state != medlargw.OfferQueued {
		t.Errorf("suspect beside a run: got %v, want %v", state, medlargw.OfferQueued)
	}
	if state, _ = x.offerTask(3, false); state != medlargw.OfferQueued {
		t.Errorf("task while a suspect waits: got %v, want %v", state, medlargw.OfferQueued)
	}
	a = x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start, Ended: []medlargw.RunEnd{{Sequence: 1, Run: first.Order.Run}}})
	if len(a.Starts) != 1 || a.Starts[0].Order.Run.Task != "c" {
		t.Fatalf("starts on the idle target: got %v, want the suspect alone", a.Starts)
	}
	if state, _ = x.offerTask(4, false); state != medlargw.OfferQueued {
		t.Errorf("task beside a suspect: got %v, want %v", state, medlargw.OfferQueued)
	}
	suspect := a.Starts[0]
	x.h.StartAnswered(x.now, &suspect, medlargw.OrderReply{Clock: time.Second}, nil)
	a = x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start, Ended: []medlargw.RunEnd{{Sequence: 2, Run: suspect.Order.Run}}})
	if len(a.Starts) != 2 {
		t.Errorf("starts after the suspect: got %d, want the 2 that wait", len(a.Starts))
	}
}
