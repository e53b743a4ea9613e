package holder_test

import (
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/holder"
	"medlargw.example/medlargw/pacer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var self = medlargw.Member{
	Host: "self", Zone: "z", Incarnation: 1, Addr: netip.MustParseAddrPort("10.1.0.2:7000"),
}

// fixture is a holder of one claimed target with 32 cores.
type fixture struct {
	t       *testing.T
	h       *holder.Holder
	now     time.Time
	renewal medlargw.RenewCommand           // The renewal in flight.
	sink    func(a *medlargw.HolderActions) // Gets all actions that are taken; nil is none.
}

func newFixture(t *testing.T) *fixture { return newLoggedFixture(t, zap.NewNop()) }

func newLoggedFixture(t *testing.T, log *zap.Logger) *fixture {
	settings := medlargw.LeaseSettings{
		Lease: 800 * time.Millisecond, Longest: time.Second, Drift: 0.025, Stop: 50 * time.Millisecond,
		Poll: 100 * time.Millisecond, Order: 200 * time.Millisecond, Silence: 500 * time.Millisecond,
		Unlisted: 2500 * time.Millisecond, Refused: 2 * time.Second, Lag: time.Second,
		Resubmit: 1300 * time.Millisecond,
	}
	x := &fixture{t: t, now: start, h: holder.New(log, settings, self, pacer.New(0))}
	x.h.SetGroup(x.now, medlargw.Group{
		Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}},
		Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}}},
	})
	x.now = x.now.Add(time.Second)
	x.h.Tick(x.now)
	x.takeActions()
	x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start})
	return x
}

// takeActions returns the pending actions and keeps the renewal among them.
func (x *fixture) takeActions() medlargw.HolderActions {
	x.t.Helper()
	a := x.h.TakeActions()
	if len(a.Renewals) == 1 && !a.Renewals[0].Extra {
		x.renewal = a.Renewals[0]
	}
	if x.sink != nil {
		x.sink(&a)
	}
	return a
}

// report answers the renewal in flight and returns the resulting actions.
func (x *fixture) report(r medlargw.RunReport) medlargw.HolderActions {
	x.t.Helper()
	x.h.RenewAnswered(x.now, x.now, &x.renewal, &r, nil)
	return x.takeActions()
}

// offer offers a task and returns its state and the resulting actions.
func (x *fixture) offer(id medlargw.TaskID, cores int64) (medlargw.OfferState, medlargw.HolderActions) {
	x.t.Helper()
	reply := x.h.HandleOffer(x.now, 0, &medlargw.Offer{
		From: medlargw.Member{Host: "home", Incarnation: 7},
		Tasks: []medlargw.OfferedTask{{
			ID: id, Run: medlargw.RunID{Task: string(rune('a' + id)), Attempt: 1}, Pool: "pool",
			Resources: medlargw.Resources{Cores: cores}, Estimate: 100 * time.Millisecond, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
		}},
	})
	return reply.States[0].State, x.takeActions()
}

func TestResourceReservationIsExact(t *testing.T) {
	tests := []struct {
		name  string
		cores []int64
		want  []medlargw.OfferState
	}{
		{"fits to the last", []int64{16000, 16000}, []medlargw.OfferState{medlargw.OfferStarted, medlargw.OfferStarted}},
		{"one thousandth too much", []int64{16000, 16001}, []medlargw.OfferState{medlargw.OfferStarted, medlargw.OfferRefused}},
		{"larger than the target", []int64{32001}, []medlargw.OfferState{medlargw.OfferRefused}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			for i, cores := range test.cores {
				if got, _ := x.offer(medlargw.TaskID(i+1), cores); got != test.want[i] {
					t.Errorf("task %d: got state %d, want %d", i+1, got, test.want[i])
				}
			}
		})
	}
}

