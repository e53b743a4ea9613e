package holder

import (
	"time"

	"medlargw.example/medlargw"
)

// lapseMargin is added to the end of a lease before it counts as over, for the
// rounding of the target's clock.
const lapseMargin = 20 * time.Millisecond

// runState is what is known of a run on a target.
type runState int

const (
	runStarting runState = iota // The order is on its way.
	runDoubtful                 // The order was not answered.
	runRunning
)

// run is one run that takes room of a target.
type run struct {
	id     medlargw.RunID
	room   medlargw.Room
	task   *task // Nil for a run that was started by another holder.
	target *target
	state  runState
	sent   time.Time
	acked  time.Time     // When the target's word of it arrived.
	until  time.Duration // End of the lease in its start order, on the target's clock.

	stopping     bool
	stopSent     time.Time
	stopAnswered time.Time // Zero until the target has confirmed the stop.
	reason       string    // Why it is stopped.
	judged       bool      // Its progress has spoken against its target.
	ratio        float64   // Its run time against the estimate, as its progress has it; zero is unknown.
}

// target is a target that this entry holds or is about to claim.
type target struct {
	info  medlargw.Target
	held  bool // The claim was answered.
	fence uint64
	born  time.Time
	seen  uint64        // Ends up to this number were taken note of.
	free  medlargw.Room // What no run takes.
	runs  map[medlargw.RunID]*run

	clock   time.Duration // Of the target, in its last answer.
	clockAt time.Time     // When that answer arrived; zero is never.
	until   time.Duration // The latest end of a lease in any order sent.

	renewing  bool
	nextRenew time.Time
	heard     time.Time // Last answer.
	adopted   time.Time // When it was handed over to here; zero is never.
	failures  int       // Renewals in a row that were not answered.

	unlisted  time.Time // Since when the list lacks it; zero is listed.
	releasing bool      // Another entry shall hold it.
	handing   bool      // The transfer is on its way.
	releaseTo medlargw.Peer
	moved     medlargw.TransferredTarget // What the transfer says.

	health
}

func newTarget(info medlargw.Target) *target {
	return &target{info: info, born: info.Born, free: info.Room, runs: map[medlargw.RunID]*run{}, health: newHealth()}
}

// update takes what the list says of the target.
func (t *target) update(info medlargw.Target) {
	taken := t.info.Room.Minus(t.free)
	t.info = info
	t.free = info.Room.Minus(taken)
	t.unlisted = time.Time{}
}

// put takes room for a run.
func (t *target) put(r *run) {
	t.runs[r.id] = r
	t.free = t.free.Minus(r.room)
}

// take gives the room of a run back.
func (t *target) take(r *run) {
	delete(t.runs, r.id)
	t.free = t.free.Plus(r.room)
}

// nextEnd returns the least time until one of the runs is expected to end, or
// the given one if that is less and not zero. A run that is over its time may
// end at any moment.
func (t *target) nextEnd(now time.Time, least time.Duration) time.Duration {
	for _, r := range t.runs {
		if r.task == nil {
			continue
		}
		left := max(r.sent.Add(t.expected(r.task)).Sub(now), time.Millisecond)
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// foreign reports whether runs of unknown size are there.
func (t *target) foreign() bool {
	for _, r := range t.runs {
		if r.task == nil && r.room == (medlargw.Room{}) {
			return true
		}
	}
	return false
}

// usable reports whether new runs may be started.
func (t *target) usable(now time.Time, unlisted time.Duration) bool {
	return t.held && !t.info.Leaving && !t.releasing && t.failures == 0 &&
		!now.Before(t.paused) && !t.foreign() && !t.gone(now, unlisted)
}

// hear takes the target's clock of an answer.
func (t *target) hear(now time.Time, clock time.Duration) {
	t.heard = now
	if clock > 0 {
		t.clock, t.clockAt = clock, now
	}
}

// clockNow returns what the target's clock has surely reached.
func (t *target) clockNow(now time.Time, drift float64) time.Duration {
	return t.clock + time.Duration(float64(now.Sub(t.clockAt))*(1-drift))
}

// lapsed reports whether all leases given so far have surely ended. Those that
// a former holder gave began before it handed the target over.
func (t *target) lapsed(now time.Time, s *medlargw.LeaseSettings) bool {
	if len(t.runs) == 0 {
		return false
	}
	given := now.Sub(t.adopted) > time.Duration(float64(s.Lease)*(1+s.Drift))+lapseMargin
	if t.clockAt.IsZero() {
		return !t.adopted.IsZero() && given
	}
	return given && t.clockNow(now, s.Drift) > t.until+lapseMargin
}

// gone reports whether the target left the list and is used no more.
func (t *target) gone(now time.Time, unlisted time.Duration) bool {
	if t.unlisted.IsZero() {
		return false
	}
	return now.Sub(t.unlisted) > unlisted || t.failures > goneFailures
}

// droppable reports whether a target that is gone can be forgotten: nothing
// runs on it any more.
func (t *target) droppable(now time.Time, unlisted time.Duration) bool {
	return len(t.runs) == 0 && t.gone(now, unlisted)
}

// goneFailures is the number of unanswered renewals after which a target that
// the list lacks is given up.
const goneFailures = 3
