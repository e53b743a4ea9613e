package decider_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlargw.example/medlargw"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("17")
	}
	os.Exit(m.Run())
}

// randomEvent is one generated event. The field what selects its kind, which
// the team, job, attempt or target, and detail a parameter.
type randomEvent struct{ what, which, detail byte }

// model applies random events to a decider and checks its actions.
type model struct {
	b        *testBench
	memory   map[medlargw.TargetName]int64
	slots    map[medlargw.TargetName]int
	used     map[medlargw.TargetName]int
	running  map[medlargw.TeamName]int
	attempts []medlargw.Attempt
	waiting  map[medlargw.JobID]int
	aside    map[medlargw.TargetName]bool
	limits   map[medlargw.TeamName]int // Limits of running tasks.
	minShare bool
}

const (
	modelTeams = 3
	runLimit   = 5 // Running tasks of team1, and of service2 of team2.
)

func newModel(t testingT, minShare bool) *model {
	s := settings()
	s.Intake = medlargw.IntakeSettings{Waiting: 60, Team: 40, Bytes: 4000}
	s.Task.Tries = 2
	m := &model{
		b:        newTestBench(t, 0, s, deps(medlargw.PolicyLeastWork)),
		memory:   map[medlargw.TargetName]int64{},
		slots:    map[medlargw.TargetName]int{},
		used:     map[medlargw.TargetName]int{},
		running:  map[medlargw.TeamName]int{},
		waiting:  map[medlargw.JobID]int{},
		aside:    map[medlargw.TargetName]bool{},
		limits:   map[medlargw.TeamName]int{teamName(0): 1 << 20, teamName(1): runLimit, teamName(2): runLimit},
		minShare: minShare,
	}
	cfg := config(modelTeams)
	cfg.Teams[1].Limit.Running = runLimit
	cfg.Services = []medlargw.Service{{Name: "service2", Team: teamName(2), Limit: medlargw.Limit{Running: runLimit}}}
	if minShare {
		cfg.Classes[2].MinShare = 0.2
	}
	m.b.decider.Configure(m.b.now, cfg)
	return m
}

func (m *model) apply(s randomEvent) {
	m.b.now = m.b.now.Add(time.Duration(s.detail) * time.Millisecond)
	which := int(s.which)
	switch s.what % 10 {
	case 0, 1, 2:
		m.submit(which, int(s.detail))
	case 3, 4:
		m.end(which, int(s.detail))
	case 5:
		m.b.decider.Cancel(m.b.now, medlargw.JobID(1+which%(1+len(m.b.jobs))))
	case 6:
		m.b.now = m.b.now.Add(time.Duration(which) * 10 * time.Millisecond)
		m.b.decider.Tick(m.b.now)
	case 7:
		m.resize(which, int(s.detail))
	case 8:
		name := targetName(which % 4)
		m.aside[name] = s.detail%3 == 0
		m.b.decider.SetAside(m.b.now, name, m.aside[name])
	case 9:
		share := which % (runLimit + 1)
		m.limits[teamName(1)] = share
		m.b.decider.SetShare(m.b.now, teamName(1), medlargw.Limit{Running: share})
	}
	m.check()
}

func (m *model) submit(which, detail int) {
	n := 1 + detail%7
	job := &medlargw.Job{
		Team:             teamName(which % modelTeams),
		Class:            className(which / modelTeams % 3),
		Service:          medlargw.ServiceName("service" + string(rune('0'+which%modelTeams))),
		Tasks:            make([]medlargw.Task, n),
		EstimatedRuntime: time.Duration(detail) * time.Millisecond,
		TaskMemory:       int64(which % 4),
		Idempotent:       which%2 == 0,
		Deadline:         m.b.now.Add(time.Duration(1+detail) * 50 * time.Millisecond),
	}
	job.Tasks[0].Payload = make([]byte, detail)
	m.waiting[medlargw.JobID(len(m.b.jobs)+1)] = n
	m.b.submit(&testJob{job: job, run: make([]time.Duration, n)})
}

func (m *model) end(which, detail int) {
	if len(m.attempts) == 0 {
		return
	}
	i := which % len(m.attempts)
	a := m.attempts[i]
	m.attempts = slices.Delete(m.attempts, i, i+1)
	end := medlargw.AttemptEnd{Elapsed: time.Duration(detail+1) * time.Millisecond, Body: make([]byte, detail)}
	switch detail % 9 {
	case 0:
		end.Kind = medlargw.EndFailed
	case 1:
		end.Kind = medlargw.EndLost
	case 2:
		end.Kind, end.Reason = medlargw.EndNotStarted, medlargw.ReasonBusy
	case 3:
		end.Kind, end.Reason = medlargw.EndNotStarted, medlargw.ReasonUnreachable
	case 4:
		end.Kind, end.Reason = medlargw.EndNotStarted, medlargw.ReasonDraining
	}
	if end.Kind == medlargw.EndNotStarted {
		m.b.jobs[a.Job.ID].starts[a.TaskIndex]--
		if m.b.jobs[a.Job.ID].ended == 0 {
			m.waiting[a.Job.ID]++
		}
	}
	m.used[a.Target]--
	m.running[a.Job.Team]--
	m.b.decider.AttemptEnded(m.b.now, &a, &end)
}

