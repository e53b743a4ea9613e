// Package sender sends attempts to targets over HTTP.
//
// One attempt is one POST request. It is never sent twice: the transport can't
// rewind the body, no client is used that would follow redirects, and the
// request has no idempotency key, which would let the transport retry it. An
// attempt counts as not started only if no connection was made, if nothing was
// written, or if the target reports it as not started.
package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlargw.example/medlargw"
)

// The path and headers of the target protocol, as docs/target-protocol.md
// describes them.
const (
	tasksPath        = "/v1/tasks"
	headerAttempt    = "Medlargw-Attempt"
	headerService    = "Medlargw-Service"
	headerLease      = "Medlargw-Lease"       // Milliseconds.
	headerDigest     = "Medlargw-Digest"      // XXH64 of the body, hexadecimal.
	headerNotStarted = "Medlargw-Not-Started" // The reason: "busy" or "leaving".
)

// Sender is the component that implements medlargw.Sender.
type Sender struct {
	task      medlargw.TaskSettings
	zone      medlargw.ZoneName
	transport atomic.Pointer[http.Transport]
	done      chan struct{}
}

var (
	_ medlargw.Component       = (*Sender)(nil)
	_ medlargw.Sender          = (*Sender)(nil)
	_ medlargw.MembersObserver = (*Sender)(nil)
)

// New returns a sender for an entry in the given zone.
func New(task medlargw.TaskSettings, zone medlargw.ZoneName) *Sender {
	s := &Sender{task: task, zone: zone, done: make(chan struct{})}
	s.transport.Store(newTransport(&task, task.Conns))
	return s
}

// Name returns "sender".
func (*Sender) Name() string { return "sender" }

// Start does nothing: connections are opened on demand.
func (*Sender) Start(context.Context) error { return nil }

// Stop closes the idle connections. No attempt may be running.
func (s *Sender) Stop(context.Context) error {
	defer close(s.done)
	s.transport.Load().CloseIdleConnections()
	return nil
}

// Done returns a channel that is closed when the connections are closed.
func (s *Sender) Done() <-chan struct{} { return s.done }

// requestProgress records the progress of a request. The transport updates it
// from its own goroutines.
type requestProgress struct {
	wrote       atomic.Bool
	loanExpired atomic.Bool // The loan had expired when the connection was ready.
}

func (p *requestProgress) trace(a *medlargw.Attempt) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			// The loan may have expired during the wait for a connection.
			// Nothing has been written yet, and closing the connection keeps
			// it so.
			if loanExpired(a.SlotExpiresAt) {
				p.loanExpired.Store(true)
				_ = info.Conn.Close()
			}
		},
		WroteHeaderField: func(string, []string) { p.wrote.Store(true) },
	}
}

// loanExpired reports whether the right to use the slot has ended. A zero time
// never expires.
func loanExpired(slotExpiresAt time.Time) bool {
	return !slotExpiresAt.IsZero() && time.Now().After(slotExpiresAt)
}

// Send sends the attempt and returns its end.
func (s *Sender) Send(ctx context.Context, a *medlargw.Attempt) medlargw.AttemptEnd {
	startedAt := time.Now()
	if loanExpired(a.SlotExpiresAt) {
		return medlargw.AttemptEnd{Kind: medlargw.EndNotStarted, Reason: medlargw.ReasonLoanExpired}
	}
	end := s.roundTrip(ctx, a)
	end.Elapsed = time.Since(startedAt)
	return end
}

