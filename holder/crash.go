package holder

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

const (
	// breakWindow is the time within which broken connections count as simultaneous.
	breakWindow = 50 * time.Millisecond
	// maxSingleBreaks is the number of targets that may break their connections within
	// breakWindow by the tasks on them. More have a cause in common, such as a rack or
	// a link.
	maxSingleBreaks = 2
)

// recordBreak records that a target has closed or refused a connection. When nothing
// accepts connections at its address any more, its process has ended, or it is cut off by
// something that rejects connections.
func (h *Holder) recordBreak(now time.Time, t *target, err error) {
	refused := errors.Is(err, medlargw.ErrConnectionRefused)
	if t.closedAt.IsZero() && (refused || errors.Is(err, medlargw.ErrConnectionClosed)) {
		t.closedAt = now
		h.breaks = slices.DeleteFunc(h.breaks, func(at time.Time) bool { return now.Sub(at) > time.Second })
		h.breaks = append(h.breaks, now)
	}
	if !refused || t.refusing {
		return
	}
	t.refusing = true
	if len(t.runs) == 0 {
		return
	}
	h.log.Info("target refuses connections", zap.String("target", string(t.info.Name)), zap.Int("runs", len(t.runs)),
		zap.Duration("silent", now.Sub(t.lastAnswer)))
	if t.isEndPlanned() {
		return
	}
	for _, r := range h.blameRuns(now, t, nil) {
		r.crash = medlargw.CrashLikely
	}
}

// isEndPlanned reports whether the end of the target's process is no crash.
func (t *target) isEndPlanned() bool { return t.info.Draining || t.evacuated }

// recordCrash records that the process of a target has ended unplanned under all its
// runs but one that is known not to have started, and reports it to their homes. It
// reports their ends only once they are proven.
func (h *Holder) recordCrash(now time.Time, t *target, notStarted *run, reason string) {
	if t.crashed || t.isEndPlanned() {
		return
	}
	t.crashed = true
	runs := h.blameRuns(now, t, notStarted)
	if len(runs) == 0 {
		return
	}
	h.log.Info("target crashed", zap.String("target", string(t.info.Name)), zap.Int("runs", len(runs)), zap.String("reason", reason))
	for _, r := range runs {
		r.crash = medlargw.CrashProven
		w := r.task
		h.log.Info("run on a crashed target", append(t.runFields(r.id), zap.String("service", string(w.offered.Service)), zap.Float64("blame", r.blame))...)
		h.actions.Reports = append(h.actions.Reports, medlargw.TaskReport{
			Home: w.home.peer, ID: w.offered.ID, Event: medlargw.TaskStarted, Target: t.info.Name, Reason: reason,
			Crash: r.crash, Blame: r.blame,
		})
	}
}

// suspectCrash records that a target which has not answered renewals until the last
// lease ended may have crashed.
func (h *Holder) suspectCrash(t *target) {
	if t.crashed || t.blamed || t.isEndPlanned() || t.failedRenewals == 0 {
		return // The last case is a pause of this entry, which has not renewed the lease.
	}
	runs, _ := h.attributeCrash(t, nil)
	for _, r := range runs {
		r.crash = medlargw.CrashPossible
	}
}

// blameRuns returns the runs of a target that were on board of its likely or proven crash.
// It records their shares in the crash with the attributor, once.
func (h *Holder) blameRuns(now time.Time, t *target, notStarted *run) []*run {
	if !t.blamed {
		t.blamed = true
		runs, suspects := h.attributeCrash(t, notStarted)
		if len(runs) > 0 {
			h.recordBlame(now, runs, suspects)
		}
		return runs
	}
	var runs []*run
	for _, r := range t.sortedRuns() {
		if r.task != nil && r != notStarted {
			runs = append(runs, r)
		}
	}
	return runs
}

// attributeCrash computes the shares of the runs of a target in its crash, and returns
// the runs. They have no share in one that has a cause in common with others.
func (h *Holder) attributeCrash(t *target, notStarted *run) ([]*run, []medlargw.CrashSuspect) {
	at := t.closedAt
	if at.IsZero() {
		at = t.lastAnswer
	}
	var runs []*run
	var suspects []medlargw.CrashSuspect
	for _, r := range t.sortedRuns() {
		if r.task == nil || r == notStarted {
			continue
		}
		runs = append(runs, r)
		suspects = append(suspects, medlargw.CrashSuspect{
			Service: r.task.offered.Service, Age: at.Sub(r.sent), Suspect: r.task.offered.Suspect,
		})
	}
	shares := h.attributor.Shares(at, suspects)
	if h.breaksNear(at) > maxSingleBreaks {
		clear(shares)
	}
	for i, r := range runs {
		r.blame = shares[i]
	}
	return runs, suspects
}

// recordBlame records the shares of the runs of a crashed target with the attributor.
func (h *Holder) recordBlame(now time.Time, runs []*run, suspects []medlargw.CrashSuspect) {
	shares := make([]float64, len(runs))
	for i, r := range runs {
		shares[i] = r.blame
	}
	h.attributor.RecordCrash(now, suspects, shares)
	h.updateConfined(now)
}

// breaksNear returns the number of targets whose connections broke at about a time.
func (h *Holder) breaksNear(at time.Time) int {
	n := 0
	for _, b := range h.breaks {
		if b.Sub(at).Abs() <= breakWindow {
			n++
		}
	}
	return n
}

// withdrawCrash withdraws the crash of a target that answers in the incarnation that
// seemed to have ended. Its runs go on.
func (h *Holder) withdrawCrash(t *target, report *medlargw.RunReport) {
	t.closedAt, t.refusing = time.Time{}, false
	if !t.crashed && !t.blamed || !report.IncarnationStart.Equal(t.incarnationStart) {
		return
	}
	t.crashed, t.blamed = false, false
	h.log.Info("target has not crashed", zap.String("target", string(t.info.Name)), zap.Int("runs", len(t.runs)))
	for _, r := range t.runs {
		r.crash, r.blame = medlargw.CrashNone, 0
	}
}
