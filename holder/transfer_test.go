package holder_test

import (
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// startRun offers a task, confirms its start and returns its run.
func (x *fixture) startRun(id medlargw.TaskID) medlargw.RunID {
	x.t.Helper()
	_, a := x.offer(id, 14000)
	if len(a.Starts) != 1 {
		x.t.Fatalf("starts of task %d: got %d, want 1", id, len(a.Starts))
	}
	x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: time.Second}, nil)
	return a.Starts[0].Order.Run
}

// TestHandedOverTaskIsNotRefused guards against a second run with the same
// attempt number: a home whose offer was not answered asks the former holder
// for the task, and offers it elsewhere if the reply is that it did not start.
func TestHandedOverTaskIsNotRefused(t *testing.T) {
	offer := func(id medlargw.TaskID) medlargw.Offer {
		return medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Tasks: []medlargw.OfferedTask{{ID: id}}}
	}
	tests := []struct {
		name  string
		offer medlargw.Offer
		clock time.Duration
	}{
		{"recalled", medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Recalls: []medlargw.TaskID{1}}, 0},
		{"cancelled", medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Cancels: []medlargw.TaskID{1}}, 0},
		{"offered again", offer(1), 0},
		{"offered again past the validity", offer(1), time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			x.startRun(1)
			transfer := x.release()
			x.h.TransferAnswered(x.now, transfer, nil)
			reply := x.h.HandleOffer(x.now, test.clock, &test.offer)
			if got := reply.States[0].State; got != medlargw.OfferStarted {
				t.Errorf("state of a task that was handed over: got %d, want %d", got, medlargw.OfferStarted)
			}
			if a := x.takeActions(); len(a.Starts) != 0 {
				t.Errorf("starts: got %d, want 0", len(a.Starts))
			}
		})
	}
}

// transferred returns the transfer of the target from another entry, with the
// given fencing token and runs of task IDs from 1.
func transferred(token uint64, runs ...medlargw.RunID) *medlargw.Transfer {
	target := medlargw.TransferredTarget{Name: "t", IncarnationStart: start, FenceToken: token}
	for i, run := range runs {
		target.Runs = append(target.Runs, medlargw.TransferredRun{
			Home: medlargw.Peer{Host: "home", Incarnation: 7},
			Task: medlargw.OfferedTask{ID: medlargw.TaskID(i + 1), Run: run, Pool: "pool", Resources: medlargw.Resources{Cores: 14000}},
		})
	}
	return &medlargw.Transfer{From: medlargw.Member{Host: "former", Incarnation: 9}, Targets: []medlargw.TransferredTarget{target}}
}

// handOver passes the transfer to the holder, which must take it.
func (x *fixture) handOver(tr *medlargw.Transfer) {
	x.t.Helper()
	if err := x.h.HandleTransfer(x.now, tr); err != nil {
		x.t.Fatal(err)
	}
}

// TestTransferOfUnlistedTarget guards against runs that nobody holds: an entry
// that has just started does not know the target of a transfer yet, and its former
// holder must keep it.
func TestTransferOfUnlistedTarget(t *testing.T) {
	x := newFixture(t)
	token := x.renewal.Renewal.FenceToken + 1<<32
	tr := transferred(token, medlargw.RunID{Task: "a", Attempt: 1})
	other := tr.Targets[0]
	other.Name = "other"
	other.Runs = nil
	tr.Targets = append(tr.Targets, other)
	if err := x.h.HandleTransfer(x.now, tr); err == nil {
		t.Error("transfer of a target that is not listed: got no error, want one")
	}
	if a := x.takeActions(); len(a.Reports) != 0 {
		t.Errorf("reports after the refusal: got %v, want none", events(a.Reports))
	}
	x.h.SetGroup(x.now, medlargw.Group{
		Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}},
		Targets: []medlargw.Target{
			{Name: "other", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}},
			{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}},
		},
	})
	x.handOver(tr)
	if got := events(x.takeActions().Reports); len(got) != 1 || got[0] != medlargw.TaskStarted {
		t.Errorf("reports after the list: got %v, want one started", got)
	}
}

// TestUnclaimedRunsAreNotStopped guards against a second run of a task: a holder
// that gets a target handed over and does not reach it counts the leases there
// as ended, while the former holder renews them.
func TestUnclaimedRunsAreNotStopped(t *testing.T) {
	x := newFixture(t)
	token := x.renewal.Renewal.FenceToken + 1<<32
	x.handOver(transferred(token, medlargw.RunID{Task: "a", Attempt: 1}))
	var ends []medlargw.TaskEvent
	for range 200 {
		x.now = x.now.Add(20 * time.Millisecond)
		x.h.Tick(x.now)
		for _, e := range x.takeActions().Reports {
			if e.Event.Terminal() {
				ends = append(ends, e.Event)
			}
		}
	}
	if len(ends) != 1 || ends[0] != medlargw.TaskUnknown {
		t.Errorf("ends reported within 4 s without an answer to the claim: got %v, want one unknown", ends)
	}
}

// TestLeaseAfterUnansweredTransfer guards against a second run of a task: a holder
// whose transfer was not answered counts the lease as ended, while the new holder
// renews it.
func TestLeaseAfterUnansweredTransfer(t *testing.T) {
	x := newFixture(t)
	x.startRun(1)
	transfer := x.release()
	x.h.TransferAnswered(x.now, transfer, noAnswerError{})
	var ends []medlargw.TaskEvent
	for range 100 {
		x.now = x.now.Add(20 * time.Millisecond)
		x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
		x.h.Tick(x.now)
		for _, e := range x.takeActions().Reports {
			ends = append(ends, e.Event)
		}
	}
	if len(ends) != 1 || ends[0] != medlargw.TaskUnknown {
		t.Errorf("events within 2 s without any answer: got %v, want one unknown", ends)
	}
}

// TestFencedDuringLostTransfer guards against a task whose end nobody reports: the
// transfer of its target is lost, and the target has been claimed by another entry
// in the meantime.
func TestFencedDuringLostTransfer(t *testing.T) {
	tests := []struct {
		name string
		err  error // Of the transfer.
		want []medlargw.TaskEvent
	}{
		{"arrived", nil, nil},
		{"lost", noAnswerError{}, []medlargw.TaskEvent{medlargw.TaskUnknown}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			x.startRun(1)
			transfer := x.release()
			x.report(medlargw.RunReport{Status: medlargw.OrderFenced})
			x.h.TransferAnswered(x.now, transfer, test.err)
			if got := events(x.takeActions().Reports); !slices.Equal(got, test.want) {
				t.Errorf("events after the transfer: got %v, want %v", got, test.want)
			}
		})
	}
}
