package holder_test

import (
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// resubmit is the time after which a caller submits its job again, and stop the time
// that a target takes to end a run whose lease has ended.
const (
	resubmit = 1300 * time.Millisecond
	stop     = 50 * time.Millisecond
)

// lapse is a holder whose target carries out no stops. The clock of the target is
// slow by 2%.
type lapse struct {
	*fixture
	from     time.Time     // When the clock of the target showed one second.
	leaseEnd time.Duration // The latest in any order, on the clock of the target.
	runs     []medlargw.ActiveRun
	ended    []medlargw.RunEnd
	waiting  bool // A renewal waits for its answer.
}

func (w *lapse) clock() time.Duration {
	return time.Second + time.Duration(0.98*float64(w.now.Sub(w.from)))
}

// take takes the actions of the holder and notes the leases in them.
func (w *lapse) take() medlargw.HolderActions {
	w.t.Helper()
	a := w.takeActions()
	for i := range a.Starts {
		o := &a.Starts[i].Order
		w.leaseEnd = max(w.leaseEnd, o.LeaseEnd)
		w.runs = append(w.runs, medlargw.ActiveRun{Run: o.Run, Percent: 90})
		w.h.StartAnswered(w.now, &a.Starts[i], medlargw.OrderReply{Clock: w.clock()}, nil)
	}
	for i := range a.Renewals {
		w.waiting = true
		w.leaseEnd = max(w.leaseEnd, a.Renewals[i].Renewal.LeaseEnd)
	}
	w.h.ConfirmReports(w.now, a.Reports)
	return a
}

// until plays the holder until the lease has lapsed, for 4 s at most, and calls each
// every 10 ms with the time since the call of until. It returns that time at the end.
func (w *lapse) until(each func(at time.Duration)) time.Duration {
	w.t.Helper()
	begin := w.now
	for ; w.now.Sub(begin) < 4*time.Second; w.now = w.now.Add(10 * time.Millisecond) {
		each(w.now.Sub(begin))
		w.h.Tick(w.now)
		w.take()
		if w.waiting {
			w.waiting = false
			w.h.RenewAnswered(w.now, w.now, &w.renewal, &medlargw.RunReport{Clock: w.clock(), IncarnationStart: start, Active: w.runs, Ended: w.ended}, nil)
			w.take()
		}
		if w.leaseEnd > 0 && w.clock() > w.leaseEnd {
			break
		}
	}
	return w.now.Sub(begin)
}

// message returns a message that a home sent some time ago.
func (w *lapse) message(home medlargw.Incarnation, ago time.Duration) (clock time.Duration, o *medlargw.Offer) {
	clock = w.now.Sub(start)
	return clock, &medlargw.Offer{
		From:       medlargw.Member{Host: "home", Incarnation: home},
		ValidUntil: clock - ago + 400*time.Millisecond,
	}
}

func (w *lapse) hear(home medlargw.Incarnation, ago time.Duration, cancels ...medlargw.TaskID) {
	clock, o := w.message(home, ago)
	o.Cancels = cancels
	w.h.HandleOffer(w.now, clock, o)
}

func (w *lapse) offerTask(home medlargw.Incarnation, id medlargw.TaskID) {
	clock, o := w.message(home, 0)
	o.Tasks = []medlargw.OfferedTask{{
		ID: id, Run: medlargw.RunID{Task: string(rune('a' + id)), Attempt: 1}, Pool: "pool", Resources: medlargw.Resources{Cores: 14000},
		Estimate: time.Second, TimeToObjective: 3 * time.Second, TimeToDeadline: 8 * time.Second, MayQueue: true,
	}}
	w.h.HandleOffer(w.now, clock, o)
	w.take()
}

func (w *lapse) isRunning(id medlargw.TaskID) bool {
	return slices.ContainsFunc(w.runs, func(a medlargw.ActiveRun) bool { return a.Run.Task == string(rune('a'+id)) })
}

// TestRunsEndBeforeResubmission guards against two runs of a task at the same time:
// the home of a run is lost or gives its job up, the target carries out no stop, and
// the caller submits the job at another entry 1.3 s later.
func TestRunsEndBeforeResubmission(t *testing.T) {
	const keep = 120 * time.Millisecond
	every := func(at time.Duration) bool { return at%keep == 0 }
	tests := []struct {
		name string
		play func(w *lapse) time.Duration // Returns the time from the loss of the caller to the end of the lease.
	}{
		{"home falls silent", func(w *lapse) time.Duration {
			w.offerTask(7, 1)
			return w.until(func(time.Duration) {})
		}},
		{"its last message was late", func(w *lapse) time.Duration {
			w.offerTask(7, 1)
			return w.until(func(at time.Duration) {
				if at == 380*time.Millisecond {
					w.hear(7, at)
				}
			})
		}},
		{"holder lags", func(w *lapse) time.Duration {
			w.offerTask(7, 1)
			w.h.SetLag(400 * time.Millisecond)
			return w.until(func(time.Duration) {})
		}},
		{"two cancels are lost", func(w *lapse) time.Duration {
			w.offerTask(7, 1)
			return w.until(func(at time.Duration) {
				if at == 490*time.Millisecond {
					w.hear(7, 10*time.Millisecond, 1)
				}
			})
		}},
		{"home of a queued task is silent", func(w *lapse) time.Duration {
			w.offerTask(8, 2)
			w.offerTask(8, 3)
			w.offerTask(7, 1)
			if len(w.runs) != 2 {
				w.t.Fatalf("runs: got %v, want two", w.runs)
			}
			end := w.until(func(at time.Duration) {
				if every(at) {
					w.hear(8, 0)
				}
				if at == 450*time.Millisecond { // The first task of the other home ends.
					w.ended = []medlargw.RunEnd{{Sequence: 1, Run: w.runs[0].Run, Kind: medlargw.RunSucceeded}}
					w.runs = w.runs[1:]
				}
			})
			if !w.isRunning(1) {
				return 0 // Its home has to be heard before it starts.
			}
			return end
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := &lapse{fixture: newFixture(t), waiting: true}
			w.from = w.now
			if got := test.play(w) + stop; got > resubmit {
				t.Errorf("end of the runs after the loss of the caller: got %v, want at most %v", got, resubmit)
			}
		})
	}
}

// TestRunOfOtherHomeGoesOn guards against the loss of runs whose home is well: the home
// of another run on their target falls silent for a while or for good, and the target
// answers the stop, or the home is late with all of its messages.
func TestRunOfOtherHomeGoesOn(t *testing.T) {
	const keep, tick = 120 * time.Millisecond, 10 * time.Millisecond
	tests := []struct {
		name   string
		from   time.Duration // Begin of the silence.
		to     time.Duration
		late   time.Duration // Delay of all messages of the other home.
		lag    time.Duration // Of this entry, from then on.
		wanted bool          // Whether the run of the other home goes on.
	}{
		{"silent for a moment", time.Second, 1400 * time.Millisecond, 0, 0, true},
		{"silent for a moment beside lag", time.Second, 1600 * time.Millisecond, 0, 400 * time.Millisecond, true},
		{"late by 200 ms", 0, 0, 200 * time.Millisecond, 0, true},
		{"silent for good", time.Second, time.Minute, 0, 0, false},
		{"silent for good beside lag", time.Second, time.Minute, 0, 400 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := &lapse{fixture: newFixture(t), waiting: true}
			w.from = w.now
			w.offerTask(8, 2)
			w.offerTask(7, 1)
			var answerAt, stoppedAt time.Duration
			for at := time.Duration(0); at < 3*time.Second; at += tick {
				if at == test.from {
					w.h.SetLag(test.lag)
				}
				if at%keep == 0 {
					w.hear(8, 0)
					if at < test.from || at >= test.to {
						w.hear(7, test.late)
					}
				}
				w.h.Tick(w.now)
				a := w.take()
				for i := range a.Stops {
					stoppedAt = at
					w.h.StopAnswered(w.now, &a.Stops[i], medlargw.OrderReply{Clock: w.clock()}, nil)
					w.take()
				}
				if stoppedAt > 0 && at == stoppedAt+stop && w.isRunning(1) {
					w.ended = []medlargw.RunEnd{{Sequence: 1, Run: w.runs[1].Run, Kind: medlargw.RunStopped}}
					w.runs = w.runs[:1]
				}
				if w.waiting && (at >= answerAt || at == stoppedAt+stop) { // It waits for an end.
					w.waiting = false
					w.h.RenewAnswered(w.now, w.now, &w.renewal, &medlargw.RunReport{
						Clock: w.clock(), IncarnationStart: start, Active: w.runs, Ended: w.ended,
					}, nil)
					w.take()
					answerAt = at + w.renewal.Renewal.MaxWait
				}
				if w.clock() > w.leaseEnd {
					t.Fatalf("lease after %v: got an end, want it to go on", at)
				}
				w.now = w.now.Add(tick)
			}
			if got := w.isRunning(1); got != test.wanted {
				t.Errorf("run of the other home after 3 s: got %v, want %v", got, test.wanted)
			}
		})
	}
}

