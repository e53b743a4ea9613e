package medlargw

import (
	"context"
	"time"
)

// Part is a service of the micro-kernel. Start returns when the part serves;
// Stop asks it to end, and Done is closed when it has ended.
type Part interface {
	Name() string
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Done() <-chan struct{}
}

// Entry is one value of the store.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // Rises with each write of the key; zero is absent.
}

// Store is the platform's key-value service. A method that returns an error
// other than ErrConflict or ErrNotFound may have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes if the key's revision is the given one; zero creates.
	Put(ctx context.Context, key string, value []byte, revision uint64) (uint64, error)
	// Delete removes the key if its revision is the given one.
	Delete(ctx context.Context, key string, revision uint64) error
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch returns the entry as soon as its revision differs from the given one.
	Watch(ctx context.Context, key string, revision uint64) (Entry, error)
}

// Hosts is the platform's list of hosts.
type Hosts interface {
	Hosts(ctx context.Context) (HostList, error)
}

// Sender carries one attempt to its target and waits for its end. It never
// sends an attempt twice. The context ends when the attempt is cancelled, and
// at the latest when its lease has passed.
type Sender interface {
	Send(ctx context.Context, attempt *Attempt) AttemptEnd
}

// Submitter runs one job and returns its outcome. The context ends when the
// caller is gone, which cancels the job.
type Submitter interface {
	Submit(ctx context.Context, job *Job) Outcome
}

// Scheduler orders the waiting tasks. It is used by one goroutine.
type Scheduler interface {
	Configure(cfg *Config)
	// SetSizes tells the distinct task sizes that targets can hold, ascending.
	SetSizes(sizes []int64)
	// Add lets all tasks of an admitted job wait. The estimate is of one task.
	Add(job *Job, estimate time.Duration)
	// Peek returns the task to start next among those that fit into room bytes,
	// without removing it.
	Peek(room int64) (Candidate, bool)
	// Take removes the task that Peek returned.
	Take(c Candidate)
	// Requeue puts a task back that was proven not started.
	Requeue(job *Job, index int)
	// Remove drops the waiting tasks of a job and forgets the job.
	Remove(job *Job)
	// Block passes over a lane until Unblock.
	Block(lane Lane)
	Unblock(lane Lane)
	// Backlog returns what waits before a new job of that class and team.
	Backlog(class ClassName, team TeamName) Backlog
	// Lowest returns the newest job without a start in the lowest class below
	// the given one.
	Lowest(below ClassName) (*Job, bool)
	// Waiting returns the waiting tasks by class, from the highest rank.
	Waiting() []ClassDemand
	// Queues returns the waiting tasks by class and team.
	Queues() []QueueStatus
}

// Placer picks targets for tasks. It is used by one goroutine.
type Placer interface {
	// SetCapacity replaces what this entry may use.
	SetCapacity(now time.Time, all []Capacity)
	// Pick reserves one slot for a task of the job.
	Pick(now time.Time, job *Job) (Capacity, bool)
	// Release frees the slot, and learns from the end of the attempt.
	Release(now time.Time, attempt *Attempt, end *AttemptEnd)
	// Tick lets time alone change the state; Wake says when it does next, zero
	// is never.
	Tick(now time.Time)
	Wake() time.Time
	// Free returns the slots that are free now, and Slots all that are in use
	// or free.
	Free() int
	Slots() int
	// Room returns the largest task size that a free slot can hold, in bytes.
	Room() int64
	// Sizes returns the distinct task sizes that targets can hold, ascending.
	Sizes() []int64
	// Fits reports whether any known target could hold a task of that size.
	Fits(size int64) bool
	// Failing returns how long the job is refused because its service fails
	// everywhere; zero admits them.
	Failing(now time.Time, job *Job) time.Duration
	// SetAside takes a target out of use, or back into it.
	SetAside(now time.Time, target TargetName, aside bool)
	// InUse returns the targets with slots in use, own ones that get nothing new
	// as a whole, and Status all targets, in the order of their names.
	InUse() []TargetUse
	Status() []TargetStatus
}

// Limiter keeps teams and services within their limits. It is used by one
// goroutine.
type Limiter interface {
	Configure(cfg *Config)
	// SetShare replaces the configured limit of the team by this entry's share
	// of it. Zero allows nothing where the configured limit is a bound.
	SetShare(team TeamName, share Limit)
	// Take reserves one running task and one start. At a limit it returns false,
	// the lane that the limit holds back, and the time at which a start may be
	// allowed; zero is when a running task ends.
	Take(now time.Time, job *Job) (bool, Lane, time.Time)
	// Return frees the running task.
	Return(now time.Time, job *Job)
	// Limit returns the limit in force for the team on this entry.
	Limit(team TeamName) Limit
	// Running returns all teams with their running tasks, and Status with their
	// limits too, in the order of their names.
	Running() []TeamUse
	Status() []LimitStatus
}

// Clock tells the time by a clock that never jumps and goes on while the host
// is suspended. Only differences of its times mean something.
type Clock interface {
	Now() time.Time
}
