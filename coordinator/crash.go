package coordinator

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

const (
	// minCrashes is the number of targets that have crashed under a task before it can
	// be given up, and maxCrashes the number with which it is given up whatever else
	// ran on them.
	minCrashes = 2
	maxCrashes = 3
	// maxBlame is the sum of a task's shares in crashes with which it is given up.
	maxBlame = 1.2
	// suspectBlame is the sum from which a task counts as likely to crash the next
	// target.
	suspectBlame = 0.3
	// livenessTime is the time after which a crashed target has left the host list. One
	// that is listed for longer lives.
	livenessTime = 6 * time.Second
	// unknownBlame is the share of a run whose neighbours are unknown.
	unknownBlame = 0.5
)

// crash is a crash of a target under a run of a task. Each run counts once, however
// many entries tell of its end.
type crash struct {
	attempt int
	blame   float64
}

// loss is the end of a run with a target that may have crashed. A later incarnation of
// the target, or another target at its address, proves that it has.
type loss struct {
	crash

	target      medlargw.Target // As it was listed when the run started.
	at          time.Time
	holderLives bool // The holder found the target silent; otherwise the holder is lost itself.
	likely      bool // The target refused connections.
}

// blame returns the sum of the task's shares in crashes.
func (t *task) blame() float64 {
	sum := 0.0
	for _, k := range t.crashes {
		sum += k.blame
	}
	return sum
}

// suspectedCrashes returns the number of targets that have crashed under the task or
// were silent until its lease ended.
func (t *task) suspectedCrashes() int {
	n := len(t.crashes)
	for _, l := range t.losses {
		if l.holderLives {
			n++
		}
	}
	return n
}

// likelyCrashes returns the number of targets that have crashed or have probably crashed
// under the task, and the sum of its shares in that.
func (t *task) likelyCrashes() (n int, blame float64) {
	n, blame = len(t.crashes), t.blame()
	for _, l := range t.losses {
		if l.likely {
			n++
			blame += l.blame
		}
	}
	return n, blame
}

// isSuspect reports whether the task is likely to crash the target that starts it.
func (t *task) isSuspect() bool {
	_, blame := t.likelyCrashes()
	return t.suspectedCrashes() >= minCrashes || blame >= suspectBlame
}

// mustWait reports whether the task is not started until it is known how many of the
// targets that it was lost with have crashed.
func (t *task) mustWait() bool {
	n, blame := t.likelyCrashes()
	return t.suspectedCrashes() >= maxCrashes || isDeadly(n, blame)
}

// isDeadly reports whether a task that has crashed n targets, with the sum of its shares in
// the crashes, is given up.
func isDeadly(n int, blame float64) bool {
	return n >= maxCrashes || n >= minCrashes && blame >= maxBlame
}

// recordCrash records that a target has crashed under a run of a task. It fails the
// job if the task has crashed as many targets as allowed, and reports whether it has.
func (c *Coordinator) recordCrash(now time.Time, t *task, k crash) bool {
	if slices.ContainsFunc(t.crashes, func(known crash) bool { return known.attempt == k.attempt }) {
		return t.job.ended
	}
	t.losses = slices.DeleteFunc(t.losses, func(l loss) bool { return l.attempt == k.attempt })
	t.crashes = append(t.crashes, k)
	sum := t.blame()
	id := t.job.job.Tasks[t.index].ID
	c.log.Info("target crashed under a task", zap.String("task", id), zap.Int("attempt", k.attempt),
		zap.Int("crashes", len(t.crashes)), zap.Float64("share", k.blame), zap.Float64("blame", sum))
	if n := len(t.crashes); isDeadly(n, sum) {
		c.abort(now, t.job, medlargw.CodeTaskFailed, fmt.Sprintf("task %s crashed %d targets", id, n))
	}
	return t.job.ended
}

