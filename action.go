package medlargw

import "time"

// Finish says that a job has ended, and with which outcome.
type Finish struct {
	Job     *Job
	Outcome Outcome
}

// Actions are what the control goroutine must carry out after the decider has
// handled an event. Starts are in order of priority, the highest first.
type Actions struct {
	Starts   []Attempt
	Stops    []Tag // Running attempts to cancel, since their results are no longer needed.
	Finishes []Finish
	Leaks    []LeakStatus // Newly found leaked slots; each is reported once.
	Wake     time.Time    // When the decider must run again without an event; zero is never.
}

// Reset empties the slices and keeps their memory for reuse.
func (a *Actions) Reset() {
	clear(a.Starts)
	clear(a.Finishes)
	a.Starts = a.Starts[:0]
	a.Stops = a.Stops[:0]
	a.Finishes = a.Finishes[:0]
	a.Leaks = a.Leaks[:0]
	a.Wake = time.Time{}
}

// Candidate is a waiting task that could be started next.
type Candidate struct {
	Job   *Job
	Index int // Of the task in Job.Tasks.
	Rank  int // Of the job's class; zero is the highest priority.
}

// Capacity is an allocation of slots of one target to this entry, either of a
// target that it owns or by a loan from the owner.
type Capacity struct {
	Target Target
	Slots  int
	Until  time.Time // When the allocation ends; zero is never.
}
