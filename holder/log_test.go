package holder_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"medlargw.example/medlargw"
)

// release starts the transfer of the target to the entry "successor", and
// returns it.
func (x *fixture) release() *medlargw.Transfer {
	x.t.Helper()
	x.h.SetGroup(x.now, medlargw.Group{
		Entries: []medlargw.Peer{
			{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation, Leaving: true},
			{Host: "successor", Zone: self.Zone, Incarnation: 2},
		},
		Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}}},
	})
	x.h.Tick(x.now)
	a := x.takeActions()
	if len(a.Transfers) != 1 {
		x.t.Fatalf("transfers: got %v, want one", a.Transfers)
	}
	return &a.Transfers[0]
}

// TestLogOfDoubtfulRuns guards against a run whose end or start was told wrongly
// to its home, and of which the log at level info shows nothing.
func TestLogOfDoubtfulRuns(t *testing.T) {
	done := func(run medlargw.RunID) medlargw.RunReport {
		return medlargw.RunReport{Clock: time.Second, IncarnationStart: start, Ended: []medlargw.RunEnd{{Sequence: 1, Run: run}}}
	}
	tests := []struct {
		name  string
		event func(x *fixture)
		want  []string // Messages, with the fields that tell the cases apart.
	}{
		{"calm", func(x *fixture) { x.report(done(x.startRun(1))) }, nil},
		{"recall after the transfer of its target", func(x *fixture) {
			x.startRun(1)
			x.h.TransferAnswered(x.now, x.release(), nil)
			x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Recalls: []medlargw.TaskID{1}})
		}, []string{
			"target transfer sent to=successor seen=0", "target transfer finished to=successor reason=answered seen=0",
			"ended task offered or recalled task=b home=home to=successor answer=started event=transferred",
		}},
		{"recall after the end", func(x *fixture) {
			x.report(done(x.startRun(1)))
			x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Recalls: []medlargw.TaskID{1}})
		}, []string{"ended task offered or recalled task=b home=home answer=started event=done"}},
		{"late copy of an offer", func(x *fixture) {
			x.startRun(1)
			x.h.HandleOffer(x.now, time.Second, &medlargw.Offer{
				From:  medlargw.Member{Host: "home", Incarnation: 7},
				Tasks: []medlargw.OfferedTask{{ID: 1, Run: medlargw.RunID{Task: "b", Attempt: 1}}},
			})
		}, []string{"stale offer of a known task task=b home=home answer=started"}},
		{"transfer after the claim", func(x *fixture) {
			x.report(done(medlargw.RunID{Task: "b", Attempt: 1}))
			x.handOver(transferred(1, medlargw.RunID{Task: "b", Attempt: 1}))
		}, []string{
			"end of an unknown run task=b kind=done sequence=1 seen=0", "target transfer received from=former seen=0 acked=0",
		}},
		{"transfer of a run that has left no end", func(x *fixture) {
			x.handOver(transferred(1, medlargw.RunID{Task: "b", Attempt: 1}))
		}, []string{
			"target transfer received from=former seen=0 acked=0", "transferred run is gone task=b home=home seen=0",
		}},
		{"claim that lists an end before the transfer", func(x *fixture) {
			x.report(medlargw.RunReport{Status: medlargw.OrderFenced})
			x.now = x.now.Add(3 * time.Second)
			x.h.Tick(x.now)
			x.takeActions()
			x.report(done(medlargw.RunID{Task: "b", Attempt: 1}))
		}, []string{
			"target lost to a higher fencing token seen=0", "target claimed seen=0 ended=1 unknown=1",
			"end of an unknown run task=b kind=done sequence=1 seen=0",
		}},
		{"end read during the transfer", func(x *fixture) {
			run := x.startRun(1)
			x.release()
			x.report(done(run))
		}, []string{
			"target transfer sent to=successor seen=0",
			"run ended during the transfer of its target task=b to=successor kind=done sequence=1 seen=0",
		}},
		{"transferred run that is not listed", func(x *fixture) {
			x.handOver(transferred(x.renewal.Renewal.FenceToken+1<<32, medlargw.RunID{Task: "b", Attempt: 1}))
			x.h.Tick(x.now)
			x.takeActions()
			x.now = x.now.Add(10 * time.Millisecond)
			x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start})
		}, []string{
			"target transfer received from=former seen=0 acked=0", "target lost to a higher fencing token seen=0",
			"absent run counted as ended task=b reason=not listed seen=0",
		}},
		{"lease that ended by the clock", func(x *fixture) {
			x.startRun(1)
			x.h.RenewAnswered(x.now, x.now, &x.renewal, nil, noAnswerError{})
			x.now = x.now.Add(2 * time.Second)
			x.h.Tick(x.now)
		}, []string{"target does not answer", "run on a silent target task=b seen=0", "tasks of a home stopped home=home reason=home silent", "runs of a target counted as ended reason=lease ended seen=0", "abandoned run ended task=b event=stopped reason=home silent seen=0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core, records := observer.New(zapcore.InfoLevel)
			test.event(newLoggedFixture(t, zap.New(core)))
			var got []string
			for _, rec := range records.All() {
				fields := rec.ContextMap()
				line := rec.Message
				for _, name := range []string{"task", "home", "from", "to", "answer", "event", "kind", "reason", "sequence", "seen", "acked", "ended", "unknown"} {
					if value, ok := fields[name]; ok && value != "" {
						line += fmt.Sprintf(" %s=%v", name, value)
					}
				}
				got = append(got, line)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("log:\n got %q\nwant %q", got, test.want)
			}
		})
	}
}
