// Package decider is the decision core of an entry. It has no I/O and no
// goroutines: the current time and events come in, actions come out. The
// control goroutine, tests and benchmarks drive it alike.
//
// A job is admitted or refused by Submit. Its tasks wait in the scheduler until
// the placer has a slot and the limiter a unit; each start is an attempt with a
// tag of its own. The first failure of a task ends the job at once. Slots and
// units stay reserved until the end of each attempt is reported, also after
// its job has ended.
package decider

import (
	"time"

	"medlargw.example/medlargw"
)

// Decider holds the state of all jobs of one entry. It is used by one
// goroutine.
type Decider struct {
	settings  medlargw.Settings
	scheduler medlargw.Scheduler
	placer    medlargw.Placer
	limiter   medlargw.Limiter
	newTag    func() medlargw.Tag
	jobs      map[medlargw.JobID]*jobState
	deadlines deadlineHeap
	blocked   map[medlargw.TeamName]time.Time // Zero waits for a running task to end.
	waiting   map[medlargw.TeamName]int       // Waiting tasks by team.
	total     int                             // Waiting tasks of all teams.
	actions   medlargw.Actions
}

// New returns a decider without jobs. Each call of newTag must return a tag
// that was never used before.
func New(
	settings medlargw.Settings,
	scheduler medlargw.Scheduler,
	placer medlargw.Placer,
	limiter medlargw.Limiter,
	newTag func() medlargw.Tag,
) *Decider {
	return &Decider{
		settings:  settings,
		scheduler: scheduler,
		placer:    placer,
		limiter:   limiter,
		newTag:    newTag,
		jobs:      map[medlargw.JobID]*jobState{},
		blocked:   map[medlargw.TeamName]time.Time{},
		waiting:   map[medlargw.TeamName]int{},
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
	for team := range d.blocked {
		d.unblock(team)
	}
	d.dispatch(now)
}

// SetCapacity replaces the slots that this entry may use.
func (d *Decider) SetCapacity(now time.Time, all []medlargw.Capacity) {
	d.placer.SetCapacity(now, all)
	d.dispatch(now)
}

// Submit admits the job or refuses it at once.
func (d *Decider) Submit(now time.Time, job *medlargw.Job) {
	if refusal, refused := d.refuse(now, job); refused {
		d.actions.Finishes = append(d.actions.Finishes, medlargw.Finish{Job: job, Outcome: refusal})
		return
	}
	state := newJobState(job)
	d.jobs[job.ID] = state
	d.deadlines.add(state)
	d.count(job.Team, len(job.Tasks))
	d.scheduler.Add(job)
	d.dispatch(now)
}

// Ended takes the end of an attempt.
func (d *Decider) Ended(now time.Time, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	d.placer.Release(now, a, end)
	d.limiter.Return(now, a.Job)
	if until, ok := d.blocked[a.Job.Team]; ok && until.IsZero() {
		d.unblock(a.Job.Team)
	}
	if state := d.jobs[a.Job.ID]; state != nil {
		d.settle(state, a, end)
	}
	d.dispatch(now)
}

// Cancel ends the job because its caller does not want it any more.
func (d *Decider) Cancel(now time.Time, id medlargw.JobID) {
	if state := d.jobs[id]; state != nil {
		d.fail(state, medlargw.CodeCancelled, "the job was cancelled", 0)
		d.dispatch(now)
	}
}

// Tick ends the jobs whose deadline has passed and starts what time allows.
func (d *Decider) Tick(now time.Time) {
	for {
		state := d.deadlines.first()
		if state == nil || now.Before(state.job.Deadline) {
			break
		}
		d.fail(state, medlargw.CodeDeadline, "the deadline has passed", 0)
	}
	for team, until := range d.blocked {
		if !until.IsZero() && !now.Before(until) {
			d.unblock(team)
		}
	}
	d.dispatch(now)
}

func (d *Decider) unblock(team medlargw.TeamName) {
	delete(d.blocked, team)
	d.scheduler.Unblock(team)
}

func (d *Decider) count(team medlargw.TeamName, n int) {
	d.total += n
	d.waiting[team] += n
	if d.waiting[team] == 0 {
		delete(d.waiting, team)
	}
}

// dispatch starts waiting tasks in order of precedence while slots are free.
func (d *Decider) dispatch(now time.Time) {
	for d.placer.Free() > 0 {
		c, ok := d.scheduler.Peek()
		if !ok {
			break
		}
		allowed, until := d.limiter.Take(now, c.Job)
		if !allowed {
			d.blocked[c.Job.Team] = until
			d.scheduler.Block(c.Job.Team)
			continue
		}
		slot, ok := d.placer.Pick(now, c.Job)
		if !ok {
			d.limiter.Return(now, c.Job)
			break
		}
		d.scheduler.Take(c)
		d.start(c, &slot)
	}
	d.setWake()
}

func (d *Decider) start(c medlargw.Candidate, slot *medlargw.Capacity) {
	a := medlargw.Attempt{
		Tag:     d.newTag(),
		Job:     c.Job,
		Index:   c.Index,
		Target:  slot.Target.Name,
		Addr:    slot.Target.Addr,
		Lease:   d.settings.Task.Lease,
		UseUpTo: slot.Until,
	}
	d.jobs[c.Job.ID].running[a.Tag] = c.Index
	d.count(c.Job.Team, -1)
	d.actions.Starts = append(d.actions.Starts, a)
}

// setWake finds the next time at which time alone changes something.
func (d *Decider) setWake() {
	var wake time.Time
	if state := d.deadlines.first(); state != nil {
		wake = state.job.Deadline
	}
	for _, until := range d.blocked {
		if !until.IsZero() && (wake.IsZero() || until.Before(wake)) {
			wake = until
		}
	}
	d.actions.Wake = wake
}
