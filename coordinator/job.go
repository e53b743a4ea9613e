package coordinator

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

const (
	// maxAvoid is the number of targets that a task avoids, the last ones.
	maxAvoid = 4
	// patience is the share of the time to a job's objective in which it must
	// be started or be expected to start in time.
	patience = 0.2
	// leastPatience lets holders answer for their room, which heartbeats tell
	// late.
	leastPatience = askEvery * 8 / 5
	// congestion is the share of that time after which a job without a start
	// shows that there is no room for others of its rank. Half of the patience
	// lets enough work wait to keep the targets busy.
	congestion = patience / 2
	// hopeless is the share of the estimate of a task that must fit into the time
	// until the deadline; estimates are seldom off by more.
	hopeless = 0.5
	// comeBack is the least time that a refused caller is told to wait.
	comeBack = time.Second
)

// job is a job that has not ended.
type job struct {
	job      *medlargw.Job
	number   uint64
	estimate time.Duration // Of one task.
	due      time.Time     // When its objective is missed.
	tasks    []*task
	done     int
	started  bool // An order to start one of its tasks may have been sent.
	refusing bool // Its tasks are being recalled, to refuse it.
	ended    bool
}

// latest returns the time at which all tasks must have started.
func (j *job) latest() time.Time { return j.due.Add(-j.estimate) }

// taskState is where a task is.
type taskState int

const (
	taskIdle    taskState = iota // With no holder.
	taskOffered                  // Offered, and not answered.
	taskQueued                   // Waits at a holder.
	taskStarted                  // A run of it has been ordered.
	taskDone
)

// task is one task of a job.
type task struct {
	job      *job
	index    int
	id       medlargw.TaskID // Of the offer.
	attempt  int
	failures int
	refusals int // Offers in a row that were refused for want of room.
	state    taskState
	holder   *holder
	recalled bool
	resend   bool      // The offer must be sent, or sent again.
	queue    bool      // The offer lets it wait.
	proven   time.Time // When its run has surely ended; zero while its holder is well.
	avoid    []medlargw.TargetName
}

// Submit takes a job in, or refuses it at once when it could not be in time.
func (c *Coordinator) Submit(now time.Time, m *medlargw.Job) {
	c.nextJob++
	j := &job{job: m, number: c.nextJob, estimate: c.estimator.Estimate(m)}
	j.due = m.Arrived.Add(time.Duration(m.Slack*float64(j.estimate)) + m.Grace)
	for i := range m.Tasks {
		j.tasks = append(j.tasks, &task{job: j, index: i, attempt: 1})
	}
	c.jobs = append(c.jobs, j)
	c.in[taskIdle] += len(j.tasks)
	if time.Duration(float64(j.estimate)*hopeless) > m.Deadline.Sub(now) {
		c.giveUp(now, j, medlargw.CodeDeadline, "one task takes longer than the time until the deadline")
		return
	}
	if wait, ok := c.expectedWait(j); ok && wait > 0 && (now.Add(wait).After(j.latest()) || c.congested(now, j)) {
		c.refuse(now, j, wait, "no room in time")
		return
	}
	c.placeIdle(now, j)
}

// congested reports whether a job that goes before the given one has waited so
// long for its first start that another one would hardly be served in time.
func (c *Coordinator) congested(now time.Time, j *job) bool {
	for _, other := range c.jobs {
		if other.started || other == j || other.job.Pool != j.job.Pool || other.job.Rank > j.job.Rank {
			continue
		}
		if now.Sub(other.job.Arrived) > time.Duration(congestion*float64(other.due.Sub(other.job.Arrived))) {
			return true
		}
	}
	return false
}

// Cancel ends a job whose caller is gone.
func (c *Coordinator) Cancel(now time.Time, m *medlargw.Job) {
	for _, j := range c.jobs {
		if j.job == m {
			c.giveUp(now, j, medlargw.CodeCancelled, "the caller is gone")
			return
		}
	}
}

// Fail ends all jobs, because this entry was out of action so long that their
// callers may have asked again elsewhere.
func (c *Coordinator) Fail(now time.Time, message string) {
	for _, j := range slices.Clone(c.jobs) {
		c.giveUp(now, j, medlargw.CodeAttemptLost, message)
	}
}

// placeIdle offers the tasks that no holder has.
func (c *Coordinator) placeIdle(now time.Time, j *job) {
	if j.ended || j.refusing {
		return
	}
	for _, t := range j.tasks {
		if t.state == taskIdle {
			c.place(now, t)
		}
	}
}

// isLost reports whether a job without a start should be refused now.
func (c *Coordinator) isLost(now time.Time, j *job) bool {
	if now.After(j.latest()) {
		return true
	}
	if now.Sub(j.job.Arrived) < max(leastPatience, time.Duration(patience*float64(j.due.Sub(j.job.Arrived)))) {
		return false
	}
	wait, ok := c.expectedWait(j)
	return !ok || now.Add(wait).After(j.latest())
}

// withdraw recalls all tasks of a job, to refuse it when all have come back.
func (c *Coordinator) withdraw(now time.Time, j *job) {
	j.refusing = true
	for _, t := range j.tasks {
		if t.state != taskIdle {
			t.recall()
		}
	}
	c.settle(now, j)
}

