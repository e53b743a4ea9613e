// Package executor is the stand-in for a target: it runs tasks that sleep, and
// counts what it is asked to do. It is never needed in production.
//
// The payload of a task names its number and its run time; the answer repeats
// the number, so that a caller can tell its own answer from another's.
package executor

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"medlargw.example/medlargw"
)

// Headers of the target protocol.
const (
	headerAttempt    = "Medlargw-Attempt"
	headerLease      = "Medlargw-Lease"
	headerDigest     = "Medlargw-Digest"
	headerNotStarted = "Medlargw-Not-Started"
)

// maxPayload is the largest payload that a task may have, in bytes.
const maxPayload = 16 << 20

// Executor is one stand-in target.
type Executor struct {
	slots chan struct{}

	mu      sync.Mutex
	starts  map[uint64]int // Starts by the number of the task.
	counts  medlargw.TargetCounts
	leaving bool
}

// New returns a target with that many slots.
func New(slots int) *Executor {
	return &Executor{slots: make(chan struct{}, slots), starts: map[uint64]int{}}
}

type taskWire struct {
	Number uint64 `json:"number"`
	Run    int64  `json:"run"` // Microseconds.
}

type resultWire struct {
	Number uint64 `json:"number"`
}

// SetLeaving makes the target refuse new tasks, or accept them again.
func (e *Executor) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Handler serves the target protocol, and the counts at /counts.
func (e *Executor) Handler() http.Handler {
	routes := httprouter.New()
	routes.POST("/v1/tasks", e.serveTask)
	routes.GET("/counts", e.serveCounts)
	return routes
}

func (e *Executor) serveTask(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayload))
	var task taskWire
	if err == nil {
		err = json.Unmarshal(body, &task)
	}
	if err != nil || r.Header.Get(headerDigest) != digest(body) {
		e.count(func(c *medlargw.TargetCounts) { c.Requests++ })
		answer(w, http.StatusBadRequest, []byte("the payload is no task"))
		return
	}
	if reason := e.admit(task.Number); reason != "" {
		w.Header().Set(headerNotStarted, reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	e.run(w, r, task)
}

// admit takes a slot and counts the start, or returns why it does not.
func (e *Executor) admit(number uint64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Requests++
	if e.leaving {
		e.counts.NotStarted++
		return "leaving"
	}
	select {
	case e.slots <- struct{}{}:
	default:
		e.counts.NotStarted++
		return "busy"
	}
	e.starts[number]++
	e.counts.Started++
	return ""
}

// run sleeps for the run time of the task, unless its lease lapses or the
// request is cancelled.
func (e *Executor) run(w http.ResponseWriter, r *http.Request, task taskWire) {
	lease, _ := strconv.ParseInt(r.Header.Get(headerLease), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(lease)*time.Millisecond)
	defer cancel()
	timer := time.NewTimer(time.Duration(task.Run) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		e.count(func(c *medlargw.TargetCounts) { c.Stopped++ })
		answer(w, http.StatusGatewayTimeout, []byte("the lease has lapsed"))
		return
	}
	body, err := json.Marshal(resultWire{Number: task.Number})
	if err != nil {
		panic("marshal result: " + err.Error())
	}
	e.count(func(c *medlargw.TargetCounts) { c.Answered++ })
	answer(w, http.StatusOK, body)
}

func answer(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set(headerDigest, digest(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
