package conductor

import (
	"context"
	"time"

	"medlargw.example/medlargw"
)

// Submit runs one job and returns its outcome. Job.Arrived and Job.Deadline are
// times of the clock that was passed to New.
func (c *Conductor) Submit(ctx context.Context, job *medlargw.Job) medlargw.Outcome {
	if o, relayed := c.relay(ctx, job); relayed {
		return o
	}
	return c.coordinate(ctx, job)
}

// coordinate runs a job as its home.
func (c *Conductor) coordinate(ctx context.Context, job *medlargw.Job) medlargw.Outcome {
	outcome := make(chan medlargw.Outcome, 1)
	stopping := medlargw.RefusedOutcome(job, medlargw.CodeStopping, "the entry is stopping", 0)
	if !c.post(func(now time.Time) {
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
