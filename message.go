package medlargw

import (
	"context"
	"net/netip"
	"time"
)

// Beat is a heartbeat, and the answer to one.
type Beat struct {
	From    Member
	Digest  Digest
	Changed []Member // Members whose state changed lately.
	View    uint64   // Hash of the sender's whole view of the members.
}

// BorrowRequest asks a peer for loans, renews those held and returns others.
type BorrowRequest struct {
	Host        HostName
	Incarnation Incarnation
	Number      uint64 // Rises with each request of one borrower; older ones are ignored.
	View        uint64 // Hash of the entries of its zone as the borrower sees them.
	Waiting     []ClassDemand
	Any         int // Slots wanted of any target of the lender.
	Slots       []Claim
	Units       []Claim
}

// Claim is what a borrower holds, wants and returns of one resource.
type Claim struct {
	Name     string // A target, or a team whose limit is lent.
	Held     int
	Want     int // In all, those held included.
	Returned int
}

// BorrowReply grants loans. A loan that is not among them is not renewed.
type BorrowReply struct {
	Incarnation Incarnation
	Number      uint64 // Of the request.
	Owner       bool   // False when the lender does not own what was asked for.
	Slots       []Loan
	Units       []Loan
}

// Loan is a right to use an amount for a term. The borrower counts the term
// from the sending of its request, the lender from its reply.
type Loan struct {
	Name   string // A target, or a team whose limit is lent.
	Amount int
	Starts float64 // Starts per second, for units of a team's limit.
	Term   time.Duration
}

// FetchKind is what a peer asks for.
type FetchKind string

// The kinds of a fetch.
const (
	FetchConfig  FetchKind = "config"
	FetchHosts   FetchKind = "hosts"
	FetchMembers FetchKind = "members"
)

// FetchRequest asks a peer for state that the sender lacks.
type FetchRequest struct {
	Kind    FetchKind
	Version uint64 // The sender's version; the same one is answered empty.
}

// FetchReply holds the state in the form that the store keeps it in.
type FetchReply struct {
	Version uint64
	Body    []byte
}

// ForwardVerb is what a caller asks the home entry of its ticket to do.
type ForwardVerb string

// The verbs of a forward.
const (
	ForwardSubmit ForwardVerb = "submit"
	ForwardGet    ForwardVerb = "get"
	ForwardCancel ForwardVerb = "cancel"
)

// ForwardRequest passes a ticketed request on to the ticket's home entry.
type ForwardRequest struct {
	Ticket string
	Verb   ForwardVerb
	Team   TeamName
	Body   []byte // The submission as the caller sent it; empty for other verbs.
	Left   time.Duration
}

// ForwardReply is the home's answer as the caller shall get it.
type ForwardReply struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// UsedTicket is what a home remembers of a ticket that was used.
type UsedTicket struct {
	Ticket  string
	Expires time.Time
	Ended   bool
	Status  int    // Of the kept answer; zero keeps none.
	Body    []byte // The kept answer.
}

// Handover gives the used tickets of a leaving entry to its successor.
type Handover struct {
	Host        HostName
	Incarnation Incarnation
	Used        []UsedTicket
}

// Messenger carries messages to the other entries. A call that returns an
// error may have reached its peer.
type Messenger interface {
	Beat(ctx context.Context, to netip.AddrPort, b Beat) (Beat, error)
	Borrow(ctx context.Context, to netip.AddrPort, r BorrowRequest) (BorrowReply, error)
	Fetch(ctx context.Context, to netip.AddrPort, r FetchRequest) (FetchReply, error)
	Forward(ctx context.Context, to netip.AddrPort, r ForwardRequest) (ForwardReply, error)
	Handover(ctx context.Context, to netip.AddrPort, h Handover) error
}

// BeatHandler answers the heartbeats of peers. The part "tracker" is one.
type BeatHandler interface {
	HandleBeat(ctx context.Context, b Beat) (Beat, error)
}

// BorrowHandler answers the peers' wishes for loans. The part "dispatcher" is
// one.
type BorrowHandler interface {
	HandleBorrow(ctx context.Context, r BorrowRequest) (BorrowReply, error)
}

// FetchHandler gives peers the state that they lack. The parts "watcher",
// "assigner" and "tracker" are, each for its own kind.
type FetchHandler interface {
	HandleFetch(ctx context.Context, r FetchRequest) (FetchReply, error)
}

// ForwardHandler serves ticketed requests as their home. The part "keeper" is
// one.
type ForwardHandler interface {
	HandleForward(ctx context.Context, r ForwardRequest) (ForwardReply, error)
	HandleHandover(ctx context.Context, h Handover) error
	// Used returns the used tickets, for a successor.
	Used() []UsedTicket
}

// Members gives the entries as this entry sees them. The part "tracker" does.
type Members interface {
	// Self returns this entry.
	Self() Member
	// Members returns all known entries, this one included.
	Members() []Member
}