// resize gives the decider up to four targets, each of which holds tasks of up
// to 1, 2 or 3 bytes.
func (m *model) resize(which, detail int) {
	var all []medlargw.Allocation
	clear(m.slots)
	for i := range which % 5 {
		name := targetName(i)
		m.memory[name] = int64(1 + (i+detail)%3)
		m.slots[name] = 1 + (which+detail)%4
		target := medlargw.Target{Name: name, Slots: 4, Memory: m.memory[name]}
		all = append(all, medlargw.Allocation{Target: target, Slots: m.slots[name]})
	}
	m.b.decider.SetAllocations(m.b.now, all)
}

// check verifies the actions of the last event and that no task waits
// needlessly after them.
func (m *model) check() {
	t := m.b.t
	actions := m.b.decider.Actions()
	for _, f := range actions.Finished {
		m.b.jobs[f.Job.ID].ended++
		delete(m.waiting, f.Job.ID)
	}
	lowest := map[int64]int{} // Rank of the lowest class started, by the memory of its target.
	for _, a := range actions.Starts {
		job := m.b.jobs[a.Job.ID]
		job.starts[a.TaskIndex]++
		m.used[a.Target]++
		m.running[a.Job.Team]++
		if _, ok := m.waiting[a.Job.ID]; ok {
			m.waiting[a.Job.ID]--
		}
		memory := m.memory[a.Target]
		lowest[memory] = max(lowest[memory], rank(a.Job))
		if m.aside[a.Target] || m.running[a.Job.Team] > m.limits[a.Job.Team] {
			t.Fatalf("%s: set aside %t, %d running of %s, limit %d",
				a.Target, m.aside[a.Target], m.running[a.Job.Team], a.Job.Team, m.limits[a.Job.Team])
		}
		if job.starts[a.TaskIndex] != 1 || a.Job.TaskMemory > memory || m.used[a.Target] > m.slots[a.Target] {
			t.Fatalf("job %d task %d: %d starts, size %d on %d bytes, slot %d of %d",
				a.Job.ID, a.TaskIndex, job.starts[a.TaskIndex], a.Job.TaskMemory, memory, m.used[a.Target], m.slots[a.Target])
		}
	}
	m.attempts = append(m.attempts, actions.Starts...)
	placer := m.b.deps.Placer
	for id, n := range m.waiting {
		job := m.b.jobs[id].job
		limited := m.running[job.Team] >= m.limits[job.Team]
		fits := placer.Free() > 0 && job.TaskMemory <= placer.MaxTaskSize() && placer.ServiceBackoff(m.b.now, job) == 0
		if n > 0 && !limited && fits && !actions.NextTick.Equal(m.b.now) {
			t.Fatalf("job %d waits while a slot is free that it could use", id)
		}
		for memory, class := range lowest {
			if n > 0 && !limited && !m.minShare && job.TaskMemory <= memory && rank(job) < class {
				t.Fatalf("job %d of class %d waits while class %d started", id, rank(job), class)
			}
		}
	}
	actions.Reset()
}

func rank(job *medlargw.Job) int { return int(job.Class[len(job.Class)-1] - '0') }

// finish ends all attempts, lets all deadlines pass and checks that nothing
// stays reserved.
func (m *model) finish() {
	for range 10000 {
		if len(m.attempts) == 0 && m.b.decider.Jobs() == 0 {
			break
		}
		m.end(0, 8) // Detail 8 is a success.
		m.check()
		m.b.now = m.b.now.Add(10 * time.Millisecond)
		m.b.decider.Tick(m.b.now)
		m.check()
	}
	m.b.checkAllReleased()
}

func TestRandomEvents(t *testing.T) {
	t.Parallel()
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) randomEvent {
		return randomEvent{rapid.Byte().Draw(t, "what"), rapid.Byte().Draw(t, "which"), rapid.Byte().Draw(t, "detail")}
	}), 100, 400)
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt, rapid.Bool().Draw(rt, "floor"))
		for _, s := range steps.Draw(rt, "steps") {
			m.apply(s)
		}
		m.finish()
	})
}

func FuzzEvents(f *testing.F) {
	f.Fuzz(func(t *testing.T, minShare bool, events []byte) {
		m := newModel(t, minShare)
		for ; len(events) >= 3; events = events[3:] {
			m.apply(randomEvent{events[0], events[1], events[2]})
		}
		m.finish()
	})
}
