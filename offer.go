package medlargw

import (
	"context"
	"net/netip"
	"time"
)

// Approximate sizes of messages without payloads, in bytes, to account for the use
// of the network link.
const (
	OrderBytes       = 400 // A start order, with the headers of HTTP.
	OfferBytes       = 400 // An offer, with the headers of HTTP.
	OfferedTaskBytes = 100 // One task of an offer or a report.
	AckBytes         = 200 // The answer to a report, with the headers of HTTP.
)

// OfferValidity is the time within which an offer must arrive, in addition to the
// delay of the message that carried the holder's clock. So an offer was made no earlier
// than OfferValidity before Offer.ValidUntil.
const OfferValidity = 400 * time.Millisecond

// TaskID identifies an offered task within one incarnation of its home.
type TaskID uint64

// OfferedTask is a task that a home asks a holder to run once.
type OfferedTask struct {
	ID              TaskID
	Job             uint64 // Number of the job, unique within an incarnation of the home.
	Run             RunID
	Payload         []byte
	Pool            PoolName
	Service         ServiceName   // Of its job; empty is unknown.
	Resources       Resources     // That the task takes of a target.
	Rank            int           // Of its class; zero is the highest priority.
	Estimate        time.Duration // Expected run time on a target of usual speed.
	TimeToObjective time.Duration // Time left until the target response time of its job; may be negative.
	TimeToDeadline  time.Duration // Time left until its result is useless.
	Avoid           []TargetName  // The latest targets on which a run of the task failed, was stopped or did not start.
	MayQueue        bool          // Whether it may wait at the holder.
	Suspect         bool          // Whether it is likely to crash the target that starts it.
}

// Offer asks a holder to run, return or stop tasks. It also shows the holder
// that the home is alive.
type Offer struct {
	From       Member        // The home.
	Holder     Incarnation   // Of the holder that the offer is meant for; zero is not stated.
	ValidUntil time.Duration // End of validity on the holder's clock; afterwards the holder refuses the tasks. Zero is unknown.
	Tasks      []OfferedTask
	Recalls    []TaskID // Tasks to return if they have not been started.
	Cancels    []TaskID // Tasks to stop, or to drop if they have not been started.
	Protocol   int      // Version of the messages that the holder reads.
}

// OfferState is a holder's reply to one offered task.
type OfferState int

const (
	// OfferStarted means that the task is being started.
	OfferStarted OfferState = iota
	// OfferQueued means that the task waits at the holder.
	OfferQueued
	// OfferRefused means that the task has not been started and won't be.
	OfferRefused
	// OfferExpired means that the offer came after the end of its validity. The
	// task has not been started and won't be, as with OfferRefused.
	OfferExpired
)

// String returns the name used in logs.
func (s OfferState) String() string {
	return [...]string{"started", "queued", "refused", "expired"}[s]
}

// OfferedState is the state of one task of an offer.
type OfferedState struct {
	ID     TaskID
	State  OfferState
	Target TargetName // Where the task was started; empty is unknown.
}

// OfferReply answers an Offer.
type OfferReply struct {
	Incarnation   Incarnation   // Of the holder.
	Clock         time.Duration // The holder's clock, for Offer.ValidUntil.
	States        []OfferedState
	FreeResources HolderResources // Of the holder.
}

// TaskEvent is an event that a holder reports of an offered task.
type TaskEvent int

const (
	// TaskStarted means that the holder is sending an order to start the task, or
	// has taken over the target on which the task runs. Whether the target has
	// started it is not known yet.
	TaskStarted TaskEvent = iota
	// TaskSucceeded means that the run succeeded.
	TaskSucceeded
	// TaskFailed means that the run failed.
	TaskFailed
	// TaskStopped means that the run is known to have ended without success.
	TaskStopped
	// TaskReturned means that the task is known not to have been started, and
	// won't be.
	TaskReturned
	// TaskUnknown means that the run may continue under another holder.
	TaskUnknown
)

