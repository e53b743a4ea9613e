package conductor_test

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// disturbance is a kind of a searchFault.
type disturbance int

const (
	plannedStop disturbance = iota
	plannedStopTakenBack
	lostEntry
	cutEntries
	cutOneWay
	cutTarget
	cutTargetAnswers
	crashedTarget
	slowTarget
	hangingTarget
	failingTarget
	lateOrders
	frozenEntry
	unlistedTarget
	lateGrants
	brokenConnections
	brokenAndCut
	resetTarget
	refusingTarget
	returningCallers
	storeAway
	sheddingTarget
	evacuatedZone
	burst
)

// drawnDisturbances lists the kinds as often as they are drawn. The group changes
// most often, so that runs are transferred.
var drawnDisturbances = []disturbance{
	plannedStop, plannedStop, plannedStop, plannedStopTakenBack, plannedStopTakenBack, plannedStopTakenBack, lostEntry, lostEntry,
	cutEntries, cutEntries, cutOneWay, cutOneWay, cutTarget, cutTarget, cutTargetAnswers, cutTargetAnswers,
	crashedTarget, slowTarget, hangingTarget, failingTarget, lateOrders, frozenEntry, unlistedTarget,
	brokenConnections, brokenConnections, brokenAndCut, brokenAndCut, returningCallers, returningCallers,
}

// drawnWithLateGrants lists the kinds for searches of leases that last longer than
// their holders expect. Entries are neither lost nor frozen: nobody else knows of the
// orders that they have sent and that are not carried out yet.
var drawnWithLateGrants = []disturbance{
	lateGrants, lateGrants, lateGrants, lateGrants, lateGrants, plannedStop, plannedStopTakenBack, cutEntries, cutOneWay,
	cutTarget, cutTarget, cutTargetAnswers, cutTargetAnswers, crashedTarget, slowTarget, hangingTarget, lateOrders, unlistedTarget,
	resetTarget, resetTarget, resetTarget, refusingTarget, refusingTarget, refusingTarget, returningCallers,
}

// drawnWithResizes lists the kinds for searches of targets whose resources change: at times
// nobody can read the host list.
var drawnWithResizes = slices.Concat(drawnDisturbances, []disturbance{storeAway, storeAway, storeAway, storeAway})

// drawnWithRefusals lists the kinds for searches of refused jobs: targets reject orders,
// and demand exceeds what they can serve.
var drawnWithRefusals = []disturbance{
	sheddingTarget, sheddingTarget, sheddingTarget, evacuatedZone, evacuatedZone, burst, burst, burst,
	plannedStop, plannedStop, plannedStopTakenBack, plannedStopTakenBack, lostEntry, cutEntries, cutOneWay, cutTarget, cutTargetAnswers,
	crashedTarget, slowTarget, hangingTarget, failingTarget, lateOrders, frozenEntry, unlistedTarget,
	brokenConnections, brokenAndCut, returningCallers, returningCallers,
}

func (d disturbance) String() string {
	return [...]string{
		"planned stop", "planned stop taken back", "lost entry", "cut entries", "cut one way", "cut target", "cut answers of target",
		"crashed target", "slow target", "hanging target", "failing target", "late orders", "frozen entry", "unlisted target", "late grants",
		"broken connections", "broken connections and a holder cut off", "reset and cut target", "refusing target", "callers that return soon",
		"store away",
		"shedding target", "evacuated zone", "burst",
	}[d]
}

// burstJobs is the number of jobs in a burst.
const burstJobs = 12

