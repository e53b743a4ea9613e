package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	queueCapacity = 2048 // Lines.
	syncTimeout   = 200 * time.Millisecond
)

// queue writes lines in its own goroutine, so that a blocked reader of the log
// doesn't block the process. Lines that arrive while the queue is full are
// dropped, and a log record reports their number.
type queue struct {
	out           io.Writer
	lines         chan []byte
	dropped       atomic.Int64       // Lines dropped since the last report.
	flushRequests chan chan struct{} // Each sent channel is closed after the flush.
	writer        conc.WaitGroup     // Never waited for; it runs until the process exits.
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, lines: make(chan []byte, queueCapacity), flushRequests: make(chan chan struct{})}
	q.writer.Go(q.run)
	return q
}

// Write queues a copy of the line, or drops it if the queue is full. It never
// blocks.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the queued lines are written, for at most syncTimeout.
func (q *queue) Sync() error {
	done := make(chan struct{})
	timer := time.NewTimer(syncTimeout)
	defer timer.Stop()
	select {
	case q.flushRequests <- done:
	case <-timer.C:
		return fmt.Errorf("log not written within %s", syncTimeout)
	}
	select {
	case <-done:
		return nil
	case <-timer.C:
		return fmt.Errorf("log not written within %s", syncTimeout)
	}
}

// run writes lines and serves flush requests; it never returns.
func (q *queue) run() {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case done := <-q.flushRequests:
			for len(q.lines) > 0 {
				q.writeLine(<-q.lines)
			}
			close(done)
		}
	}
}

// writeLine writes a line, and a record of the lines dropped before. Errors are
// ignored, since there is no other place to report them.
func (q *queue) writeLine(line []byte) {
	_, _ = q.out.Write(line)
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.out, "{\"level\":\"warn\",\"logger\":\"logger\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
}
