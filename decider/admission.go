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

// refuse reports whether the job must be refused, and with which outcome.
func (d *Decider) refuse(now time.Time, job *medlargw.Job, backlog *medlargw.Backlog) (medlargw.Outcome, bool) {
	if !now.Before(job.Deadline) {
		return medlargw.RefusedOutcome(job, medlargw.CodeDeadline, "the deadline has passed", 0), true
	}
	if !d.placer.Fits(job.TaskMemory) {
		return medlargw.RefusedOutcome(job, medlargw.CodeNeverFits, "no target can hold a task of that size", 0), true
	}
	if wait := d.placer.ServiceBackoff(now, job); wait > 0 {
		return medlargw.RefusedOutcome(job, medlargw.CodeServiceFailing, failingMessage, wait), true
	}
	if late := d.lateness(now, job, backlog); late > 0 {
		return medlargw.RefusedOutcome(job, medlargw.CodeTooLate, "the expected wait ends after the deadline", clampRetryAfter(late)), true
	}
	if d.waitingByTeam[job.Team]+len(job.Tasks) > d.settings.Intake.Team {
		return d.overloaded(job, backlog, "too many tasks of the team wait"), true
	}
	if !d.evictForJob(job, backlog) {
		return d.overloaded(job, backlog, "too many tasks or bytes wait"), true
	}
	return medlargw.Outcome{}, false
}

func (d *Decider) overloaded(job *medlargw.Job, b *medlargw.Backlog, message string) medlargw.Outcome {
	wait := clampRetryAfter(d.drainTime(d.now, b.Rank, b.HigherWork+b.ClassWork))
	return medlargw.RefusedOutcome(job, medlargw.CodeOverloaded, message, wait)
}

// clampRetryAfter bounds the Retry-After time that a caller gets.
func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Millisecond)
}

// drainTime returns how long the slots available to a class take to complete
// the work; zero means unknown.
func (d *Decider) drainTime(now time.Time, rank int, work time.Duration) time.Duration {
	slots := d.availableSlots(now, rank)
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(work) / slots)
}

// lateness returns by how much the job is expected to miss its deadline. A job
// that can start without waiting is never late, since only running it shows
// whether the service has become faster than its estimate.
func (d *Decider) lateness(now time.Time, job *medlargw.Job, b *medlargw.Backlog) time.Duration {
	estimate := d.estimator.Estimate(job)
	wait := d.expectedWait(job, b, estimate)
	if wait <= 0 {
		return 0
	}
	return now.Add(wait + estimate).Sub(job.Deadline)
}

// expectedWait returns the time until the last task of the job is expected to
// start. All waiting work of higher classes runs first. Within its class, the
// job waits for the work of its own team, which runs on the team's share of the
// slots, but at most for all work of the class. Limits of the team may make the
// wait longer.
func (d *Decider) expectedWait(job *medlargw.Job, b *medlargw.Backlog, estimate time.Duration) time.Duration {
	own := time.Duration(len(job.Tasks)-1) * estimate
	fair := time.Duration(float64(b.TeamWork+own) / b.Share)
	wait := d.drainTime(d.now, b.Rank, b.HigherWork+min(fair, b.ClassWork+own))
	if b.HigherWork+b.ClassWork == 0 {
		wait = 0
	}
	limit := d.limiter.Limit(job.Team)
	if limit.Running > 0 && b.TeamWork > 0 {
		wait = max(wait, (b.TeamWork+own)/time.Duration(limit.Running))
	}
	if limit.Starts > 0 {
		starts := math.Max(0, float64(b.Tasks+len(job.Tasks))-limit.Starts)
		wait = max(wait, time.Duration(starts/limit.Starts*float64(time.Second)))
	}
	return wait
}

// evictForJob reports whether the intake limits allow the job. If they do not,
// it evicts unstarted jobs of lower classes, but only if that makes enough room
// for the job.
func (d *Decider) evictForJob(job *medlargw.Job, b *medlargw.Backlog) bool {
	victims, ok := d.victimsFor(job, b)
	if !ok {
		return false
	}
	for _, victim := range victims {
		wait := clampRetryAfter(d.drainTime(d.now, b.Rank, b.HigherWork+b.ClassWork))
		d.fail(d.jobs[victim.ID], medlargw.CodeOverloaded, "a job of a higher class needed the room", wait)
	}
	return true
}

// victimsFor returns the jobs whose eviction makes the intake limits allow the
// job. It returns false if the eviction of all candidates is not enough.
func (d *Decider) victimsFor(job *medlargw.Job, b *medlargw.Backlog) ([]*medlargw.Job, bool) {
	tasks, bytes := d.totalWaiting+len(job.Tasks), job.PayloadBytes()
	switch {
	case d.fitsIntake(tasks, bytes):
		return nil, true
	case tasks-d.settings.Intake.Waiting > b.LowerTasks:
		return nil, false
	}
	return d.firstVictims(job, tasks, bytes)
}

// firstVictims returns the first candidates whose eviction makes room, given the
// tasks that would wait with the job and the bytes that it needs.
func (d *Decider) firstVictims(job *medlargw.Job, tasks int, bytes int64) ([]*medlargw.Job, bool) {
	var victims []*medlargw.Job
	for victim := range d.scheduler.EvictionCandidates(job.Class) {
		victims = append(victims, victim)
		tasks -= len(victim.Tasks)
		bytes -= victim.PayloadBytes()
		if d.fitsIntake(tasks, bytes) {
			return victims, true
		}
	}
	return nil, false
}

// fitsIntake reports whether the intake limits allow that many waiting tasks and
// that many more bytes.
func (d *Decider) fitsIntake(tasks int, bytes int64) bool {
	return tasks <= d.settings.Intake.Waiting && !d.accountant.ExceedsWatermark(bytes)
}
