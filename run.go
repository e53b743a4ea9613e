package medlargw

import (
	"context"
	"time"
)

// RunID names one run of a task on a target.
type RunID struct {
	Task    string // Unique in the deployment.
	Attempt int    // Number of the run, from 1.
}

// OrderStatus is the status with which a target answers an order.
type OrderStatus int

const (
	// OrderDone means that the order has been carried out, now or earlier.
	OrderDone OrderStatus = iota
	// OrderFenced means that the target has seen a higher fencing token.
	OrderFenced
	// OrderSuperseded means that a run of the task with this number or a higher
	// one has already ended or been stopped on the target.
	OrderSuperseded
	// OrderExpired means that the order came after the end of its lease.
	OrderExpired
	// OrderNoResources means that the target checks its resources and has too few
	// free.
	OrderNoResources
	// OrderUnhealthy means that the target rejected the order for now and may
	// accept it later.
	OrderUnhealthy
	// OrderWrongIncarnation means that another incarnation of the target answers
	// at the address.
	OrderWrongIncarnation
	// OrderInvalid means that the target does not understand the order.
	OrderInvalid
)

// String returns the name used in logs.
func (s OrderStatus) String() string {
	return [...]string{"done", "fenced", "old", "late", "full", "unhealthy", "other", "invalid"}[s]
}

// StartOrder asks a target to start a run.
type StartOrder struct {
	Run        RunID
	Payload    []byte
	LeaseEnd   time.Duration // End of the lease of all runs on the target, on the target's monotonic clock.
	FenceToken uint64        // Fencing token of the holder.
}

// StopOrder asks a target to stop a run, or never to start it if it has not
// been started.
type StopOrder struct {
	Run        RunID
	FenceToken uint64 // Fencing token of the holder.
}

// OrderReply is a target's answer to a StartOrder or a StopOrder.
type OrderReply struct {
	Status OrderStatus
	Clock  time.Duration // The target's monotonic clock; zero if the target has not sent it.
}

// Renewal renews the lease of all runs on a target, acknowledges ends of runs
// and asks for a RunReport.
type Renewal struct {
	LeaseEnd      time.Duration // New end of the lease on the target's monotonic clock; zero does not change it.
	FenceToken    uint64        // Of the holder.
	AckedSequence uint64        // Ends of runs with sequence numbers up to this one are acknowledged.
	MaxWait       time.Duration // How long the target may wait for the end of a run before it answers.
}

// ActiveRun is a run that a target reports as running.
type ActiveRun struct {
	Run     RunID
	Percent int // Progress, 0 to 100.
}

// RunEndKind is how a run ended.
type RunEndKind int

const (
	// RunSucceeded means that the run succeeded.
	RunSucceeded RunEndKind = iota
	// RunFailed means that the run failed because of the task or the target.
	RunFailed
	// RunStopped means that the run was stopped by an order or by the end of its
	// lease.
	RunStopped
)

// String returns the name used in logs.
func (k RunEndKind) String() string { return [...]string{"done", "failed", "stopped"}[k] }

// RunEnd is the end of one run.
type RunEnd struct {
	Sequence uint64 // Counts the ends of runs in one incarnation of the target, from 1.
	Run      RunID
	Kind     RunEndKind
}

// RunReport is a target's answer to a Renewal.
type RunReport struct {
	Status           OrderStatus
	Clock            time.Duration // The target's monotonic clock.
	IncarnationStart time.Time     // Start of the target's incarnation; zero if the target has not sent it.
	Active           []ActiveRun
	Ended            []RunEnd // Ends with sequence numbers above Renewal.AckedSequence, the oldest first.
	HasMore          bool     // Whether there may be more ends than in Ended.
}

// Runner sends orders to targets that run tasks under a lease. If a call
// returns an error, the target may have carried the order out, or may still do
// so.
type Runner interface {
	StartRun(ctx context.Context, t *Target, o StartOrder) (OrderReply, error)
	StopRun(ctx context.Context, t *Target, o StopOrder) (OrderReply, error)
	Renew(ctx context.Context, t *Target, r Renewal) (RunReport, error)
	// Reach returns nil if the target accepts connections. It orders nothing.
	Reach(ctx context.Context, t *Target) error
}

// StartCommand is a StartOrder to be sent.
type StartCommand struct {
	Target    Target
	Order     StartOrder
	DecidedAt time.Time // Of the event after which it is sent.
}

// StopCommand is a StopOrder to be sent.
type StopCommand struct {
	Target Target
	Order  StopOrder
}

// RenewCommand is a Renewal to be sent.
type RenewCommand struct {
	Target  Target
	Renewal Renewal
	Extra   bool // It only asks for a report, beside a renewal that the target has not answered yet.
}

// HolderActions are the messages to be sent after an event at a holder.
type HolderActions struct {
	Starts    []StartCommand
	Stops     []StopCommand
	Renewals  []RenewCommand
	Reports   []TaskReport // Each to be sent to the home that it names, in this order.
	Transfers []Transfer
	Probes    []Target // Whether they accept connections.
}
