package holder_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// setGroup passes the holder its group with the evacuated zones and targets of
// pool "pool" in the given zones.
func (x *fixture) setGroup(evacuated []medlargw.ZoneName, targets ...medlargw.Target) medlargw.HolderActions {
	x.t.Helper()
	g := medlargw.Group{Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}}, Evacuated: evacuated}
	for _, t := range targets {
		t.Pool, t.Resources = "pool", medlargw.Resources{Cores: 32000, Memory: 1000}
		g.Targets = append(g.Targets, t)
	}
	x.h.SetGroup(x.now, g)
	return x.takeActions()
}

// offerQueued offers a task that may queue, and returns its state.
func (x *fixture) offerQueued(id medlargw.TaskID) medlargw.OfferState {
	reply := x.h.HandleOffer(x.now, 0, &medlargw.Offer{
		From: medlargw.Member{Host: "home", Incarnation: 7},
		Tasks: []medlargw.OfferedTask{{
			ID: id, Run: medlargw.RunID{Task: string(rune('a' + id)), Attempt: 1}, Pool: "pool", MayQueue: true,
			Resources: medlargw.Resources{Cores: 20000}, Estimate: 100 * time.Millisecond, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
		}},
	})
	return reply.States[0].State
}

// TestEvacuation follows the only target of a holder through the evacuation of
// its zone: a run goes on and its end is taken, what waits is returned at once,
// nothing starts until the request is taken back.
func TestEvacuation(t *testing.T) {
	x := newFixture(t)
	target := medlargw.Target{Name: "t", Zone: "z"}
	x.offer(1, 20000)
	if got := x.offerQueued(2); got != medlargw.OfferQueued {
		t.Fatalf("second task: got state %v, want queued", got)
	}
	a := x.setGroup([]medlargw.ZoneName{"z"}, target)
	if len(a.Starts)+len(a.Stops) != 0 || len(a.Reports) != 1 || a.Reports[0].ID != 2 ||
		a.Reports[0].Event != medlargw.TaskReturned || a.Reports[0].Reason != medlargw.ReasonEvacuated {
		t.Errorf("evacuation: got %+v, want one report that task 2 is returned", a)
	}
	if sum := x.h.FreeResources(x.now); len(sum.Pools) != 0 {
		t.Errorf("free resources: got %+v, want none", sum.Pools)
	}
	if got := x.offerQueued(3); got != medlargw.OfferRefused {
		t.Errorf("offer during the evacuation: got state %v, want refused", got)
	}
	x.now = x.now.Add(100 * time.Millisecond)
	run := medlargw.RunID{Task: "b", Attempt: 1}
	a = x.report(medlargw.RunReport{Clock: 1100 * time.Millisecond, IncarnationStart: start, Active: []medlargw.ActiveRun{{Run: run}}})
	if len(a.Renewals) != 1 || a.Renewals[0].Renewal.LeaseEnd == 0 {
		t.Errorf("renewals during the evacuation: got %v, want one that renews the lease", a.Renewals)
	}
	a = x.report(medlargw.RunReport{Clock: 1100 * time.Millisecond, IncarnationStart: start, Ended: []medlargw.RunEnd{
		{Sequence: 1, Run: run, Kind: medlargw.RunSucceeded},
	}})
	if len(a.Starts) != 0 || len(a.Reports) != 1 || a.Reports[0].Event != medlargw.TaskSucceeded {
		t.Errorf("end of the run: got %+v, want one report of its success", a)
	}
	a = x.setGroup(nil, target)
	if len(a.Starts) != 0 {
		t.Errorf("starts after the request is taken back: got %v, want none, as no task waits", a.Starts)
	}
	if got := x.offerQueued(4); got != medlargw.OfferStarted {
		t.Errorf("offer after the request is taken back: got state %v, want started", got)
	}
}

// TestEvacuationOfOneZone asserts that tasks go on waiting for the targets of
// another zone, and that a target that is listed during the evacuation is not
// used.
func TestEvacuationOfOneZone(t *testing.T) {
	x := newFixture(t)
	targets := []medlargw.Target{{Name: "t", Zone: "z"}, {Name: "u", Zone: "other"}}
	x.offer(1, 20000)
	x.offerQueued(2)
	for range 30 { // The targets of zones without an entry are claimed after 3 s.
		x.now = x.now.Add(100 * time.Millisecond)
		x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
	}
	x.setGroup(nil, targets...)
	x.offerQueued(3)
	if a := x.setGroup([]medlargw.ZoneName{"z"}, targets...); len(a.Reports) != 0 {
		t.Errorf("reports: got %v, want none", a.Reports)
	}
	targets = append(targets, medlargw.Target{Name: "v", Zone: "z"})
	x.setGroup([]medlargw.ZoneName{"z"}, targets...)
	x.now = x.now.Add(time.Second)
	x.h.Tick(x.now)
	for _, renewal := range x.h.TakeActions().Renewals {
		report := medlargw.RunReport{Clock: time.Second, IncarnationStart: start}
		x.h.RenewAnswered(x.now, x.now, &renewal, &report, nil)
	}
	for _, s := range x.h.TakeActions().Starts {
		if s.Target.Zone != "other" {
			t.Errorf("start in zone %s, want starts in zone other alone", s.Target.Zone)
		}
	}
	sum := x.h.FreeResources(x.now)
	if len(sum.Pools) != 1 || sum.Pools[0].TotalCores != 32000 {
		t.Errorf("resources: got %+v, want those of the target of zone other", sum.Pools)
	}
}

