package medlargw

import (
	"net/netip"
	"time"
)

// Attempt is one sending of one task to one target.
type Attempt struct {
	Tag     Tag
	Job     *Job
	Index   int // Position of the task in the job.
	Target  TargetName
	Addr    netip.AddrPort
	Lease   time.Duration // The target stops the task when this has passed.
	UseUpTo time.Time     // The slot may not be used after this; zero is no bound.
}

// Task returns the task that the attempt carries.
func (a *Attempt) Task() *Task { return &a.Job.Tasks[a.Index] }

// EndKind says how an attempt ended.
type EndKind int

const (
	// EndSucceeded says that the target answered with the task's result.
	EndSucceeded EndKind = iota
	// EndFailed says that the target ran the task and reports its failure.
	EndFailed
	// EndNotStarted is proven: the target has not started the task.
	EndNotStarted
	// EndLost says that the task may have been started and its end is unknown.
	EndLost
)

// String returns the name used in logs and metrics.
func (k EndKind) String() string {
	return [...]string{"succeeded", "failed", "not-started", "lost"}[k]
}

// EndReason refines an EndKind.
type EndReason string

// The reasons that a sender gives.
const (
	ReasonNone        EndReason = ""
	ReasonBusy        EndReason = "busy"
	ReasonLeaving     EndReason = "leaving"
	ReasonUnreachable EndReason = "unreachable"
	ReasonLoanOver    EndReason = "loan-over"
	ReasonCrossed     EndReason = "crossed"
	ReasonCutShort    EndReason = "cut-short"
	ReasonBadDigest   EndReason = "bad-digest"
	ReasonProtocol    EndReason = "protocol"
	ReasonTooLarge    EndReason = "too-large"
	ReasonCancelled   EndReason = "cancelled"
	ReasonTimeout     EndReason = "timeout"
)

// AttemptEnd is the end of one attempt.
type AttemptEnd struct {
	Kind    EndKind
	Reason  EndReason
	Message string
	Body    []byte
	Elapsed time.Duration // From sending to the end of the answer.
}

// Fate returns what the end proves about the task.
func (e *AttemptEnd) Fate() Fate {
	switch e.Kind {
	case EndSucceeded, EndFailed:
		return FateDone
	case EndNotStarted:
		return FateNotRun
	case EndLost:
		return FateUnknown
	}
	panic("kind of end out of range")
}
