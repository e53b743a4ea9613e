// Package encoder maps domain types to the JSON of the caller API and back.
//
// The wire types carry the tags; nothing outside this package knows them.
package encoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"medlargw.example/medlargw"
)

// Encoder maps the caller API. Its limits are those of the settings.
type Encoder struct {
	intake medlargw.IntakeSettings
}

// New returns an encoder with the given limits.
func New(intake medlargw.IntakeSettings) *Encoder { return &Encoder{intake: intake} }

type submissionWire struct {
	Service    string     `json:"service"`
	Ticket     string     `json:"ticket"`
	Idempotent bool       `json:"idempotent"`
	Deadline   string     `json:"deadline"`
	Runtime    string     `json:"runtime"`
	Size       int64      `json:"size"`
	Tasks      []taskWire `json:"tasks"`
}

type taskWire struct {
	ID      string          `json:"id"`
	Payload json.RawMessage `json:"payload"`
}

type problemWire struct {
	Type   string     `json:"type"`
	Title  string     `json:"title"`
	Status int        `json:"status"`
	Detail string     `json:"detail"`
	Code   string     `json:"code"`
	NotRun bool       `json:"notrun"`
	Retry  int64      `json:"retry,omitempty"` // Milliseconds.
	Tasks  []fateWire `json:"tasks,omitempty"`
}

type fateWire struct {
	ID   string `json:"id"`
	Fate string `json:"fate"`
}

// DecodeSubmission reads a submission and checks it against the limits.
func (e *Encoder) DecodeSubmission(body []byte) (*medlargw.Submission, *medlargw.Refused) {
	var wire submissionWire
	if err := decodeStrictly(body, &wire); err != nil {
		return nil, refused(medlargw.CodeBadRequest, "the body is no submission: %v", err)
	}
	s := &medlargw.Submission{
		Service:    medlargw.ServiceName(wire.Service),
		Ticket:     wire.Ticket,
		Idempotent: wire.Idempotent,
		Size:       wire.Size,
	}
	var err *medlargw.Refused
	if s.Deadline, err = duration("deadline", wire.Deadline); err != nil {
		return nil, err
	}
	if s.Runtime, err = duration("runtime", wire.Runtime); err != nil {
		return nil, err
	}
	if s.Deadline == 0 || s.Deadline > e.intake.Deadline {
		s.Deadline = e.intake.Deadline
	}
	if wire.Size < 0 {
		return nil, refused(medlargw.CodeBadRequest, "size: got %d, want at least 0", wire.Size)
	}
	s.Tasks, err = e.tasks(wire.Tasks)
	return s, err
}

// errMore says that something follows the value.
var errMore = errors.New("more than one value")

// decodeStrictly decodes one value. An unknown name is an error: a misspelt
// "ticket" must not lose its promise in silence.
func decodeStrictly(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errMore
	}
	return nil
}

func (e *Encoder) tasks(wire []taskWire) ([]medlargw.Task, *medlargw.Refused) {
	if len(wire) == 0 {
		return nil, refused(medlargw.CodeBadRequest, "tasks: got none, want at least one")
	}
	if len(wire) > e.intake.Tasks {
		return nil, refused(medlargw.CodeTooManyTasks, "tasks: got %d, want at most %d", len(wire), e.intake.Tasks)
	}
	seen := make(map[string]bool, len(wire))
	tasks := make([]medlargw.Task, len(wire))
	for i, t := range wire {
		if t.ID == "" {
			return nil, refused(medlargw.CodeBadRequest, "tasks[%d].id: missing", i)
		}
		if seen[t.ID] {
			return nil, refused(medlargw.CodeDuplicateTask, "tasks[%d].id: %q is given twice", i, t.ID)
		}
		seen[t.ID] = true
		tasks[i] = medlargw.Task{ID: t.ID, Payload: t.Payload}
	}
	return tasks, nil
}

func duration(name, text string) (time.Duration, *medlargw.Refused) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, refused(medlargw.CodeBadRequest, "%s: got %q, want a time such as \"2s\"", name, text)
	}
	return d, nil
}

func refused(code medlargw.Code, format string, args ...any) *medlargw.Refused {
	return &medlargw.Refused{Code: code, Message: fmt.Sprintf(format, args...)}
}

// EncodeOutcome returns the status and the body of a job's end.
func (e *Encoder) EncodeOutcome(o *medlargw.Outcome) (int, []byte) {
	if !o.Complete {
		return encodeProblem(problemOf(o))
	}
	return http.StatusOK, encodeAnswer(o.Tasks)
}

// EncodeRefused returns the status and the body of a request that can't be
// served. Nothing of it has run.
func (e *Encoder) EncodeRefused(r *medlargw.Refused) (int, []byte) {
	return encodeProblem(&problemWire{
		Code:   string(r.Code),
		Detail: r.Message,
		NotRun: true,
		Retry:  r.RetryAfter.Milliseconds(),
	})
}

// EncodeDoubt returns the status and the body of a request that is not run
// itself, while an earlier one with the same ticket may have been.
func (e *Encoder) EncodeDoubt(r *medlargw.Refused) (int, []byte) {
	return encodeProblem(&problemWire{
		Code:   string(r.Code),
		Detail: r.Message,
		Retry:  r.RetryAfter.Milliseconds(),
	})
}

func problemOf(o *medlargw.Outcome) *problemWire {
	wire := &problemWire{
		Code:   string(o.Code),
		Detail: o.Message,
		NotRun: o.NotRun(),
		Retry:  o.RetryAfter.Milliseconds(),
		Tasks:  make([]fateWire, len(o.Tasks)),
	}
	for i := range o.Tasks {
		wire.Tasks[i] = fateWire{ID: o.Tasks[i].ID, Fate: o.Tasks[i].Fate.String()}
	}
	return wire
}

func encodeProblem(wire *problemWire) (int, []byte) {
	wire.Status = statusOf(medlargw.Code(wire.Code))
	wire.Type = "urn:medlargw:" + wire.Code
	wire.Title = http.StatusText(wire.Status)
	if wire.Status == statusClientClosed {
		wire.Title = "Client Closed Request"
	}
	return wire.Status, mustMarshal(wire)
}

// mustMarshal panics on values that JSON can't express; the wire types hold
// none.
func mustMarshal(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic("marshal wire type: " + err.Error())
	}
	return body
}
