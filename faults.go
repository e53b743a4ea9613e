package medlargw

import "time"

// StoreFaults are the faults that the stand-in for the platform injects.
type StoreFaults struct {
	Outage       bool          // Every call fails, open watches included.
	Delay        time.Duration // Delay added to every call.
	LostReplies  int           // Number of the next writes that take effect but return an error.
	HostListLag  time.Duration // Least age of the host list that is served.
	Unresponsive bool          // No call is answered.
	Throttled    bool          // Every call is rejected by a rate limit.
}

// TargetFaults are the faults that a stand-in for a target under lease injects.
type TargetFaults struct {
	SlowFactor float64       // Factor on all run times; zero is one.
	Hang       bool          // Runs make no progress.
	Fail       bool          // Runs take their time and then fail.
	OrderDelay time.Duration // If above zero, orders get no answer and are carried out after this delay.
	// If above zero, start orders and renewals get no answer and are carried out after
	// this delay, and the time of the leases in them counts from then.
	GrantDelay time.Duration
}

// SimulatedTask is the run time and the resources that a task takes on a
// stand-in for a target under lease.
type SimulatedTask struct {
	RunTime   time.Duration
	Resources Resources
	Downtime  time.Duration // If above zero, the target crashes as it starts the task, and is down for this time.
}
