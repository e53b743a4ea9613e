// Package limiter enforces the limits of teams and services: running tasks and
// starts per second.
//
// It has one usage record per limit scope: one for each team, and one for each
// service that has a limit of its own. A start is charged to both its team and
// its service if both limits allow it, and to neither otherwise.
package limiter

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Limiter implements medlargw.Limiter.
type Limiter struct {
	usages map[medlargw.LimitScope]*usage
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
	return &Limiter{usages: map[medlargw.LimitScope]*usage{}}
}

// Configure sets the limits. It keeps the counts of running tasks and the
// shares.
func (l *Limiter) Configure(cfg *medlargw.Config) {
	seen := make(map[medlargw.LimitScope]bool, len(cfg.Teams))
	for i := range cfg.Teams {
		scope := medlargw.LimitScope{Team: cfg.Teams[i].Name}
		seen[scope] = true
		l.ensureUsage(scope).configure(cfg.Teams[i].Limit)
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if s.Limit == (medlargw.Limit{}) {
			continue
		}
		scope := medlargw.LimitScope{Team: s.Team, Service: s.Name}
		seen[scope] = true
		l.ensureUsage(scope).configure(s.Limit)
	}
	for scope, u := range l.usages {
		if seen[scope] {
			continue
		}
		u.configure(medlargw.Limit{})
		if u.running == 0 {
			l.remove(scope)
		}
	}
}

// SetShare replaces the configured limit of the team by a share of it.
func (l *Limiter) SetShare(team medlargw.TeamName, share medlargw.Limit) {
	u := l.ensureUsage(medlargw.LimitScope{Team: team})
	u.share = share
	u.hasShare = true
	u.derive()
}

func (l *Limiter) ensureUsage(scope medlargw.LimitScope) *usage {
	u := l.usages[scope]
	if u == nil {
		u = &usage{}
		l.usages[scope] = u
		if scope.Service == "" {
			i, _ := l.findTeam(scope.Team)
			l.teams = slices.Insert(l.teams, i, teamUsage{name: scope.Team, usage: u})
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

// Acquire reserves one running task and one start. If a limit does not allow
// it, Acquire returns the scope of the limit, and the time at which a start is
// allowed again, or zero when that depends on running tasks.
func (l *Limiter) Acquire(now time.Time, job *medlargw.Job) (bool, medlargw.LimitScope, time.Time) {
	scope := medlargw.LimitScope{Team: job.Team}
	team := l.ensureUsage(scope)
	if ok, until := team.allows(now); !ok {
		return false, scope, until
	}
	scope.Service = job.Service
	service := l.usages[scope]
	if service != nil {
		if ok, until := service.allows(now); !ok {
			return false, scope, until
		}
		service.reserve(now)
	}
	team.reserve(now)
	return true, medlargw.LimitScope{}, time.Time{}
}

// Release frees the running task that Acquire reserved.
func (l *Limiter) Release(_ time.Time, job *medlargw.Job) {
	u := l.usages[medlargw.LimitScope{Team: job.Team}]
	if u == nil || u.running == 0 {
		panic("running task released twice: " + string(job.Team))
	}
	u.running--
	// The service may have got its limit after this task had started uncounted.
	if u := l.usages[medlargw.LimitScope{Team: job.Team, Service: job.Service}]; u != nil && u.running > 0 {
		u.running--
	}
}

// Limit returns the limit in force for the team.
func (l *Limiter) Limit(team medlargw.TeamName) medlargw.Limit {
	if u := l.usages[medlargw.LimitScope{Team: team}]; u != nil {
		return u.limit
	}
	return medlargw.Limit{}
}

func (l *Limiter) remove(scope medlargw.LimitScope) {
	delete(l.usages, scope)
	if scope.Service != "" {
		return
	}
	if i, found := l.findTeam(scope.Team); found {
		l.teams = slices.Delete(l.teams, i, i+1)
	}
}

// Running returns the running tasks by team, in the order of names.
func (l *Limiter) Running() []medlargw.TeamUsage {
	all := make([]medlargw.TeamUsage, len(l.teams))
	for i, t := range l.teams {
		all[i] = medlargw.TeamUsage{Team: t.name, Running: t.usage.running}
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
