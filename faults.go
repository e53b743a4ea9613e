package medlargw

import "time"

// StoreFaults are the faults that the stand-in for the platform injects.
type StoreFaults struct {
	Outage      bool          // Every call fails, open watches included.
	Slow        time.Duration // Delay added to every call.
	LostReplies int           // Number of the next writes that take effect but return an error.
	Lag         time.Duration // Least age of the host list that is served.
	Silent      bool          // No call is answered.
	Busy        bool          // Every call is rejected by a rate limit.
}

// TargetFaults are the faults that a stand-in for a target under lease injects.
type TargetFaults struct {
	Slow float64       // Factor on all run times; zero is one.
	Hang bool          // Runs make no progress.
	Fail bool          // Runs take their time and then fail.
	Late time.Duration // If above zero, orders get no answer and are carried out after this delay.
}

// TaskWork is the run time and the resources that a task takes on a stand-in for
// a target under lease.
type TaskWork struct {
	Time time.Duration
	Room Room
}
