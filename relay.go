package medlargw

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// ErrNotSent is the error of a message that the receiver has not got and will not
// get, or that it can't read.
var ErrNotSent = errors.New("the message was not sent")

// RelayID identifies a relay. The number is unique in its sender's incarnation.
type RelayID struct {
	From   Incarnation
	Number uint64
}

// Relay is a message about a job that an entry hands to a peer. The first one holds
// the job. The sender repeats it without the job until the job has ended, so that
// the peer ends the job when the sender is lost.
type Relay struct {
	ID             RelayID
	Host           HostName      // Of the sender.
	Job            *Job          // Only of the first message. Its times are not sent.
	Age            time.Duration // Time since the job arrived; only with the job.
	TimeToDeadline time.Duration // Only with the job.
	ValidUntil     time.Duration // End of validity on the receiver's clock, after which it does not take the job.
	Wait           time.Duration // Longest time that the receiver waits for the end of the job.
	Cancel         bool          // The job is to be ended.
}

// RelayState is what the receiver of a relay knows of the job.
type RelayState int

// The states of a relayed job. The numbers are sent to peers.
const (
	RelayUnknown RelayState = iota // The receiver has no such job, and takes none with this ID any more.
	RelayRefused                   // The receiver has not taken the job.
	RelayRunning
	RelayEnded
)

// RelayReply is the answer to a Relay.
type RelayReply struct {
	State   RelayState
	Outcome Outcome // Only of an ended job.
}

// RelayMessenger sends relays to peers. The component "messenger" implements it. An
// error that is not ErrNotSent leaves open whether the message has arrived.
type RelayMessenger interface {
	Relay(ctx context.Context, to netip.AddrPort, r Relay) (RelayReply, error)
}

// RelayHandler handles the relays of peers. The component "dispatcher" of an entry
// with targets under lease implements it.
type RelayHandler interface {
	HandleRelay(ctx context.Context, r Relay) (RelayReply, error)
}
