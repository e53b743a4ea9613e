package coordinator

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

const (
	// maxAvoidedTargets is the number of targets, those of its latest failed runs,
	// that a task avoids.
	maxAvoidedTargets = 4
	// minRetryAfter is the delay that a caller is told to wait during an evacuation, or
	// while no target has reported its resources recently.
	minRetryAfter = time.Second
)

// job is a job that has not ended.
type job struct {
	job      *medlargw.Job
	number   uint64
	estimate time.Duration // Expected run time of one task.
	due      time.Time     // When the objective for the response time is missed.
	tasks    []*task
	done     int                // Number of done tasks.
	started  bool               // An order to start one of its tasks may have been sent.
	refusing bool               // Its tasks are being recalled so that it can be refused.
	refusal  medlargw.Admission // Why it is being refused.
	ended    bool
	held     bool // Runs of a former submission may go on. Its tasks are not placed, nor counted as idle.
	// When it was first known that no holder had resources for a task; zero is not
	// yet.
	waitsSince    time.Time
	expectedStart time.Duration // From its arrival, when it was admitted.
	firstStart    time.Duration // From its arrival; zero if no task is known to have started.
	owed          bool          // It was admitted by the minimum share of its class.
	// Holder of the latest task that was offered for its free resources.
	lastHolder *holder
}

// latestStart returns the time by which all tasks must have started to meet the
// objective.
func (j *job) latestStart() time.Time { return j.due.Add(-j.estimate) }

// taskState is the state of a task.
type taskState int

const (
	taskIdle    taskState = iota // Not assigned to a holder.
	taskOffered                  // Offered, and not yet answered.
	taskQueued                   // Queued at the holder.
	taskStarted                  // A run has been ordered.
	taskDone
)

type task struct {
	job          *job
	index        int
	id           medlargw.TaskID // Identifies the current offer.
	attempt      int
	failures     int
	rejections   int       // Targets that did not understand its start order.
	refusals     int       // Consecutive offers refused for lack of capacity.
	refusedBy    []*holder // Holders that have refused it at refusedAt.
	refusedAt    time.Time
	unqueuedBy   map[*holder]time.Time // When holders have refused to queue it.
	rebalanced   bool                  // It was recalled from a queue for the free resources of another holder.
	state        taskState
	holder       *holder
	formers      []*holder             // Former holders of its run, which may not have given it up.
	recalled     bool                  // The task must be recalled once it is queued.
	offerPending bool                  // The offer must be sent or resent.
	queue        bool                  // The offer allows the holder to queue the task.
	endedBy      time.Time             // When its run must have ended; zero unless its holder is lost.
	avoid        []medlargw.TargetName // Targets on which it failed recently.
	unanswered   bool                  // The current offer, or a recall of it, was not answered.
	formerIDs    []medlargw.TaskID     // Of its former offers.
	target       medlargw.Target       // Of its current run, as it was listed at the start; without a name if it is unknown.
	crashes      []crash               // Of targets under its runs.
	losses       []loss                // Runs that ended with targets which may have crashed.
}

// recordRefusal counts the refusal of the task by its holder.
func (t *task) recordRefusal(now time.Time) {
	t.refusals++
	if !t.refusedAt.Equal(now) {
		t.refusedAt, t.refusedBy = now, nil
	}
	t.refusedBy = append(t.refusedBy, t.holder)
	if t.queue {
		if t.unqueuedBy == nil {
			t.unqueuedBy = map[*holder]time.Time{}
		}
		t.unqueuedBy[t.holder] = now
	}
}

// mayQueueAt reports whether the task may be offered to a holder's queue. One that has
// just refused that is not asked again at once: a refusal by this entry takes no time.
func (t *task) mayQueueAt(now time.Time, h *holder) bool {
	at, refused := t.unqueuedBy[h]
	return !refused || now.Sub(at) >= probeInterval
}

// refusedNow reports whether the holder has refused the task at this time, and the
// task was recalled from a queue in this attempt. Offers to this entry take no time,
// and what it reports as free may be of no use to the task, such as the resources of
// a target that the task avoids.
func (t *task) refusedNow(now time.Time, h *holder) bool {
	return t.rebalanced && t.refusedAt.Equal(now) && slices.Contains(t.refusedBy, h)
}

// Submit accepts a job, or refuses it at once if it could not start in time or
// meet its deadline. A job that was given up here and whose runs may go on is held
// until they have ended.
func (c *Coordinator) Submit(now time.Time, m *medlargw.Job) {
	c.logResubmission(now, m)
	c.nextJob++
	j := &job{job: m, number: c.nextJob, estimate: c.estimator.Estimate(m)}
	j.due = m.Arrived.Add(medlargw.Duration(m.SlackFactor*float64(j.estimate)) + m.Grace)
	for i := range m.Tasks {
		j.tasks = append(j.tasks, &task{job: j, index: i, attempt: 1})
	}
	c.jobs = append(c.jobs, j)
	if j.held = c.isEnding(now, m.RequestID); !j.held {
		c.admit(now, j)
	}
}

