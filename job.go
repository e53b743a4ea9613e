package medlargw

import "time"

// Task is one unit of work of a job.
type Task struct {
	ID      string // Unique within its job.
	Payload []byte // Sent verbatim to the target.
}

// Job is a set of tasks that is answered as a whole. It is immutable after
// admission.
type Job struct {
	ID         JobID
	Team       TeamName
	Service    ServiceName
	Class      ClassName // The class of the service when the job arrived.
	Tasks      []Task
	Idempotent bool
	Arrived    time.Time
	Deadline   time.Time
	Runtime    time.Duration // The caller's estimate for one task; zero is unknown.
	Size       int64         // The declared memory of one task, in bytes; zero is unknown.

	// Of jobs for targets under lease.
	Key      string   // The caller's own id of the job; empty is none.
	Pool     PoolName // The targets that may run it.
	Rank     int      // Of its class; zero is the highest.
	Room     Room     // What one task takes of a target.
	Slack    float64  // Its objective is Slack times its longest task, and Grace.
	Grace    time.Duration
	Attempts int // Runs of one task that may fail before the job fails.
}

// PayloadBytes returns the sum of the payload sizes in bytes.
func (j *Job) PayloadBytes() int64 {
	var n int64
	for i := range j.Tasks {
		n += int64(len(j.Tasks[i].Payload))
	}
	return n
}
