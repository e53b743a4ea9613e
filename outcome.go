package medlargw

import "time"

// Fate says what is known about the execution of one task.
type Fate int

const (
	// FateNotRun is proven: no target has started the task and none will.
	FateNotRun Fate = iota
	// FateDone says that a target ran the task to its end, well or badly.
	FateDone
	// FateUnknown says that the task was sent and its end was not heard.
	FateUnknown
)

// String returns the name used on the wire.
func (f Fate) String() string {
	switch f {
	case FateNotRun:
		return "not-run"
	case FateDone:
		return "done"
	case FateUnknown:
		return "unknown"
	}
	panic("fate out of range")
}

// Code is the stable reason of a failure, for programs.
type Code string

// The codes of refusals and failures. They never change their meaning.
const (
	CodeNone           Code = ""
	CodeBadRequest     Code = "bad-request"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeUnknownPage    Code = "unknown-page"
	CodeWrongMethod    Code = "wrong-method"
	CodeUnknownService Code = "unknown-service"
	CodeUnknownJob     Code = "unknown-job"
	CodeDuplicateTask  Code = "duplicate-task"
	CodeTooManyTasks   Code = "too-many-tasks"
	CodeTooLarge       Code = "too-large"
	CodeTooSlow        Code = "too-slow"
	CodeTooLate        Code = "too-late"
	CodeNeverFits      Code = "never-fits"
	CodeOverloaded     Code = "overloaded"
	CodeServiceFailing Code = "service-failing"
	CodeNotReady       Code = "not-ready"
	CodeStopping       Code = "stopping"
	CodeDeadline       Code = "deadline-passed"
	CodeCancelled      Code = "cancelled"
	CodeTaskFailed     Code = "task-failed"
	CodeAttemptLost    Code = "attempt-lost"
	CodeAnswerTooLarge Code = "answer-too-large"
	CodeTicketForged   Code = "ticket-forged"
	CodeTicketExpired  Code = "ticket-expired"
	CodeTicketUsed     Code = "ticket-used"
	CodeHomeGone       Code = "home-gone"
	CodeHomeCutOff     Code = "home-unreachable"
)

// TaskResult is the end of one task.
type TaskResult struct {
	ID   string
	Fate Fate
	Body []byte // The target's answer; empty unless the task succeeded.
}

// Outcome is the end of a job: complete with one result per task in the order
// of submission, or failed with the reason and the fate of each task.
type Outcome struct {
	Complete   bool
	Code       Code
	Message    string
	RetryAfter time.Duration // When to come back; zero says nothing.
	Tasks      []TaskResult
}

// NotRun reports whether it is proven that no task of the job has run.
func (o *Outcome) NotRun() bool {
	if o.Complete {
		return false
	}
	for i := range o.Tasks {
		if o.Tasks[i].Fate != FateNotRun {
			return false
		}
	}
	return true
}

// Refusal returns the outcome of a job of which nothing was started.
func Refusal(job *Job, code Code, message string, retryAfter time.Duration) Outcome {
	tasks := make([]TaskResult, len(job.Tasks))
	for i := range job.Tasks {
		tasks[i].ID = job.Tasks[i].ID
	}
	return Outcome{Code: code, Message: message, RetryAfter: retryAfter, Tasks: tasks}
}
