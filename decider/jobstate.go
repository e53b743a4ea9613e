package decider

import (
	"fmt"
	"time"

	"medlargw.example/medlargw"
)

// jobState is a job that has not ended.
type jobState struct {
	job       *medlargw.Job
	results   []medlargw.TaskResult
	running   []running // By position of the task.
	left      int       // Tasks without a result.
	tries     int       // Attempts that were proven not started.
	cancelled bool
	index     int // Position among the deadlines.
}

// running is the attempt of one task; the tag is empty while there is none.
type running struct {
	tag    medlargw.Tag
	target medlargw.TargetName
}

// Before is part of a ranker's element.
func (s *jobState) Before(other *jobState) bool {
	if s.job.Deadline.Equal(other.job.Deadline) {
		return s.job.ID < other.job.ID
	}
	return s.job.Deadline.Before(other.job.Deadline)
}

// Position is part of a ranker's element.
func (s *jobState) Position() *int { return &s.index }

func newJobState(job *medlargw.Job) *jobState {
	s := &jobState{
		job:     job,
		results: make([]medlargw.TaskResult, len(job.Tasks)),
		running: make([]running, len(job.Tasks)),
		left:    len(job.Tasks),
	}
	for i := range job.Tasks {
		s.results[i].ID = job.Tasks[i].ID
	}
	return s
}

// settle takes the end of an attempt into its job.
func (d *Decider) settle(s *jobState, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	s.running[a.Index] = running{}
	s.results[a.Index].Fate = end.Fate()
	switch end.Kind {
	case medlargw.EndSucceeded:
		d.keep(s, a, end)
	case medlargw.EndNotStarted:
		d.again(s, a, end)
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

// keep adds a task's answer to that of the job. Where the answers of all jobs
// exceed the hard limit, one job fails for all others.
func (d *Decider) keep(s *jobState, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	s.results[a.Index].Body = end.Body
	s.left--
	if s.left == 0 {
		d.end(s, medlargw.Outcome{Complete: true, Tasks: s.results})
		return
	}
	d.accountant.Add(s.job, int64(len(end.Body)))
	for victim := d.accountant.Victim(); victim != nil; victim = d.accountant.Victim() {
		d.fail(d.jobs[victim.ID], medlargw.CodeAnswerTooLarge, "the entry holds too many bytes, and this job the most", minRetryAfter)
	}
}

// again lets a task that was not started wait once more, a bounded number of
// times over the whole job.
func (d *Decider) again(s *jobState, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	s.tries++
	d.count(s.job.Team, 1)
	d.scheduler.Requeue(s.job, a.Index)
	if s.tries > d.settings.Task.Tries*len(s.job.Tasks) {
		d.fail(s, medlargw.CodeOverloaded, taskMessage(a, "was not started", end), minRetryAfter)
	}
}

// fail ends the job: waiting tasks are dropped, running ones are stopped and
// their fate is unknown.
func (d *Decider) fail(s *jobState, code medlargw.Code, message string, retryAfter time.Duration) {
	waiting := 0
	for i := range s.results {
		s.results[i].Body = nil
		switch {
		case s.running[i].tag != "":
			d.orphan(s, i)
		case s.results[i].Fate == medlargw.FateNotRun:
			waiting++
		}
	}
	d.count(s.job.Team, -waiting)
	d.end(s, medlargw.Outcome{Code: code, Message: message, RetryAfter: retryAfter, Tasks: s.results})
}

// orphan stops a running task of a job that ends. Its slot and units stay
// reserved until its end is reported.
func (d *Decider) orphan(s *jobState, i int) {
	r := s.running[i]
	s.results[i].Fate = medlargw.FateUnknown
	d.actions.Stops = append(d.actions.Stops, r.tag)
	leak := medlargw.LeakStatus{Job: s.job.ID, Target: r.target, Ended: d.now}
	d.orphans[r.tag] = &orphan{leak: leak}
}

func (d *Decider) end(s *jobState, outcome medlargw.Outcome) {
	delete(d.jobs, s.job.ID)
	d.deadlines.Remove(s)
	d.scheduler.Remove(s.job)
	d.accountant.Release(s.job)
	d.actions.Finishes = append(d.actions.Finishes, medlargw.Finish{Job: s.job, Outcome: outcome})
}