// TestLeaseAfterTakeover guards against two runs of a task at the same time: a holder
// takes a target over whose run was given up. The home told the former holder, and does
// not know of the takeover. The new holder renews the lease once the home has confirmed
// the takeover and sent a message after that, and stops the run if it does not.
func TestLeaseAfterTakeover(t *testing.T) {
	tests := []struct {
		name      string
		confirmed bool
		heard     bool
		recalled  bool
		want      bool
	}{
		{"home is silent", false, false, false, false},
		{"home does not know", false, true, false, false},
		{"home has confirmed", true, false, false, false},
		{"home has confirmed and is heard", true, true, false, true},
		{"home asks for the run", false, false, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := &lapse{fixture: newFixture(t)}
			w.from = w.now
			w.runs = []medlargw.ActiveRun{{Run: medlargw.RunID{Task: "b", Attempt: 1}, Percent: 90}}
			tr := transferred(w.renewal.Renewal.FenceToken+1<<32, w.runs[0].Run)
			tr.Targets[0].Runs[0].Task.TimeToDeadline = 8 * time.Second
			w.handOver(tr)
			reports := w.h.TakeActions().Reports
			var renewed bool
			var stops int
			for at := range 60 { // 600 ms
				if at == 10 && test.confirmed {
					w.h.ConfirmReports(w.now, reports)
				}
				if at == 10 && test.recalled {
					clock, o := w.message(7, 0)
					o.Recalls = []medlargw.TaskID{1}
					w.h.HandleOffer(w.now, clock, o)
				}
				if at > 10 && at%10 == 0 && test.heard {
					w.hear(7, 0)
				}
				w.h.Tick(w.now)
				a := w.takeActions()
				stops += len(a.Stops)
				for i := range a.Renewals {
					renewed = renewed || a.Renewals[i].Renewal.LeaseEnd > 0
				}
				w.h.RenewAnswered(w.now, w.now, &w.renewal, &medlargw.RunReport{Clock: w.clock(), IncarnationStart: start, Active: w.runs}, nil)
				w.now = w.now.Add(10 * time.Millisecond)
			}
			if renewed != test.want {
				t.Errorf("lease renewed: got %v, want %v", renewed, test.want)
			}
			if got := stops == 0; got != test.want {
				t.Errorf("stops: got %d, want none %v", stops, test.want)
			}
		})
	}
}

