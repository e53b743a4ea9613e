package conductor_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/coordinator"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/holder"
	"medlargw.example/medlargw/pacer"
)

// anyAmount draws amounts, extreme ones among them.
var anyAmount = rapid.SampledFrom([]int64{0, 1, -1, 7, 16000, -32000, 1 << 40, math.MaxInt64, math.MinInt64})

// anyShare draws what a message may have for a share or a sum.
var anyShare = rapid.SampledFrom([]float64{0, 0.5, 1, -1, 1e300, math.Inf(1), math.NaN()})

func anyDuration(t *rapid.T) time.Duration { return time.Duration(anyAmount.Draw(t, "duration")) }

func anyResources(t *rapid.T) medlargw.Resources {
	return medlargw.Resources{Cores: anyAmount.Draw(t, "cores"), Memory: anyAmount.Draw(t, "memory"), Accelerators: anyAmount.Draw(t, "accelerators")}
}

func anyMember(t *rapid.T) medlargw.Member {
	return medlargw.Member{
		Host: medlargw.HostName(rapid.SampledFrom([]string{"", "self", "h"}).Draw(t, "host")), Zone: "z",
		Incarnation: medlargw.Incarnation(rapid.Uint64Range(0, 3).Draw(t, "incarnation")),
	}
}

func anyPeer(t *rapid.T) medlargw.Peer {
	m := anyMember(t)
	return medlargw.Peer{Host: m.Host, Zone: m.Zone, Incarnation: m.Incarnation}
}

func anyTask(t *rapid.T) medlargw.OfferedTask {
	return medlargw.OfferedTask{
		ID: medlargw.TaskID(rapid.Uint64Range(0, 4).Draw(t, "id")), Job: uint64(rapid.IntRange(0, 2).Draw(t, "job")),
		Run:  medlargw.RunID{Task: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "task"), Attempt: int(anyAmount.Draw(t, "attempt"))},
		Pool: medlargw.PoolName(rapid.SampledFrom([]string{"", "pool"}).Draw(t, "pool")), Service: "s", Resources: anyResources(t),
		Rank: int(anyAmount.Draw(t, "rank")), Estimate: anyDuration(t), TimeToObjective: anyDuration(t), TimeToDeadline: anyDuration(t),
		MayQueue: rapid.Bool().Draw(t, "queue"), Suspect: rapid.Bool().Draw(t, "suspect"), Avoid: []medlargw.TargetName{"t"},
	}
}

func anyFree(t *rapid.T) medlargw.HolderResources {
	return medlargw.HolderResources{
		Sequence: rapid.Uint64().Draw(t, "sequence"), Clock: anyDuration(t), Protocol: int(anyAmount.Draw(t, "protocol")),
		Crashes:  []medlargw.ServiceCrashes{{Service: "s", Blame: anyShare.Draw(t, "blame"), Exposure: anyShare.Draw(t, "exposure"), SinceLast: anyDuration(t)}},
		Confined: []medlargw.ServiceName{"s"},
		Pools: []medlargw.PoolResources{{
			Pool: "pool", Free: []medlargw.Resources{anyResources(t)}, TotalCores: anyAmount.Draw(t, "total"), Started: anyAmount.Draw(t, "started"),
			Waiting: []medlargw.RankWork{{Rank: int(anyAmount.Draw(t, "rank")), Work: anyAmount.Draw(t, "work"), Arriving: anyAmount.Draw(t, "arriving"), Invited: anyAmount.Draw(t, "invited")}},
			NextEnd: anyDuration(t), Isolated: []medlargw.Resources{anyResources(t)}, IsolatedCores: anyAmount.Draw(t, "isolated"),
		}},
	}
}

