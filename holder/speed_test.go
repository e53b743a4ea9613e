package holder_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/holder"
	"medlargw.example/medlargw/pacer"
)

// newRatedHolder returns a holder of one target of each rating, which their former
// holder has transferred. Each has room for one task.
func newRatedHolder(t *testing.T, ratings map[medlargw.TargetName]float64) *holder.Holder {
	t.Helper()
	h := holder.New(zap.NewNop(), medlargw.DefaultLeaseSettings(), self, pacer.New(0))
	g := medlargw.Group{Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}}}
	tr := medlargw.Transfer{From: medlargw.Member{Host: "former", Incarnation: 9}}
	for name, slowness := range ratings {
		g.Targets = append(g.Targets, medlargw.Target{Name: name, Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 1000}})
		tr.Targets = append(tr.Targets, medlargw.TransferredTarget{
			Name: name, IncarnationStart: start, FenceToken: 1, Rating: medlargw.Rating{Slowness: slowness, Runs: 60},
		})
	}
	h.SetGroup(start, g)
	if err := h.HandleTransfer(start, &tr); err != nil {
		t.Fatal(err)
	}
	h.Tick(start)
	for _, c := range h.TakeActions().Renewals {
		h.RenewAnswered(start, start, &c, &medlargw.RunReport{Clock: time.Second, IncarnationStart: start}, nil)
	}
	h.TakeActions()
	return h
}

// TestPlacementBySpeed answers the load of tasks of 50 ms and of 800 ms on targets
// that differ in speed by nature: the long ones have too little slack for a slow
// target, the short ones end in time anywhere.
func TestPlacementBySpeed(t *testing.T) {
	speeds := map[medlargw.TargetName]float64{"fast": 0.6, "slow": 1.7, "usual": 1}
	long := medlargw.OfferedTask{Estimate: 800 * time.Millisecond, TimeToObjective: 1300 * time.Millisecond}
	short := medlargw.OfferedTask{Estimate: 50 * time.Millisecond, TimeToObjective: 140 * time.Millisecond}
	late := medlargw.OfferedTask{Estimate: 800 * time.Millisecond, TimeToObjective: 700 * time.Millisecond}
	tests := []struct {
		name   string
		speeds map[medlargw.TargetName]float64
		tasks  []medlargw.OfferedTask
		want   []medlargw.TargetName // Empty if the task is not started.
	}{
		{"the fastest while there is room", speeds, []medlargw.OfferedTask{short}, []medlargw.TargetName{"fast"}},
		{"slow targets for those that end in time there", speeds, []medlargw.OfferedTask{short, long, long}, []medlargw.TargetName{"slow", "usual", "fast"}},
		{"no long task on a slow target", map[medlargw.TargetName]float64{"slow": 1.7}, []medlargw.OfferedTask{long}, []medlargw.TargetName{""}},
		{"a late task on any", map[medlargw.TargetName]float64{"slow": 1.7}, []medlargw.OfferedTask{late}, []medlargw.TargetName{"slow"}},
		{"errors of a rating do not count", map[medlargw.TargetName]float64{"usual": 1.1}, []medlargw.OfferedTask{long}, []medlargw.TargetName{"usual"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newRatedHolder(t, test.speeds)
			for i := range test.tasks {
				w := &test.tasks[i]
				w.ID, w.Run.Task, w.Rank = medlargw.TaskID(i+1), string(rune('a'+i)), i
				w.Pool, w.Resources, w.TimeToDeadline = "pool", medlargw.Resources{Cores: 1000}, 3*time.Second
			}
			h.HandleOffer(start, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Tasks: test.tasks})
			got := make([]medlargw.TargetName, len(test.tasks))
			for _, c := range h.TakeActions().Starts {
				got[c.Order.Run.Task[0]-'a'] = c.Target.Name
			}
			for i, want := range test.want {
				if got[i] != want {
					t.Errorf("task %d: got target %q, want %q", i, got[i], want)
				}
			}
		})
	}
}

// TestRatingIsTransferred asserts that the next holder of a target has the rating
// that the first one was given.
func TestRatingIsTransferred(t *testing.T) {
	h := newRatedHolder(t, map[medlargw.TargetName]float64{"slow": 1.7})
	next := medlargw.Peer{Host: "next", Zone: "z", Incarnation: 5}
	h.SetGroup(start, medlargw.Group{
		Entries: []medlargw.Peer{next},
		Targets: []medlargw.Target{{Name: "slow", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 1000}}},
	})
	h.Tick(start)
	transfers := h.TakeActions().Transfers
	if len(transfers) != 1 || len(transfers[0].Targets) != 1 {
		t.Fatalf("transfers: got %+v, want one of one target", transfers)
	}
	if got, want := transfers[0].Targets[0].Rating.Slowness, 1.7; got < want-0.01 || got > want+0.01 {
		t.Errorf("slowness: got %.2f, want %.2f", got, want)
	}
}
