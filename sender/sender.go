// Package sender carries attempts to targets over HTTP.
//
// One attempt is one POST. It is never sent twice: the body can't be rewound,
// the transport is used without a client, which would follow redirects, and the
// request carries no key that would let the transport try again. An attempt
// counts as not started only if no connection was made, nothing was written, or
// the target says so.
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
	path             = "/v1/tasks"
	headerAttempt    = "Medlargw-Attempt"
	headerService    = "Medlargw-Service"
	headerLease      = "Medlargw-Lease"       // Milliseconds.
	headerDigest     = "Medlargw-Digest"      // XXH64 of the body, hexadecimal.
	headerNotStarted = "Medlargw-Not-Started" // The reason: busy or leaving.
)

// Sender is the part that implements medlargw.Sender.
type Sender struct {
	task      medlargw.TaskSettings
	zone      medlargw.ZoneName
	transport atomic.Pointer[http.Transport]
	done      chan struct{}
}

var (
	_ medlargw.Part            = (*Sender)(nil)
	_ medlargw.Sender          = (*Sender)(nil)
	_ medlargw.MembersObserver = (*Sender)(nil)
)

// New returns the sender of an entry of that zone.
func New(task medlargw.TaskSettings, zone medlargw.ZoneName) *Sender {
	s := &Sender{task: task, zone: zone, done: make(chan struct{})}
	s.transport.Store(newTransport(&task, task.Conns))
	return s
}

// Name returns "sender".
func (*Sender) Name() string { return "sender" }

// Start does nothing: connections are made when they are needed.
func (*Sender) Start(context.Context) error { return nil }

// Stop closes the connections, which no attempt uses any more.
func (s *Sender) Stop(context.Context) error {
	defer close(s.done)
	s.transport.Load().CloseIdleConnections()
	return nil
}

// Done is closed when the connections are closed.
func (s *Sender) Done() <-chan struct{} { return s.done }

// progress records how far a request came. The transport calls from its own
// goroutines.
type progress struct {
	wrote atomic.Bool
	late  atomic.Bool // The loan was over when there was a connection.
}

func (p *progress) trace(a *medlargw.Attempt) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			// The wait for a connection may have outlasted the loan. Nothing has
			// been written yet, and nothing can be any more.
			if over(a.UseUpTo) {
				p.late.Store(true)
				_ = info.Conn.Close()
			}
		},
		WroteHeaderField: func(string, []string) { p.wrote.Store(true) },
	}
}

// over reports whether a slot may not be used any more.
func over(useUpTo time.Time) bool { return !useUpTo.IsZero() && time.Now().After(useUpTo) }

// Send carries the attempt and returns its end.
func (s *Sender) Send(ctx context.Context, a *medlargw.Attempt) medlargw.AttemptEnd {
	began := time.Now()
	if over(a.UseUpTo) {
		return medlargw.AttemptEnd{Kind: medlargw.EndNotStarted, Reason: medlargw.ReasonLoanOver}
	}
	end := s.exchange(ctx, a)
	end.Elapsed = time.Since(began)
	return end
}