// admit places the tasks of a job, or refuses it.
func (c *Coordinator) admit(now time.Time, j *job) {
	m := j.job
	c.taskCounts[taskIdle] += len(j.tasks)
	adm := c.admitter.Admit(now, c.admissionRequest(now, j))
	if adm.Refusal == medlargw.RefusalNone && !c.makeRoom(now, j) {
		adm.Refusal = medlargw.RefusalMemory
	}
	switch adm.Refusal {
	case medlargw.RefusalHopeless, medlargw.RefusalTooLarge: // Jobs that no target can run are no demand.
	default:
		c.inviter.RecordArrival(now, m.Pool, m.Rank, j.work())
	}
	switch adm.Refusal {
	case medlargw.RefusalNone:
		j.owed, j.expectedStart = adm.Owed, adm.Wait
		c.placeIdle(now, j)
	case medlargw.RefusalHopeless:
		c.abort(now, j, medlargw.CodeDeadline, "one task takes longer than the time until the deadline")
	default:
		c.refuse(now, j, &adm)
	}
}

// Cancel aborts a job whose caller has disconnected.
func (c *Coordinator) Cancel(now time.Time, m *medlargw.Job) {
	for _, j := range c.jobs {
		if j.job == m {
			c.abort(now, j, medlargw.CodeCancelled, "the caller is gone")
			return
		}
	}
}

// AbortAll aborts all jobs. It is called when this entry was stalled for so
// long that callers may have resubmitted their jobs to another entry.
func (c *Coordinator) AbortAll(now time.Time, message string) {
	for _, j := range slices.Clone(c.jobs) {
		c.abort(now, j, medlargw.CodeAttemptLost, message)
	}
}

// placeIdle offers the tasks that are not assigned to a holder.
func (c *Coordinator) placeIdle(now time.Time, j *job) {
	if j.ended || j.refusing || j.held {
		return
	}
	for _, t := range j.tasks {
		if t.state == taskIdle {
			c.place(now, t)
		}
	}
}

// withdraw recalls all tasks of a job, which is refused once all are returned.
func (c *Coordinator) withdraw(now time.Time, j *job, adm *medlargw.Admission) {
	j.refusing = true
	j.refusal = *adm
	for _, t := range j.tasks {
		if t.state != taskIdle {
			t.recall()
		}
	}
	c.refuseIfWithdrawn(now, j)
}

// refuseIfWithdrawn refuses a withdrawn job once no holder has any of its
// tasks.
func (c *Coordinator) refuseIfWithdrawn(now time.Time, j *job) {
	if !j.refusing || j.ended {
		return
	}
	for _, t := range j.tasks {
		if t.state != taskIdle {
			return
		}
	}
	c.refuse(now, j, &j.refusal)
}

// refuse ends a job none of whose tasks was started.
func (c *Coordinator) refuse(now time.Time, j *job, adm *medlargw.Admission) {
	after := minRetryAfter
	switch adm.Refusal {
	case medlargw.RefusalEvacuated, medlargw.RefusalUnreported, medlargw.RefusalTooLarge:
	default:
		after = c.inviter.Invite(now, c.invitationRequest(now, j, adm))
	}
	c.log.Info("job refused", zap.String("job", j.job.RequestID), zap.String("service", string(j.job.Service)),
		zap.Int("rank", j.job.Rank), zap.String("reason", adm.Refusal.Message()), zap.String("rule", string(adm.Refusal)),
		zap.Stringer("prospect", adm.Prospect),
		zap.Duration("wait", adm.Wait), zap.Duration("age", now.Sub(j.job.Arrived)),
		zap.Duration("slack", j.latestStart().Sub(now)), zap.Int("tasks", len(j.tasks)),
		zap.Duration("retry", after))
	o := medlargw.RefusedOutcome(j.job, medlargw.CodeOverloaded, adm.Refusal.Message(), after)
	c.finish(now, j, o, adm.Refusal)
}

// abort fails a job that cannot be completed, and cancels its remaining tasks.
func (c *Coordinator) abort(now time.Time, j *job, code medlargw.Code, message string) {
	if j.ended {
		return
	}
	c.log.Info("job given up", zap.String("job", j.job.RequestID), zap.String("service", string(j.job.Service)),
		zap.String("code", string(code)), zap.String("reason", message), zap.Duration("age", now.Sub(j.job.Arrived)),
		zap.Int("done", j.done), zap.Int("tasks", len(j.tasks)), zap.Bool("started", j.started))
	o := medlargw.RefusedOutcome(j.job, code, message, 0)
	for i, t := range j.tasks {
		switch {
		case t.state == taskDone:
			o.Tasks[i].Execution = medlargw.ExecutionFinished
		case j.started || j.held:
			o.Tasks[i].Execution = medlargw.ExecutionUnknown
		case t.state != taskIdle:
			o.Tasks[i].Execution = medlargw.ExecutionUnknown // The holder may have started the task.
		}
	}
	c.finish(now, j, o, medlargw.RefusalNone)
}

