package medlargw

import (
	"context"
	"iter"
	"time"
)

// Component is a component of a process, such as "dispatcher". Package
// registrar starts and stops it. Start returns as soon as it serves. Stop tells
// it to end, and Done is closed when it has ended.
type Component interface {
	Name() string
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Done() <-chan struct{}
}

// KeyValue is one key and its value in the Store.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision uint64 // Increases with each write of the key; zero means that there is no such key.
}

// Store is the platform's key-value service. A write that returns an error
// other than ErrConflict or ErrNotFound may have taken effect.
type Store interface {
	// Get returns the value of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// Put writes a value if the key has the given revision, and returns the new
	// revision. It returns ErrConflict otherwise. Revision zero creates the key.
	Put(ctx context.Context, key string, value []byte, revision uint64) (uint64, error)
	// Delete removes a key that has the given revision. It returns ErrConflict if
	// the revision is another one, and ErrNotFound if there is no such key.
	Delete(ctx context.Context, key string, revision uint64) error
	// List returns all keys with the prefix, and their values.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// Watch returns the key and its value as soon as its revision differs from the
	// given one. It may also return them unchanged after a while.
	Watch(ctx context.Context, key string, revision uint64) (KeyValue, error)
}

// HostLister reads the platform's list of hosts.
type HostLister interface {
	Hosts(ctx context.Context) (HostList, error)
}

// Sender sends one attempt to its target and waits for the answer. It never
// sends an attempt twice. The context ends when the attempt is cancelled, at
// the latest when Attempt.MaxRunTime has passed.
type Sender interface {
	Send(ctx context.Context, attempt *Attempt) AttemptEnd
}

// Submitter runs one job and returns its outcome. The context ends when the
// caller disconnects, which cancels the job.
type Submitter interface {
	Submit(ctx context.Context, job *Job) Outcome
}

// Scheduler holds the waiting tasks and decides in which order they start. It
// is used by one goroutine.
type Scheduler interface {
	// Configure replaces the configuration of the classes, teams and services.
	Configure(cfg *Config)
	// SetTaskSizes sets the distinct task sizes that targets can hold, in bytes of
	// memory, ascending.
	SetTaskSizes(sizes []int64)
	// Add queues all tasks of an admitted job. The estimate is the expected run
	// time of one task.
	Add(job *Job, estimate time.Duration)
	// Peek returns the task to start next among those that need at most maxSize
	// bytes of memory, without removing it.
	Peek(maxSize int64) (Candidate, bool)
	// Take removes the task that Peek returned.
	Take(c Candidate)
	// Requeue puts back a task whose attempt is known not to have started it.
	Requeue(job *Job, index int)
	// Remove drops the waiting tasks of a job and forgets the job.
	Remove(job *Job)
	// Block makes Peek skip the tasks of a scope, whose limit is reached, until
	// Unblock.
	Block(scope LimitScope)
	Unblock(scope LimitScope)
	// Backlog returns the work that would wait before a new job of that class and
	// team.
	Backlog(class ClassName, team TeamName) Backlog
	// EvictionCandidates returns the jobs that may be evicted for a job of the
	// given class, in order: those of lower classes of which no task has started,
	// the lowest class first and in each class the newest job first.
	EvictionCandidates(below ClassName) iter.Seq[*Job]
	// Waiting returns the number of waiting tasks by class, the highest priority
	// first.
	Waiting() []ClassDemand
	// Queues returns the number of waiting tasks by class and team.
	Queues() []QueueStatus
}

// Placer picks targets for tasks and keeps tasks away from failing targets. It
// is used by one goroutine.
type Placer interface {
	// SetAllocations replaces all allocations of slots that this entry may use.
	SetAllocations(now time.Time, all []Allocation)
	// Reserve reserves one slot for a task of the job, and returns false if no
	// free slot fits.
	Reserve(now time.Time, job *Job) (Allocation, bool)
	// Release frees the slot of an attempt, and updates the health of the target
	// and the service by the attempt's end.
	Release(now time.Time, attempt *Attempt, end *AttemptEnd)
	// Tick applies the changes that depend on time alone. NextTick returns when
	// Tick must be called next; zero is never.
	Tick(now time.Time)
	NextTick() time.Time
	// Free returns the number of free slots, and Slots the number of all slots in
	// use or free.
	Free() int
	Slots() int
	// MaxTaskSize returns the size of the largest task that fits a free slot, in
	// bytes of memory.
	MaxTaskSize() int64
	// TaskSizes returns the distinct task sizes that targets can hold, in bytes of
	// memory, ascending.
	TaskSizes() []int64
	// Fits reports whether any known target can hold a task of that size, in bytes
	// of memory.
	Fits(size int64) bool
	// ServiceBackoff returns for how long the job is to be refused because its
	// service fails on all targets; zero admits the job.
	ServiceBackoff(now time.Time, job *Job) time.Duration
	// SetAside takes a target out of use for an operator, or puts it back into
	// use.
	SetAside(now time.Time, target TargetName, aside bool)
	// InUse returns the targets with slots in use, ordered by name. A target that
	// this entry owns and that gets no new tasks counts with all its slots. Status
	// returns all targets, ordered by name.
	InUse() []TargetUsage
	Status() []TargetStatus
}

// Limiter enforces the limits of teams and services. It is used by one
// goroutine.
type Limiter interface {
	// Configure replaces the configured limits.
	Configure(cfg *Config)
	// SetShare replaces the configured limit of the team by this entry's share
	// of it. Where the configured limit is bounded, a zero field of the share
	// allows nothing; where it is unbounded, the field is ignored.
	SetShare(team TeamName, share Limit)
	// Acquire reserves one running task and one start. If a limit is reached it
	// returns false, the scope to block, and the time at which the next start may
	// be allowed; zero means as soon as a running task ends.
	Acquire(now time.Time, job *Job) (bool, LimitScope, time.Time)
	// Release frees the running task that Acquire has reserved.
	Release(now time.Time, job *Job)
	// Limit returns the limit of the team that this entry enforces.
	Limit(team TeamName) Limit
	// Running returns all teams and the numbers of their running tasks, and Status
	// their limits too, ordered by name.
	Running() []TeamUsage
	Status() []LimitStatus
}

// Clock is a clock that never jumps and that continues while the host is
// suspended. Its times are meaningful only relative to each other.
type Clock interface {
	Now() time.Time
}
