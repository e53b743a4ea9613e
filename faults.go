package medlargw

import "time"

// StoreFaults are the faults that the stand-in for the platform shows.
type StoreFaults struct {
	Outage      bool          // Every call fails, waiting watches included.
	Slow        time.Duration // Added to every call.
	LostReplies int           // Next writes that take effect and return an error.
	Lag         time.Duration // Age of the list of hosts that is served, at least.
}
