package holder_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/holder"
	"medlargw.example/medlargw/pacer"
)

// TestRestartedEntryWaitsForTransfer starts an entry that knows no other one at
// its first assignment. If it then hears of a peer that has run for long, which
// holds the targets, it claims none before the transfer had time to come. If all
// entries have just started, it claims its targets without that delay.
func TestRestartedEntryWaitsForTransfer(t *testing.T) {
	tests := []struct {
		name       string
		peerUptime time.Duration // 150 ms after the start; zero is no heartbeat.
		min        time.Duration // Of the first claim, after the start.
		max        time.Duration
	}{
		{"alone", 0, 300 * time.Millisecond, 400 * time.Millisecond},
		{"all entries start", 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond},
		{"one entry starts again", time.Minute, 750 * time.Millisecond, 850 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := holder.New(zap.NewNop(), medlargw.DefaultLeaseSettings(), self, pacer.New(0))
			g := medlargw.Group{
				Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}},
				Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000}}},
			}
			h.SetGroup(start, g)
			for uptime := time.Duration(0); uptime < 2*time.Second; uptime += 10 * time.Millisecond {
				now := start.Add(uptime)
				if uptime == 150*time.Millisecond && test.peerUptime > 0 {
					h.HandleHeartbeat(now, 2, uptime, test.peerUptime)
					g.Entries = append(g.Entries, medlargw.Peer{Host: "peer", Zone: "other", Incarnation: 2})
					h.SetGroup(now, g)
				}
				h.Tick(now)
				if len(h.TakeActions().Renewals) == 0 {
					continue
				}
				if uptime < test.min || uptime > test.max {
					t.Errorf("first claim: got %v after the start, want %v to %v", uptime, test.min, test.max)
				}
				return
			}
			t.Error("first claim: got none, want one")
		})
	}
}

// restarted returns a holder whose entry was there before all entries stopped. The
// others were too, and none of them is heard. The former process is enrolled or not.
func restarted(enrolled bool) (*holder.Holder, medlargw.Group) {
	h := holder.New(zap.NewNop(), medlargw.DefaultLeaseSettings(), self, pacer.New(0))
	own := medlargw.Peer{Host: self.Host, Zone: self.Zone, Addr: self.Addr}
	g := medlargw.Group{
		Entries:            []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Addr: self.Addr, Incarnation: self.Incarnation}},
		RecentEntries:      []medlargw.Peer{own},
		HasFormerEnrolment: enrolled,
		Targets:            []medlargw.Target{{Name: "t", Zone: self.Zone, Pool: "pool", Resources: medlargw.Resources{Cores: 32000}}},
	}
	return h, g
}

// TestRejectedClaimIsRepeatedAtOnce rejects the first claims of an entry that has
// started again: the target has seen the tokens of its former process. Each claim must
// be repeated without waiting for the next tick, and with a higher token.
func TestRejectedClaimIsRepeatedAtOnce(t *testing.T) {
	h, g := restarted(true)
	h.SetGroup(start, g)
	var last uint64
	for n := range 5 {
		renewals := h.TakeActions().Renewals
		if len(renewals) != 1 || renewals[0].Renewal.FenceToken <= last {
			t.Fatalf("claim %d: got %+v, want one with a token above %d", n, renewals, last)
		}
		last = renewals[0].Renewal.FenceToken
		h.RenewAnswered(start, start, &renewals[0], &medlargw.RunReport{Status: medlargw.OrderFenced}, nil)
	}
}

// TestEndsThatNobodyKnows guards against targets that answer late after a start of all
// entries. They list ends of runs that no living entry knows. While such an end is not
// acknowledged, the target answers each renewal at once, and the holder pauses between
// them, so that it hears late of each other end.
func TestEndsThatNobodyKnows(t *testing.T) {
	tests := []struct {
		name      string
		restarted bool
		want      uint64 // Sequence number that the renewal after the claim acknowledges.
	}{
		{"no living entry", true, 3},
		{"a living entry may transfer the runs", false, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, g := restarted(true)
			if !test.restarted {
				g.RecentEntries, g.HasFormerEnrolment = nil, false
			}
			h.SetGroup(start, g)
			now := start.Add(time.Second)
			h.Tick(now)
			claim := h.TakeActions().Renewals
			if len(claim) != 1 {
				t.Fatalf("claims: got %d, want 1", len(claim))
			}
			h.RenewAnswered(now, now, &claim[0], &medlargw.RunReport{
				Clock: time.Second, IncarnationStart: start,
				Ended: []medlargw.RunEnd{{Sequence: 3, Run: medlargw.RunID{Task: "a", Attempt: 1}}},
			}, nil)
			now = now.Add(50 * time.Millisecond)
			h.Tick(now)
			renewals := h.TakeActions().Renewals
			if len(renewals) != 1 || renewals[0].Renewal.AckedSequence != test.want {
				t.Errorf("renewals after the claim: got %+v, want one that acknowledges %d", renewals, test.want)
			}
		})
	}
}

