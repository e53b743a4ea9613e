// Package holder decides what runs on the targets that this entry holds under
// lease.
//
// Each target has one holder at a time, an entry that starts and stops its
// runs, renews their lease and reads their ends from the target's reports. A
// new holder claims a target with a higher fencing token, so the target itself
// rejects later orders of the former holder. A holder starts no run before the
// claim is answered, because the free resources are unknown until then. It
// stops the runs on the target that the former holder did not transfer.
//
// Tasks are offered by their home, the entry that accepted their job. The
// holder reports the start and the end of each task to its home.
//
// The holder's account of the resources is exact: a run takes its resources
// from the creation of its start order until its end is proven. An end is
// proven by the target's report, by a new incarnation of the target, or by the
// expiry of the lease on the target's own clock after the claim was answered.
// An order without an answer may be carried out late, as if it was new, until the
// target has seen a higher token; no time proves that it is not, nor does a target that
// closes or refuses connections.
//
// The holder is a state machine without I/O. The time is an argument of each
// event, and the messages to send are collected until TakeActions is called.
package holder

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/apportioner"
	"medlargw.example/medlargw/attributor"
	"medlargw.example/medlargw/averager"
	"medlargw.example/medlargw/awaiter"
	"medlargw.example/medlargw/discoverer"
	"medlargw.example/medlargw/guarantor"
	"medlargw.example/medlargw/isolator"
	"medlargw.example/medlargw/pacer"
)

// Holder is the state machine. It is not safe for concurrent use.
type Holder struct {
	log               *zap.Logger
	settings          medlargw.LeaseSettings
	self              medlargw.Member
	tokens            tokenSource
	targets           map[medlargw.TargetName]*target
	sorted            []*target                             // By name, so that the choice among equal targets is deterministic.
	owners            map[medlargw.TargetName]medlargw.Peer // Of the targets of this entry's zone, and of those that it holds.
	lapsed            map[medlargw.TargetName]time.Time     // When the targets in owners that are not listed left the list.
	candidates        candidates                            // Computed at the last assignment.
	apportioner       *apportioner.Apportioner              // Divides the targets among the candidates.
	reports           map[medlargw.TargetName]medlargw.TargetReport
	unreported        int // Number of claimed targets without a recent report.
	homes             map[medlargw.Incarnation]*home
	waiting           []*task
	held              []*task // Tasks that wait for the end of other submissions' runs.
	active            activeRuns
	unlisted          map[string]unlistedEnd // By task.
	group             medlargw.Group
	evacuated         map[medlargw.ZoneName]bool // Zones whose targets get no new tasks.
	firstAssigned     time.Time                  // Zero before the first assignment.
	discoverer        *discoverer.Discoverer     // Of the other entries, after the start.
	postponedClaims   bool                       // The first claims wait for transfers.
	claimedOwned      bool                       // The first claims were sent without waiting.
	lastAssigned      time.Time
	resourcesSequence uint64
	minShares         map[int]float64 // Of the starts, by rank.
	starts            map[medlargw.PoolName]*guarantor.Guarantor
	startedWork       map[medlargw.PoolName]*averager.Averager   // Thousandths of a core times milliseconds.
	answerTimes       *awaiter.Awaiter                           // Of start orders.
	attributor        *attributor.Attributor                     // Of crashes to runs.
	isolator          isolator.Isolator                          // Of the targets that are set apart.
	services          map[medlargw.ServiceName]medlargw.PoolName // Whose tasks were offered here, with their pools.
	confinedPools     map[medlargw.PoolName]bool                 // With services whose tasks run on isolated targets only.
	confinedAt        time.Time                                  // When it was last decided which services are confined.
	breaks            []time.Time                                // When targets of this entry last broke their connections.
	lag               time.Duration                              // How late this entry acts.
	pacer             *pacer.Pacer                               // Of this entry's network link.
	actions           medlargw.HolderActions
}

// New returns a holder without targets. The pacer is that of this entry's network
// link, and is shared with the coordinator.
func New(log *zap.Logger, settings medlargw.LeaseSettings, self medlargw.Member, link *pacer.Pacer) *Holder {
	return &Holder{
		attributor: attributor.New(settings.Quiet),
		services:   map[medlargw.ServiceName]medlargw.PoolName{},

		pacer:    link,
		log:      log.Named("holder"),
		settings: settings,
		self:     self,
		tokens:   newTokenSource(self.Addr, self.Incarnation),
		targets:  map[medlargw.TargetName]*target{},
		owners:   map[medlargw.TargetName]medlargw.Peer{},
		lapsed:   map[medlargw.TargetName]time.Time{},
		homes:    map[medlargw.Incarnation]*home{},
		active:   activeRuns{},
		unlisted: map[string]unlistedEnd{},

		starts:      map[medlargw.PoolName]*guarantor.Guarantor{},
		startedWork: map[medlargw.PoolName]*averager.Averager{},

		apportioner: apportioner.New(),
		discoverer:  discoverer.New(self),
		answerTimes: awaiter.New(minOrderWait, settings.Order),
	}
}

// HasPending reports whether a task waits here, or a target is about to be claimed
// or handed over.
func (h *Holder) HasPending() bool {
	if len(h.waiting)+len(h.held) > 0 {
		return true
	}
	for _, t := range h.sorted {
		if t.releasing || !t.claimed && !t.renewing {
			return true
		}
	}
	return false
}

