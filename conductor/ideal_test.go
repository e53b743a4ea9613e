package conductor_test

import (
	"cmp"
	"slices"
	"time"
)

// poolTarget is a target of a baseline, which has all targets in one pool.
type poolTarget struct {
	free   int64
	slow   float64 // Factor of run times.
	hang   bool
	fail   bool
	resets []time.Duration // When it loses what runs.
}

// policy is how a baseline orders what waits.
type policy int

const (
	// arrival serves in order of arrival, refuses nothing and knows nothing of
	// the targets.
	arrival policy = iota
	// The others know all of the targets, and drop a job as soon as it can't
	// begin in time any more.
	rankThenStart
	latestStart
	leastWork
)

// poolTask is a task of a baseline.
type poolTask struct {
	job      *poolJob
	attempts int
}

// poolJob is a job of a baseline.
type poolJob struct {
	*loadJob
	left  int // Tasks that have not ended.
	begun bool
	lost  bool
	end   time.Duration // When it was complete; zero is never.
}

// running is a run of a baseline.
type running struct {
	task   *poolTask
	target *poolTarget
	end    time.Duration
	failed bool
}

// pool plays a load on one pool of targets without any delay of messages.
type pool struct {
	policy  policy
	targets []*poolTarget
	waiting []*poolTask
	runs    []running
	jobs    []*poolJob
}

// play returns the jobs of a load with their ends.
func (p *pool) play(load []loadJob) []*poolJob {
	next := 0
	for {
		at, any := p.nextEnd()
		switch {
		case next < len(load) && (!any || load[next].at < at):
			p.arrive(&load[next])
			at = load[next].at
			next++
		case any:
			p.endAt(at)
		default:
			return p.jobs
		}
		p.start(at)
	}
}

func (p *pool) arrive(l *loadJob) {
	j := &poolJob{loadJob: l, left: l.tasks}
	p.jobs = append(p.jobs, j)
	for range l.tasks {
		p.waiting = append(p.waiting, &poolTask{job: j})
	}
}

// nextEnd returns the next time at which a run ends.
func (p *pool) nextEnd() (time.Duration, bool) {
	if len(p.runs) == 0 {
		return 0, false
	}
	first := slices.MinFunc(p.runs, func(a, b running) int { return cmp.Compare(a.end, b.end) })
	return first.end, true
}

func (p *pool) endAt(at time.Duration) {
	p.runs = slices.DeleteFunc(p.runs, func(r running) bool {
		if r.end > at {
			return false
		}
		r.target.free += r.task.job.cores
		j := r.task.job
		if r.failed {
			if r.task.attempts < 2 && !j.lost {
				p.waiting = append(p.waiting, r.task)
			} else {
				j.lost = true
			}
			return true
		}
		if j.left--; j.left == 0 && !j.lost {
			j.end = at
		}
		return true
	})
}

// start starts what fits, in the order of the policy.
func (p *pool) start(at time.Duration) {
	p.waiting = slices.DeleteFunc(p.waiting, func(t *poolTask) bool { return p.hopeless(at, t.job) })
	slices.SortStableFunc(p.waiting, p.compare)
	p.waiting = slices.DeleteFunc(p.waiting, func(t *poolTask) bool {
		target := p.fit(t.job)
		if target == nil {
			return false
		}
		p.run(at, t, target)
		return true
	})
}

// hopeless drops what would earn nothing.
func (p *pool) hopeless(at time.Duration, j *poolJob) bool {
	switch {
	case j.lost, j.leaves > 0 && at > j.at+j.leaves, at+j.work > j.at+j.deadline:
		j.lost = true
	case p.policy != arrival && !j.begun && at+j.work > j.at+j.objective():
		j.lost = true
	}
	return j.lost
}

func (p *pool) compare(a, b *poolTask) int {
	start := func(t *poolTask) time.Duration { return t.job.at + t.job.objective() - t.job.work }
	switch p.policy {
	case rankThenStart:
		return cmp.Or(cmp.Compare(a.job.kind, b.job.kind), cmp.Compare(start(a), start(b)))
	case latestStart:
		return cmp.Compare(start(a), start(b))
	case leastWork:
		size := func(t *poolTask) time.Duration { return t.job.work * time.Duration(t.job.tasks) }
		return cmp.Or(cmp.Compare(size(a), size(b)), cmp.Compare(a.job.at, b.job.at))
	}
	return 0 // In the order of arrival.
}

// fit returns the target to start on: the tightest, and of the sound ones if
// the policy knows them.
func (p *pool) fit(j *poolJob) *poolTarget {
	var best *poolTarget
	for _, t := range p.targets {
		if t.free < j.cores || p.policy != arrival && (t.hang || t.fail) {
			continue
		}
		if best == nil || cmp.Or(p.bySpeed(t, best), cmp.Compare(t.free, best.free)) < 0 {
			best = t
		}
	}
	return best
}

func (p *pool) bySpeed(a, b *poolTarget) int {
	if p.policy == arrival {
		return 0
	}
	return cmp.Compare(a.slow, b.slow)
}

func (p *pool) run(at time.Duration, t *poolTask, target *poolTarget) {
	target.free -= t.job.cores
	t.attempts++
	t.job.begun = true
	r := running{task: t, target: target, end: at + time.Duration(float64(t.job.work)*target.slow), failed: target.fail}
	if target.hang {
		r.end, r.failed = t.job.at+t.job.deadline, true
		t.attempts = 2
	}
	for _, reset := range target.resets {
		if reset > at && reset < r.end {
			r.end, r.failed = reset, true
			t.attempts = 0 // Not the task's fault.
		}
	}
	p.runs = append(p.runs, r)
}

// worthOf returns what the jobs of a baseline earn.
func worthOf(jobs []*poolJob) float64 {
	sum := 0.0
	for _, j := range jobs {
		if j.end > 0 && j.owed() {
			sum += j.worth(j.end - j.at)
		}
	}
	return sum
}

// ideal plays a load with all room in one pool and perfect knowledge, in the
// best of three orders.
func ideal(load []loadJob, targets func() []*poolTarget) []*poolJob {
	var best []*poolJob
	for _, order := range []policy{rankThenStart, latestStart, leastWork} {
		p := &pool{policy: order, targets: targets()}
		if jobs := p.play(load); best == nil || worthOf(jobs) > worthOf(best) {
			best = jobs
		}
	}
	return best
}
