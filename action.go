package medlargw

import "time"

// Finish ends a job.
type Finish struct {
	Job     *Job
	Outcome Outcome
}

// Actions are what the control goroutine must carry out after an event. Starts
// are in order of precedence.
type Actions struct {
	Starts   []Attempt
	Stops    []Tag // Running attempts whose end no longer matters.
	Finishes []Finish
	Leaks    []LeakStatus // Found now; each is told once.
	Wake     time.Time    // When time alone may allow more; zero is never.
}

// Reset empties the actions and keeps their memory.
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
	Index int
	Rank  int // Rank of the job's class.
}

// Capacity is the right to use slots of a target.
type Capacity struct {
	Target Target
	Slots  int
	Until  time.Time // The right ends then; zero is never.
}
