package holder_test

import (
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/holder"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var self = medlargw.Member{
	Host: "self", Zone: "z", Incarnation: 1, Addr: netip.MustParseAddrPort("10.1.0.2:7000"),
}

// held is a holder of one target of 32 cores, which is claimed.
type held struct {
	t   *testing.T
	h   *holder.Holder
	now time.Time
	cmd medlargw.RenewCommand // The renewal on its way.
}

func newHeld(t *testing.T) *held {
	settings := medlargw.LeaseSettings{
		Lease: 800 * time.Millisecond, Longest: time.Second, Drift: 0.025, Stop: 50 * time.Millisecond,
		Poll: 100 * time.Millisecond, Order: 200 * time.Millisecond, Silence: 500 * time.Millisecond,
		Unlisted: 2500 * time.Millisecond, Refused: 2 * time.Second,
	}
	x := &held{t: t, now: start, h: holder.New(zap.NewNop(), settings, self)}
	x.h.Assign(x.now, medlargw.Group{
		Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}},
		Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Room: medlargw.Room{Cores: 32000, Memory: 1000}}},
	})
	x.now = x.now.Add(time.Second)
	x.h.Tick(x.now)
	x.renewed()
	x.report(medlargw.RunReport{Clock: time.Second, Born: start})
	return x
}

// renewed takes the renewal that is sent now.
func (x *held) renewed() medlargw.HolderActions {
	x.t.Helper()
	a := x.h.TakeActions()
	if len(a.Renewals) == 1 {
		x.cmd = a.Renewals[0]
	}
	return a
}

// report answers the renewal that is on its way.
func (x *held) report(r medlargw.RunReport) medlargw.HolderActions {
	x.t.Helper()
	x.h.Reported(x.now, x.now, &x.cmd, &r, nil)
	return x.renewed()
}

// offer offers a task and returns its state and what follows.
func (x *held) offer(id medlargw.TaskID, cores int64) (medlargw.OfferState, medlargw.HolderActions) {
	x.t.Helper()
	reply := x.h.Offer(x.now, 0, &medlargw.Offer{
		From: medlargw.Member{Host: "home", Incarnation: 7},
		Tasks: []medlargw.OfferedTask{{
			ID: id, Run: medlargw.RunID{Task: string(rune('a' + id)), Attempt: 1}, Pool: "pool",
			Room: medlargw.Room{Cores: cores}, Estimate: 100 * time.Millisecond, Due: time.Second, Deadline: 2 * time.Second,
		}},
	})
	return reply.States[0].State, x.renewed()
}

func TestRoomIsExact(t *testing.T) {
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
			x := newHeld(t)
			for i, cores := range test.cores {
				if got, _ := x.offer(medlargw.TaskID(i+1), cores); got != test.want[i] {
					t.Errorf("task %d: got state %d, want %d", i+1, got, test.want[i])
				}
			}
		})
	}
}

// TestRoomOfADoubtfulRun asserts that a run whose order was not answered keeps
// its room until it is proven that it does not run.
func TestRoomOfADoubtfulRun(t *testing.T) {
	x := newHeld(t)
	_, a := x.offer(1, 20000)
	order := a.Starts[0]
	x.h.StartAnswered(x.now, &order, medlargw.OrderReply{}, netErr{})
	a = x.renewed()
	if len(a.Stops) != 1 {
		t.Fatalf("stops after a start without an answer: got %d, want 1", len(a.Stops))
	}
	stop := a.Stops[0]
	x.report(medlargw.RunReport{Clock: time.Second, Born: start})
	if got, _ := x.offer(2, 20000); got != medlargw.OfferRefused {
		t.Errorf("beside a doubtful run: got state %d, want %d", got, medlargw.OfferRefused)
	}
	x.h.StopAnswered(x.now, &stop, medlargw.OrderReply{Clock: time.Second}, nil)
	x.now = x.now.Add(time.Millisecond)
	a = x.report(medlargw.RunReport{Clock: time.Second, Born: start})
	if len(a.Reports) != 1 || a.Reports[0].Event != medlargw.TaskReturned {
		t.Errorf("report of the run that never was: got %v, want one that it is returned", a.Reports)
	}
	if got, _ := x.offer(3, 20000); got != medlargw.OfferStarted {
		t.Errorf("after the proof: got state %d, want %d", got, medlargw.OfferStarted)
	}
}

