package dispatcher

import (
	"context"
	"time"

	"medlargw.example/medlargw"
)

// maxMessagesPerTurn is the number of waiting messages that are handled before
// the actions are carried out.
const maxMessagesPerTurn = 64

// run is the main loop of the control goroutine.
func (d *Dispatcher) run() {
	defer close(d.done)
	defer close(d.work)
	stopping := d.stopping
	for !d.draining || d.decider.Jobs() > 0 || len(d.cancels) > 0 {
		select {
		case e := <-d.attemptEnds:
			e.apply(d, d.currentTime())
		case m := <-d.messages:
			m.apply(d, d.currentTime())
		case <-d.timer.C:
			d.decider.Tick(d.currentTime())
		case <-stopping:
			d.draining = true
			stopping = nil
		}
		d.handlePending()
		d.runLenderIfDue(time.Now())
		d.carryOut()
	}
}

// handlePending handles the messages that already wait, ends of attempts first.
func (d *Dispatcher) handlePending() {
	for range maxMessagesPerTurn {
		select {
		case e := <-d.attemptEnds:
			e.apply(d, time.Now())
			continue
		default:
		}
		select {
		case m := <-d.messages:
			m.apply(d, time.Now())
		default:
			return
		}
	}
}

// carryOut carries out the actions of the decider.
func (d *Dispatcher) carryOut() {
	actions := d.decider.Actions()
	for i := range actions.Starts {
		d.start(actions.Starts[i])
	}
	for _, id := range actions.Stops {
		if cancel := d.cancels[id]; cancel != nil {
			cancel()
		}
	}
	for i := range actions.Finished {
		d.finish(&actions.Finished[i])
	}
	for i := range actions.Leaks {
		d.observeLeak(&actions.Leaks[i])
	}
	if nextTick := d.earliestTick(actions.NextTick); !nextTick.IsZero() {
		d.timer.Reset(time.Until(nextTick))
	}
	actions.Reset()
}

// workItem is an attempt for a worker to send.
type workItem struct {
	ctx     context.Context
	cancel  context.CancelFunc
	attempt *medlargw.Attempt
}

// start passes the attempt to an idle worker, whose stack has already grown, or
// to a new worker if none is idle.
func (d *Dispatcher) start(a medlargw.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), a.MaxRunTime)
	d.cancels[a.ID] = cancel
	d.lending.recordStart(&a)
	item := workItem{ctx: ctx, cancel: cancel, attempt: &a}
	select {
	case d.work <- item:
	default:
		d.goroutines.Go(func() { d.runWorker(item) })
	}
}

// runWorker sends attempts until the control goroutine has ended.
func (d *Dispatcher) runWorker(item workItem) {
	for ok := true; ok; item, ok = <-d.work {
		end := d.sender.Send(item.ctx, item.attempt)
		item.cancel()
		d.attemptEnds <- endMessage{attempt: item.attempt, end: end}
	}
}

func (d *Dispatcher) finish(f *medlargw.FinishedJob) {
	d.observe(f, time.Now())
	reply := d.waiters[f.Job.ID]
	delete(d.waiters, f.Job.ID)
	reply <- f.Outcome
}

func (m submitMessage) apply(d *Dispatcher, now time.Time) {
	d.waiters[m.job.ID] = m.reply
	if d.draining {
		outcome := medlargw.RefusedOutcome(m.job, medlargw.CodeStopping, "the entry is stopping", time.Second)
		d.finish(&medlargw.FinishedJob{Job: m.job, Outcome: outcome})
		return
	}
	d.decider.Submit(now, m.job)
}

func (m cancelMessage) apply(d *Dispatcher, now time.Time) { d.decider.Cancel(now, m.job) }

func (m configMessage) apply(d *Dispatcher, now time.Time) {
	if d.lending != nil {
		// The shares precede the limits, so that no team starts with its whole limit.
		d.lending.configure(now, m.cfg)
		d.setEvacuated(now, m.cfg)
		d.runLender(now)
	}
	d.decider.Configure(now, m.cfg)
}

func (m allocationsMessage) apply(d *Dispatcher, now time.Time) { d.decider.SetAllocations(now, m.all) }

func (m endMessage) apply(d *Dispatcher, now time.Time) {
	delete(d.cancels, m.attempt.ID)
	d.observeEnd(&m.end)
	d.lending.recordEnd(m.attempt.ID)
	d.decider.AttemptEnded(now, m.attempt, &m.end)
}