func (s *Sender) exchange(ctx context.Context, a *medlargw.Attempt) medlargw.AttemptEnd {
	var p progress
	req := request(httptrace.WithClientTrace(ctx, p.trace(a)), a)
	// A round trip follows no redirect: one is an answer like any other.
	resp, err := s.transport.Load().RoundTrip(req)
	if err != nil {
		return endOfError(ctx, &p, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return s.endOfResponse(ctx, a, resp)
}

// once hides every method of the payload's reader but Read, so that the
// transport can't rewind it.
type once struct{ io.Reader }

// jsonType is the value of Content-Type; nothing changes it.
var jsonType = []string{"application/json"}

// request builds the request from its parts: parsing a URL and looking up the
// form of header names for each attempt would cost more than the rest.
func request(ctx context.Context, a *medlargw.Attempt) *http.Request {
	payload := a.Task().Payload
	values := [...]string{
		string(a.Tag),
		string(a.Job.Service),
		strconv.FormatInt(a.Lease.Milliseconds(), 10),
		digest(payload),
	}
	req := &http.Request{
		Method:     http.MethodPost,
		URL:        &url.URL{Scheme: "http", Host: a.Addr.String(), Path: path},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header: http.Header{
			"Content-Type": jsonType,
			headerAttempt:  values[0:1:1],
			headerService:  values[1:2:2],
			headerLease:    values[2:3:3],
			headerDigest:   values[3:4:4],
		},
		ContentLength: int64(len(payload)),
	}
	if len(payload) > 0 {
		req.Body = io.NopCloser(once{bytes.NewReader(payload)})
	}
	return req.WithContext(ctx)
}

func digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// endOfError returns the end of an attempt without an answer.
func endOfError(ctx context.Context, p *progress, err error) medlargw.AttemptEnd {
	end := medlargw.AttemptEnd{Kind: medlargw.EndLost, Reason: medlargw.ReasonCutShort, Message: err.Error()}
	switch {
	case p.late.Load():
		return medlargw.AttemptEnd{Kind: medlargw.EndNotStarted, Reason: medlargw.ReasonLoanOver}
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

// endOfResponse returns the end that the target's answer tells.
func (s *Sender) endOfResponse(ctx context.Context, a *medlargw.Attempt, resp *http.Response) medlargw.AttemptEnd {
	if got := resp.Header.Get(headerAttempt); got != string(a.Tag) {
		return lost(medlargw.ReasonCrossed, fmt.Sprintf("got the answer to attempt %q, want %q", got, a.Tag))
	}
	if reason := resp.Header.Get(headerNotStarted); reason != "" {
		return medlargw.AttemptEnd{Kind: medlargw.EndNotStarted, Reason: notStartedReason(reason)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.task.Answer+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return lost(medlargw.ReasonCancelled, err.Error())
	case err != nil:
		return lost(medlargw.ReasonCutShort, err.Error())
	case int64(len(body)) > s.task.Answer:
		return lost(medlargw.ReasonTooLarge, fmt.Sprintf("got more than %d bytes", s.task.Answer))
	case resp.Header.Get(headerDigest) != digest(body):
		return lost(medlargw.ReasonBadDigest, "the answer's digest is wrong")
	}
	return endOfStatus(resp.StatusCode, body)
}

// notStartedReason returns the reason that a target names. Metrics are named by
// reasons, so that one of the target's own making must not pass.
func notStartedReason(text string) medlargw.EndReason {
	switch reason := medlargw.EndReason(strings.ToLower(text)); reason {
	case medlargw.ReasonBusy, medlargw.ReasonLeaving:
		return reason
	default:
		return medlargw.ReasonProtocol
	}
}

func lost(reason medlargw.EndReason, message string) medlargw.AttemptEnd {
	return medlargw.AttemptEnd{Kind: medlargw.EndLost, Reason: reason, Message: message}
}

// maxMessage is the number of bytes of a failure's text that is passed on.
const maxMessage = 256

// endOfStatus takes a whole answer with the right tag and digest.
func endOfStatus(status int, body []byte) medlargw.AttemptEnd {
	switch {
	case status == http.StatusOK && !json.Valid(body):
		return medlargw.AttemptEnd{Kind: medlargw.EndFailed, Reason: medlargw.ReasonProtocol, Message: "the answer is no JSON"}
	case status == http.StatusOK:
		return medlargw.AttemptEnd{Kind: medlargw.EndSucceeded, Body: body}
	case status >= http.StatusBadRequest:
		message := string(body[:min(len(body), maxMessage)])
		return medlargw.AttemptEnd{Kind: medlargw.EndFailed, Message: message}
	}
	return lost(medlargw.ReasonProtocol, fmt.Sprintf("got status %d, want 200 or an error", status))
}
