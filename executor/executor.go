// Package executor implements a simulated target for tests and demonstrations.
// Its tasks only sleep, and it counts the requests that it gets. It is not used
// in production.
//
// The payload of a task holds a number and a run time. The answer repeats the
// number, so that a caller can detect the answer to another task.
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

// maxPayloadBytes is the largest accepted payload of a task.
const maxPayloadBytes = 16 << 20

// Executor is a simulated target.
type Executor struct {
	slots chan struct{}

	mu      sync.Mutex
	starts  map[uint64]int // Number of starts by task number.
	counts  medlargw.TargetCounts
	leaving bool
}

// New returns a target with the given number of slots.
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

// SetDraining makes the target refuse new tasks, or accept them again.
func (e *Executor) SetDraining(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Handler returns the handler of the target protocol and of the counts at
// /counts.
func (e *Executor) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/tasks", e.serveTask)
	router.GET("/counts", e.serveCounts)
	return router
}

func (e *Executor) serveTask(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	var task taskWire
	if err == nil {
		err = json.Unmarshal(body, &task)
	}
	if err != nil || r.Header.Get(headerDigest) != digest(body) {
		e.updateCounts(func(c *medlargw.TargetCounts) { c.Requests++ })
		writeAnswer(w, http.StatusBadRequest, []byte("the payload is no task"))
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

// admit reserves a slot and counts the start. If it can't, it returns the
// reason.
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

// run sleeps for the run time of the task and answers. It stops early when the
// lease expires or the request is cancelled.
func (e *Executor) run(w http.ResponseWriter, r *http.Request, task taskWire) {
	lease, _ := strconv.ParseInt(r.Header.Get(headerLease), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(lease)*time.Millisecond)
	defer cancel()
	timer := time.NewTimer(time.Duration(task.Run) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		e.updateCounts(func(c *medlargw.TargetCounts) { c.Stopped++ })
		writeAnswer(w, http.StatusGatewayTimeout, []byte("the lease has lapsed"))
		return
	}
	body, err := json.Marshal(resultWire{Number: task.Number})
	if err != nil {
		panic("marshal result: " + err.Error())
	}
	e.updateCounts(func(c *medlargw.TargetCounts) { c.Answered++ })
	writeAnswer(w, http.StatusOK, body)
}

func writeAnswer(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set(headerDigest, digest(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
