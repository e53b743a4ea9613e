package decider

import (
	"time"

	"medlargw.example/medlargw"
)

const (
	maxDropsPerEvent   = 64  // Jobs that one event ends instead of starting their next task.
	maxCancelsPerEvent = 4   // Entries of Decider.cancelled that one event handles.
	maxStepsPerEvent   = 512 // Candidate tasks that one event handles.
)

// dispatch starts waiting tasks in order of precedence while slots are free.
func (d *Decider) dispatch(now time.Time) {
	d.now = now
	d.placer.Tick(now)
	d.resumeExpired(now)
	d.workRemains = true
	drops := 0
	for range maxStepsPerEvent {
		if d.placer.Free() == 0 {
			d.workRemains = false
			break
		}
		c, ok := d.scheduler.Peek(d.placer.MaxTaskSize())
		if !ok {
			d.workRemains = false
			break
		}
		if d.endIfUnstartable(now, c.Job) {
			drops++
			if drops == maxDropsPerEvent {
				break
			}
			continue
		}
		d.tryStart(now, c)
	}
	d.endCancelled()
	d.reportLeaks(now)
	d.setNextTick(now)
}

// tryStart starts the task, or pauses its limit scope if the limit is reached.
func (d *Decider) tryStart(now time.Time, c medlargw.Candidate) {
	allowed, scope, until := d.limiter.Acquire(now, c.Job)
	if !allowed {
		d.pause(scope, until)
		return
	}
	slot, ok := d.placer.Reserve(now, c.Job)
	if !ok {
		panic("no target for a task that fits into a free slot")
	}
	d.scheduler.Take(c)
	d.start(c, &slot)
}

// endIfUnstartable ends a job that is cancelled, past its deadline or of a
// failing service, and reports whether it did.
func (d *Decider) endIfUnstartable(now time.Time, job *medlargw.Job) bool {
	state := d.jobs[job.ID]
	if state.cancelled {
		d.failCancelled(state)
		return true
	}
	if !now.Before(job.Deadline) {
		d.fail(state, medlargw.CodeDeadline, "the deadline has passed", 0)
		return true
	}
	if wait := d.placer.ServiceBackoff(now, job); wait > 0 {
		d.fail(state, medlargw.CodeServiceFailing, failingMessage, wait)
		return true
	}
	return false
}

func (d *Decider) failCancelled(s *jobState) {
	d.fail(s, medlargw.CodeCancelled, "the job was cancelled", 0)
}

// endCancelled ends the first maxCancelsPerEvent cancelled jobs.
func (d *Decider) endCancelled() {
	n := min(maxCancelsPerEvent, len(d.cancelled))
	for _, id := range d.cancelled[:n] {
		if state := d.jobs[id]; state != nil {
			d.failCancelled(state)
		}
	}
	d.cancelled = d.cancelled[n:]
	if len(d.cancelled) == 0 {
		d.cancelled = nil
	}
}

func (d *Decider) start(c medlargw.Candidate, slot *medlargw.Allocation) {
	a := medlargw.Attempt{
		ID:            d.newAttemptID(),
		Job:           c.Job,
		TaskIndex:     c.TaskIndex,
		Target:        slot.Target.Name,
		Addr:          slot.Target.Addr,
		MaxRunTime:    d.settings.Task.Lease,
		SlotExpiresAt: slot.ExpiresAt,
	}
	d.jobs[c.Job.ID].running[c.TaskIndex] = running{id: a.ID, target: a.Target}
	d.addWaiting(c.Job.Team, -1)
	d.actions.Starts = append(d.actions.Starts, a)
}

// setNextTick sets the time at which the decider next needs a Tick without
// another event.
func (d *Decider) setNextTick(now time.Time) {
	if d.workRemains || len(d.cancelled) > 0 {
		d.actions.NextTick = now
		return
	}
	nextTick := d.placer.NextTick()
	if d.deadlines.Len() > 0 {
		nextTick = earlier(nextTick, d.deadlines.First().job.Deadline)
	}
	if len(d.orphans) > 0 {
		nextTick = earlier(nextTick, d.nextLeakCheck)
	}
	if d.timedPauses.Len() > 0 {
		nextTick = earlier(nextTick, d.timedPauses.First().until)
	}
	d.actions.NextTick = nextTick
}

// earlier returns the earlier of two times, where zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
