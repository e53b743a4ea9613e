package medlargw

import "time"

// LeaseSettings are the times of the dealings with targets that run tasks under
// a lease, and between the homes of jobs and the holders of targets.
type LeaseSettings struct {
	Lease    time.Duration // Length of a lease.
	Longest  time.Duration // To which a target cuts longer leases.
	Drift    float64       // Share by which a target's clock may be slow.
	Stop     time.Duration // Longest time that a stop takes.
	Poll     time.Duration // Longest wait of a target before it reports.
	Order    time.Duration // Time in which a target answers an order.
	Call     time.Duration // Time in which an entry answers an offer or a report.
	Keep     time.Duration // Between two offers of a home to a holder of its tasks.
	Silence  time.Duration // Silence of a home after which its tasks are stopped.
	Unlisted time.Duration // How long a target that answers is used though the list lacks it.
	Refused  time.Duration // Pause after a target was lost to a higher fencing token.
}

// DefaultLease returns the times for targets with leases of a second at most.
func DefaultLease() LeaseSettings {
	return LeaseSettings{
		Lease:   800 * time.Millisecond, // Four fifths of the longest: clocks are rounded.
		Longest: time.Second,
		Drift:   0.025, // The 2% by which a clock may be slow, and a margin.
		Stop:    50 * time.Millisecond,
		// A stalled run shows well within the second of a longer task; each
		// report has its price.
		Poll: 150 * time.Millisecond,
		// Many round trips of a few milliseconds, and the pause of a host whose
		// share of a processor is used up for a tenth of a second.
		Order: 200 * time.Millisecond,
		Call:  200 * time.Millisecond,
		// The tasks of a lost home end before its callers ask again after 1.3 s.
		Keep:    120 * time.Millisecond,
		Silence: 500 * time.Millisecond,
		// The two seconds in which living targets are listed again after an
		// outage of the platform, and a margin.
		Unlisted: 2500 * time.Millisecond,
		Refused:  2 * time.Second,
	}
}
