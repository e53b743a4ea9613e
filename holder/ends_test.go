package holder_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// acked returns the highest sequence number that the given renewals acknowledge.
func acked(all []medlargw.RenewCommand) uint64 {
	var highest uint64
	for i := range all {
		highest = max(highest, all[i].Renewal.AckedSequence)
	}
	return highest
}

// succeeded returns a report of ends with sequence numbers from 1.
func succeeded(runs ...medlargw.RunID) medlargw.RunReport {
	report := medlargw.RunReport{Clock: time.Second, IncarnationStart: start}
	for i, run := range runs {
		report.Ended = append(report.Ended, medlargw.RunEnd{Sequence: uint64(i + 1), Run: run, Kind: medlargw.RunSucceeded})
	}
	return report
}

// events returns the events of the reports, in order.
func events(all []medlargw.TaskReport) []medlargw.TaskEvent {
	var got []medlargw.TaskEvent
	for i := range all {
		got = append(got, all[i].Event)
	}
	return got
}

// TestEndIsAckedOnceItsHomeHasIt guards against a new run of a task that has
// succeeded: a holder that acknowledges the end to the target before the home
// knows it may be lost, and nobody can tell the home then.
func TestEndIsAckedOnceItsHomeHasIt(t *testing.T) {
	tests := []struct {
		name    string
		confirm bool          // The home answers the report after 100 ms.
		silent  bool          // The home sends nothing more.
		min     time.Duration // Of the acknowledgement, after the report of the end; zero is none within a second.
		max     time.Duration
	}{
		{"confirmed", true, false, 100 * time.Millisecond, 120 * time.Millisecond},
		{"not confirmed", false, false, 0, 0},
		{"home silent", false, true, 500 * time.Millisecond, 600 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			run := x.startRun(1)
			first := x.report(succeeded(run))
			if got := acked(first.Renewals); got != 0 {
				t.Errorf("acknowledged at once: got %d, want 0", got)
			}
			reports := first.Reports
			for elapsed := time.Duration(0); elapsed <= time.Second; elapsed += 20 * time.Millisecond {
				if !test.silent {
					x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
				}
				x.h.Tick(x.now)
				if test.confirm && elapsed == 100*time.Millisecond {
					x.h.ConfirmReports(x.now, reports)
				}
				renewals := x.takeActions().Renewals
				if len(renewals) > 0 {
					renewals = append(renewals, x.report(succeeded(run)).Renewals...)
				}
				if acked(renewals) == 0 {
					x.now = x.now.Add(20 * time.Millisecond)
					continue
				}
				if test.max == 0 || elapsed < test.min || elapsed > test.max {
					t.Errorf("acknowledgement: got %v after the report of the end, want %v to %v", elapsed, test.min, test.max)
				}
				return
			}
			if test.max > 0 {
				t.Error("acknowledgement within a second: got none, want one")
			}
		})
	}
}

// TestRenewalsWhileAnEndIsNotConfirmed counts the renewals of one target for 400 ms
// in which a home without processor time does not confirm an end. The target
// answers each at once, so that their number is what they cost.
func TestRenewalsWhileAnEndIsNotConfirmed(t *testing.T) {
	x := newFixture(t)
	run := x.startRun(1)
	x.report(succeeded(run))
	got := 0
	for end := x.now.Add(400 * time.Millisecond); x.now.Before(end); x.now = x.now.Add(10 * time.Millisecond) {
		x.h.Tick(x.now)
		renewals := x.h.TakeActions().Renewals
		for i := range renewals {
			got++
			report := succeeded(run)
			x.h.RenewAnswered(x.now, x.now, &renewals[i], &report, nil)
		}
	}
	if want := 6; got > want {
		t.Errorf("renewals: got %d, want at most %d", got, want)
	}
}