func (s *Sender) roundTrip(ctx context.Context, a *medlargw.Attempt) medlargw.AttemptEnd {
	var p requestProgress
	req := newRequest(httptrace.WithClientTrace(ctx, p.trace(a)), a)
	// RoundTrip follows no redirects: a redirect is an answer like any other.
	resp, err := s.transport.Load().RoundTrip(req)
	if err != nil {
		return endOfError(ctx, &p, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return s.endOfResponse(ctx, a, resp)
}

// onlyReader hides all methods of the payload's reader except Read, so that the
// transport can't rewind it.
type onlyReader struct{ io.Reader }

// jsonContentType is the value of the Content-Type header. All requests share
// it, so it must not be modified.
var jsonContentType = []string{"application/json"}

// newRequest returns the request for an attempt. It sets the URL and the header
// map directly, because parsing the URL and canonicalizing the header names
// would cost more than the rest of the function.
func newRequest(ctx context.Context, a *medlargw.Attempt) *http.Request {
	payload := a.Task().Payload
	values := [...]string{
		string(a.ID),
		string(a.Job.Service),
		strconv.FormatInt(a.MaxRunTime.Milliseconds(), 10),
		digest(payload),
	}
	req := &http.Request{
		Method:     http.MethodPost,
		URL:        &url.URL{Scheme: "http", Host: a.Addr.String(), Path: tasksPath},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header: http.Header{
			"Content-Type": jsonContentType,
			headerAttempt:  values[0:1:1],
			headerService:  values[1:2:2],
			headerLease:    values[2:3:3],
			headerDigest:   values[3:4:4],
		},
		ContentLength: int64(len(payload)),
	}
	if len(payload) > 0 {
		req.Body = io.NopCloser(onlyReader{bytes.NewReader(payload)})
	}
	return req.WithContext(ctx)
}

func digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// endOfError returns the end of an attempt that got no response.
func endOfError(ctx context.Context, p *requestProgress, err error) medlargw.AttemptEnd {
	end := medlargw.AttemptEnd{Kind: medlargw.EndLost, Reason: medlargw.ReasonTruncated, Message: err.Error()}
	switch {
	case p.loanExpired.Load():
		return medlargw.AttemptEnd{Kind: medlargw.EndNotStarted, Reason: medlargw.ReasonLoanExpired}
	case !p.wrote.Load():
		end.Kind = medlargw.EndNotStarted
		end.Reason = medlargw.ReasonUnreachable
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		end.Reason = medlargw.ReasonTimeout
	case ctx.Err() != nil:
		end.Reason = medlargw.ReasonCancelled
	}
	return end
}

// endOfResponse returns the end of an attempt from the response of the target.
func (s *Sender) endOfResponse(ctx context.Context, a *medlargw.Attempt, resp *http.Response) medlargw.AttemptEnd {
	if got := resp.Header.Get(headerAttempt); got != string(a.ID) {
		return lostEnd(medlargw.ReasonWrongAttempt, fmt.Sprintf("got the answer to attempt %q, want %q", got, a.ID))
	}
	if reason := resp.Header.Get(headerNotStarted); reason != "" {
		return medlargw.AttemptEnd{Kind: medlargw.EndNotStarted, Reason: notStartedReason(reason)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.task.Answer+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return lostEnd(medlargw.ReasonCancelled, err.Error())
	case err != nil:
		return lostEnd(medlargw.ReasonTruncated, err.Error())
	case int64(len(body)) > s.task.Answer:
		return lostEnd(medlargw.ReasonTooLarge, fmt.Sprintf("got more than %d bytes", s.task.Answer))
	case resp.Header.Get(headerDigest) != digest(body):
		return lostEnd(medlargw.ReasonBadDigest, "the answer's digest is wrong")
	}
	return endOfStatus(resp.StatusCode, body)
}

// notStartedReason returns the reason that a target gives for not starting the
// attempt. Reasons are part of metric names, so unknown ones are replaced by
// ReasonProtocol.
func notStartedReason(text string) medlargw.EndReason {
	switch reason := medlargw.EndReason(strings.ToLower(text)); reason {
	case medlargw.ReasonBusy, medlargw.ReasonDraining:
		return reason
	default:
		return medlargw.ReasonProtocol
	}
}

func lostEnd(reason medlargw.EndReason, message string) medlargw.AttemptEnd {
	return medlargw.AttemptEnd{Kind: medlargw.EndLost, Reason: reason, Message: message}
}

// maxMessageBytes limits the text of a failure that is passed on.
const maxMessageBytes = 256

// endOfStatus returns the end of an attempt from a complete response with the
// right attempt header and digest.
func endOfStatus(status int, body []byte) medlargw.AttemptEnd {
	switch {
	case status == http.StatusOK && !json.Valid(body):
		return medlargw.AttemptEnd{Kind: medlargw.EndFailed, Reason: medlargw.ReasonProtocol, Message: "the answer is no JSON"}
	case status == http.StatusOK:
		return medlargw.AttemptEnd{Kind: medlargw.EndSucceeded, Body: body}
	case status >= http.StatusBadRequest:
		message := string(body[:min(len(body), maxMessageBytes)])
		return medlargw.AttemptEnd{Kind: medlargw.EndFailed, Message: message}
	}
	return lostEnd(medlargw.ReasonProtocol, fmt.Sprintf("got status %d, want 200 or an error", status))
}
