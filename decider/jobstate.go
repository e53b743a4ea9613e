package decider

import (
	"fmt"
	"time"

	"medlargw.example/medlargw"
)

// jobState is the state of a job that has not ended.
type jobState struct {
	job        *medlargw.Job
	results    []medlargw.TaskResult
	running    []running // By index of the task.
	remaining  int       // Tasks without a result.
	notStarted int       // Attempts that are known not to have started.
	cancelled  bool
	index      int // Position in the heap of deadlines.
}

// running is the current attempt of one task; the ID is empty if there is none.
type running struct {
	id     medlargw.AttemptID
	target medlargw.TargetName
}

// Before orders jobs by deadline, then by ID.
func (s *jobState) Before(other *jobState) bool {
	if s.job.Deadline.Equal(other.job.Deadline) {
		return s.job.ID < other.job.ID
	}
	return s.job.Deadline.Before(other.job.Deadline)
}

// Position returns where the ranker keeps the element's index.
func (s *jobState) Position() *int { return &s.index }

func newJobState(job *medlargw.Job) *jobState {
	s := &jobState{
		job:       job,
		results:   make([]medlargw.TaskResult, len(job.Tasks)),
		running:   make([]running, len(job.Tasks)),
		remaining: len(job.Tasks),
	}
	for i := range job.Tasks {
		s.results[i].ID = job.Tasks[i].ID
	}
	return s
}

// recordEnd applies the end of an attempt to its job.
func (d *Decider) recordEnd(s *jobState, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	s.running[a.TaskIndex] = running{}
	s.results[a.TaskIndex].Execution = end.Execution()
	switch end.Kind {
	case medlargw.EndSucceeded:
		d.addAnswer(s, a, end)
	case medlargw.EndNotStarted:
		d.requeue(s, a, end)
	case medlargw.EndFailed:
		d.fail(s, medlargw.CodeTaskFailed, taskMessage(a, "failed", end), 0)
	case medlargw.EndLost:
		d.fail(s, medlargw.CodeAttemptLost, taskMessage(a, "has no known end", end), 0)
	}
}

func taskMessage(a *medlargw.Attempt, what string, end *medlargw.AttemptEnd) string {
	detail := end.Message
	if detail == "" {
		detail = string(end.Reason)
	}
	return fmt.Sprintf("task %q %s: %s", a.Task().ID, what, detail)
}

// addAnswer stores the answer of a task in its job. While the bytes that all
// jobs hold exceed the hard limit, it fails the largest job of the largest
// team.
func (d *Decider) addAnswer(s *jobState, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	s.results[a.TaskIndex].Body = end.Body
	s.remaining--
	if s.remaining == 0 {
		d.finish(s, medlargw.Outcome{Complete: true, Tasks: s.results})
		return
	}
	d.accountant.Charge(s.job, int64(len(end.Body)))
	for victim := d.accountant.Victim(); victim != nil; victim = d.accountant.Victim() {
		d.fail(d.jobs[victim.ID], medlargw.CodeAnswerTooLarge, "the entry holds too many bytes, and this job the most", minRetryAfter)
	}
}

// requeue puts a task that was not started back into the scheduler. The number
// of such attempts is bounded over the whole job, by Task.Tries for each of its
// tasks; beyond that the job fails.
func (d *Decider) requeue(s *jobState, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	s.notStarted++
	d.addWaiting(s.job.Team, 1)
	d.scheduler.Requeue(s.job, a.TaskIndex)
	if s.notStarted > d.settings.Task.Tries*len(s.job.Tasks) {
		d.fail(s, medlargw.CodeOverloaded, taskMessage(a, "was not started", end), minRetryAfter)
	}
}

// fail ends the job with an error. Waiting tasks are dropped; running tasks are
// stopped and their execution is reported as unknown.
func (d *Decider) fail(s *jobState, code medlargw.Code, message string, retryAfter time.Duration) {
	waiting := 0
	for i := range s.results {
		s.results[i].Body = nil
		switch {
		case s.running[i].id != "":
			d.orphan(s, i)
		case s.results[i].Execution == medlargw.ExecutionNotRun:
			waiting++
		}
	}
	d.addWaiting(s.job.Team, -waiting)
	d.finish(s, medlargw.Outcome{Code: code, Message: message, RetryAfter: retryAfter, Tasks: s.results})
}

// orphan stops a running task of a job that ends. The task's slot and its
// units of limits stay reserved until the end of its attempt is reported.
func (d *Decider) orphan(s *jobState, i int) {
	r := s.running[i]
	s.results[i].Execution = medlargw.ExecutionUnknown
	d.actions.Stops = append(d.actions.Stops, r.id)
	leak := medlargw.LeakStatus{Job: s.job.ID, Target: r.target, Ended: d.now}
	d.orphans[r.id] = &orphan{leak: leak}
}

func (d *Decider) finish(s *jobState, outcome medlargw.Outcome) {
	delete(d.jobs, s.job.ID)
	d.deadlines.Remove(s)
	d.scheduler.Remove(s.job)
	d.accountant.Release(s.job)
	d.actions.Finished = append(d.actions.Finished, medlargw.FinishedJob{Job: s.job, Outcome: outcome})
}
