package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	queueLines  = 2048 // Lines that wait to be written.
	syncTimeout = 200 * time.Millisecond
)

// queue writes lines on a goroutine of its own, so that a reader of the log that
// stands still holds up nothing. Lines that find no room are left out, and
// counted in a line of their own.
type queue struct {
	out     io.Writer
	lines   chan []byte
	left    atomic.Int64 // Lines left out since the last word of it.
	flushed chan chan struct{}
	writing conc.WaitGroup // Never waited for: it ends with the process.
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, lines: make(chan []byte, queueLines), flushed: make(chan chan struct{})}
	q.writing.Go(q.write)
	return q
}

// Write queues a copy of the line, and never waits.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.left.Add(1)
	}
	return len(line), nil
}

// Sync waits a short time until what was queued is written.
func (q *queue) Sync() error {
	done := make(chan struct{})
	timer := time.NewTimer(syncTimeout)
	defer timer.Stop()
	select {
	case q.flushed <- done:
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

func (q *queue) write() {
	for {
		select {
		case line := <-q.lines:
			q.writeOne(line)
		case done := <-q.flushed:
			for len(q.lines) > 0 {
				q.writeOne(<-q.lines)
			}
			close(done)
		}
	}
}

// writeOne writes a line. An error has nowhere to be told.
func (q *queue) writeOne(line []byte) {
	_, _ = q.out.Write(line)
	if n := q.left.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.out, "{\"level\":\"warn\",\"logger\":\"logger\",\"msg\":\"lines left out\",\"lines\":%d}\n", n)
	}
}