// disturb begins a fault.
func (w *searchWorld) disturb(f searchFault, log *zap.Logger) {
	e := w.entries[f.Entry]
	other := w.entries[(f.Entry+f.Other)%searchEntries]
	name := w.names[f.Target%len(w.names)]
	w.log("%s: %s, %s, %s for %v", f.Kind, e.host, other.host, name, f.Length)
	restart := func() { w.restart(f.Entry, log) }
	switch f.Kind {
	case plannedStop:
		e.setLeaving(true)
		w.after(f.Length, func() {
			e.stop(true)
			w.after(f.Return, restart)
		})
	case plannedStopTakenBack:
		e.setLeaving(true)
		w.after(f.Length/10, func() { e.setLeaving(false) })
	case lostEntry:
		e.stop(false)
		w.after(f.Return, restart)
	case cutEntries:
		w.cut(e.host, other.host, f.Length)
		w.cut(other.host, e.host, f.Length)
	case cutOneWay:
		w.cut(e.host, other.host, f.Length)
	case cutTarget:
		w.cut(e.host, string(name), f.Length)
		w.cut(string(name), e.host, f.Length)
	case cutTargetAnswers:
		w.cut(string(name), e.host, f.Length)
	case resetTarget:
		w.resetConnections(name)
		w.delayed[name] = w.now.Add(f.Length)
		w.after(resetLead, func() {
			w.cut(e.host, string(name), f.Length)
			w.cut(string(name), e.host, f.Length)
		})
	case refusingTarget: // A cut that rejects connections, while orders from before it are carried out late.
		w.lateGrants[name] = w.now.Add(refusalLead)
		w.after(refusalLead, func() {
			w.resetConnections(name)
			w.refusing[name] = w.now.Add(2 * f.Length)
		})
	case storeAway:
		w.listUntil = w.now.Add(3 * f.Length)
		w.list = w.targetList()
		w.lastReports = w.reportsOf(w.list)
	case crashedTarget:
		w.crash(name)
	case slowTarget, hangingTarget, failingTarget:
		w.targets.SetFaults(name, map[disturbance]medlargw.TargetFaults{
			slowTarget: {SlowFactor: 4}, hangingTarget: {Hang: true}, failingTarget: {Fail: true},
		}[f.Kind])
		w.after(f.Length, func() { w.targets.SetFaults(name, medlargw.TargetFaults{}) })
	case lateOrders:
		w.delayed[name] = w.now.Add(f.Length)
	case lateGrants:
		w.lateGrants[name] = w.now.Add(f.Length)
	case frozenEntry:
		e.freeze(f.Length)
		w.after(resendAfter, func() {
			if e.frozen() {
				w.abandon(e)
			}
		})
	case unlistedTarget:
		w.unlisted[name] = w.now.Add(f.Length)
	case sheddingTarget:
		w.shedding[name] = w.now.Add(f.Length)
	case evacuatedZone:
		w.evacuated[e.peer.Zone] = w.now.Add(f.Length)
	case burst:
		for range burstJobs {
			plan := w.callers[w.rand.IntN(len(w.callers))].plan
			plan.At, plan.Entry = w.upTo(searchBusyTick), f.Entry
			w.addCaller(plan)
		}
	case brokenConnections:
		w.breakCallers(e, false)
	case returningCallers: // Their former runs go on where cancels or stops are lost.
		if w.chance(0.5) {
			w.cut(e.host, other.host, f.Length/4)
		} else {
			w.cut(other.host, string(name), f.Length/4)
		}
		w.breakCallers(e, true)
	case brokenAndCut: // The holder hears late that jobs were given up, and its stops are lost.
		w.cut(e.host, other.host, 300*time.Millisecond+f.Length/2)
		w.after(w.upTo(f.Length/16), func() { w.breakCallers(e, false) })
		if third := w.entries[(f.Entry+searchEntries-f.Other)%searchEntries]; w.chance(0.5) {
			third.setLeaving(true) // Its targets go to other, with runs of which e does not learn.
			w.after(f.Length, func() { third.setLeaving(false) })
		}
		w.after(300*time.Millisecond+w.upTo(300*time.Millisecond), func() {
			for _, name := range w.names {
				w.cut(other.host, string(name), f.Length)
			}
		})
	}
}
