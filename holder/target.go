package holder

import (
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/rater"
)

// runState says whether the start of a run is confirmed.
type runState int

const (
	runStarting    runState = iota // The start order is in flight.
	runUnconfirmed                 // The start order was not answered.
	runRunning
)

// run is one run that takes resources of a target.
type run struct {
	id        medlargw.RunID
	resources medlargw.Resources
	task      *task // Nil for an unknown run that another holder started.
	target    *target
	state     runState
	sent      time.Time
	acked     time.Time     // When the target confirmed the start; zero is not confirmed.
	leaseEnd  time.Duration // End of the lease in its start order, on the target's clock.
	token     uint64        // Of its start order; zero for a run that another holder started.

	transferred  bool // A transfer that may have arrived names the run.
	cold         bool // The target was cold when the run was ordered.
	stopping     bool
	abandonedAt  time.Time // When its job was given up, which may be submitted again before the run has ended; zero is not.
	stopSent     time.Time
	stopAnswered time.Time // Zero until the target has confirmed the stop.
	reason       string    // Why the run is stopped.
	crash        medlargw.CrashState
	blame        float64 // Share in the crash of the target.
	countedSlow  bool    // The run was recorded as slow in the target's health.
	ratio        float64 // Projected run time divided by the one expected on its target; zero is unknown.
}

// target is a target that this entry holds or is about to claim.
type target struct {
	info             medlargw.Target
	claimed          bool // The claim was answered.
	token            uint64
	claimToken       uint64 // The token of the claim, which is claimed anew with higher ones.
	grants           grants
	incarnationStart time.Time
	lastEnd          uint64             // Sequence number of the last end that was processed.
	pendingEnds      []pendingEnd       // Ends that must not be acknowledged yet, in the order of their numbers.
	free             medlargw.Resources // Resources that no run takes; may be negative.
	runs             map[medlargw.RunID]*run
	active           activeRuns // Of all targets of the holder.

	clock    time.Duration // The target's clock in its last answer.
	clockAt  time.Time     // Arrival of that answer; zero is never.
	leaseEnd time.Duration // The latest end of a lease in any order sent, or granted to a former holder, if none is carried out late.

	leasedAt       time.Time // When the latest order with a lease was sent.
	answeredAt     time.Time // When the latest renewal that was answered was sent.
	renewing       bool
	reaching       bool          // It is being looked whether it accepts connections.
	awaitsConfirm  bool          // The next renewal waits until homes have confirmed ends.
	confirmWait    time.Duration // That wait; zero if it has not begun.
	awaitedEnd     uint64        // Sequence number of the last end when that wait began.
	nextRenew      time.Time
	claimedAt      time.Time // When the claim was answered.
	claimedAnewAt  time.Time // When its token was last raised; zero is never.
	lastAnswer     time.Time // Arrival of the last answer.
	transferredAt  time.Time // When it was last transferred to this entry; zero is never.
	failedRenewals int       // Consecutive renewals that were not answered.
	closedAt       time.Time // When the target first closed or refused a connection since it last answered; zero is not.
	crashed        bool      // Its process has ended unplanned since it last answered.
	refusing       bool      // The target has refused a connection since it last answered.
	blamed         bool      // The runs have their shares in the crash that is likely or proven.
	addedAt        time.Time // When this entry became its owner.
	unheld         bool      // It was claimed knowing that no living entry holds it.

	report        medlargw.TargetReport // The target's last one to the platform.
	unlistedSince time.Time             // When the host list first lacked the target; zero is listed.
	isolated      bool                  // It is set apart for tasks that are likely to crash it.
	reserved      bool                  // A suspect task waits until it is idle.
	evacuated     bool                  // The operators evacuate its zone: it gets no new runs.
	releasing     bool                  // Another entry should hold the target.
	transferring  bool                  // The transfer is in flight.
	nextTransfer  time.Time             // No transfer is sent before.
	fenced        bool                  // During the transfer, the target has rejected an order of this holder.
	releaseTo     medlargw.Peer
	transferred   medlargw.TransferredTarget // Content of that transfer.
	transferredTo medlargw.HostName          // Receiver of that transfer.

	health
	rater rater.Rater // Of its speed.
}

