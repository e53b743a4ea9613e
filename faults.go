package medlargw

import "time"

// StoreFaults are the faults that the stand-in for the platform shows.
type StoreFaults struct {
	Outage      bool          // Every call fails, waiting watches included.
	Slow        time.Duration // Added to every call.
	LostReplies int           // Next writes that take effect and return an error.
	Lag         time.Duration // Age of the list of hosts that is served, at least.
	Silent      bool          // No call is answered.
	Busy        bool          // Every call is refused as too many.
}

// TargetFaults are the faults that a stand-in for a target under lease shows.
type TargetFaults struct {
	Slow float64       // Factor of all run times; zero is one.
	Hang bool          // Runs make no progress.
	Fail bool          // Runs fail at their end.
	Late time.Duration // Orders are not answered and carried out so much later.
}

// TaskWork is what a task takes of a stand-in for a target under lease.
type TaskWork struct {
	Time time.Duration
	Room Room
}