// TakeActions returns the messages to send and clears them.
func (h *Holder) TakeActions() medlargw.HolderActions {
	a := h.actions
	h.actions = medlargw.HolderActions{}
	return a
}

// SetLag sets how late this entry acts, which is no silence of the homes.
func (h *Holder) SetLag(lag time.Duration) { h.lag = lag }

// Tick handles the timeouts that have passed, and sends the renewals that are
// due.
func (h *Holder) Tick(now time.Time) {
	h.expireHomes(now)
	h.discoverer.Review(now)
	h.claimOwned(now)
	if h.mustReassign(now) {
		h.SetGroup(now, h.group)
	}
	for _, t := range slices.Clone(h.sorted) {
		h.tickTarget(now, t)
	}
	h.dropExpired(now)
	h.countUnreported(now)
	h.pruneUnlisted(now)
	h.updateConfined(now)
	h.returnUnserved(now)
	h.place(now)
}

// mustReassign reports whether the owners have changed with time alone: silent entries
// no longer count after the start, or the targets of zones without an entry may be
// claimed.
func (h *Holder) mustReassign(now time.Time) bool {
	if h.firstAssigned.IsZero() {
		return false
	}
	settled := now.Sub(h.firstAssigned) >= settleTime && h.lastAssigned.Sub(h.firstAssigned) < settleTime
	return settled || len(h.discoverer.Silent(h.lastAssigned)) > len(h.discoverer.Silent(now))
}

func (h *Holder) tickTarget(now time.Time, t *target) {
	switch {
	case t.droppable(now, h.settings.Unlisted):
		h.abandonRuns(now, t, "no longer listed")
		h.dropTarget(t, "no longer listed")
		return
	case t.leasesEnded(now, &h.settings):
		h.endLeases(now, t)
	case t.unreachable(now, &h.settings):
		h.abandonRuns(now, t, "the claim is not answered")
	}
	if t.releasing && h.release(now, t) {
		return
	}
	h.stopUnanswered(now, t)
	h.resendStops(now, t)
	t.dropPendingEnds(now, h.settings.Silence)
	if !t.renewing && !now.Before(t.nextRenew) {
		h.renew(now, t)
	}
}

func (h *Holder) addTarget(now time.Time, t *target) {
	t.addedAt = now
	t.isolated = h.isolator.IsIsolated(t.info.Addr)
	t.evacuated = h.evacuated[t.info.Zone]
	t.report = h.reports[t.info.Name]
	h.targets[t.info.Name] = t
	h.sorted = append(h.sorted, t)
	slices.SortFunc(h.sorted, func(a, b *target) int { return cmp.Compare(a.info.Name, b.info.Name) })
}

// removeTarget deletes a target whose runs have ended or were transferred.
func (h *Holder) removeTarget(t *target) {
	delete(h.targets, t.info.Name)
	h.sorted = slices.DeleteFunc(h.sorted, func(other *target) bool { return other == t })
}

// dropTarget deletes a target that has no new holder, and logs the reason.
func (h *Holder) dropTarget(t *target, reason string) {
	h.log.Info("target dropped", zap.String("target", string(t.info.Name)), zap.String("reason", reason))
	h.removeTarget(t)
}

// addFree adds the resources of a target that takes new runs to those of its pool. The
// network link is busy or not.
func (h *Holder) addFree(now time.Time, t *target, p *medlargw.PoolResources, busy bool) {
	hampered := t.slowness >= slowThreshold || t.isCold(now) || t.isHeldForSuspect()
	if t.isolated && h.confinedPools[t.info.Pool] {
		p.IsolatedCores += t.info.Resources.Cores
		if !busy && !hampered {
			p.Isolated = append(p.Isolated, t.free)
		}
		return
	}
	p.TotalCores += t.info.Resources.Cores
	switch {
	case hampered:
	case busy:
		p.NextEnd = h.pacer.Delay(now)
	default:
		p.Free = append(p.Free, t.free)
		p.NextEnd = t.nextEnd(now, p.NextEnd)
	}
}

// FreeResources returns the free resources, the total cores and the waiting
// work by pool. While the network link is busy, no resources are free: a start
// order would have to wait for it.
func (h *Holder) FreeResources(now time.Time) medlargw.HolderResources {
	h.resourcesSequence++
	sum := medlargw.HolderResources{
		Sequence: h.resourcesSequence, Protocol: medlargw.ProtocolSharedPayloads,
		Crashes: h.attributor.Report(now), Confined: h.attributor.Confined(),
	}
	busy := h.pacer.Busy(now)
	for _, t := range h.sorted {
		if !t.usable(now, &h.settings) {
			continue
		}
		h.addFree(now, t, sum.Pool(t.info.Pool), busy)
	}
	for _, w := range h.waiting {
		sum.Pool(w.offered.Pool).AddWaiting(w.offered.Rank, w.offered.Resources, w.offered.Estimate)
	}
	for i := range sum.Pools {
		if a := h.startedWork[sum.Pools[i].Pool]; a != nil {
			sum.Pools[i].Started = int64(a.Rate(now))
		}
	}
	return sum
}