type netErr struct{}

func (netErr) Error() string { return "no answer" }

// TestOfferArrivesAgain asserts that a task is started once, whatever becomes
// of the answers, and that its end is reported again.
func TestOfferArrivesAgain(t *testing.T) {
	x := newHeld(t)
	_, a := x.offer(1, 14000)
	order := a.Starts[0]
	state, a := x.offer(1, 14000)
	if state != medlargw.OfferStarted || len(a.Starts) != 0 {
		t.Errorf("offer while it runs: got state %d and %d starts, want %d and 0", state, len(a.Starts), medlargw.OfferStarted)
	}
	x.h.StartAnswered(x.now, &order, medlargw.OrderReply{Clock: time.Second}, nil)
	a = x.report(medlargw.RunReport{Clock: time.Second, Born: start, Ended: []medlargw.RunEnd{{Number: 1, Run: order.Order.Run}}})
	if len(a.Reports) != 1 || a.Reports[0].Event != medlargw.TaskDone {
		t.Fatalf("reports of the end: got %v, want one that it is done", a.Reports)
	}
	state, a = x.offer(1, 14000)
	if state != medlargw.OfferStarted || len(a.Starts) != 0 || len(a.Reports) != 1 {
		t.Errorf("offer after its end: got state %d, %d starts, %d reports, want %d, 0, 1", state, len(a.Starts), len(a.Reports), medlargw.OfferStarted)
	}
}

// TestRecallArrivesAgain asserts that a task which was given back is never said
// to have started.
func TestRecallArrivesAgain(t *testing.T) {
	x := newHeld(t)
	for range 2 {
		reply := x.h.Offer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Recalls: []medlargw.TaskID{5}})
		if got := reply.States[0].State; got != medlargw.OfferRefused {
			t.Errorf("recall: got state %d, want %d", got, medlargw.OfferRefused)
		}
	}
	if got, _ := x.offer(5, 14000); got != medlargw.OfferRefused {
		t.Errorf("offer after its recall: got state %d, want %d", got, medlargw.OfferRefused)
	}
}

// TestFence asserts that a holder that was refused does not order again with
// the same token.
func TestFence(t *testing.T) {
	x := newHeld(t)
	former := x.cmd.Renewal.Fence
	x.report(medlargw.RunReport{Verdict: medlargw.VerdictFenced})
	if got, _ := x.offer(1, 14000); got != medlargw.OfferRefused {
		t.Errorf("offer after the refusal: got state %d, want %d", got, medlargw.OfferRefused)
	}
	for range 200 {
		x.now = x.now.Add(20 * time.Millisecond)
		x.h.Tick(x.now)
		for _, r := range x.h.TakeActions().Renewals {
			if r.Renewal.Fence <= former {
				t.Fatalf("token after the refusal: got %d, want above %d", r.Renewal.Fence, former)
			}
		}
	}
}