// TestMessagesOfAnyContent guards against one message of a peer that ends the process:
// the control goroutine applies offers, reports, transfers and reports of targets with
// extreme, repeated and unknown values, and goes on.
func TestMessagesOfAnyContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		self := medlargw.Member{Host: "self", Zone: "z", Incarnation: 1, Addr: netip.MustParseAddrPort("10.0.0.1:7000")}
		link := pacer.New(0)
		h := holder.New(zap.NewNop(), leaseSettings(), self, link)
		c := coordinator.New(zap.NewNop(), leaseSettings(), self, estimator.New(), link)
		g := medlargw.Group{
			Entries: []medlargw.Peer{{Host: "self", Zone: "z", Incarnation: 1}, {Host: "h", Zone: "z", Incarnation: 2}},
			Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}}},
		}
		h.SetGroup(now, g)
		c.SetGroup(now, g)
		c.Submit(now, &medlargw.Job{
			RequestID: "k", Service: "s", Pool: "pool", MaxAttempts: 2, SlackFactor: 1.6, Resources: medlargw.Resources{Cores: 1000}, Idempotent: true,
			EstimatedRuntime: 100 * time.Millisecond, Arrived: now, Deadline: now.Add(5 * time.Second), Tasks: []medlargw.Task{{ID: "a"}, {ID: "b"}},
		})
		var renewals []medlargw.RenewCommand
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				o := medlargw.Offer{From: anyMember(t), Holder: 1, ValidUntil: anyDuration(t), Recalls: []medlargw.TaskID{1}, Cancels: []medlargw.TaskID{2}}
				o.Tasks = rapid.SliceOfN(rapid.Custom(anyTask), 0, 3).Draw(t, "tasks")
				h.HandleOffer(now, 0, &o)
			case 1:
				r := medlargw.Report{From: anyMember(t), FreeResources: anyFree(t)}
				for range rapid.IntRange(0, 3).Draw(t, "reports") {
					r.Tasks = append(r.Tasks, medlargw.TaskReport{
						Home: anyPeer(t), ID: medlargw.TaskID(rapid.Uint64Range(0, 4).Draw(t, "id")), Event: medlargw.TaskEvent(rapid.IntRange(-1, 9).Draw(t, "event")),
						Target: "t", Elapsed: anyDuration(t), Crash: medlargw.CrashState(rapid.IntRange(-1, 3).Draw(t, "crash")), Blame: anyShare.Draw(t, "share"),
					})
				}
				h.SetPeerCrashes(now, r.From.Incarnation, r.FreeResources.Crashes)
				c.HandleReport(now, &r)
			case 2:
				tr := medlargw.Transfer{From: anyMember(t), Targets: []medlargw.TransferredTarget{{
					Name: "t", FenceToken: rapid.Uint64().Draw(t, "token"), AckedSequence: rapid.Uint64().Draw(t, "acked"),
					Rating: medlargw.Rating{Slowness: anyShare.Draw(t, "slowness"), Runs: anyShare.Draw(t, "runs")},
					Runs:   []medlargw.TransferredRun{{Home: anyPeer(t), Task: anyTask(t), Elapsed: anyDuration(t)}, {Home: anyPeer(t), Task: anyTask(t)}},
				}}}
				_ = h.HandleTransfer(now, &tr)
			case 3:
				for i := range renewals {
					report := medlargw.RunReport{
						Clock: anyDuration(t), IncarnationStart: now.Add(anyDuration(t)), HasMore: rapid.Bool().Draw(t, "more"),
						Active: []medlargw.ActiveRun{{Run: anyTask(t).Run, Percent: int(anyAmount.Draw(t, "percent"))}},
						Ended:  []medlargw.RunEnd{{Sequence: rapid.Uint64().Draw(t, "end"), Run: anyTask(t).Run, Kind: medlargw.RunEndKind(rapid.IntRange(0, 2).Draw(t, "how"))}},
					}
					h.RenewAnswered(now, now, &renewals[i], &report, nil)
				}
				renewals = nil
			default:
				c.HandleHeartbeat(now, anyMember(t).Incarnation, anyDuration(t), []medlargw.Sighting{{Incarnation: 2, Age: anyDuration(t)}})
				h.HandleHeartbeat(now, anyMember(t).Incarnation, time.Second, anyDuration(t))
				c.SetFreeResources(now, 2, anyFree(t))
			}
			h.Tick(now)
			c.Tick(now)
			renewals = append(renewals, h.TakeActions().Renewals...)
			c.TakeActions(now)
			h.FreeResources(now)
		}
	})
}