// TestUnconfirmedRunKeepsResources asserts that a run whose start order was not
// answered keeps its resources until it is proven that the run was not started.
func TestUnconfirmedRunKeepsResources(t *testing.T) {
	x := newFixture(t)
	_, a := x.offer(1, 20000)
	order := a.Starts[0]
	x.h.StartAnswered(x.now, &order, medlargw.OrderReply{}, noAnswerError{})
	a = x.takeActions()
	if len(a.Stops) != 1 {
		t.Fatalf("stops after a start without an answer: got %d, want 1", len(a.Stops))
	}
	stop := a.Stops[0]
	x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start})
	if got, _ := x.offer(2, 20000); got != medlargw.OfferRefused {
		t.Errorf("beside an unconfirmed run: got state %d, want %d", got, medlargw.OfferRefused)
	}
	x.h.StopAnswered(x.now, &stop, medlargw.OrderReply{Clock: time.Second}, nil)
	x.now = x.now.Add(time.Millisecond)
	a = x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start})
	if len(a.Reports) != 1 || a.Reports[0].Event != medlargw.TaskReturned {
		t.Errorf("report of the run that was not started: got %v, want one that it is returned", a.Reports)
	}
	if got, _ := x.offer(3, 20000); got != medlargw.OfferStarted {
		t.Errorf("after the proof: got state %d, want %d", got, medlargw.OfferStarted)
	}
}

type noAnswerError struct{}

func (noAnswerError) Error() string { return "no answer" }

// TestOfferArrivesAgain asserts that a repeated offer does not start its task
// again, neither while the task runs nor after its end, and that the end is
// reported again. A home repeats an offer when its answer was lost.
func TestOfferArrivesAgain(t *testing.T) {
	x := newFixture(t)
	_, a := x.offer(1, 14000)
	order := a.Starts[0]
	state, a := x.offer(1, 14000)
	if state != medlargw.OfferStarted || len(a.Starts) != 0 {
		t.Errorf("offer while it runs: got state %d and %d starts, want %d and 0", state, len(a.Starts), medlargw.OfferStarted)
	}
	x.h.StartAnswered(x.now, &order, medlargw.OrderReply{Clock: time.Second}, nil)
	a = x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start, Ended: []medlargw.RunEnd{{Sequence: 1, Run: order.Order.Run}}})
	if len(a.Reports) != 1 || a.Reports[0].Event != medlargw.TaskSucceeded {
		t.Fatalf("reports of the end: got %v, want one that it is done", a.Reports)
	}
	state, a = x.offer(1, 14000)
	if state != medlargw.OfferStarted || len(a.Starts) != 0 || len(a.Reports) != 1 {
		t.Errorf("offer after its end: got state %d, %d starts, %d reports, want %d, 0, 1", state, len(a.Starts), len(a.Reports), medlargw.OfferStarted)
	}
}

// TestStaleOffer asserts that an offer that arrives after the end of its
// validity starts nothing, and that its reply is true for tasks that an earlier
// copy of the offer has brought.
func TestStaleOffer(t *testing.T) {
	const stale = time.Second // On the holder's clock; the offers are valid until zero.
	tests := []struct {
		name      string
		accepted  bool // An earlier copy was accepted.
		cancelled bool // The stale message cancels the task, and offers another one.
		want      medlargw.OfferState
		wantStops int
		wantAgain medlargw.OfferState // Of a valid copy that arrives later.
	}{
		{"not seen before", false, false, medlargw.OfferExpired, 0, medlargw.OfferRefused},
		{"started before", true, false, medlargw.OfferStarted, 0, medlargw.OfferStarted},
		{"started before and cancelled", true, true, medlargw.OfferStarted, 1, medlargw.OfferStarted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			if test.accepted {
				x.offer(1, 16000)
			}
			o := &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Tasks: []medlargw.OfferedTask{{ID: 1}}}
			if test.cancelled {
				o.Cancels = []medlargw.TaskID{1}
				o.Tasks[0].ID = 2
			}
			reply := x.h.HandleOffer(x.now, stale, o)
			if got := reply.States[0]; got.ID != 1 || got.State != test.want {
				t.Errorf("stale offer: got %+v, want task 1 in state %d", got, test.want)
			}
			a := x.takeActions()
			if len(a.Starts) != 0 || len(a.Stops) != test.wantStops {
				t.Errorf("orders: got %d starts and %d stops, want 0 and %d", len(a.Starts), len(a.Stops), test.wantStops)
			}
			if got, _ := x.offer(1, 16000); got != test.wantAgain {
				t.Errorf("valid copy: got state %d, want %d", got, test.wantAgain)
			}
		})
	}
}