// TestSilentHome asserts that the tasks of a home that fell silent are stopped
// well before its callers ask again.
func TestSilentHome(t *testing.T) {
	x := newHeld(t)
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

// TestTransferToAStaleHolder asserts that a holder which stood still, and was
// replaced meanwhile, takes a target over with its runs, and does not call them
// ended because it never knew them.
func TestTransferToAStaleHolder(t *testing.T) {
	x := newHeld(t)
	fence := x.cmd.Renewal.Fence + 1<<24
	x.h.Transfer(x.now, &medlargw.Transfer{
		From: medlargw.Member{Host: "other", Incarnation: 9},
		Targets: []medlargw.TransferredTarget{{Name: "t", Born: start, Fence: fence, Runs: []medlargw.TransferredRun{{
			Home: medlargw.Peer{Host: "home", Incarnation: 7},
			Task: medlargw.OfferedTask{ID: 1, Run: medlargw.RunID{Task: "a", Attempt: 1}, Pool: "pool", Room: medlargw.Room{Cores: 14000}},
		}}}},
	})
	a := x.h.TakeActions()
	for _, r := range a.Reports {
		if r.Event.Ends() {
			t.Errorf("report of a run that goes on: got %s, want none that it has ended", r.Event)
		}
	}
	x.h.Tick(x.now)
	claims := x.h.TakeActions().Renewals
	if len(claims) != 1 || claims[0].Renewal.Fence <= fence {
		t.Fatalf("claims after the transfer: got %v, want one above %d", claims, fence)
	}
}

// TestRunsOfUnevenLength asserts what stops a run that takes longer than
// estimated: other jobs that take long on its target too, or a run that hardly
// moves. Tasks may be long by themselves, also when others of their job are not.
func TestRunsOfUnevenLength(t *testing.T) {
	tests := []struct {
		name     string
		jobs     [3]uint64 // Of the tasks a, b and c.
		percents [3]int    // Of their progress after 250 ms; 100 has ended.
		stops    int
	}{
		{"as estimated", [3]uint64{1, 2, 3}, [3]int{90, 90, 90}, 0},
		{"a long one beside short ones of its job", [3]uint64{1, 1, 1}, [3]int{45, 100, 100}, 0},
		{"a long one beside short ones of other jobs", [3]uint64{1, 2, 3}, [3]int{45, 100, 100}, 0},
		{"long ones of one job", [3]uint64{1, 1, 1}, [3]int{45, 45, 45}, 0},
		{"long ones of different jobs", [3]uint64{1, 2, 3}, [3]int{45, 45, 45}, 3},
		{"one that hardly moves", [3]uint64{1, 2, 3}, [3]int{20, 100, 100}, 1},
		{"one that does not move", [3]uint64{1, 1, 1}, [3]int{0, 100, 100}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newHeld(t)
			o := medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}}
			for i, job := range test.jobs {
				o.Tasks = append(o.Tasks, medlargw.OfferedTask{
					ID: medlargw.TaskID(i), Job: job, Run: medlargw.RunID{Task: string(rune('a' + i)), Attempt: 1}, Pool: "pool",
					Room: medlargw.Room{Cores: 9000}, Estimate: 100 * time.Millisecond, Due: 220 * time.Millisecond, Deadline: 2 * time.Second,
				})
			}
			x.h.Offer(x.now, 0, &o)
			for _, cmd := range x.renewed().Starts {
				x.h.StartAnswered(x.now, &cmd, medlargw.OrderReply{Clock: time.Second}, nil)
			}
			x.report(medlargw.RunReport{Clock: time.Second, Born: start, Active: active(&test.percents)})
			x.now = x.now.Add(100 * time.Millisecond)
			ended := medlargw.RunReport{Clock: 1100 * time.Millisecond, Born: start, Active: active(&test.percents)}
			for i, percent := range test.percents {
				if percent == 100 {
					ended.Ended = append(ended.Ended, medlargw.RunEnd{Number: uint64(i + 1), Run: o.Tasks[i].Run, Kind: medlargw.RunDone})
				}
			}
			stops := len(x.report(ended).Stops)
			x.now = x.now.Add(150 * time.Millisecond)
			for range 2 { // The first finds what the second stops.
				stops += len(x.report(medlargw.RunReport{Clock: 1250 * time.Millisecond, Born: start, Active: active(&test.percents)}).Stops)
			}
			if stops != test.stops {
				t.Errorf("stops: got %d, want %d", stops, test.stops)
			}
		})
	}
}

// active returns the runs that have not ended, by the share that they have done
// after 250 ms. Before, they show no more than that.
func active(percents *[3]int) []medlargw.ActiveRun {
	var all []medlargw.ActiveRun
	for i, percent := range percents {
		if percent < 100 {
			all = append(all, medlargw.ActiveRun{Run: medlargw.RunID{Task: string(rune('a' + i)), Attempt: 1}, Percent: percent})
		}
	}
	return all
}
