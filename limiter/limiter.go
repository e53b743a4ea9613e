// Package limiter keeps teams and services within their limits of running
// tasks and of starts per second.
//
// It holds one record per lane: one for each team, and one for each service
// that has a limit of its own. A start passes the record of its service and
// that of its team, or neither is charged.
package limiter

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Limiter implements medlargw.Limiter.
type Limiter struct {
	uses  map[medlargw.Lane]*use
	teams []team // By name.
}

// team is the record of a team.
type team struct {
	name medlargw.TeamName
	use  *use
}

var _ medlargw.Limiter = (*Limiter)(nil)

// New returns a limiter without limits.
func New() *Limiter {
	return &Limiter{uses: map[medlargw.Lane]*use{}}
}

// Configure sets the limits. Running tasks stay counted and shares in force.
func (l *Limiter) Configure(cfg *medlargw.Config) {
	seen := make(map[medlargw.Lane]bool, len(cfg.Teams))
	for i := range cfg.Teams {
		lane := medlargw.Lane{Team: cfg.Teams[i].Name}
		seen[lane] = true
		l.use(lane).configure(cfg.Teams[i].Limit)
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if s.Limit == (medlargw.Limit{}) {
			continue
		}
		lane := medlargw.Lane{Team: s.Team, Service: s.Name}
		seen[lane] = true
		l.use(lane).configure(s.Limit)
	}
	for lane, u := range l.uses {
		if seen[lane] {
			continue
		}
		u.configure(medlargw.Limit{})
		if u.running == 0 {
			l.forget(lane)
		}
	}
}

// SetShare replaces the configured limit of the team by a share of it.
func (l *Limiter) SetShare(team medlargw.TeamName, share medlargw.Limit) {
	u := l.use(medlargw.Lane{Team: team})
	u.share = share
	u.shared = true
	u.derive()
}

func (l *Limiter) use(lane medlargw.Lane) *use {
	u := l.uses[lane]
	if u == nil {
		u = &use{}
		l.uses[lane] = u
		if lane.Service == "" {
			i, _ := l.find(lane.Team)
			l.teams = slices.Insert(l.teams, i, team{name: lane.Team, use: u})
		}
	}
	return u
}

// find returns the position of the team in the order of names.
func (l *Limiter) find(name medlargw.TeamName) (int, bool) {
	return slices.BinarySearchFunc(l.teams, name, func(t team, name medlargw.TeamName) int {
		return cmp.Compare(t.name, name)
	})
}

// Take reserves one running task and one start.
func (l *Limiter) Take(now time.Time, job *medlargw.Job) (bool, medlargw.Lane, time.Time) {
	lane := medlargw.Lane{Team: job.Team}
	whole := l.use(lane)
	if ok, until := whole.allows(now); !ok {
		return false, lane, until
	}
	lane.Service = job.Service
	service := l.uses[lane]
	if service != nil {
		if ok, until := service.allows(now); !ok {
			return false, lane, until
		}
		service.take(now)
	}
	whole.take(now)
	return true, medlargw.Lane{}, time.Time{}
}

// Return frees the running task.
func (l *Limiter) Return(_ time.Time, job *medlargw.Job) {
	u := l.uses[medlargw.Lane{Team: job.Team}]
	if u == nil || u.running == 0 {
		panic("running task returned twice: " + string(job.Team))
	}
	u.running--
	// A service may have got its limit while this task ran uncounted.
	if u := l.uses[medlargw.Lane{Team: job.Team, Service: job.Service}]; u != nil && u.running > 0 {
		u.running--
	}
}

// Limit returns the limit in force for the team.
func (l *Limiter) Limit(team medlargw.TeamName) medlargw.Limit {
	if u := l.uses[medlargw.Lane{Team: team}]; u != nil {
		return u.limit
	}
	return medlargw.Limit{}
}

func (l *Limiter) forget(lane medlargw.Lane) {
	delete(l.uses, lane)
	if lane.Service != "" {
		return
	}
	if i, found := l.find(lane.Team); found {
		l.teams = slices.Delete(l.teams, i, i+1)
	}
}

// Running returns the teams in the order of their names.
func (l *Limiter) Running() []medlargw.TeamUse {
	all := make([]medlargw.TeamUse, len(l.teams))
	for i, t := range l.teams {
		all[i] = medlargw.TeamUse{Team: t.name, Running: t.use.running}
	}
	return all
}

// Status returns the teams in the order of their names.
func (l *Limiter) Status() []medlargw.LimitStatus {
	all := make([]medlargw.LimitStatus, len(l.teams))
	for i, t := range l.teams {
		all[i] = medlargw.LimitStatus{Team: t.name, Running: t.use.running, Limit: t.use.limit, Blocked: t.use.full()}
	}
	return all
}
