package medlargw

import (
	"context"
	"net/netip"
	"time"
)

// Heartbeat is the periodic message between entries, and the reply to one.
type Heartbeat struct {
	From     Member
	Digest   Digest
	Changed  []Member // Members whose state changed recently.
	ViewHash uint64   // Hash of the states of all members in the sender's view.
}

// BorrowRequest asks a peer for loans, renews loans and returns loans.
type BorrowRequest struct {
	Host        HostName
	Incarnation Incarnation
	Sequence    uint64 // Increases with each request of one borrower; older requests are ignored.
	ViewHash    uint64 // Hash of the entries of the zone in the borrower's view.
	Waiting     []ClassDemand
	AnySlots    int     // Slots wanted of any target that the lender owns.
	Slots       []Claim // Slots of targets.
	Units       []Claim // Units of teams' limits.
}

// Claim is the number of slots or units of one target or limit that a borrower
// holds, wants and returns.
type Claim struct {
	Name     string // Of the target, or of the team whose limit it is.
	Held     int
	Want     int // In total, including those held.
	Returned int
}

// BorrowReply grants loans. Loans that are not in the reply are not renewed.
type BorrowReply struct {
	Incarnation Incarnation // Of the lender.
	Sequence    uint64      // Of the request.
	IsOwner     bool        // False if the lender does not own what was asked for.
	Slots       []Loan      // Slots of targets.
	Units       []Loan      // Units of teams' limits.
}

// Loan is the right to use a number of slots or units for a term. The borrower
// counts the term from the sending of its request, the lender from its reply,
// so that the borrower stops first. GroupSettings.Margin covers clock drift.
type Loan struct {
	Name   string        // Of the target, or of the team whose limit it is.
	Amount int           // Number of slots, or of tasks that may run at a time.
	Starts float64       // Task starts per second, for units of a limit.
	Term   time.Duration // Length of the loan.
}

// FetchKind is the kind of state that an entry fetches from a peer.
type FetchKind string

// The kinds of a fetch.
const (
	FetchConfig  FetchKind = "config"
	FetchHosts   FetchKind = "hosts"
	FetchMembers FetchKind = "members"
	FetchReports FetchKind = "reports" // The latest reports of targets to the platform.
)

// FetchRequest asks a peer for state that the sender lacks.
type FetchRequest struct {
	Kind     FetchKind
	Version  uint64 // Generation, version or hash of the sender's state; if the peer has the same, its reply has no body.
	Protocol int    // Version of the replies that the sender reads.
}

// ProtocolChanges is the first version of the replies to fetches that may hold
// the changes since FetchRequest.Version instead of the whole state, and whose
// bodies may be compressed.
const ProtocolChanges = 1

// FetchReply holds the peer's state. The component that replies chooses the
// encoding; for the configuration, the body contains the values as they are in
// the store.
type FetchReply struct {
	Version uint64
	Body    []byte
	Base    uint64 // Version that the body's changes apply to; zero if the body is the whole state.
}

// ForwardVerb is the operation that a caller requests with a ticket.
type ForwardVerb string

// The operations that are forwarded to the home of a ticket.
const (
	ForwardSubmit ForwardVerb = "submit"
	ForwardGet    ForwardVerb = "get"
	ForwardCancel ForwardVerb = "cancel"
)

// ForwardRequest passes a ticketed request on to the ticket's home entry.
type ForwardRequest struct {
	Ticket   string
	Verb     ForwardVerb
	Team     TeamName
	Body     []byte        // The submission as the caller sent it; empty for other verbs.
	TimeLeft time.Duration // Time left until the caller's deadline.
}

// ForwardReply is the home's answer, which is passed on to the caller
// unchanged.
type ForwardReply struct {
	Status     int // HTTP status.
	Body       []byte
	RetryAfter time.Duration // When the caller may try again; zero sets no time.
}

// UsedTicket is the home's record of a ticket that was used.
type UsedTicket struct {
	Ticket   string
	Expires  time.Time
	JobEnded bool   // Whether the ticket's job has ended.
	Status   int    // HTTP status of the job's answer; zero if the answer is not kept.
	Body     []byte // The job's answer, if it is kept.
}

// Handover transfers the used tickets of a leaving entry to its successor.
type Handover struct {
	Host        HostName
	Incarnation Incarnation
	UsedTickets []UsedTicket
}

// Messenger sends messages to other entries and returns their replies. A
// message may have reached the peer even if the call returns an error.
type Messenger interface {
	Heartbeat(ctx context.Context, to netip.AddrPort, b Heartbeat) (Heartbeat, error)
	Borrow(ctx context.Context, to netip.AddrPort, r BorrowRequest) (BorrowReply, error)
	Fetch(ctx context.Context, to netip.AddrPort, r FetchRequest) (FetchReply, error)
	Forward(ctx context.Context, to netip.AddrPort, r ForwardRequest) (ForwardReply, error)
	Handover(ctx context.Context, to netip.AddrPort, h Handover) error
}

// HeartbeatHandler replies to the heartbeats of peers. The component "tracker"
// implements it.
type HeartbeatHandler interface {
	HandleHeartbeat(ctx context.Context, b Heartbeat) (Heartbeat, error)
}

// BorrowHandler replies to the peers' requests for loans. The component
// "dispatcher" implements it.
type BorrowHandler interface {
	HandleBorrow(ctx context.Context, r BorrowRequest) (BorrowReply, error)
}

// FetchHandler returns state to peers that lack it. The components "watcher",
// "assigner" and "tracker" implement it, each for one FetchKind.
type FetchHandler interface {
	HandleFetch(ctx context.Context, r FetchRequest) (FetchReply, error)
}

// ForwardHandler serves the requests with tickets whose home this entry is. The
// component "keeper" implements it.
type ForwardHandler interface {
	HandleForward(ctx context.Context, r ForwardRequest) (ForwardReply, error)
	HandleHandover(ctx context.Context, h Handover) error
	// UsedTickets returns the used tickets to hand over to a successor.
	UsedTickets() []UsedTicket
}

// Members returns this entry's view of the entries of the deployment. The
// component "tracker" implements it.
type Members interface {
	// Self returns this entry.
	Self() Member
	// Members returns all known entries, this one included.
	Members() []Member
}
