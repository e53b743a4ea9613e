package coordinator

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// maxReportWait bounds the time in which a holder that lives is to report the end of a
// run. Holders count an order without an answer as dropped by then if they do not reach
// its target.
const maxReportWait = 15 * time.Second

// ending is a job that has ended here while tasks of it may have runs. It also holds
// those of former submissions of the job.
type ending struct {
	requestID string
	since     time.Time // When its latest submission ended.
	endsBy    time.Time // When its runs have ended, unless an order is carried out late.
	tasks     map[medlargw.TaskID]*endingTask
}

// endingTask is a task of such a job whose run is not proven to have ended.
type endingTask struct {
	ending  *ending
	holder  *holder
	formers []*holder // Former holders of its run.
	stopped bool      // The holder has answered that it stops the run, and will report its end.
	unknown bool      // The holder has lost the run, which may go on under another one.
}

// trackEnd records that a run of a task of an ended job may go on. The task was not
// detached from its holder yet.
func (c *Coordinator) trackEnd(now time.Time, t *task) {
	id := t.job.job.RequestID
	if id == "" {
		return
	}
	e := c.endings[id]
	if e == nil {
		e = &ending{requestID: id, tasks: map[medlargw.TaskID]*endingTask{}}
		c.endings[id] = e
	}
	e.since = now
	e.endsBy = now.Add(c.settings.Resubmit)
	w := &endingTask{ending: e, holder: t.holder, formers: slices.Clone(t.formers)}
	e.tasks[t.id] = w
	c.endingTasks[t.id] = w
}

// recordEvent applies a holder's report of a task whose job has ended.
func (c *Coordinator) recordEvent(now time.Time, from *holder, e *medlargw.TaskReport) {
	w := c.endingTasks[e.ID]
	if w == nil {
		return
	}
	former := slices.Contains(w.formers, from)
	switch e.Event {
	case medlargw.TaskStarted:
		if from != w.holder && (!former || e.Reason == medlargw.ReasonHandedOver) {
			w.moveTo(from)
		}
	case medlargw.TaskSucceeded, medlargw.TaskFailed:
		c.recordEnd(now, e.ID)
	case medlargw.TaskStopped, medlargw.TaskReturned:
		if !former { // A former holder may report the end of its own lease.
			c.recordEnd(now, e.ID)
		}
	case medlargw.TaskUnknown:
		w.unknown = w.unknown || from == w.holder
	}
}

// moveTo records that another holder has taken the run over.
func (w *endingTask) moveTo(to *holder) {
	w.formers = slices.DeleteFunc(w.formers, func(h *holder) bool { return h == to })
	w.formers = append(w.formers, w.holder)
	w.holder = to
	w.stopped, w.unknown = false, false
}

// recordAnswer applies a holder's state of a task whose job has ended, which answers its
// cancel or a message before that.
func (c *Coordinator) recordAnswer(now time.Time, from *holder, s *medlargw.OfferedState, cancelled bool) {
	w := c.endingTasks[s.ID]
	switch {
	case w == nil || w.holder != from:
	case s.State == medlargw.OfferRefused || s.State == medlargw.OfferExpired:
		c.recordEnd(now, s.ID)
	case cancelled:
		w.stopped = true
	}
}

// recordEnd records that a task of an ended job has no run any more.
func (c *Coordinator) recordEnd(now time.Time, id medlargw.TaskID) {
	e := c.endingTasks[id].ending
	delete(c.endingTasks, id)
	delete(e.tasks, id)
	if len(e.tasks) == 0 {
		c.finishEnding(now, e, true)
	}
}

// finishEnding removes a job whose runs have ended, by proof or by time, and admits its
// next submission.
func (c *Coordinator) finishEnding(now time.Time, e *ending, proven bool) {
	level := zap.DebugLevel
	if !proven {
		level = zap.InfoLevel
	}
	c.log.Log(level, "runs of an ended job have ended", zap.String("job", e.requestID), zap.Bool("proven", proven),
		zap.Int("unproven", len(e.tasks)), zap.Duration("after", now.Sub(e.since)))
	for id := range e.tasks {
		delete(c.endingTasks, id)
	}
	delete(c.endings, e.requestID)
	for _, j := range slices.Clone(c.jobs) {
		if j.held && j.job.RequestID == e.requestID {
			j.held = false
			c.admit(now, j)
		}
	}
}

// isReportDue reports whether a holder that lives is to report the end of a run. Until
// then, a target may still carry out the start order late.
func (c *Coordinator) isReportDue(now time.Time, e *ending) bool {
	for _, w := range e.tasks {
		if w.stopped && !w.unknown && c.isHeard(now, w.holder) {
			return true
		}
	}
	return false
}

// isHeard reports whether a holder has given a sign of life within the time after which
// it counts as lost.
func (c *Coordinator) isHeard(now time.Time, h *holder) bool {
	return h.peer.Incarnation == c.self.Incarnation || !h.lost && now.Sub(h.lastHeard) <= maxMissedKeepalives*c.settings.Keep
}

// hasRuns reports whether runs of an ended job may go on.
func (c *Coordinator) hasRuns(now time.Time, e *ending) bool {
	return now.Before(e.endsBy) || now.Sub(e.since) < maxReportWait && c.isReportDue(now, e)
}

// expireEndings removes the jobs whose runs have ended by time.
func (c *Coordinator) expireEndings(now time.Time) {
	var expired []*ending
	for _, e := range c.endings {
		if !c.hasRuns(now, e) {
			expired = append(expired, e)
		}
	}
	slices.SortFunc(expired, func(a, b *ending) int { return cmp.Compare(a.requestID, b.requestID) })
	for _, e := range expired {
		c.finishEnding(now, e, false)
	}
}

// isEnding reports whether runs of a former submission of a job may go on.
func (c *Coordinator) isEnding(now time.Time, requestID string) bool {
	e := c.endings[requestID]
	return e != nil && c.hasRuns(now, e)
}

// logResubmission logs a job that is submitted while runs of its former submission may
// go on.
func (c *Coordinator) logResubmission(now time.Time, m *medlargw.Job) {
	if e := c.endings[m.RequestID]; e != nil {
		c.log.Info("job submitted before its former runs have ended", zap.String("job", m.RequestID),
			zap.Int("tasks", len(e.tasks)), zap.Duration("after", now.Sub(e.since)))
	}
}

// EndingJobs returns the number of jobs that have ended here while runs of them may go
// on.
func (c *Coordinator) EndingJobs() int { return len(c.endings) }
