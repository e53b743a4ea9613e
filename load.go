package medlargw

import (
	"net/netip"
	"time"
)

// Load is what the load tool sends.
type Load struct {
	Entries []netip.AddrPort
	Direct  []Target // Sends straight to these and keeps their slots; empty sends to the entries.
	Balance bool     // Jobs go past the entries that are not ready.
	Kinds   []LoadKind
	Rate    float64       // Jobs per second.
	Time    time.Duration // How long jobs are sent.
	Seed    uint64
}

// LoadKind is one kind of job of a load.
type LoadKind struct {
	Service  string
	Class    string
	Token    string
	Tasks    int           // Mean number of tasks of a job.
	Run      time.Duration // Mean run time of a task.
	Deadline time.Duration
}

// LoadReport is what the load tool saw.
type LoadReport struct {
	Jobs    int
	Tasks   int
	Whole   int // Answered whole, with the caller's own results.
	Failed  int
	Refused int // Failed, and proven not run.
	Wrong   int // Answered with results that are missing or not the caller's own.
	CutOff  int // Ended without an HTTP answer; also counted as failed.
	Ratio   Ratio
	Classes map[string]Ratio
	Added   Added
}

// Added is the response time less the longest run time of the job's tasks, of
// jobs that were answered whole.
type Added struct {
	Median time.Duration
	P99    time.Duration
}

// Ratio is the response time divided by the ideal.
type Ratio struct {
	Mean float64
	P99  float64
}
