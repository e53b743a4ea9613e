package medlargw

import "time"

// Execution is what is known about the execution of one task.
type Execution int

const (
	// ExecutionNotRun means that no target has started the task and none will.
	ExecutionNotRun Execution = iota
	// ExecutionFinished means that a target ran the task to its end, with or
	// without success.
	ExecutionFinished
	// ExecutionUnknown means that the task was sent to a target and its end is
	// unknown.
	ExecutionUnknown
)

// String returns the name used on the wire.
func (e Execution) String() string {
	switch e {
	case ExecutionNotRun:
		return "not-run"
	case ExecutionFinished:
		return "done"
	case ExecutionUnknown:
		return "unknown"
	}
	panic("execution out of range")
}

// Code is the machine-readable reason of a failure.
type Code string

// The codes of refusals and failures. They are part of the caller API: neither
// the texts nor their meanings change.
const (
	CodeNone            Code = ""
	CodeBadRequest      Code = "bad-request"
	CodeUnauthorized    Code = "unauthorized"
	CodeForbidden       Code = "forbidden"
	CodeUnknownPage     Code = "unknown-page"
	CodeWrongMethod     Code = "wrong-method"
	CodeUnknownService  Code = "unknown-service"
	CodeUnknownJob      Code = "unknown-job"
	CodeDuplicateTask   Code = "duplicate-task"
	CodeTooManyTasks    Code = "too-many-tasks"
	CodeTooLarge        Code = "too-large"
	CodeTooSlow         Code = "too-slow"
	CodeTooLate         Code = "too-late"
	CodeNeverFits       Code = "never-fits"
	CodeOverloaded      Code = "overloaded"
	CodeServiceFailing  Code = "service-failing"
	CodeNotReady        Code = "not-ready"
	CodeStopping        Code = "stopping"
	CodeDeadline        Code = "deadline-passed"
	CodeCancelled       Code = "cancelled"
	CodeTaskFailed      Code = "task-failed"
	CodeAttemptLost     Code = "attempt-lost"
	CodeAnswerTooLarge  Code = "answer-too-large"
	CodeTicketForged    Code = "ticket-forged"
	CodeTicketExpired   Code = "ticket-expired"
	CodeTicketUsed      Code = "ticket-used"
	CodeHomeGone        Code = "home-gone"
	CodeHomeUnreachable Code = "home-unreachable"
)

// TaskResult is the result of one task.
type TaskResult struct {
	ID        string
	Execution Execution
	Body      []byte // The target's answer, if the task succeeded; empty otherwise.
}

// Outcome is the end of a job. A complete job has one answer per task, a failed
// one has a reason and what is known about the execution of each task.
type Outcome struct {
	Complete   bool
	Code       Code          // Reason of the failure.
	Message    string        // Details of the failure, for people.
	RetryAfter time.Duration // When the caller may try again; zero sets no time.
	Tasks      []TaskResult  // In the order of submission.
}

// NotRun reports whether the job has failed and all its tasks are known not to
// have run.
func (o *Outcome) NotRun() bool {
	if o.Complete {
		return false
	}
	for i := range o.Tasks {
		if o.Tasks[i].Execution != ExecutionNotRun {
			return false
		}
	}
	return true
}

// RefusedOutcome returns the outcome of a job that failed before any task was
// started.
func RefusedOutcome(job *Job, code Code, message string, retryAfter time.Duration) Outcome {
	tasks := make([]TaskResult, len(job.Tasks))
	for i := range job.Tasks {
		tasks[i].ID = job.Tasks[i].ID
	}
	return Outcome{Code: code, Message: message, RetryAfter: retryAfter, Tasks: tasks}
}
