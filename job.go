package medlargw

import "time"

// Task is one unit of work of a job.
type Task struct {
	ID      string // Unique within its job.
	Payload []byte // Sent verbatim to the target.
}

// Job is a set of tasks whose results are returned together. It is immutable
// after admission.
type Job struct {
	ID               JobID
	Team             TeamName
	Service          ServiceName
	Class            ClassName // The class of the service when the job arrived.
	Tasks            []Task
	Idempotent       bool // Whether it is harmless to run a task more than once.
	Arrived          time.Time
	Deadline         time.Time
	EstimatedRuntime time.Duration // The caller's estimate of one task's run time; zero is unknown.
	TaskMemory       int64         // Memory that the caller declares for one task, in bytes; zero is unknown.

	// Only for jobs that run on targets under lease.
	RequestID   string        // The caller's own ID of the job; empty is none.
	Pool        PoolName      // The targets that may run its tasks.
	Rank        int           // Of its class; zero is the highest priority.
	Resources   Resources     // Resources that one task takes of a target.
	SlackFactor float64       // The target response time is SlackFactor times the longest task, plus Grace.
	Grace       time.Duration // See SlackFactor.
	// Heard is the earliest time at which the last byte of the request may have come
	// in; zero is the time at which the job is submitted.
	Heard       time.Time
	MaxAttempts int // Failed runs of one task after which the job fails.
}

// PayloadBytes returns the total size of the payloads, in bytes.
func (j *Job) PayloadBytes() int64 {
	var n int64
	for i := range j.Tasks {
		n += int64(len(j.Tasks[i].Payload))
	}
	return n
}
