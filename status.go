package medlargw

import (
	"context"
	"time"
)

// DispatchStatus is a snapshot of the jobs and targets of one entry's
// dispatcher.
type DispatchStatus struct {
	Jobs    int // Jobs that have not ended.
	Running int // Attempts that have not ended.
	Free    int // Free slots.
	Queues  []QueueStatus
	Targets []TargetStatus
	Limits  []LimitStatus
	Lent    []LoanStatus // Loans that this entry has given.
	Held    []LoanStatus // Loans that this entry has received.
	Bytes   int64        // Memory for payloads and answers of jobs that have not ended, in bytes.
	Leaks   []LeakStatus // Reserved slots whose job ended at least a minute ago.
}

// QueueStatus is the number of waiting tasks of one team in one class.
type QueueStatus struct {
	Rank  int // Of the class; zero is the highest priority.
	Team  TeamName
	Tasks int
}

// TargetStatus is the state of one target and this entry's use of it.
type TargetStatus struct {
	Target Target
	Slots  int // Slots that this entry may use.
	Used   int // Slots that this entry uses.
	State  TargetState
	Reason string    // Why it is in that state, for people.
	Since  time.Time // When it entered that state.
}

// TargetState tells whether a target gets new tasks. Only a serving target
// does.
type TargetState string

// The states of a target.
const (
	TargetServing     TargetState = "serving"
	TargetDraining    TargetState = "leaving"     // The host list or the target itself says that it is being drained.
	TargetQuarantined TargetState = "quarantined" // It fails, or is slow.
	TargetSetAside    TargetState = "set-aside"   // An operator took it out of use.
)

// LimitStatus is one team's limit and its use on this entry.
type LimitStatus struct {
	Team    TeamName
	Running int   // Running tasks.
	Limit   Limit // This entry's share of the limit.
	Blocked bool  // Whether the limit holds tasks of the team back.
}

// LoanStatus is one loan, given or received.
type LoanStatus struct {
	Peer      HostName // The other side.
	Name      string   // Of the target, or of the team whose limit it is.
	Amount    int      // Number of slots, or of tasks that may run at a time.
	ExpiresAt time.Time
}

// Inspector returns the state of the dispatcher and changes the use of targets.
// The component "dispatcher" implements it.
type Inspector interface {
	// Status returns a snapshot, or the context's error.
	Status(ctx context.Context) (DispatchStatus, error)
	// SetAside takes a target out of use, or puts it back into use.
	SetAside(target TargetName, aside bool)
}

// JobSummary describes an ended job, for reports.
type JobSummary struct {
	Team         TeamName
	Class        ClassName
	Service      ServiceName
	Ended        time.Time
	ResponseTime time.Duration // From the job's arrival to its end.
	Complete     bool
	Code         Code // Reason of the failure, if it is not complete.
}

// JobObserver is called at the end of each job. The control goroutine calls it,
// so that it must return without blocking. The component "reporter" implements
// it.
type JobObserver interface {
	JobEnded(end JobSummary)
}
