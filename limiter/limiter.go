// Package limiter keeps teams within their limits of running tasks and of
// starts per second.
//
// It holds one record per team with a limit; a team without one is not
// recorded.
package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"medlargw.example/medlargw"
)

// Limiter implements medlargw.Limiter.
type Limiter struct {
	teams map[medlargw.TeamName]*teamUse
}

var _ medlargw.Limiter = (*Limiter)(nil)

// teamUse is what one team uses of its limit.
type teamUse struct {
	limit   medlargw.Limit
	running int
	starts  *rate.Limiter
}

// New returns a limiter without limits.
func New() *Limiter {
	return &Limiter{teams: map[medlargw.TeamName]*teamUse{}}
}

// Configure sets the limits. Running tasks stay counted.
func (l *Limiter) Configure(cfg *medlargw.Config) {
	seen := make(map[medlargw.TeamName]bool, len(cfg.Teams))
	for _, t := range cfg.Teams {
		seen[t.Name] = true
		u := l.teams[t.Name]
		if u == nil {
			u = &teamUse{}
			l.teams[t.Name] = u
		}
		u.setLimit(t.Limit)
	}
	for name, u := range l.teams {
		if !seen[name] && u.running == 0 {
			delete(l.teams, name)
		}
	}
}

func (u *teamUse) setLimit(limit medlargw.Limit) {
	changed := u.limit.Starts != limit.Starts
	u.limit = limit
	if limit.Starts == 0 {
		u.starts = nil
		return
	}
	if changed || u.starts == nil {
		burst := int(math.Ceil(limit.Starts)) // One second of starts.
		u.starts = rate.NewLimiter(rate.Limit(limit.Starts), max(1, burst))
	}
}

// Take reserves one running task and one start.
func (l *Limiter) Take(now time.Time, job *medlargw.Job) (bool, time.Time) {
	u := l.teams[job.Team]
	if u == nil {
		u = &teamUse{}
		l.teams[job.Team] = u
	}
	if u.limit.Running > 0 && u.running >= u.limit.Running {
		return false, time.Time{}
	}
	if u.starts != nil && !u.starts.AllowN(now, 1) {
		missing := 1 - u.starts.TokensAt(now)
		wait := time.Duration(missing / u.limit.Starts * float64(time.Second))
		return false, now.Add(wait + time.Millisecond)
	}
	u.running++
	return true, time.Time{}
}

// Return frees the running task.
func (l *Limiter) Return(_ time.Time, job *medlargw.Job) {
	u := l.teams[job.Team]
	if u == nil || u.running == 0 {
		panic("running task returned twice: " + string(job.Team))
	}
	u.running--
}

// Status returns the teams in the order of their names.
func (l *Limiter) Status() []medlargw.LimitStatus {
	all := make([]medlargw.LimitStatus, 0, len(l.teams))
	for name, u := range l.teams {
		all = append(all, medlargw.LimitStatus{Team: name, Running: u.running, Limit: u.limit})
	}
	slices.SortFunc(all, func(a, b medlargw.LimitStatus) int { return cmp.Compare(a.Team, b.Team) })
	return all
}
