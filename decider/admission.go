package decider

import (
	"math"
	"time"

	"medlargw.example/medlargw"
)

const (
	minRetryAfter  = time.Second
	maxRetryAfter  = 30 * time.Second
	failingMessage = "the service fails on all targets"
)

// refuse says whether the job can't be admitted, and with which outcome.
func (d *Decider) refuse(now time.Time, job *medlargw.Job, backlog *medlargw.Backlog) (medlargw.Outcome, bool) {
	if !now.Before(job.Deadline) {
		return medlargw.Refusal(job, medlargw.CodeDeadline, "the deadline has passed", 0), true
	}
	if !d.placer.Fits(job.Size) {
		return medlargw.Refusal(job, medlargw.CodeNeverFits, "no target can hold a task of that size", 0), true
	}
	if wait := d.placer.Failing(now, job); wait > 0 {
		return medlargw.Refusal(job, medlargw.CodeServiceFailing, failingMessage, wait), true
	}
	if late := d.late(now, job, backlog); late > 0 {
		return medlargw.Refusal(job, medlargw.CodeTooLate, "the expected wait ends after the deadline", retryAfter(late)), true
	}
	if d.waiting[job.Team]+len(job.Tasks) > d.settings.Intake.Team {
		return d.overloaded(job, backlog, "too many tasks of the team wait"), true
	}
	if !d.makeRoom(job, backlog) {
		return d.overloaded(job, backlog, "too many tasks or bytes wait"), true
	}
	return medlargw.Outcome{}, false
}

func (d *Decider) overloaded(job *medlargw.Job, b *medlargw.Backlog, message string) medlargw.Outcome {
	wait := retryAfter(d.drain(d.now, b.Rank, b.Higher+b.Class))
	return medlargw.Refusal(job, medlargw.CodeOverloaded, message, wait)
}

// retryAfter bounds the wait that a caller is told.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Millisecond)
}

// drain returns how long the slots that are available to a class need for the
// work; zero is unknown.
func (d *Decider) drain(now time.Time, rank int, work time.Duration) time.Duration {
	slots := d.available(now, rank)
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(work) / slots)
}

// late returns by how much the job is expected to miss its deadline. A job
// that need not wait is never late: only by running is it learned that a
// service has become faster.
func (d *Decider) late(now time.Time, job *medlargw.Job, b *medlargw.Backlog) time.Duration {
	estimate := d.estimator.Estimate(job)
	wait := d.expectedWait(job, b, estimate)
	if wait <= 0 {
		return 0
	}
	return now.Add(wait + estimate).Sub(job.Deadline)
}

// expectedWait returns when the last task of the job is expected to start. The
// higher classes go first; of its own class the job waits for what its team has
// waiting at the team's share of the slots, but never for more than all.
func (d *Decider) expectedWait(job *medlargw.Job, b *medlargw.Backlog, estimate time.Duration) time.Duration {
	own := time.Duration(len(job.Tasks)-1) * estimate
	fair := time.Duration(float64(b.Team+own) / b.Share)
	wait := d.drain(d.now, b.Rank, b.Higher+min(fair, b.Class+own))
	if b.Higher+b.Class == 0 {
		wait = 0
	}
	limit := d.limiter.Limit(job.Team)
	if limit.Running > 0 && b.Team > 0 {
		wait = max(wait, (b.Team+own)/time.Duration(limit.Running))
	}
	if limit.Starts > 0 {
		starts := math.Max(0, float64(b.Tasks+len(job.Tasks))-limit.Starts)
		wait = max(wait, time.Duration(starts/limit.Starts*float64(time.Second)))
	}
	return wait
}

// makeRoom reports whether the bounds allow the job. Where they do not, the
// newest jobs of the lowest class make room, if they are enough.
func (d *Decider) makeRoom(job *medlargw.Job, b *medlargw.Backlog) bool {
	bytes := job.PayloadBytes()
	excess := d.total + len(job.Tasks) - d.settings.Intake.Waiting
	if excess > b.Lower {
		return false
	}
	for excess > 0 || d.accountant.Blocked(bytes) {
		victim, ok := d.scheduler.Lowest(job.Class)
		if !ok {
			return false
		}
		excess -= len(victim.Tasks)
		d.fail(d.jobs[victim.ID], medlargw.CodeOverloaded, "a job of a higher class needed the room", retryAfter(d.drain(d.now, b.Rank, b.Higher+b.Class)))
	}
	return true
}