// TestTransferHasNoPayloads checks that the runs of a planned stop are handed over
// without the payloads, which their targets have.
func TestTransferHasNoPayloads(t *testing.T) {
	x := newFixture(t)
	x.h.HandleOffer(x.now, 0, &medlargw.Offer{
		From: medlargw.Member{Host: "home", Incarnation: 7},
		Tasks: []medlargw.OfferedTask{{
			ID: 1, Run: medlargw.RunID{Task: "a", Attempt: 1}, Pool: "pool", Payload: make([]byte, 2400),
			Resources: medlargw.Resources{Cores: 14000}, Estimate: time.Second, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
		}},
	})
	a := x.takeActions()
	if len(a.Starts) != 1 || len(a.Starts[0].Order.Payload) != 2400 {
		t.Fatalf("start orders: got %+v, want one with the payload", a.Starts)
	}
	x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: time.Second}, nil)
	x.h.SetGroup(x.now, medlargw.Group{
		Entries: []medlargw.Peer{
			{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation, Leaving: true},
			{Host: "successor", Zone: self.Zone, Incarnation: 2},
		},
		Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}}},
	})
	x.h.Tick(x.now)
	transfers := x.takeActions().Transfers
	if len(transfers) != 1 || len(transfers[0].Targets) != 1 || len(transfers[0].Targets[0].Runs) != 1 {
		t.Fatalf("transfers: got %+v, want one of a target with one run", transfers)
	}
	if got := len(transfers[0].Targets[0].Runs[0].Task.Payload); got != 0 {
		t.Errorf("payload of a run that is handed over: got %d bytes, want 0", got)
	}
}

// TestWaitingTaskIsReturnedInPlannedStop checks that a task which waits at an
// entry that gives all its targets away is returned at once.
func TestWaitingTaskIsReturnedInPlannedStop(t *testing.T) {
	tests := []struct {
		name    string
		leaving bool
		want    int // Returned tasks.
	}{
		{"stays", false, 0},
		{"leaves", true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			x.offer(1, 32000)
			x.h.HandleOffer(x.now, 0, &medlargw.Offer{
				From: medlargw.Member{Host: "home", Incarnation: 7},
				Tasks: []medlargw.OfferedTask{{
					ID: 2, Run: medlargw.RunID{Task: "c", Attempt: 1}, Pool: "pool", MayQueue: true,
					Resources: medlargw.Resources{Cores: 14000}, Estimate: 100 * time.Millisecond, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
				}},
			})
			x.takeActions()
			x.h.SetGroup(x.now, medlargw.Group{
				Entries: []medlargw.Peer{
					{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation, Leaving: test.leaving},
					{Host: "a", Zone: "other", Incarnation: 2},
				},
				Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}}},
			})
			x.h.Tick(x.now)
			got := 0
			for _, r := range x.takeActions().Reports {
				if r.ID == 2 && r.Event == medlargw.TaskReturned {
					got++
				}
			}
			if got != test.want {
				t.Errorf("returned tasks: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestNewTargetIsClaimedAtOnce guards against targets that are back after a crash and
// stay idle: one that is new in the host list has no holder whose transfer would be
// worth waiting for. One that had only left the list may have one.
func TestNewTargetIsClaimedAtOnce(t *testing.T) {
	peer := medlargw.Peer{Host: "peer", Zone: self.Zone, Incarnation: 2}
	own := medlargw.Peer{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}
	var targets []medlargw.Target
	for i := range 20 {
		name := medlargw.TargetName(fmt.Sprintf("t%02d", i))
		targets = append(targets, medlargw.Target{Name: name, Zone: self.Zone, Pool: "pool", Resources: medlargw.Resources{Cores: 32000}})
	}
	tests := []struct {
		name     string
		before   []medlargw.Target // Listed until two seconds before.
		min, max time.Duration     // Of the claims of targets that this entry has not held, after they are listed.
	}{
		{"new", nil, 0, 50 * time.Millisecond},
		{"had left the list, and their holder leaves", targets, 600 * time.Millisecond, 650 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := holder.New(zap.NewNop(), medlargw.DefaultLeaseSettings(), self, pacer.New(0))
			now := start
			claims := func(d time.Duration) map[medlargw.TargetName]time.Duration {
				all := map[medlargw.TargetName]time.Duration{}
				for waited := time.Duration(0); waited < d; waited += 10 * time.Millisecond {
					h.Tick(now)
					for _, c := range h.TakeActions().Renewals {
						if _, known := all[c.Target.Name]; !known {
							all[c.Target.Name] = waited
						}
					}
					now = now.Add(10 * time.Millisecond)
				}
				return all
			}
			g := medlargw.Group{Entries: []medlargw.Peer{own, peer}, Targets: test.before}
			h.SetGroup(now, g)
			held := claims(3 * time.Second)
			g.Targets = nil
			h.SetGroup(now, g)
			claims(2 * time.Second)
			g.Targets = targets
			g.Entries[1].Leaving = len(test.before) > 0
			h.SetGroup(now, g)
			n := 0
			for name, got := range claims(time.Second) {
				if _, ok := held[name]; ok {
					continue
				}
				n++
				if got < test.min || got > test.max {
					t.Errorf("claim of %s: got %v after the list, want %v to %v", name, got, test.min, test.max)
				}
			}
			if n == 0 {
				t.Error("claims of other targets: got none, want some")
			}
		})
	}
}