// String returns the name used in logs.
func (e TaskEvent) String() string {
	return [...]string{"started", "done", "failed", "stopped", "returned", "unknown"}[e]
}

// Terminal reports whether the event is the last one of an offered task.
func (e TaskEvent) Terminal() bool { return e != TaskStarted }

// ReasonEvacuated is the reason of a TaskReturned event of a task that waited
// for targets of evacuated zones alone.
const ReasonEvacuated = "zone evacuated"

// ReasonInvalid is the reason of a TaskReturned event of a task whose start order the
// target did not understand.
const ReasonInvalid = "invalid"

// ReasonHandedOver is the reason of a TaskStarted event of a run that the sender has
// taken over with its target.
const ReasonHandedOver = "handed over"

// TaskReport is one event of one task.
type TaskReport struct {
	Home    Peer // Entry to send it to.
	ID      TaskID
	Event   TaskEvent
	Target  TargetName    // Where the task ran; empty if it was not started.
	Elapsed time.Duration // Run time, if the run has ended, as on a target of usual speed.
	Reason  string        // Cause of the event, for logs.
	// What is known of the crash of the target. A report of TaskStarted with it comes
	// before the proof of the end of the run, which another report brings.
	Crash CrashState
	Blame float64 // Share of the run in the crash of the target, if it has crashed; from 0 to 1.
	// TakenOver means that the run was started by another holder, which its home
	// believes to hold it. It is not sent to the home.
	TakenOver bool
}

// MustArrive reports whether the home has to learn of the event in any case: no
// later message would tell it.
func (r *TaskReport) MustArrive() bool { return r.Event.Terminal() || r.TakenOver }

// Report carries events of tasks from a holder to the home of the tasks.
type Report struct {
	From          Member // The holder.
	Tasks         []TaskReport
	FreeResources HolderResources // Of the holder.
}

// TransferredRun is a run on a transferred target.
type TransferredRun struct {
	Home    Peer
	Task    OfferedTask   // With the times left when the transfer is sent.
	Elapsed time.Duration // Run time so far.
}

// Transfer hands targets over to their new holder, with the runs there.
type Transfer struct {
	From    Member
	To      Peer
	Targets []TransferredTarget
}

// TransferredTarget is one target of a Transfer.
type TransferredTarget struct {
	Name             TargetName
	IncarnationStart time.Time // Start of the target's incarnation; zero is unknown.
	FenceToken       uint64    // Of the former holder.
	AckedSequence    uint64    // Up to which the former holder has acknowledged ends; the others are listed again.
	Rating           Rating    // Of the target's speed.
	Runs             []TransferredRun
}

// OfferMessenger sends the messages between homes and holders. A message may
// have reached the peer even if the call returns an error.
type OfferMessenger interface {
	Offer(ctx context.Context, to netip.AddrPort, o Offer) (OfferReply, error)
	Report(ctx context.Context, to netip.AddrPort, r Report) error
	Transfer(ctx context.Context, to netip.AddrPort, t Transfer) error
}

// OfferHandler handles the messages between homes and holders. The component
// "dispatcher" of an entry with targets under lease implements it.
type OfferHandler interface {
	HandleOffer(ctx context.Context, o Offer) (OfferReply, error)
	HandleReport(ctx context.Context, r Report) error
	HandleTransfer(ctx context.Context, t Transfer) error
}

// ResourceReporter returns the free resources of the targets that this entry
// holds. The component "dispatcher" of an entry with targets under lease
// implements it.
type ResourceReporter interface {
	FreeResources() HolderResources
}

// LagReporter returns how late this process acts; zero while it is on time. The
// component "dispatcher" of an entry with targets under lease implements it.
type LagReporter interface {
	Lag() time.Duration
}

// OfferCommand is an Offer to be sent.
type OfferCommand struct {
	To    Peer
	Offer Offer
}

// CoordinatorActions are what a home must carry out after its coordinator has
// handled an event.
type CoordinatorActions struct {
	Offers   []OfferCommand
	Finished []FinishedJob
}
