// Package decider is the decision core of an entry. It has no I/O and no
// goroutines: the current time and events come in, actions come out. The
// control goroutine, tests and benchmarks drive it alike.
//
// A job is admitted or refused by Submit. Its tasks wait in the scheduler until
// the placer has a slot and the limiter a unit; each start is an attempt with a
// tag of its own. The first failure of a task ends the job at once. Slots and
// units stay reserved until the end of each attempt is reported, also after
// its job has ended.
//
// The work of one event is bounded: what is left over is done at the next one,
// for which the actions ask by their wake time.
package decider

import (
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/ranker"
)

// Decider holds the state of all jobs of one entry. It is used by one
// goroutine.
type Decider struct {
	settings   medlargw.Settings
	scheduler  medlargw.Scheduler
	placer     medlargw.Placer
	limiter    medlargw.Limiter
	estimator  medlargw.Estimator
	accountant medlargw.Accountant
	newTag     func() medlargw.Tag

	now       time.Time  // Of the last event.
	arrivals  []arrivals // By rank of the class.
	reach     int        // Slots that this entry could use if it borrowed them.
	jobs      map[medlargw.JobID]*jobState
	deadlines ranker.Ranker[*jobState]
	cancelled []medlargw.JobID // Jobs that were cancelled and have not ended.
	pauses    map[medlargw.Lane]*pause
	expiring  ranker.Ranker[*pause]     // Pauses that end by time.
	waiting   map[medlargw.TeamName]int // Waiting tasks by team.
	total     int                       // Waiting tasks of all teams.
	orphans   map[medlargw.Tag]*orphan
	leakCheck time.Time // No look for leaks before.
	unsettled bool      // The last event left work over.
	actions   medlargw.Actions
}

// New returns a decider without jobs. Each call of newTag must return a tag
// that was never used before.
func New(settings medlargw.Settings, tools medlargw.DeciderTools, newTag func() medlargw.Tag) *Decider {
	return &Decider{
		settings:   settings,
		scheduler:  tools.Scheduler,
		placer:     tools.Placer,
		limiter:    tools.Limiter,
		estimator:  tools.Estimator,
		accountant: tools.Accountant,
		newTag:     newTag,
		jobs:       map[medlargw.JobID]*jobState{},
		pauses:     map[medlargw.Lane]*pause{},
		waiting:    map[medlargw.TeamName]int{},
		orphans:    map[medlargw.Tag]*orphan{},
	}
}

// Actions returns what to carry out since the last Reset of its result.
func (d *Decider) Actions() *medlargw.Actions { return &d.actions }

// Jobs returns the number of jobs that have not ended.
func (d *Decider) Jobs() int { return len(d.jobs) }

// Waiting returns the waiting tasks by class.
func (d *Decider) Waiting() []medlargw.ClassDemand { return d.scheduler.Waiting() }

// Free returns the number of free slots.
func (d *Decider) Free() int { return d.placer.Free() }

// Configure puts a configuration into force. Jobs already admitted keep their
// class.
func (d *Decider) Configure(now time.Time, cfg *medlargw.Config) {
	d.scheduler.Configure(cfg)
	d.limiter.Configure(cfg)
	for lane := range d.pauses {
		d.resume(lane)
	}
	d.dispatch(now)
}

// SetCapacity replaces the slots that this entry may use.
func (d *Decider) SetCapacity(now time.Time, all []medlargw.Capacity) {
	d.placer.SetCapacity(now, all)
	d.scheduler.SetSizes(d.placer.Sizes())
	d.dispatch(now)
}

// SetReach tells how many slots this entry could use if it borrowed what it is
// granted under load. Admission counts on them.
func (d *Decider) SetReach(slots int) { d.reach = slots }

// SetShare replaces the configured limit of the team by this entry's share.
func (d *Decider) SetShare(now time.Time, team medlargw.TeamName, share medlargw.Limit) {
	d.limiter.SetShare(team, share)
	d.resume(medlargw.Lane{Team: team})
	d.dispatch(now)
}

// Submit admits the job or refuses it at once.
func (d *Decider) Submit(now time.Time, job *medlargw.Job) {
	d.now = now
	backlog := d.scheduler.Backlog(job.Class, job.Team)
	if refusal, refused := d.refuse(now, job, &backlog); refused {
		d.actions.Finishes = append(d.actions.Finishes, medlargw.Finish{Job: job, Outcome: refusal})
		return
	}
	state := newJobState(job)
	d.jobs[job.ID] = state
	d.deadlines.Set(state)
	d.count(job.Team, len(job.Tasks))
	d.accountant.Add(job, job.PayloadBytes())
	estimate := d.estimator.Estimate(job)
	d.admitted(now, backlog.Rank, time.Duration(len(job.Tasks))*estimate)
	d.scheduler.Add(job, estimate)
	d.dispatch(now)
}

// Ended takes the end of an attempt.
func (d *Decider) Ended(now time.Time, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	d.now = now
	d.placer.Release(now, a, end)
	d.limiter.Return(now, a.Job)
	d.resumeFull(medlargw.Lane{Team: a.Job.Team})
	d.resumeFull(medlargw.Lane{Team: a.Job.Team, Service: a.Job.Service})
	if end.Kind == medlargw.EndSucceeded {
		d.estimator.Learn(a.Job, end.Elapsed)
	}
	if state := d.jobs[a.Job.ID]; state != nil {
		d.settle(state, a, end)
	} else {
		delete(d.orphans, a.Tag)
	}
	d.dispatch(now)
}

// Cancel ends the job because its caller does not want it any more. No task of
// it starts after that; a wave of cancellations is worked off in later events.
func (d *Decider) Cancel(now time.Time, id medlargw.JobID) {
	state := d.jobs[id]
	if state == nil || state.cancelled {
		return
	}
	state.cancelled = true
	d.cancelled = append(d.cancelled, id)
	d.actions.Wake = now
}

// Tick ends the jobs whose deadline has passed and starts what time allows.
func (d *Decider) Tick(now time.Time) {
	for range maxDrops {
		if d.deadlines.Len() == 0 || now.Before(d.deadlines.First().job.Deadline) {
			break
		}
		d.fail(d.deadlines.First(), medlargw.CodeDeadline, "the deadline has passed", 0)
	}
	d.dispatch(now)
}

func (d *Decider) count(team medlargw.TeamName, n int) {
	d.total += n
	d.waiting[team] += n
	if d.waiting[team] == 0 {
		delete(d.waiting, team)
	}
}
