// Package accountant counts the bytes that jobs hold. The counts form a tree:
// the bytes of a job add to those of its team, and the bytes of a team to those
// of the entry.
//
// Above the high watermark, no new job is admitted. Above the hard limit, the
// largest job of the team that holds the most bytes is the victim: this one job
// fails with a clear error, and all others continue. The teams, and the jobs of
// each team, are heaps ordered by the bytes they hold.
package accountant

import (
	"medlargw.example/medlargw"
	"medlargw.example/medlargw/ranker"
)

// highWatermark is the share of the hard limit above which no job is admitted.
const highWatermark = 0.75

// Accountant implements medlargw.Accountant.
type Accountant struct {
	limitBytes   int64
	heldBytes    int64
	jobs         map[medlargw.JobID]*account
	teams        map[medlargw.TeamName]*account
	teamsByBytes ranker.Ranker[*account] // Heap of the teams.
}

var _ medlargw.Accountant = (*Accountant)(nil)

// account counts the bytes of one job, or of one team and its jobs.
type account struct {
	team      medlargw.TeamName
	job       *medlargw.Job
	heldBytes int64
	index     int
	jobs      ranker.Ranker[*account]
}

// Before orders accounts by the bytes they hold, the largest first.
func (a *account) Before(other *account) bool { return a.heldBytes > other.heldBytes }

// Position returns where the ranker keeps the element's index.
func (a *account) Position() *int { return &a.index }

// New returns an accountant with a hard limit in bytes; zero means no limit.
func New(limit int64) *Accountant {
	return &Accountant{
		limitBytes: limit,
		jobs:       map[medlargw.JobID]*account{},
		teams:      map[medlargw.TeamName]*account{},
	}
}

// HeldBytes returns the bytes that all jobs of the entry hold.
func (a *Accountant) HeldBytes() int64 { return a.heldBytes }

// ExceedsWatermark reports whether a job of that size must not be admitted now.
func (a *Accountant) ExceedsWatermark(bytes int64) bool {
	return a.limitBytes > 0 && float64(a.heldBytes+bytes) > highWatermark*float64(a.limitBytes)
}

// Charge adds bytes to the counts of the job, its team and the entry.
func (a *Accountant) Charge(job *medlargw.Job, bytes int64) {
	t := a.teams[job.Team]
	if t == nil {
		t = &account{team: job.Team}
		a.teams[job.Team] = t
	}
	j := a.jobs[job.ID]
	if j == nil {
		j = &account{job: job}
		a.jobs[job.ID] = j
	}
	j.heldBytes += bytes
	t.heldBytes += bytes
	a.heldBytes += bytes
	t.jobs.AddOrFix(j)
	a.teamsByBytes.AddOrFix(t)
}

// Release removes the bytes of the job from all counts.
func (a *Accountant) Release(job *medlargw.Job) {
	j := a.jobs[job.ID]
	if j == nil {
		return
	}
	delete(a.jobs, job.ID)
	t := a.teams[job.Team]
	t.jobs.Remove(j)
	t.heldBytes -= j.heldBytes
	a.heldBytes -= j.heldBytes
	if t.jobs.Len() == 0 {
		a.teamsByBytes.Remove(t)
		delete(a.teams, t.team)
		return
	}
	a.teamsByBytes.AddOrFix(t)
}

// Victim returns the job to fail because the hard limit is exceeded, or nil if
// it is not.
func (a *Accountant) Victim() *medlargw.Job {
	if a.limitBytes == 0 || a.heldBytes <= a.limitBytes {
		return nil
	}
	return a.teamsByBytes.First().jobs.First().job
}
