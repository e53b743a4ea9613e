// Package decider is the decision core of an entry. It does no I/O and starts
// no goroutines: its inputs are events with the current time, and its outputs
// are actions. The control goroutine, tests and benchmarks drive it in the same
// way.
//
// Submit admits or refuses a job. The tasks of an admitted job wait in the
// scheduler until the placer has a free slot and the limits of the team and the
// service allow a start. Each start is an attempt with a unique ID. The first
// failed task fails the whole job at once. An attempt holds its slot and its
// unit of each limit until its end is reported, even if its job has ended
// before.
//
// The work done for one event is bounded. The rest is done at the next event,
// which the actions request by setting NextTick to now.
package decider

import (
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/ranker"
)

// Decider holds the state of all jobs of one entry. It is not safe for
// concurrent use.
type Decider struct {
	settings     medlargw.Settings
	scheduler    medlargw.Scheduler
	placer       medlargw.Placer
	limiter      medlargw.Limiter
	estimator    medlargw.Estimator
	accountant   medlargw.Accountant
	newAttemptID func() medlargw.AttemptID

	now           time.Time    // Time of the last event.
	recentWork    []recentWork // Recently admitted, by rank of the class.
	expectedSlots int          // Slots that this entry can expect to get by borrowing under load.
	jobs          map[medlargw.JobID]*jobState
	deadlines     ranker.Ranker[*jobState]
	cancelled     []medlargw.JobID // Jobs to end because they were cancelled.
	pauses        map[medlargw.LimitScope]*pause
	timedPauses   ranker.Ranker[*pause]     // Pauses that end at a set time.
	waitingByTeam map[medlargw.TeamName]int // Number of waiting tasks.
	totalWaiting  int                       // Number of waiting tasks of all teams.
	orphans       map[medlargw.AttemptID]*orphan
	nextLeakCheck time.Time // Earliest time of the next check for leaks.
	workRemains   bool      // The last event reached its bound on work.
	actions       medlargw.DeciderActions
}

// New returns a decider without jobs. Each call of newAttemptID must
// return an ID that was never used before.
func New(settings medlargw.Settings, deps medlargw.DeciderDependencies, newAttemptID func() medlargw.AttemptID) *Decider {
	return &Decider{
		settings:      settings,
		scheduler:     deps.Scheduler,
		placer:        deps.Placer,
		limiter:       deps.Limiter,
		estimator:     deps.Estimator,
		accountant:    deps.Accountant,
		newAttemptID:  newAttemptID,
		jobs:          map[medlargw.JobID]*jobState{},
		pauses:        map[medlargw.LimitScope]*pause{},
		waitingByTeam: map[medlargw.TeamName]int{},
		orphans:       map[medlargw.AttemptID]*orphan{},
	}
}

// Actions returns the actions accumulated since its result was last reset.
func (d *Decider) Actions() *medlargw.DeciderActions { return &d.actions }

// Jobs returns the number of jobs that have not ended.
func (d *Decider) Jobs() int { return len(d.jobs) }

// Waiting returns the number of waiting tasks by class.
func (d *Decider) Waiting() []medlargw.ClassDemand { return d.scheduler.Waiting() }

// Free returns the number of free slots.
func (d *Decider) Free() int { return d.placer.Free() }

// Configure applies a configuration. Jobs that are already admitted keep their
// class.
func (d *Decider) Configure(now time.Time, cfg *medlargw.Config) {
	d.scheduler.Configure(cfg)
	d.limiter.Configure(cfg)
	for scope := range d.pauses {
		d.resume(scope)
	}
	d.dispatch(now)
}

// SetAllocations replaces the slots that this entry may use.
func (d *Decider) SetAllocations(now time.Time, all []medlargw.Allocation) {
	d.placer.SetAllocations(now, all)
	d.scheduler.SetTaskSizes(d.placer.TaskSizes())
	d.dispatch(now)
}

// SetExpectedSlots sets the number of slots that this entry can expect to get
// by borrowing under load. Admission uses it to predict the wait.
func (d *Decider) SetExpectedSlots(slots int) { d.expectedSlots = slots }

// SetShare replaces the team's configured limit with this entry's share of it.
func (d *Decider) SetShare(now time.Time, team medlargw.TeamName, share medlargw.Limit) {
	d.limiter.SetShare(team, share)
	d.resume(medlargw.LimitScope{Team: team})
	d.dispatch(now)
}

// Submit admits or refuses the job.
func (d *Decider) Submit(now time.Time, job *medlargw.Job) {
	d.now = now
	backlog := d.scheduler.Backlog(job.Class, job.Team)
	if refusal, refused := d.refuse(now, job, &backlog); refused {
		d.actions.Finished = append(d.actions.Finished, medlargw.FinishedJob{Job: job, Outcome: refusal})
		return
	}
	state := newJobState(job)
	d.jobs[job.ID] = state
	d.deadlines.AddOrFix(state)
	d.addWaiting(job.Team, len(job.Tasks))
	d.accountant.Charge(job, job.PayloadBytes())
	estimate := d.estimator.Estimate(job)
	d.recordAdmission(now, backlog.Rank, time.Duration(len(job.Tasks))*estimate)
	d.scheduler.Add(job, estimate)
	d.dispatch(now)
}

// AttemptEnded handles the end of an attempt.
func (d *Decider) AttemptEnded(now time.Time, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	d.now = now
	d.placer.Release(now, a, end)
	d.limiter.Release(now, a.Job)
	d.resumeUntimed(medlargw.LimitScope{Team: a.Job.Team})
	d.resumeUntimed(medlargw.LimitScope{Team: a.Job.Team, Service: a.Job.Service})
	if end.Kind == medlargw.EndSucceeded {
		d.estimator.Observe(a.Job, end.Elapsed)
	}
	if state := d.jobs[a.Job.ID]; state != nil {
		d.recordEnd(state, a, end)
	} else {
		delete(d.orphans, a.ID)
	}
	d.dispatch(now)
}

// Cancel ends a job that its caller no longer wants. No task of the job starts
// after the call, but the job itself may end at a later event, so that many
// cancellations at once do not block the control goroutine.
func (d *Decider) Cancel(now time.Time, id medlargw.JobID) {
	state := d.jobs[id]
	if state == nil || state.cancelled {
		return
	}
	state.cancelled = true
	d.cancelled = append(d.cancelled, id)
	d.actions.NextTick = now
}

// Tick fails the jobs whose deadline has passed and starts tasks that have
// become eligible with time.
func (d *Decider) Tick(now time.Time) {
	for range maxDropsPerEvent {
		if d.deadlines.Len() == 0 || now.Before(d.deadlines.First().job.Deadline) {
			break
		}
		d.fail(d.deadlines.First(), medlargw.CodeDeadline, "the deadline has passed", 0)
	}
	d.dispatch(now)
}

// addWaiting changes the number of waiting tasks of a team by n.
func (d *Decider) addWaiting(team medlargw.TeamName, n int) {
	d.totalWaiting += n
	d.waitingByTeam[team] += n
	if d.waitingByTeam[team] == 0 {
		delete(d.waitingByTeam, team)
	}
}
