package decider

import (
	"time"

	"medlargw.example/medlargw"
)

// retryAfter is when a caller that met a full queue should come back.
const retryAfter = time.Second

// refuse says whether the job can't be admitted, and with which outcome.
func (d *Decider) refuse(now time.Time, job *medlargw.Job) (medlargw.Outcome, bool) {
	switch {
	case !now.Before(job.Deadline):
		return medlargw.Refusal(job, medlargw.CodeDeadline, "the deadline has passed", 0), true
	case !d.placer.Fits(job.Size):
		return medlargw.Refusal(job, medlargw.CodeNeverFits, "no target can hold a task of that size", 0), true
	case d.total+len(job.Tasks) > d.settings.Intake.Waiting:
		return medlargw.Refusal(job, medlargw.CodeOverloaded, "too many tasks wait", retryAfter), true
	case d.waiting[job.Team]+len(job.Tasks) > d.settings.Intake.Team:
		return medlargw.Refusal(job, medlargw.CodeOverloaded, "too many tasks of the team wait", retryAfter), true
	}
	return medlargw.Outcome{}, false
}