func (h *Holder) newTarget(info medlargw.Target) *target {
	return &target{
		info: info, incarnationStart: info.IncarnationStart, free: info.Resources, runs: map[medlargw.RunID]*run{}, active: h.active,
		health: newHealth(),
	}
}

// update replaces the description of the target by that of the host list. The
// runs keep the resources that they take.
func (t *target) update(info medlargw.Target) {
	taken := t.info.Resources.Sub(t.free)
	t.info = info
	t.free = info.Resources.Sub(taken)
	t.unlistedSince = time.Time{}
}

// awaitsClaim reports whether the target was not claimed yet and is to be.
func (t *target) awaitsClaim() bool {
	return !t.claimed && !t.releasing && !t.renewing && t.failedRenewals == 0
}

// addRun adds a run and takes its resources.
func (t *target) addRun(r *run) {
	t.runs[r.id] = r
	t.active.add(r.id)
	t.free = t.free.Sub(r.resources)
}

// removeRun removes a run and frees its resources.
func (t *target) removeRun(r *run) {
	delete(t.runs, r.id)
	t.active.remove(r.id)
	t.free = t.free.Add(r.resources)
}

// nextEnd returns the least time until one of the runs is expected to end, or
// the given time if that is less and not zero. A run that takes longer than
// expected may end at any moment.
func (t *target) nextEnd(now time.Time, least time.Duration) time.Duration {
	for _, r := range t.runs {
		if r.task == nil {
			continue
		}
		left := max(r.sent.Add(t.expectedRunTime(r.task)).Sub(now), time.Millisecond)
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// hasUnknownRuns reports whether the target has runs of unknown size.
func (t *target) hasUnknownRuns() bool {
	for _, r := range t.runs {
		if r.task == nil && r.resources == (medlargw.Resources{}) {
			return true
		}
	}
	return false
}

// usable reports whether new runs may be started on the target. A start order
// renews the lease too.
func (t *target) usable(now time.Time, s *medlargw.LeaseSettings) bool {
	return t.claimed && t.token <= t.grants.seen && !t.info.Draining && !t.evacuated && !t.releasing && t.failedRenewals == 0 &&
		!now.Before(t.pausedUntil) && (!t.probing || len(t.runs) == 0) && !t.hasUnknownRuns() &&
		!t.delisted(now, s.Unlisted) && !t.isListedBefore() && !t.lacksReport(now, s) && !t.mustLapse(now, s)
}

// lacksReport reports whether the target may have fewer resources than the host list shows:
// by its own clock, its last report to the platform is too old.
func (t *target) lacksReport(now time.Time, s *medlargw.LeaseSettings) bool {
	if s.Reported <= 0 {
		return false
	}
	age := time.Duration(float64(t.clock-t.report.Clock)/(1-s.Drift)) + now.Sub(t.clockAt)
	return t.report.Clock == 0 || !t.report.IncarnationStart.Equal(t.incarnationStart) || age > s.Reported
}

// isListedBefore reports whether the host list describes a former incarnation of the
// target. The present one may have other resources.
func (t *target) isListedBefore() bool {
	return !t.info.IncarnationStart.IsZero() && t.incarnationStart.After(t.info.IncarnationStart)
}

// isCold reports whether the target is expected to be slow after its start.
func (t *target) isCold(now time.Time) bool { return now.Before(t.info.ColdUntil) }

// updateClock records the arrival of an answer, and the target's clock in it.
func (t *target) updateClock(now time.Time, clock time.Duration) {
	t.lastAnswer = now
	if clock > 0 {
		t.clock, t.clockAt = clock, now
	}
}

// clockLowerBound returns a lower bound of the target's clock now. The drift is
// the share by which that clock may be slow.
func (t *target) clockLowerBound(now time.Time, drift float64) time.Duration {
	return t.clock + time.Duration(float64(now.Sub(t.clockAt))*(1-drift))
}

// mayStart reports whether the start order of a run may still be carried out. It is not
// once the target has confirmed the start. A target that closes or refuses connections
// proves nothing: it may be cut off and run on.
func (r *run) mayStart() bool { return r.state != runRunning && r.acked.IsZero() }

// leasesEnded reports whether all leases of the runs that have started on the target
// have certainly ended. Until the target has answered the claim, a former holder may
// renew them. An order without an answer may be carried out as late as at the end of
// the lease, and the lease in it count from then.
func (t *target) leasesEnded(now time.Time, s *medlargw.LeaseSettings) bool {
	end := t.leaseEnd + medlargw.ClockRounding + time.Duration(t.grants.open())*s.Lease
	return t.claimed && !t.clockAt.IsZero() && t.clockLowerBound(now, s.Drift) > end && t.hasStarted()
}

// hasStarted reports whether a run on the target has started for certain, or can't start
// any more.
func (t *target) hasStarted() bool {
	for _, r := range t.runs {
		if !r.mayStart() {
			return true
		}
	}
	return false
}

// orderRetention is the time after which a start order without an answer counts as
// dropped, if its target has left the host list. Targets that answer tell before.
const orderRetention = 15 * time.Second

// unreachable reports whether the target has runs that a former holder
// transferred, and has not answered the claim for the length of a lease.
func (t *target) unreachable(now time.Time, s *medlargw.LeaseSettings) bool {
	return len(t.runs) > 0 && !t.claimed && now.Sub(t.transferredAt) > s.Lease
}

// mustLapse reports whether the lease must not be renewed: the stop of an abandoned
// run is not answered, or the home of a run is silent. Its caller may submit the
// job again soon. If the stop is lost, the other runs on the target end too.
func (t *target) mustLapse(now time.Time, s *medlargw.LeaseSettings) bool {
	for _, r := range t.runs {
		if !r.abandonedAt.IsZero() && r.stopAnswered.IsZero() || r.task != nil && r.task.home.silent(now, s) {
			return true
		}
	}
	return false
}

// leaseLeft returns the length of the longest lease that the target may get now. It
// applies to all runs there, so that the run that must end first decides, unless its
// stop was answered.
func (t *target) leaseLeft(now time.Time, s *medlargw.LeaseSettings) time.Duration {
	left := s.Lease
	for _, r := range t.runs {
		if r.task != nil && r.stopAnswered.IsZero() {
			left = min(left, r.task.leaseLeft(now, s))
		}
	}
	return left
}

// delisted reports whether the target has left the host list and is no longer
// used.
func (t *target) delisted(now time.Time, unlisted time.Duration) bool {
	if t.unlistedSince.IsZero() {
		return false
	}
	return now.Sub(t.unlistedSince) > unlisted || t.failedRenewals > maxDelistedFailures
}

// isKept reports whether this entry will keep the target for new runs, evacuated or
// not.
func (t *target) isKept(now time.Time, s *medlargw.LeaseSettings) bool {
	return !t.releasing && !t.info.Draining && !t.delisted(now, s.Unlisted)
}

// droppable reports whether a delisted target can be removed: it has no runs, and no
// start order to it is under way.
func (t *target) droppable(now time.Time, unlisted time.Duration) bool {
	if !t.delisted(now, unlisted) {
		return false
	}
	for _, r := range t.runs {
		if !r.mayStart() || now.Sub(r.sent) <= orderRetention {
			return false
		}
	}
	return true
}

// maxDelistedFailures is the number of unanswered renewals after which a target
// that the host list lacks is no longer used.
const maxDelistedFailures = 3
