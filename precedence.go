package medlargw

import "time"

// JobOrder is the order of the jobs of one team in one class.
type JobOrder int

// The orders.
const (
	// OrderArrival takes the job that arrived first.
	OrderArrival JobOrder = iota
	// OrderFewest takes the job with the fewest waiting tasks.
	OrderFewest
	// OrderLeast takes the job with the least waiting work by estimate.
	OrderLeast
)

// Lane is the waiting work of a team, or of one of its services when the
// service is not empty.
type Lane struct {
	Team    TeamName
	Service ServiceName
}

// Backlog is the estimated run time of the work that waits before a new job.
type Backlog struct {
	Rank   int           // Of the job's class.
	Higher time.Duration // Of the higher classes.
	Class  time.Duration // Of the job's class, over all teams.
	Team   time.Duration // Of the job's team in that class.
	Share  float64       // Of the team among the teams that wait in that class, above 0 to 1.
	Tasks  int           // Waiting tasks of the team in that class.
	Lower  int           // Waiting tasks of the lower classes.
}

// Estimator predicts run times. It is used by one goroutine.
type Estimator interface {
	// Estimate returns the expected run time of one task of the job; zero is
	// unknown.
	Estimate(job *Job) time.Duration
	// Learn takes the measured run time of one task of the job.
	Learn(job *Job, elapsed time.Duration)
}

// Accountant counts the bytes that jobs hold. It is used by one goroutine.
type Accountant interface {
	// Blocked reports whether a job of that size must not be taken in now.
	Blocked(bytes int64) bool
	// Add charges bytes to the job, its team and the entry.
	Add(job *Job, bytes int64)
	// Release frees what the job holds.
	Release(job *Job)
	// Victim returns the job to fail while the hard limit is exceeded, or nil.
	Victim() *Job
	// Held returns the bytes that the whole entry holds.
	Held() int64
}

// LeakStatus is a reservation that outlived its job.
type LeakStatus struct {
	Job    JobID
	Target TargetName
	Ended  time.Time // When the job ended.
}

// DeciderTools are what a decider decides with.
type DeciderTools struct {
	Scheduler  Scheduler
	Placer     Placer
	Limiter    Limiter
	Estimator  Estimator
	Accountant Accountant
}

// QuarantineRules say when a target or a service is refused new tasks.
type QuarantineRules struct {
	// Evidence is the log-likelihood ratio at which a target is shut out.
	Evidence float64
	// Failures is how often a service fails in a row before it is refused.
	Failures int
	// Slow is the run time, as a multiple of the estimate, at which a target is
	// held back.
	Slow float64
}
