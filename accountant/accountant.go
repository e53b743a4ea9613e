// Package accountant counts the bytes that jobs hold, as a tree: each job adds
// to its team, and each team to the entry.
//
// At the high mark no new job is taken in. At the hard limit the largest job is
// the victim, of the team that holds most, as the tree has it: one job fails
// clearly, and all others go on. Teams and the jobs of a team are heaps ordered
// by the bytes they hold.
package accountant

import (
	"medlargw.example/medlargw"
	"medlargw.example/medlargw/ranker"
)

// highMark is the share of the hard limit at which intake stops.
const highMark = 0.75

// Accountant implements medlargw.Accountant.
type Accountant struct {
	limit int64
	held  int64
	jobs  map[medlargw.JobID]*account
	teams map[medlargw.TeamName]*account
	order ranker.Ranker[*account] // Of the teams.
}

var _ medlargw.Accountant = (*Accountant)(nil)

// account is one job, or one team with its jobs.
type account struct {
	name  medlargw.TeamName
	job   *medlargw.Job
	held  int64
	index int
	jobs  ranker.Ranker[*account]
}

// Before is part of a ranker's element.
func (a *account) Before(other *account) bool { return a.held > other.held }

// Position is part of a ranker's element.
func (a *account) Position() *int { return &a.index }

// New returns an accountant with a hard limit in bytes; zero is no limit.
func New(limit int64) *Accountant {
	return &Accountant{
		limit: limit,
		jobs:  map[medlargw.JobID]*account{},
		teams: map[medlargw.TeamName]*account{},
	}
}

// Held returns the bytes that the whole entry holds.
func (a *Accountant) Held() int64 { return a.held }

// Blocked reports whether a job of that size must not be taken in now.
func (a *Accountant) Blocked(bytes int64) bool {
	return a.limit > 0 && float64(a.held+bytes) > highMark*float64(a.limit)
}

// Add charges bytes to the job, its team and the entry.
func (a *Accountant) Add(job *medlargw.Job, bytes int64) {
	t := a.teams[job.Team]
	if t == nil {
		t = &account{name: job.Team}
		a.teams[job.Team] = t
	}
	j := a.jobs[job.ID]
	if j == nil {
		j = &account{job: job}
		a.jobs[job.ID] = j
	}
	j.held += bytes
	t.held += bytes
	a.held += bytes
	t.jobs.Set(j)
	a.order.Set(t)
}

// Release frees what the job holds.
func (a *Accountant) Release(job *medlargw.Job) {
	j := a.jobs[job.ID]
	if j == nil {
		return
	}
	delete(a.jobs, job.ID)
	t := a.teams[job.Team]
	t.jobs.Remove(j)
	t.held -= j.held
	a.held -= j.held
	if t.jobs.Len() == 0 {
		a.order.Remove(t)
		delete(a.teams, t.name)
		return
	}
	a.order.Set(t)
}

// Victim returns the job to fail while the hard limit is exceeded, or nil.
func (a *Accountant) Victim() *medlargw.Job {
	if a.limit == 0 || a.held <= a.limit {
		return nil
	}
	return a.order.First().jobs.First().job
}
