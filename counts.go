package medlargw

// TargetCounts are the counters of a stand-in target.
type TargetCounts struct {
	Requests     int            // Attempts received.
	Started      int            // Tasks started.
	NotStarted   int            // Attempts refused without a start.
	Answered     int            // Results sent.
	Stopped      int            // Tasks stopped before their end.
	StartsByTask map[uint64]int // Starts by task number.
}

// Add adds the counts of another target to c.
func (c *TargetCounts) Add(other TargetCounts) {
	c.Requests += other.Requests
	c.Started += other.Started
	c.NotStarted += other.NotStarted
	c.Answered += other.Answered
	c.Stopped += other.Stopped
	if c.StartsByTask == nil {
		c.StartsByTask = map[uint64]int{}
	}
	for n, k := range other.StartsByTask {
		c.StartsByTask[n] += k
	}
}

// DuplicateStarts returns the number of tasks that were started more than once.
func (c *TargetCounts) DuplicateStarts() int {
	n := 0
	for _, starts := range c.StartsByTask {
		if starts > 1 {
			n++
		}
	}
	return n
}
