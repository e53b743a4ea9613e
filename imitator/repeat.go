package imitator

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlargw.example/medlargw"
)

// submission identifies a task of one submission of its job. Submissions of a
// job are told apart by the payloads of its tasks.
type submission struct {
	task    string
	payload uint64 // Hash of the payload.
}

func newSubmission(task string, payload []byte) submission {
	return submission{task: task, payload: xxhash.Sum64(payload)}
}

// history is what is known of the runs of a task of one submission.
type history struct {
	succeeded bool
	refused   bool      // The submission was reported as not run.
	ackedEnd  string    // The acknowledged end of a successful run; empty is none.
	lastStart time.Time // Of its runs.
	lastRun   string    // The run that started then.
}

// success is the end of a successful run that was not acknowledged yet.
type success struct {
	sequence uint64
	of       submission
	at       time.Time
	run      string
}

func (im *Imitator) history(of submission) *history {
	s := im.submissions[of]
	if s == nil {
		s = &history{}
		im.submissions[of] = s
	}
	return s
}

// recordStart records the start of a run, which must not follow an acknowledged
// success.
func (im *Imitator) recordStart(t *target, id medlargw.RunID, of submission) {
	s := im.history(of)
	s.lastStart = im.now()
	s.lastRun = fmt.Sprintf("run %d on %s", id.Attempt, t.info.Name)
	if s.refused {
		im.addViolation("task %s: got a start of %s after this submission of its job was refused, want none", of.task, s.lastRun)
	}
	if s.ackedEnd != "" {
		im.addRepeat(of, s.lastRun, s.ackedEnd)
	}
}

func (im *Imitator) recordSuccess(t *target, r *run) {
	im.history(r.of).succeeded = true
	t.successes = append(t.successes, success{
		sequence: t.lastEnd, of: r.of, at: r.endsAt, run: fmt.Sprintf("run %d on %s", r.id.Attempt, t.info.Name),
	})
}

// recordAck records that the ends up to a sequence number are acknowledged. An
// end does not count if the lease of the target lapsed between the two.
func (im *Imitator) recordAck(t *target, sequence uint64) {
	t.successes = slices.DeleteFunc(t.successes, func(e success) bool {
		if e.sequence > sequence {
			return false
		}
		if t.lapsedAt.Before(e.at) {
			s := im.history(e.of)
			s.ackedEnd = e.run
			if s.lastStart.After(e.at) {
				im.addRepeat(e.of, s.lastRun, e.run)
			}
		}
		return true
	})
}

func (im *Imitator) addRepeat(of submission, started, succeeded string) {
	im.repeats = append(im.repeats, fmt.Sprintf("task %s: got a start of %s after the acknowledged success of %s, want none", of.task, started, succeeded))
}

// Repeats returns the starts of tasks after a run of the same submission had
// succeeded, where that end was acknowledged before or after the start. They are
// not among Violations.
func (im *Imitator) Repeats() []string {
	im.mu.Lock()
	defer im.mu.Unlock()
	return slices.Clone(im.repeats)
}

// Succeeded reports whether a run of the task with the payload has succeeded.
func (im *Imitator) Succeeded(task string, payload []byte) bool {
	im.mu.Lock()
	defer im.mu.Unlock()
	s := im.submissions[newSubmission(task, payload)]
	return s != nil && s.succeeded
}
