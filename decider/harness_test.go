package decider_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accountant"
	"medlargw.example/medlargw/decider"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/limiter"
	"medlargw.example/medlargw/placer"
	"medlargw.example/medlargw/scheduler"
)

// roundTrip is the round-trip time between an entry and a target.
const roundTrip = time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeTarget is a simulated target.
type fakeTarget struct {
	slots         int
	used          int
	runTimeFactor float64 // Multiplies the run times of tasks.
	fails         bool    // Every task fails after one millisecond.
}

// testJob is a job with its actual behaviour, which the decider does not know.
type testJob struct {
	job     *medlargw.Job
	class   int
	run     []time.Duration
	starts  []int
	failing bool // Its tasks fail on every target.
	ended   int
}

func (w *testJob) ideal() time.Duration { return slices.Max(w.run) + roundTrip }

// event is a function to call at a time of the virtual clock.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventHeap []*event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }

func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// testingT is the part of testing.TB that rapid.T also has.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// testBench drives a real decider with simulated targets on a virtual clock.
type testBench struct {
	t              testingT
	rng            *rand.Rand
	now            time.Time
	events         eventHeap
	sequence       int
	decider        *decider.Decider
	deps           medlargw.DeciderDependencies
	targets        map[medlargw.TargetName]*fakeTarget
	jobs           map[medlargw.JobID]*testJob
	live           map[medlargw.AttemptID]bool // Attempts that have not ended; false if stopped.
	outcomes       []result
	messages       int
	wasted         int
	attemptCount   int
	nextTick       time.Time
	onEnd          func(w *testJob, a *medlargw.Attempt, failed bool)
	shared         bool // Other entries use the targets too, so a target may answer busy.
	runningByClass [3]int
}

type result struct {
	testJob *testJob
	outcome medlargw.Outcome
	at      time.Time
	ratio   float64
}

func settings() medlargw.Settings {
	return medlargw.Settings{
		Intake: medlargw.IntakeSettings{Waiting: 20000, Team: 10000, Bytes: 1 << 30},
		Task:   medlargw.TaskSettings{Tries: 8, Lease: time.Minute},
	}
}

func rules() medlargw.QuarantineRules {
	return medlargw.QuarantineRules{EvidenceThreshold: 16, FailureThreshold: 8, SlowFactor: 3}
}

func deps(policy medlargw.QueuePolicy) medlargw.DeciderDependencies {
	est := estimator.New()
	return medlargw.DeciderDependencies{
		Scheduler:  scheduler.New(policy),
		Placer:     placer.New(est, rules()),
		Limiter:    limiter.New(),
		Estimator:  est,
		Accountant: accountant.New(settings().Intake.Bytes),
	}
}

func newTestBench(t testingT, seed uint64, s medlargw.Settings, deps medlargw.DeciderDependencies) *testBench {
	b := &testBench{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		now:     epoch,
		deps:    deps,
		targets: map[medlargw.TargetName]*fakeTarget{},
		jobs:    map[medlargw.JobID]*testJob{},
		live:    map[medlargw.AttemptID]bool{},
	}
	b.decider = decider.New(s, deps, func() medlargw.AttemptID {
		b.attemptCount++
		return medlargw.AttemptID(strconv.Itoa(b.attemptCount))
	})
	return b
}

// config returns a configuration with three classes and the given number of
// teams.
func config(teams int) *medlargw.Config {
	cfg := &medlargw.Config{Generation: 1}
	for rank := range 3 {
		cfg.Classes = append(cfg.Classes, medlargw.Class{Name: className(rank), Rank: rank})
	}
	for i := range teams {
		cfg.Teams = append(cfg.Teams, medlargw.Team{Name: teamName(i), Weight: 1})
	}
	return cfg
}

func className(rank int) medlargw.ClassName { return medlargw.ClassName(fmt.Sprint("class", rank)) }
func teamName(i int) medlargw.TeamName      { return medlargw.TeamName(fmt.Sprint("team", i)) }

func targetName(i int) medlargw.TargetName { return medlargw.TargetName(fmt.Sprint("target", i)) }

// setTargetCount gives the decider n targets of 8 slots each.
func (b *testBench) setTargetCount(n int) {
	var all []medlargw.Allocation
	for i := range n {
		name := targetName(i)
		if b.targets[name] == nil {
			b.targets[name] = &fakeTarget{slots: 8, runTimeFactor: 1}
		}
		all = append(all, medlargw.Allocation{Target: medlargw.Target{Name: name, Slots: 8}, Slots: 8})
	}
	b.decider.SetAllocations(b.now, all)
	b.carryOut()
}