// TestRecallArrivesAgain asserts that a task which was recalled before its
// offer arrived is refused each time, and never reported as started.
func TestRecallArrivesAgain(t *testing.T) {
	x := newFixture(t)
	for range 2 {
		reply := x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Recalls: []medlargw.TaskID{5}})
		if got := reply.States[0].State; got != medlargw.OfferRefused {
			t.Errorf("recall: got state %d, want %d", got, medlargw.OfferRefused)
		}
	}
	if got, _ := x.offer(5, 14000); got != medlargw.OfferRefused {
		t.Errorf("offer after its recall: got state %d, want %d", got, medlargw.OfferRefused)
	}
}

// TestOfferToFormerIncarnation guards against a run that its home does not know:
// an offer to the entry before its restart arrives after it, and the home ignores
// the reply of the new incarnation.
func TestOfferToFormerIncarnation(t *testing.T) {
	tests := []struct {
		name   string
		holder medlargw.Incarnation
		starts int
	}{
		{"this incarnation", self.Incarnation, 1},
		{"a former incarnation", 99, 0},
		{"not stated", 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			x.h.HandleOffer(x.now, 0, &medlargw.Offer{
				From: medlargw.Member{Host: "home", Incarnation: 7}, Holder: test.holder, ValidUntil: time.Minute,
				Tasks: []medlargw.OfferedTask{{
					ID: 1, Run: medlargw.RunID{Task: "a", Attempt: 1}, Pool: "pool", Resources: medlargw.Resources{Cores: 14000},
					Estimate: 100 * time.Millisecond, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
				}},
			})
			if got := len(x.takeActions().Starts); got != test.starts {
				t.Errorf("starts: got %d, want %d", got, test.starts)
			}
		})
	}
}

// TestRejectedToken asserts that a holder whose token was rejected
// starts nothing and claims the target again with a higher token only.
func TestRejectedToken(t *testing.T) {
	x := newFixture(t)
	former := x.renewal.Renewal.FenceToken
	x.report(medlargw.RunReport{Status: medlargw.OrderFenced})
	if got, _ := x.offer(1, 14000); got != medlargw.OfferRefused {
		t.Errorf("offer after the refusal: got state %d, want %d", got, medlargw.OfferRefused)
	}
	for range 200 {
		x.now = x.now.Add(20 * time.Millisecond)
		x.h.Tick(x.now)
		for _, r := range x.h.TakeActions().Renewals {
			if r.Renewal.FenceToken <= former {
				t.Fatalf("token after the refusal: got %d, want above %d", r.Renewal.FenceToken, former)
			}
		}
	}
}

// TestSilentHome asserts that the tasks of a silent home are stopped within
// 600 ms, well before its callers submit their jobs again.
func TestSilentHome(t *testing.T) {
	x := newFixture(t)
	_, a := x.offer(1, 14000)
	order := a.Starts[0]
	x.h.StartAnswered(x.now, &order, medlargw.OrderReply{Clock: time.Second}, nil)
	stops := 0
	for range 30 { // 600 ms
		x.now = x.now.Add(20 * time.Millisecond)
		x.h.Tick(x.now)
		stops += len(x.h.TakeActions().Stops)
	}
	if stops == 0 {
		t.Error("stops after 600 ms of silence: got 0, want some")
	}
}