// settle refuses a withdrawn job when nothing of it is with a holder.
func (c *Coordinator) settle(now time.Time, j *job) {
	if !j.refusing || j.ended {
		return
	}
	for _, t := range j.tasks {
		if t.state != taskIdle {
			return
		}
	}
	wait, _ := c.expectedWait(j)
	c.refuse(now, j, wait, "no room in time")
}

// refuse ends a job of which nothing was started.
func (c *Coordinator) refuse(now time.Time, j *job, wait time.Duration, message string) {
	c.log.Info("job refused", zap.String("job", j.job.Key), zap.String("service", string(j.job.Service)),
		zap.String("reason", message), zap.Duration("wait", wait), zap.Duration("age", now.Sub(j.job.Arrived)),
		zap.Duration("slack", j.latest().Sub(now)), zap.Int("tasks", len(j.tasks)))
	c.finish(j, medlargw.Refusal(j.job, medlargw.CodeOverloaded, message, max(wait, comeBack)))
}

// giveUp ends a job that can't be completed, and stops what runs of it.
func (c *Coordinator) giveUp(now time.Time, j *job, code medlargw.Code, message string) {
	if j.ended {
		return
	}
	c.log.Info("job given up", zap.String("job", j.job.Key), zap.String("service", string(j.job.Service)),
		zap.String("code", string(code)), zap.String("reason", message), zap.Duration("age", now.Sub(j.job.Arrived)),
		zap.Int("done", j.done), zap.Int("tasks", len(j.tasks)), zap.Bool("started", j.started))
	o := medlargw.Refusal(j.job, code, message, 0)
	for i, t := range j.tasks {
		switch {
		case t.state == taskDone:
			o.Tasks[i].Fate = medlargw.FateDone
		case j.started:
			o.Tasks[i].Fate = medlargw.FateUnknown
		case t.state != taskIdle:
			o.Tasks[i].Fate = medlargw.FateUnknown // Its offer was not answered.
		}
	}
	c.finish(j, o)
}

// finish answers a job and cancels what is left of it.
func (c *Coordinator) finish(j *job, o medlargw.Outcome) {
	j.ended = true
	c.jobs = slices.DeleteFunc(c.jobs, func(other *job) bool { return other == j })
	for _, t := range j.tasks {
		if t.state != taskIdle && t.state != taskDone {
			t.holder.cancels = append(t.holder.cancels, t.id)
		}
		c.detach(t)
		c.in[t.state]--
	}
	c.finishes = append(c.finishes, medlargw.Finish{Job: j.job, Outcome: o})
}

// complete answers a job all of whose tasks are done.
func (c *Coordinator) complete(now time.Time, j *job) {
	attempts := 0
	for _, t := range j.tasks {
		attempts += t.attempt
	}
	c.log.Info("job complete", zap.String("job", j.job.Key), zap.String("service", string(j.job.Service)),
		zap.Int("tasks", len(j.tasks)), zap.Int("attempts", attempts), zap.Duration("age", now.Sub(j.job.Arrived)),
		zap.Duration("left", j.due.Sub(now)))
	o := medlargw.Outcome{Complete: true, Tasks: make([]medlargw.TaskResult, len(j.tasks))}
	for i := range o.Tasks {
		o.Tasks[i] = medlargw.TaskResult{ID: j.job.Tasks[i].ID, Fate: medlargw.FateDone}
	}
	c.finish(j, o)
}

// move puts a task into a state.
func (c *Coordinator) move(t *task, state taskState) {
	c.in[t.state]--
	t.state = state
	c.in[state]++
	if state == taskQueued {
		t.holder.unsaid = true // It may have been recalled before it was queued.
	}
}

// offerAgain lets the next message to the holder offer the task.
func (t *task) offerAgain() {
	t.resend = true
	t.holder.unsaid = true
}

// recall lets the next message to the holder recall the task if it waits there.
func (t *task) recall() {
	t.recalled = true
	t.holder.unsaid = true
}

// detach takes a task away from its holder.
func (c *Coordinator) detach(t *task) {
	if t.holder != nil {
		delete(c.tasks, t.id)
		delete(t.holder.tasks, t.id)
	}
	t.id = 0
	t.holder = nil
	t.recalled = false
	t.resend = false
	t.proven = time.Time{}
	if t.state != taskDone {
		c.move(t, taskIdle)
	}
}

// again lets a task be offered anew after its run has ended without success.
func (c *Coordinator) again(now time.Time, t *task, target medlargw.TargetName) {
	c.detach(t)
	t.attempt++
	t.refusals = 0
	if target != "" {
		t.avoid = append(t.avoid, target)
		if len(t.avoid) > maxAvoid {
			t.avoid = t.avoid[1:]
		}
	}
	j := t.job
	if now.Add(j.estimate).After(j.job.Deadline) {
		c.giveUp(now, j, medlargw.CodeDeadline, "no time left for another attempt")
		return
	}
	if j.refusing {
		c.settle(now, j)
		return
	}
	c.place(now, t)
}

// failed counts a failed run, and fails the job at the last attempt allowed.
func (c *Coordinator) failed(now time.Time, t *task, target medlargw.TargetName) {
	t.failures++
	if t.failures >= t.job.job.Attempts {
		message := fmt.Sprintf("task %s failed %d times", t.job.job.Tasks[t.index].ID, t.failures)
		c.giveUp(now, t.job, medlargw.CodeTaskFailed, message)
		return
	}
	c.again(now, t, target)
}