// finish records the outcome of a job and cancels its remaining tasks.
func (c *Coordinator) finish(now time.Time, j *job, o medlargw.Outcome, reason medlargw.RefusalReason) {
	j.ended = true
	c.jobs = slices.DeleteFunc(c.jobs, func(other *job) bool { return other == j })
	for _, t := range j.tasks {
		for _, id := range t.formerIDs {
			delete(c.formerTasks, id)
		}
		if t.state != taskIdle && t.state != taskDone {
			for _, h := range append(t.formers, t.holder) {
				h.cancel(now, t.id)
			}
			c.trackEnd(now, t)
		}
		c.detach(t)
		if !j.held {
			c.taskCounts[t.state]--
		}
	}
	c.finished = append(c.finished, medlargw.FinishedJob{
		Job: j.job, Outcome: o, Refusal: reason, ExpectedStart: j.expectedStart, FirstStart: j.firstStart,
	})
}

// complete ends a job all of whose tasks are done.
func (c *Coordinator) complete(now time.Time, j *job) {
	attempts := 0
	for _, t := range j.tasks {
		attempts += t.attempt
	}
	c.log.Info("job complete", zap.String("job", j.job.RequestID), zap.String("service", string(j.job.Service)),
		zap.Int("tasks", len(j.tasks)), zap.Int("attempts", attempts), zap.Duration("age", now.Sub(j.job.Arrived)),
		zap.Duration("left", j.due.Sub(now)))
	o := medlargw.Outcome{Complete: true, Tasks: make([]medlargw.TaskResult, len(j.tasks))}
	for i := range o.Tasks {
		o.Tasks[i] = medlargw.TaskResult{ID: j.job.Tasks[i].ID, Execution: medlargw.ExecutionFinished}
	}
	c.finish(now, j, o, medlargw.RefusalNone)
}

// setState changes the state of a task, and the number of tasks in each state.
func (c *Coordinator) setState(t *task, state taskState) {
	c.taskCounts[t.state]--
	t.state = state
	c.taskCounts[state]++
	if state == taskQueued {
		t.holder.hasUpdates = true // A recall may have been requested before the task was queued.
	}
}

// requestOffer makes the next message to the holder offer the task.
func (t *task) requestOffer() {
	t.offerPending = true
	t.holder.hasUpdates = true
}

// recall makes the next message to the holder recall the task if it is queued
// there.
func (t *task) recall() {
	t.recalled = true
	t.holder.hasUpdates = true
}

// detach removes a task from its holder.
func (c *Coordinator) detach(t *task) {
	if t.holder != nil {
		delete(c.tasks, t.id)
		delete(t.holder.tasks, t.id)
		if !t.job.ended && t.state != taskDone {
			t.formerIDs = append(t.formerIDs, t.id)
			c.formerTasks[t.id] = t
		}
	}
	t.id = 0
	t.holder = nil
	t.formers = nil
	t.recalled = false
	t.offerPending = false
	t.unanswered = false
	t.endedBy = time.Time{}
	t.target = medlargw.Target{}
	if t.state != taskDone {
		c.setState(t, taskIdle)
	}
}

// retry offers a task again after its run has ended without success.
func (c *Coordinator) retry(now time.Time, t *task, target medlargw.TargetName) {
	c.detach(t)
	t.attempt++
	t.refusals = 0
	t.rebalanced = false
	if target != "" {
		t.avoid = append(t.avoid, target)
		if len(t.avoid) > maxAvoidedTargets {
			t.avoid = t.avoid[1:]
		}
	}
	j := t.job
	if now.Add(j.estimate).After(j.job.Deadline) {
		c.abort(now, j, medlargw.CodeDeadline, "no time left for another attempt")
		return
	}
	if j.refusing {
		c.refuseIfWithdrawn(now, j)
		return
	}
	c.place(now, t)
}

// recordRejection counts a target that did not understand the start order of a task. It
// aborts the job after as many as may fail, and reports whether it has.
func (c *Coordinator) recordRejection(now time.Time, t *task) bool {
	t.rejections++
	if t.rejections < t.job.job.MaxAttempts {
		return false
	}
	c.abort(now, t.job, medlargw.CodeBadRequest, fmt.Sprintf("%d targets did not understand task %s", t.rejections, t.job.job.Tasks[t.index].ID))
	return true
}

// recordFailure counts a failed run, and aborts the job if it was the last
// allowed.
func (c *Coordinator) recordFailure(now time.Time, t *task, target medlargw.TargetName) {
	t.failures++
	if t.failures >= t.job.job.MaxAttempts {
		message := fmt.Sprintf("task %s failed %d times", t.job.job.Tasks[t.index].ID, t.failures)
		c.abort(now, t.job, medlargw.CodeTaskFailed, message)
		return
	}
	c.retry(now, t, target)
}
