package dispatcher

import (
	"context"
	"time"

	"medlargw.example/medlargw"
)

// maxTurn is the number of messages that are handled before the actions are
// carried out.
const maxTurn = 64

// run is the control goroutine.
func (d *Dispatcher) run() {
	defer close(d.done)
	defer close(d.orders)
	stopping := d.stopping
	for !d.drained || d.decider.Jobs() > 0 || len(d.cancels) > 0 {
		select {
		case e := <-d.ends:
			e.apply(d, d.clock())
		case m := <-d.messages:
			m.apply(d, d.clock())
		case <-d.timer.C:
			d.decider.Tick(d.clock())
		case <-stopping:
			d.drained = true
			stopping = nil
		}
		d.handleMore()
		d.lend(time.Now())
		d.act()
	}
}

// handleMore handles messages that already wait, the ends of attempts first.
func (d *Dispatcher) handleMore() {
	for range maxTurn {
		select {
		case e := <-d.ends:
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

// act carries out what the decider decided.
func (d *Dispatcher) act() {
	actions := d.decider.Actions()
	for i := range actions.Starts {
		d.start(actions.Starts[i])
	}
	for _, tag := range actions.Stops {
		if cancel := d.cancels[tag]; cancel != nil {
			cancel()
		}
	}
	for i := range actions.Finishes {
		d.finish(&actions.Finishes[i])
	}
	for i := range actions.Leaks {
		d.observeLeak(&actions.Leaks[i])
	}
	if wake := d.nextWake(actions.Wake); !wake.IsZero() {
		d.timer.Reset(time.Until(wake))
	}
	actions.Reset()
}

// order is an attempt on its way to a traffic goroutine.
type order struct {
	ctx     context.Context
	cancel  context.CancelFunc
	attempt *medlargw.Attempt
}

// start has a traffic goroutine carry the attempt: an idle one if there is, so
// that its stack has grown already, and a new one otherwise.
func (d *Dispatcher) start(a medlargw.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Lease)
	d.cancels[a.Tag] = cancel
	d.lending.noteStart(&a)
	o := order{ctx: ctx, cancel: cancel, attempt: &a}
	select {
	case d.orders <- o:
	default:
		d.traffic.Go(func() { d.carry(o) })
	}
}

// carry carries attempts until the control goroutine has ended.
func (d *Dispatcher) carry(o order) {
	for ok := true; ok; o, ok = <-d.orders {
		end := d.sender.Send(o.ctx, o.attempt)
		o.cancel()
		d.ends <- endMessage{attempt: o.attempt, end: end}
	}
}

func (d *Dispatcher) finish(f *medlargw.Finish) {
	d.observe(f, time.Now())
	reply := d.waiters[f.Job.ID]
	delete(d.waiters, f.Job.ID)
	reply <- f.Outcome
}

func (m submitMessage) apply(d *Dispatcher, now time.Time) {
	d.waiters[m.job.ID] = m.reply
	if d.drained {
		outcome := medlargw.Refusal(m.job, medlargw.CodeStopping, "the entry is stopping", time.Second)
		d.finish(&medlargw.Finish{Job: m.job, Outcome: outcome})
		return
	}
	d.decider.Submit(now, m.job)
}

func (m cancelMessage) apply(d *Dispatcher, now time.Time) { d.decider.Cancel(now, m.job) }

func (m configMessage) apply(d *Dispatcher, now time.Time) {
	if d.lending != nil {
		// The shares come first, so that no team starts on its whole limit.
		d.lending.configure(now, m.cfg)
		d.lendNow(now)
	}
	d.decider.Configure(now, m.cfg)
}

func (m capacityMessage) apply(d *Dispatcher, now time.Time) { d.decider.SetCapacity(now, m.all) }

func (m endMessage) apply(d *Dispatcher, now time.Time) {
	delete(d.cancels, m.attempt.Tag)
	d.observeEnd(&m.end)
	d.lending.noteEnd(m.attempt.Tag)
	d.decider.Ended(now, m.attempt, &m.end)
}
