package medlargw

import (
	"net/netip"
	"time"
)

// Load describes the jobs that the load generator sends.
type Load struct {
	Entries []netip.AddrPort
	Direct  []Target // If not empty, tasks go to these targets, within their slots, and not to entries.
	Balance bool     // Whether entries that are not ready get no jobs.
	Kinds   []LoadKind
	Rate    float64       // Mean rate of arrivals, in jobs per second.
	Time    time.Duration // How long jobs are sent.
	Seed    uint64        // Of the random numbers.
}

// LoadKind is one kind of job of a load.
type LoadKind struct {
	Service  string
	Class    string
	Token    string
	Tasks    int           // Mean number of tasks in a job.
	Run      time.Duration // Mean run time of a task.
	Deadline time.Duration
}

// LoadReport is the result of a run of the load generator. All numbers but Tasks
// count jobs.
type LoadReport struct {
	Jobs    int
	Tasks   int
	Whole   int // All results returned, and correct.
	Failed  int // Failed, except for those counted by Refused.
	Refused int // Failed, and known not to have run.
	Wrong   int // Answered, but with results that are missing or belong to another job.
	CutOff  int // Ended without an HTTP response; also counted as failed.
	Ratio   Ratio
	Classes map[string]Ratio // Ratio by class.
	Added   Added
}

// Added is the overhead of jobs that returned all results: the response time
// less the longest run time among the job's tasks.
type Added struct {
	Median time.Duration
	P99    time.Duration
}

// Ratio is the slowdown of jobs that returned all results: the response time
// divided by the ideal response time.
type Ratio struct {
	Mean float64
	P99  float64
}
