package dispatcher

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

var _ medlargw.Inspector = (*Dispatcher)(nil)

type statusMessage struct {
	reply chan<- medlargw.DispatchStatus
}

type setAsideMessage struct {
	target medlargw.TargetName
	aside  bool
}

// Status returns a snapshot of the control goroutine's state.
func (d *Dispatcher) Status(ctx context.Context) (medlargw.DispatchStatus, error) {
	reply := make(chan medlargw.DispatchStatus, 1)
	if !d.post(statusMessage{reply: reply}) {
		return medlargw.DispatchStatus{}, context.Canceled
	}
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return medlargw.DispatchStatus{}, ctx.Err()
	}
}

// SetAside takes a target out of use or puts it back.
func (d *Dispatcher) SetAside(target medlargw.TargetName, aside bool) {
	d.post(setAsideMessage{target: target, aside: aside})
}

func (m statusMessage) apply(d *Dispatcher, _ time.Time) {
	s := d.decider.Status()
	s.Running = len(d.cancels)
	if d.lending != nil {
		s.Lent, s.Held = d.lending.lender.Status()
	}
	m.reply <- s
}

func (m setAsideMessage) apply(d *Dispatcher, now time.Time) {
	d.decider.SetAside(now, m.target, m.aside)
}

// observe counts the end of a job and notifies the observer.
func (d *Dispatcher) observe(f *medlargw.FinishedJob, now time.Time) {
	name := "jobs.complete"
	if !f.Outcome.Complete {
		name = "jobs." + string(f.Outcome.Code)
	}
	metrics.GetOrRegisterCounter(name, d.registry).Inc(1)
	if d.observer == nil {
		return
	}
	d.observer.JobEnded(medlargw.JobSummary{
		Team:         f.Job.Team,
		Class:        f.Job.Class,
		Service:      f.Job.Service,
		Ended:        now,
		ResponseTime: now.Sub(f.Job.Arrived),
		Complete:     f.Outcome.Complete,
		Code:         f.Outcome.Code,
	})
}

// observeEnd counts the end of an attempt by kind and reason.
func (d *Dispatcher) observeEnd(end *medlargw.AttemptEnd) {
	name := "attempts." + end.Kind.String()
	if end.Reason != medlargw.ReasonNone {
		name += "." + string(end.Reason)
	}
	metrics.GetOrRegisterCounter(name, d.registry).Inc(1)
}

// observeLeak counts and logs a slot that is still reserved after the end of
// its job.
func (d *Dispatcher) observeLeak(l *medlargw.LeakStatus) {
	metrics.GetOrRegisterCounter("slots.leaked", d.registry).Inc(1)
	d.log.Warn("slot still reserved after the end of its job",
		zap.Uint64("job", uint64(l.Job)), zap.String("target", string(l.Target)), zap.Time("ended", l.Ended))
}
