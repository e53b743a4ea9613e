package medlargw

import "time"

// FinishedJob says that a job has ended, and with which outcome.
type FinishedJob struct {
	Job     *Job
	Outcome Outcome
	// Of a job on targets under lease:
	Refusal       RefusalReason // RefusalNone if it was not refused.
	ExpectedStart time.Duration // From its arrival, when it was admitted.
	FirstStart    time.Duration // From its arrival, as known at its home; zero if no task has started.
}

// DeciderActions are what the control goroutine must carry out after the
// decider has handled an event. Starts are in order of priority, the highest
// first.
type DeciderActions struct {
	Starts   []Attempt
	Stops    []AttemptID // Running attempts to cancel, since their results are no longer needed.
	Finished []FinishedJob
	Leaks    []LeakStatus // Newly found leaked slots; each is reported once.
	NextTick time.Time    // When the decider must run again without an event; zero is never.
}

// Reset empties the slices and keeps their memory for reuse.
func (a *DeciderActions) Reset() {
	clear(a.Starts)
	clear(a.Finished)
	a.Starts = a.Starts[:0]
	a.Stops = a.Stops[:0]
	a.Finished = a.Finished[:0]
	a.Leaks = a.Leaks[:0]
	a.NextTick = time.Time{}
}

// Candidate is a waiting task that could be started next.
type Candidate struct {
	Job       *Job
	TaskIndex int // Of the task in Job.Tasks.
	Rank      int // Of the job's class; zero is the highest priority.
}

// Allocation is a number of slots of one target that this entry may use, either
// as the owner of the target or by a loan from the owner.
type Allocation struct {
	Target    Target
	Slots     int
	ExpiresAt time.Time // When the allocation ends; zero is never.
}
