package holder_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/holder"
	"medlargw.example/medlargw/isolator"
	"medlargw.example/medlargw/pacer"
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

// fleet is a holder of eight claimed targets, of which two are set apart.
type fleet struct {
	*fixture
	group    medlargw.Group
	isolated map[medlargw.TargetName]bool
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	settings := medlargw.DefaultLeaseSettings()
	x := &fleet{fixture: &fixture{t: t, now: start, h: holder.New(zap.NewNop(), settings, self, pacer.New(0))}, isolated: map[medlargw.TargetName]bool{}}
	var s isolator.Isolator
	g := medlargw.Group{Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}}}
	for i := range 8 {
		g.Targets = append(g.Targets, medlargw.Target{
			Name: medlargw.TargetName(fmt.Sprintf("t%d", i)), Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000},
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80),
		})
	}
	s.Update(start, g.Targets)
	for _, target := range g.Targets {
		x.isolated[target.Name] = s.IsIsolated(target.Addr)
	}
	x.group = g
	x.h.SetGroup(x.now, g)
	x.now = x.now.Add(time.Second)
	x.h.Tick(x.now)
	for _, c := range x.h.TakeActions().Renewals {
		x.h.RenewAnswered(x.now, x.now, &c, &medlargw.RunReport{Clock: time.Second, IncarnationStart: start}, nil)
	}
	x.h.TakeActions()
	return x
}

// start offers a task of a service and returns its start order, nil if there is none.
func (x *fleet) start(id medlargw.TaskID, service medlargw.ServiceName, cores int64) *medlargw.StartCommand {
	x.h.HandleOffer(x.now, 0, &medlargw.Offer{
		From: medlargw.Member{Host: "home", Incarnation: 7},
		Tasks: []medlargw.OfferedTask{{
			ID: id, Run: medlargw.RunID{Task: fmt.Sprintf("task%d", id), Attempt: 1}, Pool: "pool", Service: service,
			Resources: medlargw.Resources{Cores: cores}, Estimate: 100 * time.Millisecond, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
		}},
	})
	if a := x.h.TakeActions(); len(a.Starts) > 0 {
		return &a.Starts[0]
	}
	return nil
}

// TestConfinedServiceStartsApart guards against a confined service that goes on taking
// the targets of others, whether this entry has seen the crashes or a peer, and before or
// after the first task of the service came here.
func TestConfinedServiceStartsApart(t *testing.T) {
	byPeer := func(x *fleet) {
		x.h.SetPeerCrashes(x.now, 2, []medlargw.ServiceCrashes{
			{Service: "", Exposure: 20}, {Service: "bad", Blame: 8, Exposure: 50}, {Service: "good", Exposure: 50},
		})
		x.h.Tick(x.now)
	}
	tests := []struct {
		name   string
		before func(x *fleet)
	}{
		{"a peer has seen it before its first task", byPeer},
		{"a peer has seen it after its first task", func(x *fleet) {
			x.start(90, "bad", 1000)
			byPeer(x)
		}},
		{"seen here", func(x *fleet) {
			for id := range medlargw.TaskID(40) { // Some run time of both services.
				service := []medlargw.ServiceName{"good", "bad"}[id%2]
				c := x.start(100+id, service, 1000)
				x.h.StartAnswered(x.now, c, medlargw.OrderReply{Clock: time.Second}, nil)
				x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
			}
			x.h.TakeActions()
			for range 3 {
				x.now = x.now.Add(100 * time.Millisecond)
				c := x.start(medlargw.TaskID(200+x.now.UnixMilli()%1000), "bad", 1000)
				x.h.StartAnswered(x.now, c, medlargw.OrderReply{Clock: time.Second}, nil)
				x.now = x.now.Add(10 * time.Millisecond)
				x.h.RenewAnswered(x.now, x.now, &medlargw.RenewCommand{Target: c.Target, Renewal: medlargw.Renewal{FenceToken: c.Order.FenceToken}},
					&medlargw.RunReport{}, medlargw.ErrConnectionRefused)
				x.h.TakeActions()
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFleet(t)
			test.before(x)
			if got, want := x.h.FreeResources(x.now).Confined, []medlargw.ServiceName{"bad"}; !slices.Equal(got, want) {
				t.Fatalf("confined: got %v, want %v", got, want)
			}
			for id := medlargw.TaskID(1); id <= 12; id++ {
				service := []medlargw.ServiceName{"good", "bad"}[id%2]
				c := x.start(id, service, 4000)
				if c == nil {
					continue // The isolated targets may be down.
				}
				if got, want := x.isolated[c.Target.Name], service == "bad"; got != want {
					t.Errorf("task of %s started on an isolated target: got %v, want %v", service, got, want)
				}
			}
		})
	}
}

// TestSuspectWaitsForUsefulTarget guards against a suspect task that waits until its
// deadline: the target that is left to it is one that it avoids, or that is too small,
// while others are idle.
func TestSuspectWaitsForUsefulTarget(t *testing.T) {
	isolated, others := newFleet(t).names()
	all := slices.Concat(isolated, others)
	tests := []struct {
		name  string
		avoid []medlargw.TargetName
		small []medlargw.TargetName
		want  []medlargw.TargetName // It starts on one of them; nil is on none.
	}{
		{"any will do", nil, nil, isolated},
		{"an isolated target is avoided", isolated[:1], nil, isolated[1:]},
		{"an isolated target is too small", nil, isolated[:1], isolated[1:]},
		{"the isolated targets are avoided", isolated, nil, others},
		{"the isolated targets are too small", nil, isolated, others},
		{"others are avoided too", all[:5], nil, all[5:]},
		{"all are avoided", all, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFleet(t)
			for i := range x.group.Targets {
				if info := &x.group.Targets[i]; slices.Contains(test.small, info.Name) {
					info.Resources.Cores = 4000
				}
			}
			x.h.SetGroup(x.now, x.group)
			x.h.TakeActions()
			x.h.HandleOffer(x.now, 0, &medlargw.Offer{
				From: medlargw.Member{Host: "home", Incarnation: 7},
				Tasks: []medlargw.OfferedTask{{
					ID: 1, Run: medlargw.RunID{Task: "b", Attempt: 5}, Pool: "pool", Service: "s", MayQueue: true, Suspect: true, Avoid: test.avoid,
					Resources: medlargw.Resources{Cores: 8000}, Estimate: 100 * time.Millisecond, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
				}},
			})
			var got []medlargw.TargetName
			for _, c := range x.h.TakeActions().Starts {
				got = append(got, c.Target.Name)
			}
			if len(got) != min(1, len(test.want)) || len(got) == 1 && !slices.Contains(test.want, got[0]) {
				t.Errorf("starts: got %v, want one on any of %v", got, test.want)
			}
		})
	}
}

// names returns the names of the targets that are set apart, and of the others.
func (x *fleet) names() (isolated, others []medlargw.TargetName) {
	for i := range x.group.Targets {
		if name := x.group.Targets[i].Name; x.isolated[name] {
			isolated = append(isolated, name)
		} else {
			others = append(others, name)
		}
	}
	return isolated, others
}