// applyCrash records what an event tells of a crash, and reports whether the job has
// ended by that.
func (c *Coordinator) applyCrash(now time.Time, t *task, e *medlargw.TaskReport) bool {
	switch {
	case e.Crash == medlargw.CrashProven:
		return c.recordCrash(now, t, crash{attempt: t.attempt, blame: e.Blame})
	case e.Event.Terminal():
		t.withdrawCrash(t.attempt)
	}
	if e.Crash != medlargw.CrashNone && e.Event.Terminal() {
		c.recordLoss(now, t, &loss{crash: crash{blame: e.Blame}, holderLives: true, likely: e.Crash == medlargw.CrashLikely})
	}
	return false
}

// withdrawCrash removes the crash under a run that has ended otherwise.
func (t *task) withdrawCrash(attempt int) {
	t.crashes = slices.DeleteFunc(t.crashes, func(k crash) bool { return k.attempt == attempt })
}

// recordLoss records that the current run of a task has ended with a target that may
// have crashed.
func (c *Coordinator) recordLoss(now time.Time, t *task, l *loss) {
	if t.target.Name == "" {
		return
	}
	l.attempt, l.target, l.at = t.attempt, t.target, now
	t.losses = append(t.losses, *l)
	c.hasLosses = true
}

// setTarget records on which target a task has started.
func (c *Coordinator) setTarget(t *task, name medlargw.TargetName) {
	if name == "" || t.target.Name == name {
		return
	}
	t.target = medlargw.Target{Name: name}
	if listed := c.listed(name); listed != nil {
		t.target = *listed
	}
}

// setTargets replaces the host list.
func (c *Coordinator) setTargets(targets []medlargw.Target) {
	c.targets = targets
	c.sizes = targetSizes(targets)
	c.targetIndex = make(map[medlargw.TargetName]int, len(targets))
	for i := range targets {
		c.targetIndex[targets[i].Name] = i
	}
}

// listed returns a target of the host list, or nil.
func (c *Coordinator) listed(name medlargw.TargetName) *medlargw.Target {
	if i, ok := c.targetIndex[name]; ok {
		return &c.targets[i]
	}
	return nil
}

// reviewLosses looks in the host list for the proof of crashes that are possible.
func (c *Coordinator) reviewLosses(now time.Time) {
	if !c.hasLosses {
		return
	}
	c.hasLosses = false
	for _, j := range slices.Clone(c.jobs) {
		for _, t := range j.tasks {
			if c.reviewTask(now, t) {
				break // The job has ended.
			}
			c.hasLosses = c.hasLosses || len(t.losses) > 0
		}
	}
}

// reviewTask looks for the proof of the possible crashes of one task. It reports whether
// the job has ended.
func (c *Coordinator) reviewTask(now time.Time, t *task) bool {
	for _, l := range slices.Clone(t.losses) {
		switch c.crashOf(now, &l) {
		case medlargw.CrashProven:
			if c.recordCrash(now, t, l.crash) {
				return true
			}
		case medlargw.CrashNone:
			t.losses = slices.DeleteFunc(t.losses, func(other loss) bool { return other.attempt == l.attempt })
		}
	}
	return false
}

// crashOf returns what the host list tells of the target of a lost run. An entry that
// only lapses tells nothing: the target may be cut off.
func (c *Coordinator) crashOf(now time.Time, l *loss) medlargw.CrashState {
	born := l.target.IncarnationStart
	if listed := c.listed(l.target.Name); listed != nil {
		switch {
		case !born.IsZero() && listed.IncarnationStart.After(born):
			return medlargw.CrashProven
		case now.Sub(l.at) > livenessTime || listed.Draining:
			return medlargw.CrashNone
		}
		return medlargw.CrashPossible
	}
	for i := range c.targets {
		if c.targets[i].Addr == l.target.Addr && l.target.Addr.IsValid() && c.targets[i].IncarnationStart.After(born) {
			return medlargw.CrashProven
		}
	}
	return medlargw.CrashPossible
}
