// Package limiter enforces the limits of teams and services: running tasks and
// starts per second.
//
// It has one usage record per lane: one for each team, and one for each service
// that has a limit of its own. A start is charged to both its team and its
// service if both limits allow it, and to neither otherwise.
package limiter

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Limiter implements medlargw.Limiter.
type Limiter struct {
	usages map[medlargw.Lane]*usage
	teams  []teamUsage // By name.
}

// teamUsage is the usage record of a team.
type teamUsage struct {
	name  medlargw.TeamName
	usage *usage
}

var _ medlargw.Limiter = (*Limiter)(nil)

// New returns a limiter without limits.
func New() *Limiter {
	return &Limiter{usages: map[medlargw.Lane]*usage{}}
}

// Configure sets the limits. It keeps the counts of running tasks and the
// shares.
func (l *Limiter) Configure(cfg *medlargw.Config) {
	seen := make(map[medlargw.Lane]bool, len(cfg.Teams))
	for i := range cfg.Teams {
		lane := medlargw.Lane{Team: cfg.Teams[i].Name}
		seen[lane] = true
		l.ensureUsage(lane).configure(cfg.Teams[i].Limit)
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if s.Limit == (medlargw.Limit{}) {
			continue
		}
		lane := medlargw.Lane{Team: s.Team, Service: s.Name}
		seen[lane] = true
		l.ensureUsage(lane).configure(s.Limit)
	}
	for lane, u := range l.usages {
		if seen[lane] {
			continue
		}
		u.configure(medlargw.Limit{})
		if u.running == 0 {
			l.remove(lane)
		}
	}
}

// SetShare replaces the configured limit of the team by a share of it.
func (l *Limiter) SetShare(team medlargw.TeamName, share medlargw.Limit) {
	u := l.ensureUsage(medlargw.Lane{Team: team})
	u.share = share
	u.hasShare = true
	u.derive()
}

func (l *Limiter) ensureUsage(lane medlargw.Lane) *usage {
	u := l.usages[lane]
	if u == nil {
		u = &usage{}
		l.usages[lane] = u
		if lane.Service == "" {
			i, _ := l.findTeam(lane.Team)
			l.teams = slices.Insert(l.teams, i, teamUsage{name: lane.Team, usage: u})
		}
	}
	return u
}

// findTeam returns the position of the team in the order of names.
func (l *Limiter) findTeam(name medlargw.TeamName) (int, bool) {
	return slices.BinarySearchFunc(l.teams, name, func(t teamUsage, name medlargw.TeamName) int {
		return cmp.Compare(t.name, name)
	})
}

// Take reserves one running task and one start. If a limit does not allow it,
// Take returns the lane of the limit, and the time at which a start is allowed
// again, or zero when that depends on running tasks.
func (l *Limiter) Take(now time.Time, job *medlargw.Job) (bool, medlargw.Lane, time.Time) {
	lane := medlargw.Lane{Team: job.Team}
	team := l.ensureUsage(lane)
	if ok, until := team.allows(now); !ok {
		return false, lane, until
	}
	lane.Service = job.Service
	service := l.usages[lane]
	if service != nil {
		if ok, until := service.allows(now); !ok {
			return false, lane, until
		}
		service.reserve(now)
	}
	team.reserve(now)
	return true, medlargw.Lane{}, time.Time{}
}

// Return releases the running task that Take reserved.
func (l *Limiter) Return(_ time.Time, job *medlargw.Job) {
	u := l.usages[medlargw.Lane{Team: job.Team}]
	if u == nil || u.running == 0 {
		panic("running task returned twice: " + string(job.Team))
	}
	u.running--
	// The service may have got its limit after this task had started uncounted.
	if u := l.usages[medlargw.Lane{Team: job.Team, Service: job.Service}]; u != nil && u.running > 0 {
		u.running--
	}
}

// Limit returns the limit in force for the team.
func (l *Limiter) Limit(team medlargw.TeamName) medlargw.Limit {
	if u := l.usages[medlargw.Lane{Team: team}]; u != nil {
		return u.limit
	}
	return medlargw.Limit{}
}

func (l *Limiter) remove(lane medlargw.Lane) {
	delete(l.usages, lane)
	if lane.Service != "" {
		return
	}
	if i, found := l.findTeam(lane.Team); found {
		l.teams = slices.Delete(l.teams, i, i+1)
	}
}

// Running returns the running tasks by team, in the order of names.
func (l *Limiter) Running() []medlargw.TeamUse {
	all := make([]medlargw.TeamUse, len(l.teams))
	for i, t := range l.teams {
		all[i] = medlargw.TeamUse{Team: t.name, Running: t.usage.running}
	}
	return all
}

// Status returns the usage and limit by team, in the order of names.
func (l *Limiter) Status() []medlargw.LimitStatus {
	all := make([]medlargw.LimitStatus, len(l.teams))
	for i, t := range l.teams {
		all[i] = medlargw.LimitStatus{Team: t.name, Running: t.usage.running, Limit: t.usage.limit, Blocked: t.usage.full()}
	}
	return all
}
