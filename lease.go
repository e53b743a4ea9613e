package medlargw

import "time"

// LeaseSettings are the intervals and timeouts of the protocol between holders
// and targets that run tasks under a lease, and of the one between homes of
// jobs and holders. In the file that package loader reads they are the section
// "lease".
type LeaseSettings struct {
	Lease    time.Duration // Length of a lease that a holder requests.
	Longest  time.Duration // Longest lease that a target grants; it shortens longer ones.
	Drift    float64       // Fraction by which a target's clock may be slow.
	Stop     time.Duration // Longest time that a target takes to stop a run.
	Poll     time.Duration // Longest time that a target waits for the end of a run before it answers a renewal.
	Order    time.Duration // Timeout of an order to a target.
	Call     time.Duration // Timeout of an offer, a report or a transfer to an entry.
	Keep     time.Duration // Interval of the offers that a home sends to each holder of its tasks.
	Silence  time.Duration // Time without an offer of a home after which a holder stops the home's tasks.
	Unlisted time.Duration // How long a target that answers is used without being in the host list.
	Link     int64         // Rate of the host's network link in each direction, in bytes per second; zero is unlimited.
	Lag      time.Duration // Longest lag, of this entry or of a peer, that excuses silence; zero judges by silence alone.
	Quiet    time.Duration // Time without a crash after which a service that crashes targets is no longer confined; zero confines none.
	Refused  time.Duration // Pause before a target is claimed again that was lost to a higher fencing token.
	Reported time.Duration // How long the resources that a target has reported are relied on; zero is without limit.
	Tasks    int           // Most tasks of unfinished jobs that a home holds; zero is unlimited.
	Resubmit time.Duration // Time after which a caller without an outcome may submit its job again, at any entry.
}

// NoticeTime is the time within which a home that does not stand still learns that the
// connection of a caller has ended.
const NoticeTime = 150 * time.Millisecond

// ClockRounding is the error of the end of a lease, since targets round their clocks.
const ClockRounding = 20 * time.Millisecond

// RunOn returns the longest time from a moment at which a home wanted its runs to the
// end of their lease, on a target's clock. The runs of a job that is given up after
// that moment, for whatever reason, then end before Resubmit has passed, even if
// nothing reaches the holder or the target any more.
func (s *LeaseSettings) RunOn() time.Duration {
	return time.Duration(float64(s.Resubmit-NoticeTime-ClockRounding-s.Stop) * (1 - s.Drift))
}

// UnreadLimit returns the longest time for which the request of a job that is still
// taken in may have waited unread. The caller may have left at the beginning of that
// time. From the moment at which that is noticed, a cancel reaches the holder within
// Call, and a run whose target gets no stop ends with its lease. Where leases are so
// long that no time is left, fresh requests are taken in.
func (s *LeaseSettings) UnreadLimit() time.Duration {
	lease := time.Duration(float64(s.Lease) * (1 + s.Drift))
	return max(s.Resubmit-s.Call-lease-s.Stop, minUnreadLimit)
}

// minUnreadLimit is the time for which the request of an entry that has processor time
// may wait unread: the pause of a host that is throttled for 100 ms because its CPU
// quota is used up.
const minUnreadLimit = 100 * time.Millisecond

// BytesPerMegabit is the number of bytes in a megabit, the unit of link rates in
// settings.
const BytesPerMegabit = 1e6 / 8

// MaxLinkMbps is the highest rate of a network link that settings may give, in
// Mbit/s.
const MaxLinkMbps = 1e6

// DefaultLeaseSettings returns the settings for targets that grant leases of at
// most one second.
func DefaultLeaseSettings() LeaseSettings {
	return LeaseSettings{
		Lease:   800 * time.Millisecond, // Below the longest lease, since targets round their clocks.
		Longest: time.Second,
		Drift:   0.025, // Clocks may be slow by 2%; the rest is a margin.
		Stop:    50 * time.Millisecond,
		// Short enough to detect a stalled run well within the second that a longer
		// task takes. A shorter interval costs more reports.
		Poll: 150 * time.Millisecond,
		// Many round trips of a few milliseconds, plus the pause of a host that is
		// throttled for 100 ms because its CPU quota is used up.
		Order: 200 * time.Millisecond,
		Call:  200 * time.Millisecond,
		// The tasks of a lost home must end before its callers retry after 1.3 s.
		Keep:    120 * time.Millisecond,
		Silence: 500 * time.Millisecond,
		// After an outage of the platform it takes 2 s until all live targets are
		// listed again; the rest is a margin.
		Unlisted: 2500 * time.Millisecond,
		// After a longer pause all jobs are given up in any case.
		Lag:     time.Second,
		Quiet:   2500 * time.Millisecond,
		Refused: 2 * time.Second,
		// What the operators of the callers state.
		Resubmit: 1300 * time.Millisecond,
	}
}