func (b *testBench) at(at time.Time, do func()) {
	b.sequence++
	heap.Push(&b.events, &event{at: at, sequence: b.sequence, do: do})
}

// run processes all events in the order of their times.
func (b *testBench) run() {
	for len(b.events) > 0 {
		e, _ := heap.Pop(&b.events).(*event)
		b.now = e.at
		e.do()
		b.carryOut()
	}
}

func (b *testBench) carryOut() {
	actions := b.decider.Actions()
	for i := range actions.Starts {
		b.start(actions.Starts[i])
	}
	for _, id := range actions.Stops {
		b.live[id] = false
	}
	for _, f := range actions.Finished {
		w := b.jobs[f.Job.ID]
		w.ended++
		response := b.now.Sub(f.Job.Arrived)
		b.outcomes = append(b.outcomes, result{testJob: w, outcome: f.Outcome, at: b.now, ratio: float64(response) / float64(w.ideal())})
	}
	nextTick := actions.NextTick
	actions.Reset()
	if !nextTick.IsZero() && !nextTick.Equal(b.nextTick) {
		b.nextTick = nextTick
		b.at(nextTick, func() { b.decider.Tick(b.now) })
	}
}

func (b *testBench) start(a medlargw.Attempt) {
	w := b.jobs[a.Job.ID]
	target := b.targets[a.Target]
	target.used++
	b.live[a.ID] = true
	b.messages += 2
	b.runningByClass[w.class]++
	if b.shared && target.used > target.slots {
		b.wasted += 2
		b.at(b.now.Add(roundTrip), func() {
			b.finish(w, &a, &medlargw.AttemptEnd{Kind: medlargw.EndNotStarted, Reason: medlargw.ReasonBusy})
		})
		return
	}
	w.starts[a.TaskIndex]++
	if target.used > target.slots {
		b.t.Fatalf("target %s: got %d tasks, want at most %d", a.Target, target.used, target.slots)
	}
	if w.starts[a.TaskIndex] > 1 || w.ended > 0 {
		b.t.Fatalf("job %d task %d: started %d times, job ended %d times", a.Job.ID, a.TaskIndex, w.starts[a.TaskIndex], w.ended)
	}
	failed := target.fails || w.failing
	run := time.Duration(float64(w.run[a.TaskIndex]) * target.runTimeFactor)
	if failed {
		run = time.Millisecond
	}
	b.at(b.now.Add(run+roundTrip), func() { b.end(w, &a, failed, run) })
}

func (b *testBench) end(w *testJob, a *medlargw.Attempt, failed bool, run time.Duration) {
	end := medlargw.AttemptEnd{Elapsed: run + roundTrip, Body: []byte("answer")}
	if failed {
		end.Kind = medlargw.EndFailed
	}
	if !b.live[a.ID] {
		end = medlargw.AttemptEnd{Kind: medlargw.EndLost, Reason: medlargw.ReasonCancelled}
		b.wasted += 2
	}
	if b.onEnd != nil {
		b.onEnd(w, a, failed)
	}
	b.finish(w, a, &end)
}

func (b *testBench) finish(w *testJob, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	b.targets[a.Target].used--
	b.runningByClass[w.class]--
	delete(b.live, a.ID)
	b.decider.AttemptEnded(b.now, a, end)
}

func (b *testBench) submit(w *testJob) {
	w.job.ID = medlargw.JobID(len(b.jobs) + 1)
	w.job.Arrived = b.now
	if w.job.Deadline.IsZero() {
		w.job.Deadline = b.now.Add(time.Hour)
	}
	w.starts = make([]int, len(w.job.Tasks))
	b.jobs[w.job.ID] = w
	b.decider.Submit(b.now, w.job)
}

