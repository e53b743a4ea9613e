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

// step is one random event; what and which choose among what there is.
type step struct{ what, which, detail byte }

// world applies steps to a decider and checks what it decides.
type world struct {
	b        *bench
	memory   map[medlargw.TargetName]int64
	slots    map[medlargw.TargetName]int
	used     map[medlargw.TargetName]int
	running  map[medlargw.TeamName]int
	attempts []medlargw.Attempt
	waiting  map[medlargw.JobID]int
	aside    map[medlargw.TargetName]bool
	limits   map[medlargw.TeamName]int // Of running tasks.
	floor    bool
}

const (
	worldTeams = 3
	runLimit   = 5 // Of the running tasks of team 1, and of service 2 of team 2.
)

func newWorld(t failer, floor bool) *world {
	s := settings()
	s.Intake = medlargw.IntakeSettings{Waiting: 60, Team: 40, Bytes: 4000}
	s.Task.Tries = 2
	w := &world{
		b:       newBench(t, 0, s, tools(medlargw.OrderLeast)),
		memory:  map[medlargw.TargetName]int64{},
		slots:   map[medlargw.TargetName]int{},
		used:    map[medlargw.TargetName]int{},
		running: map[medlargw.TeamName]int{},
		waiting: map[medlargw.JobID]int{},
		aside:   map[medlargw.TargetName]bool{},
		limits:  map[medlargw.TeamName]int{teamName(0): 1 << 20, teamName(1): runLimit, teamName(2): runLimit},
		floor:   floor,
	}
	cfg := config(worldTeams)
	cfg.Teams[1].Limit.Running = runLimit
	cfg.Services = []medlargw.Service{{Name: "service2", Team: teamName(2), Limit: medlargw.Limit{Running: runLimit}}}
	if floor {
		cfg.Classes[2].Floor = 0.2
	}
	w.b.decider.Configure(w.b.now, cfg)
	return w
}

func (w *world) apply(s step) {
	w.b.now = w.b.now.Add(time.Duration(s.detail) * time.Millisecond)
	which := int(s.which)
	switch s.what % 10 {
	case 0, 1, 2:
		w.submit(which, int(s.detail))
	case 3, 4:
		w.end(which, int(s.detail))
	case 5:
		w.b.decider.Cancel(w.b.now, medlargw.JobID(1+which%(1+len(w.b.jobs))))
	case 6:
		w.b.now = w.b.now.Add(time.Duration(which) * 10 * time.Millisecond)
		w.b.decider.Tick(w.b.now)
	case 7:
		w.resize(which, int(s.detail))
	case 8:
		name := targetName(which % 4)
		w.aside[name] = s.detail%3 == 0
		w.b.decider.SetAside(w.b.now, name, w.aside[name])
	case 9:
		share := which % (runLimit + 1)
		w.limits[teamName(1)] = share
		w.b.decider.SetShare(w.b.now, teamName(1), medlargw.Limit{Running: share})
	}
	w.check()
}

func (w *world) submit(which, detail int) {
	n := 1 + detail%7
	job := &medlargw.Job{
		Team:       teamName(which % worldTeams),
		Class:      className(which / worldTeams % 3),
		Service:    medlargw.ServiceName("service" + string(rune('0'+which%worldTeams))),
		Tasks:      make([]medlargw.Task, n),
		Runtime:    time.Duration(detail) * time.Millisecond,
		Size:       int64(which % 4),
		Idempotent: which%2 == 0,
		Deadline:   w.b.now.Add(time.Duration(1+detail) * 50 * time.Millisecond),
	}
	job.Tasks[0].Payload = make([]byte, detail)
	w.waiting[medlargw.JobID(len(w.b.jobs)+1)] = n
	w.b.submit(&work{job: job, run: make([]time.Duration, n)})
}

func (w *world) end(which, detail int) {
	if len(w.attempts) == 0 {
		return
	}
	i := which % len(w.attempts)
	a := w.attempts[i]
	w.attempts = slices.Delete(w.attempts, i, i+1)
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
		end.Kind, end.Reason = medlargw.EndNotStarted, medlargw.ReasonLeaving
	}
	if end.Kind == medlargw.EndNotStarted {
		w.b.jobs[a.Job.ID].starts[a.Index]--
		if w.b.jobs[a.Job.ID].ended == 0 {
			w.waiting[a.Job.ID]++
		}
	}
	w.used[a.Target]--
	w.running[a.Job.Team]--
	w.b.decider.Ended(w.b.now, &a, &end)
}