// TestTransferToAFencedHolder asserts that a holder which was paused, and whose
// target another entry claimed meanwhile, takes over the target and its runs by
// a transfer. The holder must not report these runs as ended although it did
// not know them.
func TestTransferToAFencedHolder(t *testing.T) {
	x := newFixture(t)
	token := x.renewal.Renewal.FenceToken + 1<<32
	x.handOver(&medlargw.Transfer{
		From: medlargw.Member{Host: "other", Incarnation: 9},
		Targets: []medlargw.TransferredTarget{{Name: "t", IncarnationStart: start, FenceToken: token, Runs: []medlargw.TransferredRun{{
			Home: medlargw.Peer{Host: "home", Incarnation: 7},
			Task: medlargw.OfferedTask{ID: 1, Run: medlargw.RunID{Task: "a", Attempt: 1}, Pool: "pool", Resources: medlargw.Resources{Cores: 14000}},
		}}}},
	})
	a := x.h.TakeActions()
	for _, r := range a.Reports {
		if r.Event.Terminal() {
			t.Errorf("report of a run that goes on: got %s, want none that it has ended", r.Event)
		}
	}
	x.h.Tick(x.now)
	claims := x.h.TakeActions().Renewals
	if len(claims) != 1 || claims[0].Renewal.FenceToken <= token {
		t.Fatalf("claims after the transfer: got %v, want one above %d", claims, token)
	}
}

// TestRunsOfUnevenLength asserts when a run that takes longer than estimated is
// stopped: when runs of other jobs are slow on its target too, or when it makes
// hardly any progress. A task may take long on any target, also when the others
// of its job do not.
func TestRunsOfUnevenLength(t *testing.T) {
	tests := []struct {
		name     string
		jobs     [3]uint64 // Of the tasks a, b and c.
		percents [3]int    // Their progress after 250 ms; 100 has ended.
		stops    int
	}{
		{"as estimated", [3]uint64{1, 2, 3}, [3]int{90, 90, 90}, 0},
		{"a long one beside short ones of its job", [3]uint64{1, 1, 1}, [3]int{45, 100, 100}, 0},
		{"a long one beside short ones of other jobs", [3]uint64{1, 2, 3}, [3]int{45, 100, 100}, 0},
		{"long ones of one job", [3]uint64{1, 1, 1}, [3]int{45, 45, 45}, 0},
		{"long ones of different jobs", [3]uint64{1, 2, 3}, [3]int{45, 45, 45}, 3},
		{"one with hardly any progress", [3]uint64{1, 2, 3}, [3]int{20, 100, 100}, 1},
		{"one without progress", [3]uint64{1, 1, 1}, [3]int{0, 100, 100}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			o := medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}}
			for i, job := range test.jobs {
				o.Tasks = append(o.Tasks, medlargw.OfferedTask{
					ID: medlargw.TaskID(i), Job: job, Run: medlargw.RunID{Task: string(rune('a' + i)), Attempt: 1}, Pool: "pool",
					Resources: medlargw.Resources{Cores: 9000}, Estimate: 100 * time.Millisecond, TimeToObjective: 220 * time.Millisecond, TimeToDeadline: 2 * time.Second,
				})
			}
			x.h.HandleOffer(x.now, 0, &o)
			for _, cmd := range x.takeActions().Starts {
				x.h.StartAnswered(x.now, &cmd, medlargw.OrderReply{Clock: time.Second}, nil)
			}
			x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start, Active: active(&test.percents)})
			x.now = x.now.Add(100 * time.Millisecond)
			ended := medlargw.RunReport{Clock: 1100 * time.Millisecond, IncarnationStart: start, Active: active(&test.percents)}
			for i, percent := range test.percents {
				if percent == 100 {
					ended.Ended = append(ended.Ended, medlargw.RunEnd{Sequence: uint64(i + 1), Run: o.Tasks[i].Run, Kind: medlargw.RunSucceeded})
				}
			}
			stops := len(x.report(ended).Stops)
			x.now = x.now.Add(150 * time.Millisecond)
			for range 2 { // The first report records slow runs; the second stops them.
				stops += len(x.report(medlargw.RunReport{Clock: 1250 * time.Millisecond, IncarnationStart: start, Active: active(&test.percents)}).Stops)
			}
			if stops != test.stops {
				t.Errorf("stops: got %d, want %d", stops, test.stops)
			}
		})
	}
}

// active returns the runs that have not ended, with their progress after
// 250 ms. Earlier reports show the same progress.
func active(percents *[3]int) []medlargw.ActiveRun {
	var all []medlargw.ActiveRun
	for i, percent := range percents {
		if percent < 100 {
			all = append(all, medlargw.ActiveRun{Run: medlargw.RunID{Task: string(rune('a' + i)), Attempt: 1}, Percent: percent})
		}
	}
	return all
}
