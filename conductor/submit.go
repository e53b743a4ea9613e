package conductor

import (
	"context"
	"time"

	"medlargw.example/medlargw"
)

// Submit runs one job and returns its outcome. Job.Arrived, Due and Deadline
// are times of the clock that the conductor was given.
func (c *Conductor) Submit(ctx context.Context, job *medlargw.Job) medlargw.Outcome {
	outcome := make(chan medlargw.Outcome, 1)
	stopping := medlargw.Refusal(job, medlargw.CodeStopping, "the entry is stopping", 0)
	if !c.post(func(now time.Time) {
		c.waiters[job] = outcome
		c.home.Submit(now, job)
	}) {
		return stopping
	}
	select {
	case o := <-outcome:
		return o
	case <-ctx.Done():
		c.post(func(now time.Time) { c.home.Cancel(now, job) })
		return medlargw.Outcome{Code: medlargw.CodeCancelled, Message: "the caller is gone"}
	case <-c.done:
		return medlargw.Outcome{Code: medlargw.CodeAttemptLost, Message: "the entry has stopped"}
	}
}

// finish gives the outcomes to those that wait for them.
func (c *Conductor) finish(now time.Time, finishes []medlargw.Finish) {
	for i := range finishes {
		f := &finishes[i]
		if w := c.waiters[f.Job]; w != nil {
			delete(c.waiters, f.Job)
			w <- f.Outcome
		}
		c.counters.job(f, now.Sub(f.Job.Arrived))
	}
}

// endWaiters answers the jobs that have not ended when the part stops.
func (c *Conductor) endWaiters() {
	for job, w := range c.waiters {
		delete(c.waiters, job)
		w <- medlargw.Outcome{Code: medlargw.CodeAttemptLost, Message: "the entry has stopped"}
	}
}

// Waiting returns the number of this entry's jobs of a service of which no
// task was started.
func (c *Conductor) Waiting(ctx context.Context, service medlargw.ServiceName) (int, error) {
	return ask(ctx, c, func(time.Time) int { return c.home.Waiting(service) })
}
