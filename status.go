package medlargw

import (
	"context"
	"time"
)

// CoreStatus is a snapshot of the control state of one entry.
type CoreStatus struct {
	Jobs    int // Jobs that have not ended.
	Running int // Attempts that have not ended.
	Free    int // Free slots.
	Queues  []QueueStatus
	Targets []TargetStatus
	Limits  []LimitStatus
	Lent    []LoanStatus
	Held    []LoanStatus
	Bytes   int64        // Payload and answer bytes of jobs that have not ended.
	Leaks   []LeakStatus // Reservations whose job ended a minute ago or longer.
}

// QueueStatus is the waiting work of one team in one class.
type QueueStatus struct {
	Rank  int
	Team  TeamName
	Tasks int
}

// TargetStatus is one target as this entry uses it.
type TargetStatus struct {
	Target Target
	Slots  int // That this entry may use.
	Used   int
	State  TargetState
	Reason string // Why it is in that state.
	Since  time.Time
}

// TargetState says whether a target gets new tasks.
type TargetState string

// The states of a target.
const (
	TargetServing     TargetState = "serving"
	TargetLeaving     TargetState = "leaving"
	TargetQuarantined TargetState = "quarantined"
	TargetSetAside    TargetState = "set-aside" // By an operator.
)

// LimitStatus is what one team uses of its limit on this entry.
type LimitStatus struct {
	Team    TeamName
	Running int
	Limit   Limit // This entry's share.
	Blocked bool
}

// LoanStatus is one loan, given or held.
type LoanStatus struct {
	Peer   HostName
	Name   string
	Amount int
	Until  time.Time
}

// Inspector gives the control state. The part "dispatcher" does.
type Inspector interface {
	Status(ctx context.Context) (CoreStatus, error)
	// SetAside takes a target out of use, or back into it.
	SetAside(target TargetName, aside bool)
}

// JobEnd is the end of one job, for reports.
type JobEnd struct {
	Team     TeamName
	Class    ClassName
	Service  ServiceName
	Ended    time.Time
	Response time.Duration
	Complete bool
	Code     Code
}

// Observer is told of each job's end by the control goroutine, so it must
// return at once. The part "reporter" is one.
type Observer interface {
	JobEnded(end JobEnd)
}