// TestEndsDuringTransferAreNotAcked guards against a new run of a task that has
// succeeded: the former holder acknowledges an end while the transfer is in
// flight, and the new holder finds the run neither active nor ended.
func TestEndsDuringTransferAreNotAcked(t *testing.T) {
	x := newFixture(t)
	first, second := x.startRun(1), x.startRun(2)
	report := succeeded(first) // The home has not confirmed this end.
	report.Active = []medlargw.ActiveRun{{Run: second}}
	reports := x.report(report).Reports
	transfer := x.release()
	target := &transfer.Targets[0]
	if got := len(target.Runs); got != 2 {
		t.Errorf("runs in the transfer: got %d, want 2", got)
	}
	if target.AckedSequence != 0 {
		t.Errorf("acknowledged sequence number in the transfer: got %d, want 0", target.AckedSequence)
	}
	a := x.report(succeeded(first, second))
	x.h.ConfirmReports(x.now, append(reports, a.Reports...)) // Both ends could be acknowledged but for the transfer.
	for range 5 {
		x.now = x.now.Add(20 * time.Millisecond)
		x.h.Tick(x.now)
		a := x.takeActions()
		if got := acked(a.Renewals); got != 0 {
			t.Fatalf("acknowledged during the transfer: got %d, want 0", got)
		}
		if len(a.Renewals) > 0 {
			x.report(succeeded(first, second))
		}
	}
}

// TestTransferAfterClaim guards against a new run of a task that has succeeded,
// or whose run goes on: the transfer arrives after the new holder's claim, whose
// report has listed the end already.
func TestTransferAfterClaim(t *testing.T) {
	run := medlargw.RunID{Task: "a", Attempt: 1}
	tests := []struct {
		name  string
		kind  medlargw.RunEndKind
		ended bool          // Listed in the report.
		after time.Duration // Time between the claim and the transfer.
		want  medlargw.TaskEvent
	}{
		{"has succeeded", medlargw.RunSucceeded, true, 100 * time.Millisecond, medlargw.TaskSucceeded},
		{"has failed", medlargw.RunFailed, true, 100 * time.Millisecond, medlargw.TaskFailed},
		{"was stopped", medlargw.RunStopped, true, 100 * time.Millisecond, medlargw.TaskStopped},
		{"not listed", medlargw.RunSucceeded, false, 100 * time.Millisecond, medlargw.TaskUnknown},
		{"acknowledged in the meantime", medlargw.RunSucceeded, true, 2 * time.Second, medlargw.TaskUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			listed := succeeded(run)
			listed.Ended[0].Kind = test.kind
			if !test.ended {
				listed.Ended = nil
			}
			renewals := x.report(listed).Renewals
			for end := x.now.Add(test.after); x.now.Before(end); {
				x.now = x.now.Add(20 * time.Millisecond)
				x.h.Tick(x.now)
				if a := x.takeActions(); len(a.Renewals) > 0 {
					renewals = append(renewals, a.Renewals...)
					x.report(listed)
				}
			}
			if got := acked(renewals); got != 0 && test.after < time.Second {
				t.Errorf("acknowledged before the transfer: got %d, want 0", got)
			}
			x.handOver(transferred(1, run))
			got := events(x.takeActions().Reports)
			if len(got) != 2 || got[0] != medlargw.TaskStarted || got[1] != test.want {
				t.Errorf("events after the transfer: got %v, want started and %v", got, test.want)
			}
		})
	}
}

// TestAbandonedRunLapses guards against two runs of a task at the same time: a
// target carries out the stop of a cancelled run late, while its lease is
// renewed, and the caller submits the job again after 1.3 s. The lease lapses
// well before.
func TestAbandonedRunLapses(t *testing.T) {
	tests := []struct {
		name   string
		cancel bool
		lapses bool
	}{
		{"not cancelled", false, false},
		{"cancelled", true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			run := x.startRun(1)
			o := medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}}
			if test.cancel {
				o.Cancels = []medlargw.TaskID{1}
			}
			clock, leaseEnd := time.Second, 1800*time.Millisecond
			for range 50 { // 1 s
				x.h.HandleOffer(x.now, 0, &o)
				x.h.Tick(x.now)
				x.takeActions()
				a := x.report(medlargw.RunReport{Clock: clock, IncarnationStart: start, Active: []medlargw.ActiveRun{{Run: run, Percent: 10}}})
				for i := range a.Renewals {
					leaseEnd = max(leaseEnd, a.Renewals[i].Renewal.LeaseEnd)
				}
				x.now = x.now.Add(20 * time.Millisecond)
				clock += 20 * time.Millisecond
				if clock > leaseEnd {
					break // The target ends the run.
				}
			}
			if got := clock > leaseEnd; got != test.lapses {
				t.Errorf("lease within 1 s without an answer to the stop: got lapsed %v, want %v", got, test.lapses)
			}
		})
	}
}
