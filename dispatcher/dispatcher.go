// Package dispatcher runs the control goroutine of an entry. It owns the
// decider and all control state; other goroutines reach it by typed messages
// only. Each attempt is carried by a traffic goroutine, which reports the end as
// a message and then waits for the next; there are as many as attempts have run
// side by side.
//
// The messages wait in a bounded channel. Ends of attempts are taken before new
// jobs, so that slots are free again before more work is admitted.
package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/decider"
)

// queueLength is the number of messages that wait for the control goroutine.
const queueLength = 4096

// Dispatcher is the part that admits jobs and has them run.
type Dispatcher struct {
	log      *zap.Logger
	decider  *decider.Decider
	sender   medlargw.Sender
	registry metrics.Registry
	observer medlargw.Observer // Nil observes nothing.

	messages chan message
	ends     chan endMessage
	orders   chan order // Unbuffered: taken only by an idle traffic goroutine.
	stopping chan struct{}
	done     chan struct{}
	traffic  conc.WaitGroup
	lastID   atomic.Uint64

	// Owned by the control goroutine.
	waiters map[medlargw.JobID]chan<- medlargw.Outcome
	cancels map[medlargw.Tag]context.CancelFunc
	timer   *time.Timer
	drained bool
	lending *lending // Nil shares nothing.
}

var (
	_ medlargw.Part      = (*Dispatcher)(nil)
	_ medlargw.Submitter = (*Dispatcher)(nil)
)

// message is what other goroutines send to the control goroutine.
type message interface {
	apply(d *Dispatcher, now time.Time)
}

type submitMessage struct {
	job   *medlargw.Job
	reply chan<- medlargw.Outcome
}

type cancelMessage struct{ job medlargw.JobID }

type configMessage struct{ cfg *medlargw.Config }

type capacityMessage struct{ all []medlargw.Capacity }

type endMessage struct {
	attempt *medlargw.Attempt
	end     medlargw.AttemptEnd
}

// New returns a dispatcher that has not started.
func New(
	log *zap.Logger,
	dec *decider.Decider,
	sender medlargw.Sender,
	registry metrics.Registry,
	observer medlargw.Observer,
) *Dispatcher {
	return &Dispatcher{
		log:      log.Named("dispatcher"),
		decider:  dec,
		sender:   sender,
		registry: registry,
		observer: observer,
		messages: make(chan message, queueLength),
		ends:     make(chan endMessage, queueLength),
		orders:   make(chan order),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
		waiters:  map[medlargw.JobID]chan<- medlargw.Outcome{},
		cancels:  map[medlargw.Tag]context.CancelFunc{},
	}
}

// Name returns "dispatcher".
func (*Dispatcher) Name() string { return "dispatcher" }

// Start starts the control goroutine.
func (d *Dispatcher) Start(context.Context) error {
	if err := d.lending.find(); err != nil {
		return err
	}
	d.timer = time.NewTimer(time.Hour)
	d.traffic.Go(d.run)
	return nil
}

// Stop lets the accepted jobs end and then stops the control goroutine.
func (d *Dispatcher) Stop(ctx context.Context) error {
	close(d.stopping)
	select {
	case <-d.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done is closed when the control goroutine has ended.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// Submit runs the job and returns its outcome. When the context ends, the job
// is cancelled and the outcome says so.
func (d *Dispatcher) Submit(ctx context.Context, job *medlargw.Job) medlargw.Outcome {
	job.ID = medlargw.JobID(d.lastID.Add(1))
	reply := make(chan medlargw.Outcome, 1)
	if !d.post(submitMessage{job: job, reply: reply}) {
		return medlargw.Refusal(job, medlargw.CodeStopping, "the entry is stopping", time.Second)
	}
	select {
	case outcome := <-reply:
		return outcome
	case <-d.done:
	case <-ctx.Done():
		d.post(cancelMessage{job: job.ID})
	}
	return d.await(job, reply)
}

// await returns the outcome of a job that was cancelled or that came after the
// control goroutine had ended. That goroutine answers every message that it
// takes before it ends, so without an answer nothing of the job was started.
func (d *Dispatcher) await(job *medlargw.Job, reply <-chan medlargw.Outcome) medlargw.Outcome {
	select {
	case outcome := <-reply:
		return outcome
	case <-d.done:
	}
	select {
	case outcome := <-reply:
		return outcome
	default:
		return medlargw.Refusal(job, medlargw.CodeStopping, "the entry has stopped", 0)
	}
}

// Configure puts a configuration into force.
func (d *Dispatcher) Configure(cfg *medlargw.Config) { d.post(configMessage{cfg: cfg}) }

// SetCapacity replaces the slots that this entry may use.
func (d *Dispatcher) SetCapacity(all []medlargw.Capacity) { d.post(capacityMessage{all: all}) }

// post hands a message over; it returns false when the control goroutine has
// ended.
func (d *Dispatcher) post(m message) bool {
	select {
	case d.messages <- m:
		return true
	case <-d.done:
		return false
	}
}
