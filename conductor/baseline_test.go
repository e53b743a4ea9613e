package conductor_test

import (
	"cmp"
	"slices"
	"time"
)

// baselineTarget is a target of a baseline, which has all targets in one pool.
type baselineTarget struct {
	free     int64
	slowdown float64 // Factor on run times.
	hang     bool
	fail     bool
	resets   []time.Duration // Times at which it loses its runs.
}

// policy is the order in which a baseline serves waiting tasks.
type policy int

const (
	// byArrival serves in order of arrival, refuses nothing and ignores the faults
	// of the targets.
	byArrival policy = iota
	// The other policies know the faults of the targets, and drop a job as soon
	// as it can no longer start in time.
	byRankThenStart
	byLatestStart
	byWork
)

// baselineTask is a task in a baseline.
type baselineTask struct {
	job      *baselineJob
	attempts int
}

// baselineJob is a job in a baseline.
type baselineJob struct {
	*loadJob
	remaining int // Tasks that have not ended.
	started   bool
	dropped   bool
	end       time.Duration // When it was complete; zero if it was not.
}

// baselineRun is a run of a task in a baseline.
type baselineRun struct {
	task   *baselineTask
	target *baselineTarget
	end    time.Duration
	failed bool
}

// baseline simulates a load on one pool of all targets, with no delay of
// messages.
type baseline struct {
	policy  policy
	targets []*baselineTarget
	waiting []*baselineTask
	runs    []baselineRun
	jobs    []*baselineJob
}

// simulate returns the jobs of a load with the times of their ends.
func (bl *baseline) simulate(load []loadJob) []*baselineJob {
	next := 0
	for {
		at, ok := bl.nextEnd()
		switch {
		case next < len(load) && (!ok || load[next].at < at):
			bl.arrive(&load[next])
			at = load[next].at
			next++
		case ok:
			bl.finishRuns(at)
		default:
			return bl.jobs
		}
		bl.startWaiting(at)
	}
}

func (bl *baseline) arrive(l *loadJob) {
	j := &baselineJob{loadJob: l, remaining: l.tasks}
	bl.jobs = append(bl.jobs, j)
	for range l.tasks {
		bl.waiting = append(bl.waiting, &baselineTask{job: j})
	}
}

// nextEnd returns the next time at which a run ends, and false if nothing runs.
func (bl *baseline) nextEnd() (time.Duration, bool) {
	if len(bl.runs) == 0 {
		return 0, false
	}
	first := slices.MinFunc(bl.runs, func(a, b baselineRun) int { return cmp.Compare(a.end, b.end) })
	return first.end, true
}

func (bl *baseline) finishRuns(at time.Duration) {
	bl.runs = slices.DeleteFunc(bl.runs, func(r baselineRun) bool {
		if r.end > at {
			return false
		}
		r.target.free += r.task.job.cores
		j := r.task.job
		if r.failed {
			if r.task.attempts < 2 && !j.dropped {
				bl.waiting = append(bl.waiting, r.task)
			} else {
				j.dropped = true
			}
			return true
		}
		if j.remaining--; j.remaining == 0 && !j.dropped {
			j.end = at
		}
		return true
	})
}

// startWaiting starts the waiting tasks that fit, in the order of the policy.
func (bl *baseline) startWaiting(at time.Duration) {
	bl.waiting = slices.DeleteFunc(bl.waiting, func(t *baselineTask) bool { return bl.dropIfLate(at, t.job) })
	slices.SortStableFunc(bl.waiting, bl.compare)
	bl.waiting = slices.DeleteFunc(bl.waiting, func(t *baselineTask) bool {
		target := bl.bestTarget(t.job)
		if target == nil {
			return false
		}
		bl.run(at, t, target)
		return true
	})
}

// dropIfLate drops a job whose caller has left or that can't complete by its
// deadline. Unless the policy is byArrival, it also drops a job that has not
// started and can no longer meet its objective. It reports whether the job is
// dropped.
func (bl *baseline) dropIfLate(at time.Duration, j *baselineJob) bool {
	switch {
	case j.dropped, j.leavesAfter > 0 && at > j.at+j.leavesAfter, at+j.work > j.at+j.deadline:
		j.dropped = true
	case bl.policy != byArrival && !j.started && at+j.work > j.at+j.objective():
		j.dropped = true
	}
	return j.dropped
}

func (bl *baseline) compare(a, b *baselineTask) int {
	start := func(t *baselineTask) time.Duration { return t.job.at + t.job.objective() - t.job.work }
	switch bl.policy {
	case byRankThenStart:
		return cmp.Or(cmp.Compare(a.job.kind, b.job.kind), cmp.Compare(start(a), start(b)))
	case byLatestStart:
		return cmp.Compare(start(a), start(b))
	case byWork:
		size := func(t *baselineTask) time.Duration { return t.job.work * time.Duration(t.job.tasks) }
		return cmp.Or(cmp.Compare(size(a), size(b)), cmp.Compare(a.job.at, b.job.at))
	}
	return 0 // The tasks are in order of arrival.
}

// bestTarget returns the target with enough free cores on which to start a task
// of the job, or nil if there is none: the fastest one and, among equally fast
// ones, the one with the least free cores. Targets that hang or fail are left
// out. The policy byArrival ignores the speed, and also uses targets that hang
// or fail.
func (bl *baseline) bestTarget(j *baselineJob) *baselineTarget {
	var best *baselineTarget
	for _, t := range bl.targets {
		if t.free < j.cores || bl.policy != byArrival && (t.hang || t.fail) {
			continue
		}
		if best == nil || cmp.Or(bl.compareSpeed(t, best), cmp.Compare(t.free, best.free)) < 0 {
			best = t
		}
	}
	return best
}

func (bl *baseline) compareSpeed(a, b *baselineTarget) int {
	if bl.policy == byArrival {
		return 0
	}
	return cmp.Compare(a.slowdown, b.slowdown)
}

func (bl *baseline) run(at time.Duration, t *baselineTask, target *baselineTarget) {
	target.free -= t.job.cores
	t.attempts++
	t.job.started = true
	r := baselineRun{task: t, target: target, end: at + time.Duration(float64(t.job.work)*target.slowdown), failed: target.fail}
	if target.hang {
		r.end, r.failed = t.job.at+t.job.deadline, true
		t.attempts = 2
	}
	for _, reset := range target.resets {
		if reset > at && reset < r.end {
			r.end, r.failed = reset, true
			t.attempts = 0 // The loss does not count as an attempt.
		}
	}
	bl.runs = append(bl.runs, r)
}

// totalPayoff returns the payoff of the jobs of a baseline.
func totalPayoff(jobs []*baselineJob) float64 {
	sum := 0.0
	for _, j := range jobs {
		if j.end > 0 && j.callerWaits() {
			sum += j.payoffAt(j.end - j.at)
		}
	}
	return sum
}

// ideal simulates a load with all targets in one pool and full knowledge of
// their faults, and returns the result of the policy with the highest payoff.
func ideal(load []loadJob, targets func() []*baselineTarget) []*baselineJob {
	var best []*baselineJob
	for _, order := range []policy{byRankThenStart, byLatestStart, byWork} {
		bl := &baseline{policy: order, targets: targets()}
		if jobs := bl.simulate(load); best == nil || totalPayoff(jobs) > totalPayoff(best) {
			best = jobs
		}
	}
	return best
}
