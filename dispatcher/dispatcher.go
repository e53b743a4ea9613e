// Package dispatcher runs the control goroutine of an entry. The control
// goroutine owns the decider and all control state; other goroutines
// communicate with it only by typed messages. Worker goroutines send the
// attempts. A worker reports the end of its attempt as a message and then waits
// for the next attempt. A new worker starts only when none is idle, so the
// number of workers is the largest number of attempts that have run at the same
// time.
//
// Messages wait in bounded channels. Ends of attempts are handled before new
// jobs, so that slots are released before more work is admitted.
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

// queueLength is the capacity of each message channel of the control goroutine.
const queueLength = 4096

// Dispatcher is the component that admits jobs and runs them.
type Dispatcher struct {
	log      *zap.Logger
	decider  *decider.Decider
	sender   medlargw.Sender
	registry metrics.Registry
	observer medlargw.JobObserver // Nil if there is none.

	messages    chan message
	attemptEnds chan endMessage
	work        chan workItem // Unbuffered, so that only an idle worker receives.
	stopping    chan struct{}
	done        chan struct{}
	goroutines  conc.WaitGroup
	lastID      atomic.Uint64

	// Owned by the control goroutine.
	waiters  map[medlargw.JobID]chan<- medlargw.Outcome
	cancels  map[medlargw.AttemptID]context.CancelFunc
	timer    *time.Timer
	draining bool
	lending  *lending // Nil without peers to share with.
}

var (
	_ medlargw.Component = (*Dispatcher)(nil)
	_ medlargw.Submitter = (*Dispatcher)(nil)
)

// message is an event from another goroutine, applied by the control goroutine.
type message interface {
	apply(d *Dispatcher, now time.Time)
}

type submitMessage struct {
	job   *medlargw.Job
	reply chan<- medlargw.Outcome
}

type cancelMessage struct{ job medlargw.JobID }

type configMessage struct{ cfg *medlargw.Config }

type allocationsMessage struct{ all []medlargw.Allocation }

type endMessage struct {
	attempt *medlargw.Attempt
	end     medlargw.AttemptEnd
}

// New returns a dispatcher that is not started.
func New(
	log *zap.Logger,
	dec *decider.Decider,
	sender medlargw.Sender,
	registry metrics.Registry,
	observer medlargw.JobObserver,
) *Dispatcher {
	return &Dispatcher{
		log:         log.Named("dispatcher"),
		decider:     dec,
		sender:      sender,
		registry:    registry,
		observer:    observer,
		messages:    make(chan message, queueLength),
		attemptEnds: make(chan endMessage, queueLength),
		work:        make(chan workItem),
		stopping:    make(chan struct{}),
		done:        make(chan struct{}),
		waiters:     map[medlargw.JobID]chan<- medlargw.Outcome{},
		cancels:     map[medlargw.AttemptID]context.CancelFunc{},
	}
}

// Name returns "dispatcher".
func (*Dispatcher) Name() string { return "dispatcher" }

// Start starts the control goroutine.
func (d *Dispatcher) Start(context.Context) error {
	if err := d.lending.findMessenger(); err != nil {
		return err
	}
	d.timer = time.NewTimer(time.Hour)
	d.goroutines.Go(d.run)
	return nil
}

// Stop refuses new jobs, waits for the admitted jobs to end and stops the
// control goroutine.
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

// Submit runs the job and returns its outcome. When the context ends before the
// job, the job is cancelled and the outcome says so.
func (d *Dispatcher) Submit(ctx context.Context, job *medlargw.Job) medlargw.Outcome {
	job.ID = medlargw.JobID(d.lastID.Add(1))
	reply := make(chan medlargw.Outcome, 1)
	if !d.post(submitMessage{job: job, reply: reply}) {
		return medlargw.RefusedOutcome(job, medlargw.CodeStopping, "the entry is stopping", time.Second)
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

// await returns the outcome of a job that was cancelled, or that was submitted
// when the control goroutine ended. The control goroutine replies to every
// submission that it handles before it ends, so a job without a reply was never
// started.
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
		return medlargw.RefusedOutcome(job, medlargw.CodeStopping, "the entry has stopped", 0)
	}
}

// Configure applies a configuration.
func (d *Dispatcher) Configure(cfg *medlargw.Config) { d.post(configMessage{cfg: cfg}) }

// SetAllocations replaces the slots that this entry may use.
func (d *Dispatcher) SetAllocations(all []medlargw.Allocation) { d.post(allocationsMessage{all: all}) }

// post sends a message to the control goroutine. It returns false if that
// goroutine has ended.
func (d *Dispatcher) post(m message) bool {
	select {
	case d.messages <- m:
		return true
	case <-d.done:
		return false
	}
}