// TestTransferDuringEvacuation asserts that a target of an evacuated zone that
// another entry transfers is not used.
func TestTransferDuringEvacuation(t *testing.T) {
	x := newFixture(t)
	x.setGroup([]medlargw.ZoneName{"z"}, medlargw.Target{Name: "t", Zone: "z"}, medlargw.Target{Name: "v", Zone: "z"})
	err := x.h.HandleTransfer(x.now, &medlargw.Transfer{
		From: medlargw.Member{Host: "other"}, Targets: []medlargw.TransferredTarget{{Name: "v", IncarnationStart: start, FenceToken: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	x.h.Tick(x.now)
	for _, renewal := range x.h.TakeActions().Renewals {
		report := medlargw.RunReport{Clock: time.Second, IncarnationStart: start}
		x.h.RenewAnswered(x.now, x.now, &renewal, &report, nil)
	}
	if got := x.offerQueued(1); got != medlargw.OfferRefused {
		t.Errorf("offer: got state %v, want refused", got)
	}
}

// TestColdTarget asserts that a target that is cold after its start reports no
// free resources, and gets a task only if the task can still end in time there.
func TestColdTarget(t *testing.T) {
	tests := []struct {
		name      string
		cold      time.Duration
		objective time.Duration // Of a task of 100 ms.
		started   bool
		free      int // Targets with free resources, if the task is not started.
	}{
		{"warm", 0, 120 * time.Millisecond, true, 1},
		{"cold, no slack", time.Second, 120 * time.Millisecond, false, 0},
		{"cold, enough slack", time.Second, 200 * time.Millisecond, true, 0},
		{"warm again", -time.Second, 120 * time.Millisecond, true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			target := medlargw.Target{Name: "t", Zone: "z"}
			if test.cold != 0 {
				target.ColdUntil = x.now.Add(test.cold)
			}
			x.setGroup(nil, target)
			sum := x.h.FreeResources(x.now)
			if got := len(sum.Pools[0].Free); got != test.free || sum.Pools[0].TotalCores != 32000 {
				t.Errorf("resources: got %+v, want 32000 cores, free on %d targets", sum.Pools[0], test.free)
			}
			reply := x.h.HandleOffer(x.now, 0, &medlargw.Offer{
				From: medlargw.Member{Host: "home", Incarnation: 7},
				Tasks: []medlargw.OfferedTask{{
					ID: 1, Run: medlargw.RunID{Task: "a", Attempt: 1}, Pool: "pool", MayQueue: true, Resources: medlargw.Resources{Cores: 1000},
					Estimate: 100 * time.Millisecond, TimeToObjective: test.objective, TimeToDeadline: time.Second,
				}},
			})
			if got := reply.States[0].State == medlargw.OfferStarted; got != test.started {
				t.Errorf("started: got %v, want %v", got, test.started)
			}
		})
	}
}

// TestColdRunIsNotRated asserts that a run on a cold target does not count for the
// speed of the target by nature.
func TestColdRunIsNotRated(t *testing.T) {
	tests := []struct {
		name string
		cold time.Duration
		want bool
	}{
		{"warm", 0, true},
		{"cold", time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			target := medlargw.Target{Name: "t", Zone: "z", ColdUntil: x.now.Add(test.cold)}
			x.setGroup(nil, target)
			if got := x.offerQueued(1); got != medlargw.OfferStarted {
				t.Fatalf("offer: got state %v, want started", got)
			}
			order := x.takeActions().Starts[0]
			x.h.StartAnswered(x.now, &order, medlargw.OrderReply{Clock: time.Second}, nil)
			x.now = x.now.Add(150 * time.Millisecond)
			x.report(medlargw.RunReport{Clock: 1150 * time.Millisecond, IncarnationStart: start, Ended: []medlargw.RunEnd{
				{Sequence: 1, Run: order.Order.Run, Kind: medlargw.RunSucceeded},
			}})
			target.Pool, target.Resources = "pool", medlargw.Resources{Cores: 32000, Memory: 1000}
			x.h.SetGroup(x.now, medlargw.Group{
				Entries: []medlargw.Peer{{Host: "next", Zone: "z", Incarnation: 5}}, Targets: []medlargw.Target{target},
			})
			x.h.Tick(x.now)
			transfers := x.takeActions().Transfers
			if len(transfers) != 1 {
				t.Fatalf("transfers: got %d, want 1", len(transfers))
			}
			if got := transfers[0].Targets[0].Rating.Runs > 0; got != test.want {
				t.Errorf("run counted in the rating: got %v, want %v", got, test.want)
			}
		})
	}
}
