package conductor_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Objective and payoff of the jobs of a load, as in the current installations.
const (
	slackFactor     = 1.6
	graceTime       = 60 * time.Millisecond
	latePayoffShare = 0.2 // Share of the payoff for a job that takes up to lateFactor times its objective.
	lateFactor      = 3
	deadlineAfter   = 2500 * time.Millisecond
)

// kind is a kind of job.
type kind struct {
	name   string
	tasks  int
	work   time.Duration // Mean run time of a task.
	share  float64       // Share of the jobs.
	payoff float64       // Of a job of mean size.
}

// kinds are the kinds of jobs in order of rank, the most urgent first.
var kinds = []kind{
	{"check", 8, 60 * time.Millisecond, 0.244, 2.9},
	{"ping", 2, 200 * time.Millisecond, 0.711, 1},
	{"build", 4, 900 * time.Millisecond, 0.045, 16},
}

// loadJob is one job of a load.
type loadJob struct {
	at          time.Duration // Arrival, since the start of the load.
	kind        int
	zone        string
	tasks       int
	work        time.Duration // Run time of each task.
	cores       int64
	deadline    time.Duration // Since the arrival.
	leavesAfter time.Duration // When the caller disconnects, since the arrival; zero if it does not.
}

// objective returns the response time within which the job earns its full
// payoff.
func (j *loadJob) objective() time.Duration {
	return time.Duration(slackFactor*float64(j.work)) + graceTime
}

// payoffAt returns what the job earns for a response time.
func (j *loadJob) payoffAt(age time.Duration) float64 {
	k := &kinds[j.kind]
	full := k.payoff * (0.3 + 0.7*float64(j.tasks)*j.work.Seconds()/(float64(k.tasks)*k.work.Seconds()))
	switch {
	case age <= j.objective():
		return full
	case age <= lateFactor*j.objective():
		return latePayoffShare * full
	}
	return 0
}

// callerWaits reports whether the caller waits for the outcome of the job.
func (j *loadJob) callerWaits() bool { return j.leavesAfter == 0 }

// zones are the zones of a load, and of the cluster that serves it.
var zones = []string{"a", "b", "c"}

// generator generates random jobs.
type generator struct {
	rand          *rand.Rand
	jobsPerSecond float64       // Arrival rate that uses the full capacity of the targets.
	until         time.Duration // End of the load.
	jobs          []loadJob
}

// newGenerator returns a generator for targets with the given capacity in
// thousandths of a core. A task takes 14 cores on average. About a seventh of
// the capacity can't be used, because tasks are not split.
func newGenerator(seed uint64, until time.Duration, cores int64) *generator {
	work := 0.0
	for _, k := range kinds {
		work += k.share * float64(k.tasks) * k.work.Seconds() * 14000
	}
	return &generator{rand: rand.New(rand.NewPCG(seed, 7)), jobsPerSecond: 0.85 * float64(cores) / work, until: until}
}

// totalCores returns the cores of all targets, in thousandths.
func (cl *cluster) totalCores() int64 {
	var cores int64
	for _, target := range cl.sim.targets.Targets() {
		cores += target.Resources.Cores
	}
	return cores
}

// burst returns a load of 0.6 of the capacity, and of twice the capacity from one time to
// another, in order of arrival.
func (cl *cluster) burst(seed uint64, from, to, until time.Duration) []loadJob {
	g := newGenerator(seed, until, cl.totalCores())
	g.add(0, from, 0.6)
	g.add(from, to, 2)
	g.add(to, until, 0.6)
	slices.SortStableFunc(g.jobs, func(a, b loadJob) int { return cmp.Compare(a.at, b.at) })
	return g.jobs
}

// add generates jobs that arrive between two times, at a share of the full
// capacity, of all kinds or only of the given one.
func (g *generator) add(from, to time.Duration, share float64, only ...int) {
	for at := from; ; {
		at += time.Duration(g.rand.ExpFloat64() / (share * g.jobsPerSecond) * float64(time.Second))
		if at >= to {
			return
		}
		drawn := g.rand.Float64()
		for i, k := range kinds {
			if drawn -= k.share; drawn < 0 || i == len(kinds)-1 {
				if len(only) == 0 || only[0] == i {
					g.jobs = append(g.jobs, g.job(at, i))
				}
				break
			}
		}
	}
}

func (g *generator) job(at time.Duration, i int) loadJob {
	k := kinds[i]
	return loadJob{
		at: at, kind: i, zone: zones[g.rand.IntN(len(zones))], tasks: max(1, k.tasks/2+g.rand.IntN(k.tasks+1)),
		work: time.Duration(float64(k.work) * (0.7 + 0.6*g.rand.Float64())), cores: 11000 + g.rand.Int64N(6000), deadline: deadlineAfter,
	}
}

// medlargwJob returns the job as it is submitted, arriving now.
func (j *loadJob) medlargwJob(key string) *medlargw.Job {
	m := &medlargw.Job{
		Idempotent: true, RequestID: key, Service: medlargw.ServiceName(kinds[j.kind].name), Pool: "pool", MaxAttempts: 2, Rank: j.kind,
		SlackFactor: slackFactor, Grace: graceTime, Resources: medlargw.Resources{Cores: j.cores, Memory: 64}, EstimatedRuntime: j.work,
		Arrived: time.Now(), Deadline: time.Now().Add(j.deadline),
	}
	for i := range j.tasks {
		m.Tasks = append(m.Tasks, medlargw.Task{ID: fmt.Sprintf("%s.%d", key, i)})
	}
	return m
}
