// Package encoder converts between the domain types and the JSON of the caller
// API.
//
// The JSON tags are on wire types that are private to this package.
package encoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"medlargw.example/medlargw"
)

// Encoder encodes and decodes the messages of the caller API. It checks
// submissions against the limits of the settings.
type Encoder struct {
	intake medlargw.IntakeSettings
}

// New returns an encoder with the given limits.
func New(intake medlargw.IntakeSettings) *Encoder { return &Encoder{intake: intake} }

type submissionWire struct {
	Service    string    `json:"service"`
	Ticket     string    `json:"ticket"`
	Idempotent bool      `json:"idempotent"`
	Deadline   string    `json:"deadline"`
	Runtime    string    `json:"runtime"`
	Size       int64     `json:"size"`
	Tasks      tasksWire `json:"tasks"`
}

// maxDecodedTasks is the number of tasks from which a submission isn't decoded further. No
// settings allow as many.
const maxDecodedTasks = 1001

// tasksWire are the tasks of a submission, up to maxDecodedTasks: a task in the body is much
// shorter than a taskWire.
type tasksWire []taskWire

// UnmarshalJSON decodes a list of tasks. Unknown fields are errors.
func (w *tasksWire) UnmarshalJSON(raw []byte) error {
	*w = nil
	if string(raw) == "null" {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if token, err := dec.Token(); err != nil || token != json.Delim('[') {
		return fmt.Errorf("tasks: got %.20q, want a list", raw)
	}
	for dec.More() && len(*w) < maxDecodedTasks {
		var task taskWire
		if err := dec.Decode(&task); err != nil {
			return err
		}
		*w = append(*w, task)
	}
	return nil
}

type taskWire struct {
	ID      string          `json:"id"`
	Payload json.RawMessage `json:"payload"`
}

type problemWire struct {
	Type   string          `json:"type"`
	Title  string          `json:"title"`
	Status int             `json:"status"`
	Detail string          `json:"detail"`
	Code   string          `json:"code"`
	NotRun bool            `json:"notrun"`
	Retry  int64           `json:"retry,omitempty"` // Milliseconds.
	Tasks  []executionWire `json:"tasks,omitempty"`
}

type executionWire struct {
	ID        string `json:"id"`
	Execution string `json:"fate"`
}

// DecodeSubmission decodes a submission and checks it against the limits.
func (e *Encoder) DecodeSubmission(body []byte) (*medlargw.Submission, *medlargw.RefusedError) {
	var wire submissionWire
	if err := decodeStrictly(body, &wire); err != nil {
		return nil, newRefused(medlargw.CodeBadRequest, "the body is no submission: %v", err)
	}
	s := &medlargw.Submission{
		Service:    medlargw.ServiceName(wire.Service),
		Ticket:     wire.Ticket,
		Idempotent: wire.Idempotent,
		TaskMemory: wire.Size,
	}
	var err *medlargw.RefusedError
	if s.Deadline, err = parseDuration("deadline", wire.Deadline); err != nil {
		return nil, err
	}
	if s.EstimatedRuntime, err = parseDuration("runtime", wire.Runtime); err != nil {
		return nil, err
	}
	if s.Deadline == 0 || s.Deadline > e.intake.Deadline {
		s.Deadline = e.intake.Deadline
	}
	if wire.Size < 0 {
		return nil, newRefused(medlargw.CodeBadRequest, "size: got %d, want at least 0", wire.Size)
	}
	s.Tasks, err = e.decodeTasks(wire.Tasks)
	return s, err
}

// errTrailingData is the error for a body with data after the JSON value.
var errTrailingData = errors.New("more than one value")

// decodeStrictly decodes one JSON value. Unknown fields are errors: otherwise a
// submission with a misspelt "ticket" would silently run without the protection
// against repeated runs.
func decodeStrictly(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}

func (e *Encoder) decodeTasks(wire tasksWire) ([]medlargw.Task, *medlargw.RefusedError) {
	if len(wire) == 0 {
		return nil, newRefused(medlargw.CodeBadRequest, "tasks: got none, want at least one")
	}
	if len(wire) > e.intake.Tasks {
		return nil, newRefused(medlargw.CodeTooManyTasks, "tasks: got %s, want at most %d", countOf(wire), e.intake.Tasks)
	}
	seen := make(map[string]bool, len(wire))
	tasks := make([]medlargw.Task, len(wire))
	for i, t := range wire {
		if t.ID == "" {
			return nil, newRefused(medlargw.CodeBadRequest, "tasks[%d].id: missing", i)
		}
		if seen[t.ID] {
			return nil, newRefused(medlargw.CodeDuplicateTask, "tasks[%d].id: %q is given twice", i, t.ID)
		}
		seen[t.ID] = true
		tasks[i] = medlargw.Task{ID: t.ID, Payload: t.Payload}
	}
	return tasks, nil
}

// countOf returns the number of tasks, as far as they were decoded.
func countOf(wire tasksWire) string {
	if len(wire) < maxDecodedTasks {
		return strconv.Itoa(len(wire))
	}
	return fmt.Sprintf("%d or more", maxDecodedTasks)
}

func parseDuration(name, text string) (time.Duration, *medlargw.RefusedError) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, newRefused(medlargw.CodeBadRequest, "%s: got %q, want a time such as \"2s\"", name, text)
	}
	return d, nil
}

func newRefused(code medlargw.Code, format string, args ...any) *medlargw.RefusedError {
	return &medlargw.RefusedError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// EncodeOutcome returns the status and the body of the answer for a job.
func (e *Encoder) EncodeOutcome(o *medlargw.Outcome) (int, []byte) {
	if !o.Complete {
		return encodeProblem(newProblem(o))
	}
	return http.StatusOK, encodeAnswer(o.Tasks)
}

// EncodeRefused returns the status and the body of the answer to a refused
// request, of which nothing has run.
func (e *Encoder) EncodeRefused(r *medlargw.RefusedError) (int, []byte) {
	return encodeProblem(&problemWire{
		Code:   string(r.Code),
		Detail: r.Message,
		NotRun: true,
		Retry:  r.RetryAfter.Milliseconds(),
	})
}

// EncodeUncertain returns the status and the body of the answer to a request
// that is not run itself, while an earlier request with the same ticket may
// have been.
func (e *Encoder) EncodeUncertain(r *medlargw.RefusedError) (int, []byte) {
	return encodeProblem(&problemWire{
		Code:   string(r.Code),
		Detail: r.Message,
		Retry:  r.RetryAfter.Milliseconds(),
	})
}

func newProblem(o *medlargw.Outcome) *problemWire {
	wire := &problemWire{
		Code:   string(o.Code),
		Detail: o.Message,
		NotRun: o.NotRun(),
		Retry:  o.RetryAfter.Milliseconds(),
		Tasks:  make([]executionWire, len(o.Tasks)),
	}
	for i := range o.Tasks {
		wire.Tasks[i] = executionWire{ID: o.Tasks[i].ID, Execution: o.Tasks[i].Execution.String()}
	}
	return wire
}

func encodeProblem(wire *problemWire) (int, []byte) {
	wire.Status = statusOf(medlargw.Code(wire.Code))
	wire.Type = "urn:medlargw:" + wire.Code
	wire.Title = http.StatusText(wire.Status)
	if wire.Status == statusClientClosedRequest {
		wire.Title = "Client Closed Request"
	}
	return wire.Status, mustMarshal(wire)
}

// mustMarshal encodes a wire type as JSON. It panics on an error, which the wire
// types can't cause.
func mustMarshal(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic("marshal wire type: " + err.Error())
	}
	return body
}
