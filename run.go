package medlargw

import (
	"context"
	"time"
)

// RunID names one run of a task on a target.
type RunID struct {
	Task    string // Unique in the deployment.
	Attempt int    // Rises with each run of the task, from 1.
}

// Verdict is a target's answer to an order.
type Verdict int

const (
	// VerdictDone says that the order was carried out, now or before.
	VerdictDone Verdict = iota
	// VerdictFenced says that the target has seen a higher fencing token.
	VerdictFenced
	// VerdictOld says that a run of the task with this number or a higher one
	// has ended or was stopped there.
	VerdictOld
	// VerdictLate says that the order came after the end of its lease.
	VerdictLate
	// VerdictFull says that the target guards its room and has too little.
	VerdictFull
	// VerdictUnhealthy says that the target did nothing and may later.
	VerdictUnhealthy
	// VerdictOther says that another incarnation answers at the address.
	VerdictOther
	// VerdictInvalid says that the target does not understand the order.
	VerdictInvalid
)

// String returns the name used in logs.
func (v Verdict) String() string {
	return [...]string{"done", "fenced", "old", "late", "full", "unhealthy", "other", "invalid"}[v]
}

// StartOrder asks a target to start a run.
type StartOrder struct {
	Run     RunID
	Payload []byte
	Until   time.Duration // End of the lease of all runs there, on the target's clock.
	Fence   uint64
}

// StopOrder asks a target to stop a run, and never to start it.
type StopOrder struct {
	Run   RunID
	Fence uint64
}

// OrderReply is a target's answer to a StartOrder or a StopOrder.
type OrderReply struct {
	Verdict Verdict
	Clock   time.Duration // The target's steady clock; zero is not told.
}

// Renewal renews the lease of all runs on a target, acknowledges ends and asks
// for a report.
type Renewal struct {
	Until time.Duration // Zero leaves the lease as it is.
	Fence uint64
	Seen  uint64        // Ends up to this number are acknowledged.
	Wait  time.Duration // How long the target may wait for an end before it answers.
}

// ActiveRun is a run that a target lists as running.
type ActiveRun struct {
	Run     RunID
	Percent int // Of its work that is done.
}

// RunEndKind says how a run ended.
type RunEndKind int

const (
	// RunDone says that the task was carried out.
	RunDone RunEndKind = iota
	// RunFailed says that the run failed by the task's or the target's fault.
	RunFailed
	// RunStopped says that the run was stopped, or that its lease ended.
	RunStopped
)

// RunEnd is the end of one run.
type RunEnd struct {
	Number uint64 // Rises with each end in one incarnation of the target, from 1.
	Run    RunID
	Kind   RunEndKind
}

// RunReport is a target's answer to a Renewal.
type RunReport struct {
	Verdict Verdict
	Clock   time.Duration // The target's steady clock.
	Born    time.Time     // Start of the target's incarnation; zero is not told.
	Active  []ActiveRun
	Ended   []RunEnd // Those after Renewal.Seen, the oldest first.
	More    bool     // There may be more ends.
}

// Runner gives orders to targets that run tasks under a lease. An order that
// returns an error may have been carried out, or may be later.
type Runner interface {
	StartRun(ctx context.Context, t *Target, o StartOrder) (OrderReply, error)
	StopRun(ctx context.Context, t *Target, o StopOrder) (OrderReply, error)
	Renew(ctx context.Context, t *Target, r Renewal) (RunReport, error)
}

// StartCommand is a StartOrder to be sent.
type StartCommand struct {
	Target Target
	Order  StartOrder
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
}

// HolderActions are what must be sent after an event at a holder.
type HolderActions struct {
	Starts    []StartCommand
	Stops     []StopCommand
	Renewals  []RenewCommand
	Reports   []TaskReport // In order; each to the home that it names.
	Transfers []Transfer
}
