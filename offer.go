package medlargw

import (
	"context"
	"net/netip"
	"time"
)

// TaskID identifies an offered task among all of one incarnation of its home.
type TaskID uint64

// OfferedTask is a task that a home asks a holder to run once.
type OfferedTask struct {
	ID       TaskID
	Job      uint64 // The same for all tasks of one job of the home.
	Run      RunID
	Payload  []byte
	Pool     PoolName
	Room     Room
	Rank     int           // Of its class; zero is the highest.
	Estimate time.Duration // Expected run time on a usual target.
	Due      time.Duration // Time left to the objective of its job; may be negative.
	Deadline time.Duration // Time left until its end has no worth.
	Avoid    []TargetName  // Targets where a run of it went wrong.
	Queue    bool          // It may wait at the holder.
}

// Offer tells a holder that its sender is alive, what to run and what to drop.
type Offer struct {
	From    Member        // The home.
	Valid   time.Duration // On the holder's clock; later the offer is refused. Zero is unknown.
	Tasks   []OfferedTask
	Recalls []TaskID // Given back if they were not started.
	Cancels []TaskID // Stopped, or dropped if they were not started.
}

// OfferState is what became of an offered task.
type OfferState int

const (
	// OfferStarted says that the task is being started.
	OfferStarted OfferState = iota
	// OfferQueued says that the task waits at the holder.
	OfferQueued
	// OfferRefused says that the task was not started and won't be.
	OfferRefused
	// OfferStale says the same of an offer that came after its time.
	OfferStale
)

// OfferedState is the state of one task of an offer.
type OfferedState struct {
	ID    TaskID
	State OfferState
}

// OfferReply answers an Offer.
type OfferReply struct {
	Incarnation Incarnation   // Of the holder.
	Clock       time.Duration // Of the holder.
	States      []OfferedState
	Room        HolderRoom
}

// TaskEvent is what a holder reports of a task.
type TaskEvent int

const (
	// TaskStarted says that an order to start the task is on its way.
	TaskStarted TaskEvent = iota
	// TaskDone says that the task was carried out.
	TaskDone
	// TaskFailed says that the run failed.
	TaskFailed
	// TaskStopped is proven: the run has ended without success.
	TaskStopped
	// TaskReturned is proven: the task was not started and won't be.
	TaskReturned
	// TaskUnknown says that the run may go on under another holder.
	TaskUnknown
)

// String returns the name used in logs.
func (e TaskEvent) String() string {
	return [...]string{"started", "done", "failed", "stopped", "returned", "unknown"}[e]
}

// Ends reports whether the event is the last of an offered task.
func (e TaskEvent) Ends() bool { return e != TaskStarted }

// TaskReport is one event of one task.
type TaskReport struct {
	Home    Peer // To whom it goes.
	ID      TaskID
	Event   TaskEvent
	Target  TargetName    // Where it ran; empty when it was not started.
	Elapsed time.Duration // Run time of an ended run.
	Reason  string        // Why, for logs.
}

// Report carries a holder's events to one home.
type Report struct {
	From  Member // The holder.
	Tasks []TaskReport
	Room  HolderRoom
}

// TransferredRun is a run that a holder hands over with its target.
type TransferredRun struct {
	Home    Peer
	Task    OfferedTask // Its times are from the sending of the transfer.
	Elapsed time.Duration
}

// Transfer hands targets over to their new holder, with what runs there.
type Transfer struct {
	From    Member
	To      Peer
	Targets []TransferredTarget
}

// TransferredTarget is one target of a Transfer.
type TransferredTarget struct {
	Name  TargetName
	Born  time.Time
	Fence uint64
	Seen  uint64
	Runs  []TransferredRun
}

// Offerer carries messages of homes and holders. A call that returns an error
// may have reached its peer.
type Offerer interface {
	Offer(ctx context.Context, to netip.AddrPort, o Offer) (OfferReply, error)
	Report(ctx context.Context, to netip.AddrPort, r Report) error
	Transfer(ctx context.Context, to netip.AddrPort, t Transfer) error
}

// OfferHandler answers the messages of homes and holders. The part
// "dispatcher" of an entry with leased targets is one.
type OfferHandler interface {
	HandleOffer(ctx context.Context, o Offer) (OfferReply, error)
	HandleReport(ctx context.Context, r Report) error
	HandleTransfer(ctx context.Context, t Transfer) error
}

// Roomer tells what this entry has free as a holder. The part "dispatcher" of
// an entry with leased targets does.
type Roomer interface {
	Room() HolderRoom
}

// HomeOffer is an Offer to be sent.
type HomeOffer struct {
	To    Peer
	Offer Offer
}

// HomeActions are what must be done after an event at a home.
type HomeActions struct {
	Offers   []HomeOffer
	Finishes []Finish
}
