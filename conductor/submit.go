package conductor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// unreadRetryAfter is the delay that the caller of a job is told to wait whose
// request was read late. By then, the requests that have waited with it are read.
const unreadRetryAfter = time.Second

// Submit runs one job and returns its outcome. Job.Arrived, Job.Deadline and
// Job.Heard are times of the clock that was passed to New.
func (c *Conductor) Submit(ctx context.Context, job *medlargw.Job) medlargw.Outcome {
	now := c.clock.Now()
	heard := job.Heard
	if heard.IsZero() {
		heard = now
	}
	if unread := now.Sub(heard); unread > c.settings.UnreadLimit() {
		return c.refuseUnread(job, unread)
	}
	if o, relayed := c.relay(ctx, job, heard); relayed {
		return o
	}
	return c.coordinate(ctx, job, heard)
}

// refuseUnread refuses a job whose request may have waited unread for so long that
// its caller submits it elsewhere before its runs here would have ended.
func (c *Conductor) refuseUnread(job *medlargw.Job, unread time.Duration) medlargw.Outcome {
	const reason = medlargw.RefusalUnread
	c.log.Info("job refused, its request was read late", zap.String("job", job.RequestID), zap.String("service", string(job.Service)),
		zap.Duration("unread", unread), zap.Duration("limit", c.settings.UnreadLimit()), zap.Duration("retry", unreadRetryAfter))
	o := medlargw.RefusedOutcome(job, medlargw.CodeOverloaded, reason.Message(), unreadRetryAfter)
	c.counters.countJob(&medlargw.FinishedJob{Job: job, Outcome: o, Refusal: reason}, unread)
	return o
}

// coordinate runs a job as its home. The caller was heard of at the given time.
func (c *Conductor) coordinate(ctx context.Context, job *medlargw.Job, heard time.Time) medlargw.Outcome {
	outcome := make(chan medlargw.Outcome, 1)
	stopping := medlargw.RefusedOutcome(job, medlargw.CodeStopping, "the entry is stopping", 0)
	if !c.post(func(now time.Time) {
		// The process may have stood still since the event was posted, or since now.
		if unread := c.clock.Now().Sub(heard); unread > c.settings.UnreadLimit() {
			outcome <- c.refuseUnread(job, unread)
			return
		}
		c.waiters[job] = outcome
		c.coord.Submit(now, job)
	}) {
		return stopping
	}
	select {
	case o := <-outcome:
		return o
	case <-ctx.Done():
		c.post(func(now time.Time) { c.coord.Cancel(now, job) })
		return medlargw.Outcome{Code: medlargw.CodeCancelled, Message: "the caller is gone"}
	case <-c.done:
		return medlargw.Outcome{Code: medlargw.CodeAttemptLost, Message: "the entry has stopped"}
	}
}

// deliver passes the outcomes to the waiting callers.
func (c *Conductor) deliver(now time.Time, finished []medlargw.FinishedJob) {
	for i := range finished {
		f := &finished[i]
		if w := c.waiters[f.Job]; w != nil {
			delete(c.waiters, f.Job)
			w <- f.Outcome
		}
		c.counters.countJob(f, now.Sub(f.Job.Arrived))
	}
}

// failWaiters fails the unfinished jobs when the component stops.
func (c *Conductor) failWaiters() {
	for job, w := range c.waiters {
		delete(c.waiters, job)
		w <- medlargw.Outcome{Code: medlargw.CodeAttemptLost, Message: "the entry has stopped"}
	}
}

// UnstartedJobs returns the number of this entry's jobs of the service that
// have no started task.
func (c *Conductor) UnstartedJobs(ctx context.Context, service medlargw.ServiceName) (int, error) {
	return query(ctx, c, func(time.Time) int { return c.coord.UnstartedJobs(service) })
}