// TestHolderThatStoodStill guards against the start of a task whose job was given up: a
// holder stands still for longer than its home repeats the cancel, and handles a later
// message of the home before its own timeouts.
func TestHolderThatStoodStill(t *testing.T) {
	w := &lapse{fixture: newFixture(t)}
	w.from = w.now
	for id := range medlargw.TaskID(3) {
		w.offerTask(7, id+1)
	}
	w.now = w.now.Add(3 * time.Second)
	w.hear(7, 0)
	w.ended = []medlargw.RunEnd{
		{Sequence: 1, Run: w.runs[0].Run, Kind: medlargw.RunStopped}, {Sequence: 2, Run: w.runs[1].Run, Kind: medlargw.RunStopped},
	}
	a := w.report(medlargw.RunReport{Clock: w.clock(), IncarnationStart: start, Ended: w.ended})
	if len(a.Starts) != 0 {
		t.Errorf("starts of a home that was silent for 3 s: got %v, want none", a.Starts)
	}
}

// TestLeaseBeforeTransfer guards against the end of runs that are handed over: the new
// holder renews their lease only once their homes know, so that the former one renews it
// with the transfer.
func TestLeaseBeforeTransfer(t *testing.T) {
	x := newFixture(t)
	x.startRun(1)
	x.now = x.now.Add(300 * time.Millisecond)
	x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
	x.takeActions()
	x.h.SetGroup(x.now, medlargw.Group{
		Entries: []medlargw.Peer{{Host: "next", Zone: "z", Incarnation: 5}},
		Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}}},
	})
	x.h.Tick(x.now)
	a := x.h.TakeActions()
	if len(a.Transfers) != 1 || len(a.Renewals) != 1 {
		t.Fatalf("actions: got %d transfers and renewals %v, want one each", len(a.Transfers), a.Renewals)
	}
	// The clock of the target showed one second 300 ms ago.
	if got, want := a.Renewals[0].Renewal.LeaseEnd, 2090*time.Millisecond; got < want {
		t.Errorf("lease with the transfer: got an end at %v, want %v at least", got, want)
	}
}