// checkAllReleased fails the test unless each job has ended once and nothing is
// reserved or waiting.
func (b *testBench) checkAllReleased() {
	b.t.Helper()
	for id, w := range b.jobs {
		if w.ended != 1 {
			b.t.Fatalf("job %d: got %d ends, want 1", id, w.ended)
		}
	}
	s := b.decider.Status()
	if s.Jobs != 0 || s.Bytes != 0 || len(s.Queues) != 0 || len(s.Leaks) != 0 {
		b.t.Fatalf("got %d jobs, %d bytes, %v waiting, leaks %v, want none", s.Jobs, s.Bytes, s.Queues, s.Leaks)
	}
	if demand := b.decider.Demand(); len(demand.Teams) != 0 {
		b.t.Fatalf("got a demand of teams %v, want none", demand.Teams)
	}
	for _, class := range b.decider.Waiting() {
		if class.Tasks != 0 {
			b.t.Fatalf("class %d: got %d tasks waiting, want none", class.Rank, class.Tasks)
		}
	}
	for _, target := range s.Targets {
		if target.Used != 0 {
			b.t.Fatalf("target %s: got %d slots in use, want none", target.Target.Name, target.Used)
		}
	}
	for _, limit := range s.Limits {
		if limit.Running != 0 {
			b.t.Fatalf("team %s: got %d running, want none", limit.Team, limit.Running)
		}
	}
}

// load describes a stream of random jobs.
type load struct {
	teams         int
	shares        [3]float64 // Share of the slots that each class keeps busy.
	duration      time.Duration
	estimateError float64 // Factor by which declared run times may be wrong.
	timeLimit     time.Duration
}

const (
	meanTasks = 8.0
	meanRun   = 0.207 // Of the run times that job draws, in seconds.
)

// offerLoad schedules the submission of the jobs of a load.
func (b *testBench) offerLoad(l load, slots int) {
	for class, share := range l.shares {
		rate := share * float64(slots) / (meanTasks * meanRun)
		for at := b.rng.ExpFloat64() / rate; at < l.duration.Seconds() && rate > 0; at += b.rng.ExpFloat64() / rate {
			w := b.job(l, class)
			when := b.now.Add(time.Duration(at * float64(time.Second)))
			b.at(when, func() {
				if l.timeLimit > 0 {
					w.job.Deadline = b.now.Add(l.timeLimit)
				}
				b.submit(w)
			})
		}
	}
}

// job returns a random job. The number of tasks has a geometric distribution,
// the mean run time a log-normal one, and each task runs within 20% of the
// mean.
func (b *testBench) job(l load, class int) *testJob {
	n := min(290, 1+int(math.Log(1-b.rng.Float64())/math.Log(1-1/meanTasks)))
	mean := min(5, max(0.02, 0.15*math.Exp(0.8*b.rng.NormFloat64())))
	w := &testJob{class: class, run: make([]time.Duration, n)}
	for i := range w.run {
		w.run[i] = time.Duration(mean * (0.8 + 0.4*b.rng.Float64()) * float64(time.Second))
	}
	declared := mean * math.Pow(max(1, l.estimateError), 2*b.rng.Float64()-1)
	team := b.rng.IntN(l.teams)
	w.job = &medlargw.Job{
		Team:             teamName(team),
		Class:            className(class),
		Service:          medlargw.ServiceName(fmt.Sprint("service", team, "-", class)),
		Tasks:            make([]medlargw.Task, n),
		EstimatedRuntime: time.Duration(declared * float64(time.Second)),
		Idempotent:       true,
	}
	return w
}

// summary describes the response times of jobs divided by their ideal ones.
type summary struct {
	n              int
	mean, p99, max float64
	wait           time.Duration // The largest response time less the ideal.
}

func (s summary) String() string {
	return fmt.Sprintf("%6d jobs  mean %6.3f  p99 %7.2f  worst wait %v", s.n, s.mean, s.p99, s.wait.Round(time.Millisecond))
}

// summarize covers the complete jobs of a class that arrived at the given time
// after the epoch or later.
func (b *testBench) summarize(class int, from time.Duration) summary {
	var ratios []float64
	var s summary
	for i := range b.outcomes {
		r := &b.outcomes[i]
		if r.testJob.class != class || !r.outcome.Complete || r.testJob.job.Arrived.Before(epoch.Add(from)) {
			continue
		}
		ratios = append(ratios, r.ratio)
		s.mean += r.ratio
		s.wait = max(s.wait, r.at.Sub(r.testJob.job.Arrived)-r.testJob.ideal())
	}
	if len(ratios) == 0 {
		return s
	}
	slices.Sort(ratios)
	s.n = len(ratios)
	s.mean /= float64(s.n)
	s.p99 = ratios[s.n*99/100]
	s.max = ratios[s.n-1]
	return s
}
