package decider_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// stateSize is the size of the decider's state.
type stateSize struct{ waiting, teams, targets int }

var fullSize = stateSize{waiting: 10000, teams: 360, targets: 550}

// newFilledBench returns a test bench with no free slot and the given number of
// waiting tasks, in jobs of ten tasks, and returns the running attempts.
func newFilledBench(t testing.TB, n stateSize) (*testBench, []medlargw.Attempt) {
	t.Helper()
	s := settings()
	s.Intake.Waiting = 1 << 30
	s.Intake.Team = 1 << 30
	b := newTestBench(t, 1, s, deps(medlargw.PolicyLeastWork))
	b.decider.Configure(b.now, config(n.teams))
	var all []medlargw.Allocation
	for i := range n.targets {
		target := medlargw.Target{Name: targetName(i), Slots: 8, Memory: int64(1+i%3) << 30}
		all = append(all, medlargw.Allocation{Target: target, Slots: 8})
	}
	b.decider.SetAllocations(b.now, all)
	var running []medlargw.Attempt
	for i := 0; i < (n.waiting+8*n.targets)/10; i++ {
		b.decider.Submit(b.now, newTenTaskJob(i, n.teams, b.now))
		running = append(running, b.decider.Actions().Starts...)
		b.decider.Actions().Reset()
	}
	return b, running
}

func newTenTaskJob(i, teams int, now time.Time) *medlargw.Job {
	return &medlargw.Job{
		ID:               medlargw.JobID(i + 1),
		Team:             teamName(i % teams),
		Class:            className(i % 3),
		Service:          medlargw.ServiceName(fmt.Sprint("service", i%teams%1024, "-", i%3)),
		Tasks:            make([]medlargw.Task, 10),
		EstimatedRuntime: time.Duration(1+i%teams%50) * 10 * time.Millisecond,
		TaskMemory:       int64(i%4) << 28,
		Arrived:          now,
		Deadline:         now.Add(time.Hour),
	}
}

// BenchmarkDecision measures the end of one attempt and the start of the next
// task. A new job after each tenth end keeps the number of waiting tasks
// constant.
func BenchmarkDecision(b *testing.B) {
	sizes := []stateSize{
		fullSize,
		{4 * fullSize.waiting, fullSize.teams, fullSize.targets},
		{16 * fullSize.waiting, fullSize.teams, fullSize.targets},
		{fullSize.waiting, 4 * fullSize.teams, fullSize.targets},
		{fullSize.waiting, 16 * fullSize.teams, fullSize.targets},
		{fullSize.waiting, fullSize.teams, 4 * fullSize.targets},
		{fullSize.waiting, fullSize.teams, 16 * fullSize.targets},
	}
	for _, n := range sizes {
		b.Run(fmt.Sprintf("waiting=%d/teams=%d/targets=%d", n.waiting, n.teams, n.targets), func(b *testing.B) {
			run, running := newFilledBench(b, n)
			jobs := make([]*medlargw.Job, b.N/10+1)
			for i := range jobs {
				jobs[i] = newTenTaskJob(1<<20+i, n.teams, run.now)
			}
			b.ReportAllocs()
			b.ResetTimer()
			runDecisions(run, running, jobs, b.N)
		})
	}
}

// runDecisions ends n attempts, each of which lets the next task start, and
// submits a job after each tenth.
func runDecisions(b *testBench, running []medlargw.Attempt, jobs []*medlargw.Job, n int) {
	end := medlargw.AttemptEnd{Kind: medlargw.EndSucceeded}
	actions := b.decider.Actions()
	for i := range n {
		at := i % len(running)
		b.now = b.now.Add(time.Microsecond)
		end.Elapsed = running[at].Job.EstimatedRuntime
		b.decider.AttemptEnded(b.now, &running[at], &end)
		running[at] = actions.Starts[0]
		actions.Reset()
		if i%10 == 9 {
			b.decider.Submit(b.now, jobs[i/10])
			actions.Reset()
		}
	}
}

func TestDecisionAllocations(t *testing.T) {
	b, running := newFilledBench(t, fullSize)
	const n = 20000
	jobs := make([]*medlargw.Job, n)
	for i := range jobs {
		jobs[i] = newTenTaskJob(1<<20+i, fullSize.teams, b.now)
	}
	used := 0
	got := testing.AllocsPerRun(1000, func() {
		runDecisions(b, running, jobs[used:], 10)
		used++
	}) / 10
	if got > 2 {
		t.Errorf("got %.1f allocations per decision, want at most 2", got)
	}
}

// messagesPerTick is the number of messages that the control goroutine handles
// before it checks its timer.
const messagesPerTick = 64

// BenchmarkCancelWave measures how long a job that arrives behind 5,000
// cancellations waits for its start, with one Tick for each messagesPerTick
// cancellations.
func BenchmarkCancelWave(b *testing.B) {
	var waits []time.Duration
	for range b.N {
		run, running := newFilledBench(b, stateSize{waiting: 60000, teams: 360, targets: 550})
		first := run.decider.Jobs() - 5000
		end := medlargw.AttemptEnd{Kind: medlargw.EndSucceeded, Elapsed: running[0].Job.EstimatedRuntime}
		urgent := newTenTaskJob(1<<20, 360, run.now)
		urgent.Class = className(0)
		runtime.GC() // Keeps the garbage of the preparation out of the measurement.
		start := time.Now()
		for i := range 5000 {
			run.decider.Cancel(run.now, medlargw.JobID(first+i))
			if i%messagesPerTick == 0 {
				run.decider.Tick(run.now)
				run.decider.Actions().Reset()
			}
		}
		run.decider.AttemptEnded(run.now, &running[0], &end)
		run.decider.Submit(run.now, urgent)
		waits = append(waits, time.Since(start))
		run.decider.Actions().Reset()
	}
	slices.Sort(waits)
	b.ReportMetric(float64(waits[len(waits)/2].Microseconds()), "median-us")
	b.ReportMetric(float64(waits[len(waits)-1].Microseconds()), "worst-us")
}

func TestCancelWaveIsBounded(t *testing.T) {
	b, _ := newFilledBench(t, stateSize{waiting: 60000, teams: 360, targets: 550})
	jobs := b.decider.Jobs()
	actions := b.decider.Actions()
	for i := range jobs {
		b.decider.Cancel(b.now, medlargw.JobID(i+1))
	}
	ended := 0
	for range jobs {
		b.decider.Tick(b.now)
		if got := len(actions.Finished); got > 100 {
			t.Fatalf("got %d jobs ended by one event, want at most 100", got)
		}
		ended += len(actions.Finished)
		if len(actions.Starts) > 0 {
			t.Fatal("a task of a cancelled job was started")
		}
		nextTick := actions.NextTick
		actions.Reset()
		if ended < jobs && !nextTick.Equal(b.now) {
			t.Fatalf("got next tick at %v with %d of %d jobs ended, want now", nextTick, ended, jobs)
		}
	}
	if ended != jobs {
		t.Errorf("got %d jobs ended, want %d", ended, jobs)
	}
}

// BenchmarkDemand measures Demand while tasks wait. The number of targets is
// that of one of nine zones.
func BenchmarkDemand(b *testing.B) {
	run, _ := newFilledBench(b, stateSize{waiting: fullSize.waiting, teams: fullSize.teams, targets: 61})
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_ = run.decider.Demand()
	}
}