// resize gives the decider up to four targets that hold tasks of 1 to 3 bytes.
func (w *world) resize(which, detail int) {
	var all []medlargw.Capacity
	clear(w.slots)
	for i := range which % 5 {
		name := targetName(i)
		w.memory[name] = int64(1 + (i+detail)%3)
		w.slots[name] = 1 + (which+detail)%4
		target := medlargw.Target{Name: name, Slots: 4, Memory: w.memory[name]}
		all = append(all, medlargw.Capacity{Target: target, Slots: w.slots[name]})
	}
	w.b.decider.SetCapacity(w.b.now, all)
}

// check looks at all actions, and at what waits after them.
func (w *world) check() {
	t := w.b.t
	actions := w.b.decider.Actions()
	for _, f := range actions.Finishes {
		w.b.jobs[f.Job.ID].ended++
		delete(w.waiting, f.Job.ID)
	}
	lowest := map[int64]int{} // The lowest class started, by the memory of its target.
	for _, a := range actions.Starts {
		job := w.b.jobs[a.Job.ID]
		job.starts[a.Index]++
		w.used[a.Target]++
		w.running[a.Job.Team]++
		if _, ok := w.waiting[a.Job.ID]; ok {
			w.waiting[a.Job.ID]--
		}
		memory := w.memory[a.Target]
		lowest[memory] = max(lowest[memory], rank(a.Job))
		if w.aside[a.Target] || w.running[a.Job.Team] > w.limits[a.Job.Team] {
			t.Fatalf("%s: set aside %t, %d running of %s, limit %d",
				a.Target, w.aside[a.Target], w.running[a.Job.Team], a.Job.Team, w.limits[a.Job.Team])
		}
		if job.starts[a.Index] != 1 || a.Job.Size > memory || w.used[a.Target] > w.slots[a.Target] {
			t.Fatalf("job %d task %d: %d starts, size %d on %d bytes, slot %d of %d",
				a.Job.ID, a.Index, job.starts[a.Index], a.Job.Size, memory, w.used[a.Target], w.slots[a.Target])
		}
	}
	w.attempts = append(w.attempts, actions.Starts...)
	placer := w.b.tools.Placer
	for id, n := range w.waiting {
		job := w.b.jobs[id].job
		limited := w.running[job.Team] >= w.limits[job.Team]
		fits := placer.Free() > 0 && job.Size <= placer.Room() && placer.Failing(w.b.now, job) == 0
		if n > 0 && !limited && fits && !actions.Wake.Equal(w.b.now) {
			t.Fatalf("job %d waits while a slot is free that it could use", id)
		}
		for memory, class := range lowest {
			if n > 0 && !limited && !w.floor && job.Size <= memory && rank(job) < class {
				t.Fatalf("job %d of class %d waits while class %d started", id, rank(job), class)
			}
		}
	}
	actions.Reset()
}

func rank(job *medlargw.Job) int { return int(job.Class[len(job.Class)-1] - '0') }

// finish ends all attempts and lets all deadlines pass.
func (w *world) finish() {
	for range 10000 {
		if len(w.attempts) == 0 && w.b.decider.Jobs() == 0 {
			break
		}
		w.end(0, 8) // Succeeds.
		w.check()
		w.b.now = w.b.now.Add(10 * time.Millisecond)
		w.b.decider.Tick(w.b.now)
		w.check()
	}
	w.b.balanced()
}

func TestRandomEvents(t *testing.T) {
	t.Parallel()
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{rapid.Byte().Draw(t, "what"), rapid.Byte().Draw(t, "which"), rapid.Byte().Draw(t, "detail")}
	}), 100, 400)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, rapid.Bool().Draw(rt, "floor"))
		for _, s := range steps.Draw(rt, "steps") {
			w.apply(s)
		}
		w.finish()
	})
}

func FuzzEvents(f *testing.F) {
	f.Fuzz(func(t *testing.T, floor bool, events []byte) {
		w := newWorld(t, floor)
		for ; len(events) >= 3; events = events[3:] {
			w.apply(step{events[0], events[1], events[2]})
		}
		w.finish()
	})
}
