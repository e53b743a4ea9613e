package decider

import (
	"fmt"
	"time"

	"medlargw.example/medlargw"
)

// jobState is a job that has not ended.
type jobState struct {
	job     *medlargw.Job
	results []medlargw.TaskResult
	left    int                  // Tasks without a result.
	running map[medlargw.Tag]int // Position of the task by attempt.
	tries   int                  // Attempts that were proven not started.
	index   int                  // Position in the deadline heap.
}

func newJobState(job *medlargw.Job) *jobState {
	s := &jobState{
		job:     job,
		results: make([]medlargw.TaskResult, len(job.Tasks)),
		left:    len(job.Tasks),
		running: make(map[medlargw.Tag]int, 1),
	}
	for i := range job.Tasks {
		s.results[i].ID = job.Tasks[i].ID
	}
	return s
}

// settle takes the end of an attempt into its job.
func (d *Decider) settle(s *jobState, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	delete(s.running, a.Tag)
	s.results[a.Index].Fate = end.Fate()
	switch end.Kind {
	case medlargw.EndSucceeded:
		s.results[a.Index].Body = end.Body
		s.left--
		if s.left == 0 {
			d.complete(s)
		}
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

// again lets a task that was not started wait once more, a bounded number of
// times over the whole job.
func (d *Decider) again(s *jobState, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	s.tries++
	d.count(s.job.Team, 1)
	if s.tries > d.settings.Task.Tries*len(s.job.Tasks) {
		d.fail(s, medlargw.CodeOverloaded, taskMessage(a, "was not started", end), retryAfter)
		return
	}
	d.scheduler.Requeue(s.job, a.Index)
}

func (d *Decider) complete(s *jobState) {
	d.end(s, medlargw.Outcome{Complete: true, Tasks: s.results})
}

// fail ends the job: waiting tasks are dropped, running ones are stopped and
// their fate is unknown.
func (d *Decider) fail(s *jobState, code medlargw.Code, message string, retryAfter time.Duration) {
	for tag, i := range s.running {
		s.results[i].Fate = medlargw.FateUnknown
		d.actions.Stops = append(d.actions.Stops, tag)
	}
	waiting := 0
	for i := range s.results {
		s.results[i].Body = nil
		if s.results[i].Fate == medlargw.FateNotRun {
			waiting++
		}
	}
	d.scheduler.Remove(s.job)
	d.count(s.job.Team, -waiting)
	d.end(s, medlargw.Outcome{Code: code, Message: message, RetryAfter: retryAfter, Tasks: s.results})
}

func (d *Decider) end(s *jobState, outcome medlargw.Outcome) {
	delete(d.jobs, s.job.ID)
	d.deadlines.remove(s)
	d.actions.Finishes = append(d.actions.Finishes, medlargw.Finish{Job: s.job, Outcome: outcome})
}
