package medlargw

import (
	"net/netip"
	"time"
)

// Attempt is one request that sends one task to one target.
type Attempt struct {
	ID            AttemptID
	Job           *Job
	TaskIndex     int // Position of the task in the job.
	Target        TargetName
	Addr          netip.AddrPort
	MaxRunTime    time.Duration // Longest run time; the target stops the task afterwards.
	SlotExpiresAt time.Time     // When the right to the slot ends; zero is never.
}

// Task returns the task that the attempt carries.
func (a *Attempt) Task() *Task { return &a.Job.Tasks[a.TaskIndex] }

// EndKind is how an attempt ended.
type EndKind int

const (
	// EndSucceeded means that the target answered with the task's result.
	EndSucceeded EndKind = iota
	// EndFailed means that the target ran the task and reported a failure.
	EndFailed
	// EndNotStarted means that the target is known not to have started the task,
	// so that another attempt is safe.
	EndNotStarted
	// EndLost means that the target may have started the task and that the
	// task's result is unknown.
	EndLost
)

// String returns the name used in logs and metrics.
func (k EndKind) String() string {
	return [...]string{"succeeded", "failed", "not-started", "lost"}[k]
}

// EndReason is the cause of an end, more precisely than its EndKind.
type EndReason string

// The reasons that a Sender returns. They are also the last part of the names
// of the metrics that count attempts.
const (
	ReasonNone         EndReason = ""            // Succeeded, or failed with the target's own message.
	ReasonBusy         EndReason = "busy"        // The target refused the task because it is busy.
	ReasonDraining     EndReason = "leaving"     // The target refused the task because it is draining.
	ReasonUnreachable  EndReason = "unreachable" // The request could not be sent.
	ReasonLoanExpired  EndReason = "loan-over"   // The right to the slot had ended before the request was sent.
	ReasonWrongAttempt EndReason = "crossed"     // The response belongs to another attempt.
	ReasonTruncated    EndReason = "cut-short"   // The connection failed before the whole response had arrived.
	ReasonBadDigest    EndReason = "bad-digest"  // The answer does not match its digest.
	ReasonProtocol     EndReason = "protocol"    // The response violates the target protocol.
	ReasonTooLarge     EndReason = "too-large"   // The answer is longer than allowed.
	ReasonCancelled    EndReason = "cancelled"   // The context ended by a cancel, or while the answer was read.
	ReasonTimeout      EndReason = "timeout"     // The deadline of the context passed before a response arrived.
)

// AttemptEnd is the end of one attempt.
type AttemptEnd struct {
	Kind    EndKind
	Reason  EndReason
	Message string        // Details for people.
	Body    []byte        // The target's answer, if the task succeeded.
	Elapsed time.Duration // From sending the request to the end of the response.
}

// Execution returns what is known about the execution of the task after this
// end.
func (e *AttemptEnd) Execution() Execution {
	switch e.Kind {
	case EndSucceeded, EndFailed:
		return ExecutionFinished
	case EndNotStarted:
		return ExecutionNotRun
	case EndLost:
		return ExecutionUnknown
	}
	panic("kind of end out of range")
}
