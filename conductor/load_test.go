package conductor_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"medlargw.example/medlargw"
)

// Objective and worth of the jobs of a load, as the installations that are
// served today have them.
const (
	slackFactor = 1.6
	graceTime   = 60 * time.Millisecond
	lateWorth   = 0.2 // Of a job that takes up to lateFactor times its objective.
	lateFactor  = 3
	patient     = 2500 * time.Millisecond // Until the deadline.
)

// kind is a kind of job.
type kind struct {
	name  string
	tasks int
	work  time.Duration // Mean run time of a task.
	share float64       // Of the jobs.
	worth float64       // Of a job of mean size.
}

// kinds are ordered by rank: the first is the urgent one.
var kinds = []kind{
	{"check", 8, 60 * time.Millisecond, 0.244, 2.9},
	{"ping", 2, 200 * time.Millisecond, 0.711, 1},
	{"build", 4, 900 * time.Millisecond, 0.045, 16},
}

// loadJob is one job of a load.
type loadJob struct {
	at       time.Duration // Since the load began.
	kind     int
	zone     string
	tasks    int
	work     time.Duration // Of each task.
	cores    int64
	deadline time.Duration // After its arrival.
	leaves   time.Duration // After its arrival the caller is gone; zero is never.
}

// objective returns the time in which the job earns its full worth.
func (j *loadJob) objective() time.Duration {
	return time.Duration(slackFactor*float64(j.work)) + graceTime
}

// worth returns what the job earns when it is complete after a time.
func (j *loadJob) worth(age time.Duration) float64 {
	k := &kinds[j.kind]
	full := k.worth * (0.3 + 0.7*float64(j.tasks)*j.work.Seconds()/(float64(k.tasks)*k.work.Seconds()))
	switch {
	case age <= j.objective():
		return full
	case age <= lateFactor*j.objective():
		return lateWorth * full
	}
	return 0
}

// owed reports whether the caller waits for the job to the end.
func (j *loadJob) owed() bool { return j.leaves == 0 }

// zones are the zones of a load, and of the fleet that serves it.
var zones = []string{"a", "b", "c"}

// loader draws jobs.
type loader struct {
	rand  *rand.Rand
	per   float64 // Jobs a second at which the room of all targets is used up.
	until time.Duration
	jobs  []loadJob
}

// newLoader returns a loader for targets with so many thousandths of a core. A
// task takes 14 cores on average; about a seventh of the room can't be used by
// whole tasks.
func newLoader(seed uint64, until time.Duration, cores int64) *loader {
	work := 0.0
	for _, k := range kinds {
		work += k.share * float64(k.tasks) * k.work.Seconds() * 14000
	}
	return &loader{rand: rand.New(rand.NewPCG(seed, 7)), per: 0.85 * float64(cores) / work, until: until}
}

// add draws the jobs of some kinds from one time to another, at a share of the
// room.
func (l *loader) add(from, to time.Duration, share float64, only ...int) {
	for at := from; ; {
		at += time.Duration(l.rand.ExpFloat64() / (share * l.per) * float64(time.Second))
		if at >= to {
			return
		}
		drawn := l.rand.Float64()
		for i, k := range kinds {
			if drawn -= k.share; drawn < 0 || i == len(kinds)-1 {
				if len(only) == 0 || only[0] == i {
					l.jobs = append(l.jobs, l.job(at, i))
				}
				break
			}
		}
	}
}

func (l *loader) job(at time.Duration, i int) loadJob {
	k := kinds[i]
	return loadJob{
		at: at, kind: i, zone: zones[l.rand.IntN(len(zones))], tasks: max(1, k.tasks/2+l.rand.IntN(k.tasks+1)),
		work: time.Duration(float64(k.work) * (0.7 + 0.6*l.rand.Float64())), cores: 11000 + l.rand.Int64N(6000), deadline: patient,
	}
}

// medlargwJob returns the job as it is submitted now.
func (j *loadJob) medlargwJob(key string) *medlargw.Job {
	m := &medlargw.Job{
		Key: key, Service: medlargw.ServiceName(kinds[j.kind].name), Pool: "pool", Attempts: 2, Rank: j.kind,
		Slack: slackFactor, Grace: graceTime, Room: medlargw.Room{Cores: j.cores, Memory: 64}, Runtime: j.work,
		Arrived: time.Now(), Deadline: time.Now().Add(j.deadline),
	}
	for i := range j.tasks {
		m.Tasks = append(m.Tasks, medlargw.Task{ID: fmt.Sprintf("%s.%d", key, i)})
	}
	return m
}
