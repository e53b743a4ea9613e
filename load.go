package medlargw

import (
	"net/netip"
	"time"
)

// Load describes the jobs that the load generator sends.
type Load struct {
	Entries       []netip.AddrPort
	DirectTargets []Target // If not empty, tasks go to these targets, within their slots, and not to entries.
	SkipUnready   bool     // Whether entries that are not ready get no jobs.
	Kinds         []JobKind
	Rate          float64       // Mean rate of arrivals, in jobs per second.
	Duration      time.Duration // How long jobs are sent.
	Seed          uint64        // Of the random numbers.
}

// JobKind is one kind of job of a load.
type JobKind struct {
	Service     string
	Class       string
	Token       string
	MeanTasks   int           // Mean number of tasks in a job.
	MeanRunTime time.Duration // Mean run time of a task.
	Deadline    time.Duration
}

// LoadReport is the result of a run of the load generator. All numbers but
// Tasks count jobs.
type LoadReport struct {
	Jobs       int
	Tasks      int
	Complete   int // All results returned, and correct.
	Failed     int // Failed, except for those counted by Refused.
	Refused    int // Failed, and known not to have run.
	Incorrect  int // Answered, but with results that are missing or belong to another job.
	NoResponse int // Ended without an HTTP response; also counted as failed.
	Slowdown   Slowdown
	Classes    map[string]Slowdown // By class.
	Overhead   Overhead
}

// Overhead is the response time less the longest run time among the job's
// tasks, over the jobs that returned all results.
type Overhead struct {
	Median time.Duration
	P99    time.Duration
}

// Slowdown is the response time divided by the ideal response time, over the
// jobs that returned all results.
type Slowdown struct {
	Mean float64
	P99  float64
}