// TestRenewalAfterTakeoverWaitsBriefly guards against the end of healthy runs that were
// handed over: a target that may wait for long before it reports gets its next lease only
// after that, though the home knows of the takeover by then.
func TestRenewalAfterTakeoverWaitsBriefly(t *testing.T) {
	w := &lapse{fixture: newFixture(t)}
	w.from = w.now
	w.runs = []medlargw.ActiveRun{{Run: medlargw.RunID{Task: "b", Attempt: 1}, Percent: 10}}
	tr := transferred(w.renewal.Renewal.FenceToken+1<<32, w.runs[0].Run)
	tr.Targets[0].Runs[0].Task.TimeToDeadline = 8 * time.Second
	tr.Targets[0].Runs[0].Task.Estimate = 2 * time.Second
	w.handOver(tr)
	reports := w.h.TakeActions().Reports
	w.h.Tick(w.now)
	w.takeActions()
	report := medlargw.RunReport{Clock: w.clock(), IncarnationStart: start, Active: w.runs}
	w.h.RenewAnswered(w.now, w.now, &w.renewal, &report, nil)
	w.takeActions()
	if got, want := w.renewal.Renewal, 50*time.Millisecond; got.LeaseEnd != 0 || got.MaxWait > want {
		t.Errorf("renewal before the home knows: got %+v, want no lease and a wait of %v at most", got, want)
	}
	w.h.ConfirmReports(w.now, reports)
	w.now = w.now.Add(10 * time.Millisecond)
	w.hear(7, 0)
	report.Clock = w.clock()
	w.h.RenewAnswered(w.now, w.now, &w.renewal, &report, nil)
	w.takeActions()
	if got := w.renewal.Renewal; got.LeaseEnd == 0 || got.MaxWait <= 50*time.Millisecond {
		t.Errorf("renewal after that: got %+v, want a lease and a longer wait", got)
	}
}
