package coordinator

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// ending is a job that has ended here while tasks of it may have runs. It also holds
// those of former submissions of the job.
type ending struct {
	requestID string
	since     time.Time // When its latest submission ended.
	endsBy    time.Time // When its runs have ended, even if no message tells it.
	tasks     map[medlargw.TaskID]*endingTask
}

// endingTask is a task of such a job whose run is not proven to have ended.
type endingTask struct {
	ending  *ending
	holder  *holder
	formers []*holder // Former holders of its run.
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
	}
}

// moveTo records that another holder has taken the run over.
func (w *endingTask) moveTo(to *holder) {
	w.formers = slices.DeleteFunc(w.formers, func(h *holder) bool { return h == to })
	w.formers = append(w.formers, w.holder)
	w.holder = to
}

// recordAnswer applies a holder's answer to the cancel of a task whose job has ended.
func (c *Coordinator) recordAnswer(now time.Time, from *holder, s *medlargw.OfferedState) {
	w := c.endingTasks[s.ID]
	if w != nil && w.holder == from && (s.State == medlargw.OfferRefused || s.State == medlargw.OfferExpired) {
		c.recordEnd(now, s.ID)
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

// expireEndings removes the jobs whose runs have ended by time.
func (c *Coordinator) expireEndings(now time.Time) {
	var expired []*ending
	for _, e := range c.endings {
		if !now.Before(e.endsBy) {
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
	return e != nil && now.Before(e.endsBy)
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
