package medlargw

import "time"

// QueuePolicy is the policy by which the scheduler picks the next among the
// waiting jobs of one team in one class.
type QueuePolicy int

// The policies.
const (
	// PolicyFIFO picks the job that arrived first.
	PolicyFIFO QueuePolicy = iota
	// PolicyFewestTasks picks the job with the fewest waiting tasks.
	PolicyFewestTasks
	// PolicyLeastWork picks the job with the least estimated run time of its
	// waiting tasks.
	PolicyLeastWork
)

// LimitScope identifies the waiting tasks that one limit applies to: those of a
// team, or only those of one of its services if Service is not empty.
type LimitScope struct {
	Team    TeamName
	Service ServiceName
}

// Backlog is the work that waits before a new job. Work is the sum of the
// estimated run times of tasks.
type Backlog struct {
	Rank       int           // Of the job's class.
	HigherWork time.Duration // Work of the higher classes.
	ClassWork  time.Duration // Work of the job's class, over all teams.
	TeamWork   time.Duration // Work of the job's team in that class.
	Share      float64       // Team's share by weight among the teams that wait in that class, above 0 to 1.
	Tasks      int           // Waiting tasks of the team in that class.
	LowerTasks int           // Waiting tasks of the lower classes.
}

// Estimator predicts the run times of tasks. It is used by one goroutine.
type Estimator interface {
	// Estimate returns the expected run time of one task of the job; zero is
	// unknown.
	Estimate(job *Job) time.Duration
	// Observe updates the estimates by the measured run time of one task of the
	// job.
	Observe(job *Job, elapsed time.Duration)
}

// Accountant accounts for the memory that the payloads and answers of jobs
// take, in bytes. It is used by one goroutine.
type Accountant interface {
	// ExceedsWatermark reports whether there is too little memory to admit a job
	// of that size.
	ExceedsWatermark(bytes int64) bool
	// Charge adds bytes to the account of the job, its team and the entry.
	Charge(job *Job, bytes int64)
	// Release frees all that was charged to the job.
	Release(job *Job)
	// Victim returns the job to fail if the memory limit is exceeded, and nil
	// otherwise.
	Victim() *Job
	// HeldBytes returns the bytes charged to all jobs.
	HeldBytes() int64
}

// LeakStatus is a reserved slot that was not released when its job ended.
type LeakStatus struct {
	Job    JobID
	Target TargetName
	Ended  time.Time // When the job ended.
}

// DeciderDependencies are the components that the decider uses.
type DeciderDependencies struct {
	Scheduler  Scheduler
	Placer     Placer
	Limiter    Limiter
	Estimator  Estimator
	Accountant Accountant
}

// QuarantineRules are the thresholds at which a target or a service gets no or
// fewer new tasks.
type QuarantineRules struct {
	// EvidenceThreshold is the log-likelihood ratio of a faulty to a healthy
	// target at which the target is quarantined.
	EvidenceThreshold float64
	// FailureThreshold is the number of consecutive failures at which a service is
	// refused.
	FailureThreshold int
	// SlowFactor is the ratio of run time to estimate at which a target counts as
	// slow.
	SlowFactor float64
}
