package builder_test

import (
	"encoding/binary"
	"time"

	"medlargw.example/medlargw"
)

// checkInvariants checks that no task started twice, that no draining target
// started a task after its deadline, that no task reported as not run was
// started, and that complete jobs have the results of their own tasks.
func (f *fleet) checkInvariants() {
	for number, starts := range f.targetPool.starts {
		if starts > 1 {
			f.t.Errorf("starts of task %d: got %d, want at most 1", number, starts)
		}
	}
	if got := f.targetPool.lateStarts; got != 0 {
		f.t.Errorf("starts on draining targets: got %d, want 0", got)
	}
	for i := range f.records {
		f.checkRecord(&f.records[i])
	}
}

func (f *fleet) checkRecord(r *record) {
	if r.outcome.Complete && len(r.outcome.Tasks) != len(r.job.Tasks) {
		f.t.Errorf("results: got %d, want %d", len(r.outcome.Tasks), len(r.job.Tasks))
		return
	}
	for i := range r.outcome.Tasks {
		number := binary.BigEndian.Uint64(r.job.Tasks[i].Payload)
		result, starts := &r.outcome.Tasks[i], f.targetPool.starts[number]
		if result.Execution == medlargw.ExecutionNotRun && starts != 0 {
			f.t.Errorf("task %d reported as not run: got %d starts, want 0", number, starts)
		}
		if !r.outcome.Complete {
			continue
		}
		if len(result.Body) != 8 || binary.BigEndian.Uint64(result.Body) != number {
			f.t.Errorf("answer to task %d: got %x, want its own", number, result.Body)
		}
	}
}

// countFailures returns the number of incomplete jobs and of all jobs that were
// sent between from and to. Jobs that their entry had not answered when it died
// are not counted.
func (f *fleet) countFailures(from, to time.Time) (failed, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.records {
		r := &f.records[i]
		if r.entryDied || r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		all++
		if !r.outcome.Complete {
			failed++
		}
	}
	return failed, all
}
