package coordinator_test

import (
	"math"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestJobsThatNoTargetCanRun submits urgent jobs whose tasks no target can run, beside a job
// of a less urgent rank. It guards against jobs without any work for the targets that are
// queued and counted as the work of others: the less urgent rank was refused for them, or
// went first when their work wrapped.
func TestJobsThatNoTargetCanRun(t *testing.T) {
	tests := []struct {
		name  string
		odd   func(j *medlargw.Job)
		code  medlargw.Code
		retry time.Duration
	}{
		{"more cores than any target", func(j *medlargw.Job) { j.Resources.Cores = 32001 }, medlargw.CodeOverloaded, time.Second},
		{"memory that no target has", func(j *medlargw.Job) { j.Resources.Memory = 1 }, medlargw.CodeOverloaded, time.Second},
		{"work that wraps", func(j *medlargw.Job) { j.Resources.Cores = 1 << 62 }, medlargw.CodeOverloaded, time.Second},
		{"longer than until the deadline", func(j *medlargw.Job) { j.EstimatedRuntime = medlargw.MaxTimeLeft }, medlargw.CodeDeadline, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder}, Targets: []medlargw.Target{
				{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000}},
				{Name: "u", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 16000}},
			}})
			h.c.SetFreeResources(h.now, holder.Incarnation, freeResources(2, 0))
			odd := job(8)
			test.odd(odd)
			h.c.Submit(h.now, odd)
			a := h.c.TakeActions(h.now)
			if len(a.Finished) != 1 || len(a.Offers) != 0 {
				t.Fatalf("at once: got %d ended jobs and %d offers, want 1 and none", len(a.Finished), len(a.Offers))
			}
			if o := a.Finished[0].Outcome; o.Code != test.code || !o.NotRun() || o.RetryAfter != test.retry {
				t.Errorf("outcome: got %s, not run %v, retry after %v, want %s, true, %v", o.Code, o.NotRun(), o.RetryAfter, test.code, test.retry)
			}
			h.now = h.now.Add(200 * time.Millisecond)
			h.c.Tick(h.now)
			var report medlargw.HolderResources
			h.c.AddDemand(h.now, &report)
			if p := report.Pool("pool"); p.ArrivingAhead(0) != 0 {
				t.Errorf("demand of the urgent rank: got %+v, want none", p.Waiting)
			}
			sound := job(2)
			sound.Rank, sound.Arrived, sound.Deadline = 1, h.now, h.now.Add(5*time.Second)
			h.c.Submit(h.now, sound)
			if got := h.c.JobCount(); got != 1 {
				t.Errorf("jobs of the less urgent rank: got %d, want 1 admitted", got)
			}
		})
	}
}

// TestJobsThatATargetMayRun checks that a job is offered, and not refused for its size, while
// the host list doesn't prove that no target has the resources for it.
func TestJobsThatATargetMayRun(t *testing.T) {
	tests := []struct {
		name   string
		listed []int64 // Cores of the listed targets; zero if one has not stated its resources, or has none for now.
		cores  int64   // Of the task; the holder has 32,000 free.
	}{
		{"a target is unknown", []int64{32000, 0}, 64000},
		{"a target has grown and is not listed so yet", []int64{8000}, 14000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			g := medlargw.Group{Entries: []medlargw.Peer{holder}}
			for i, cores := range test.listed {
				name := medlargw.TargetName(rune('t' + i))
				g.Targets = append(g.Targets, medlargw.Target{Name: name, Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: cores}})
			}
			h.c.SetGroup(h.now, g)
			j := job(1)
			j.Resources.Cores = test.cores
			h.c.Submit(h.now, j)
			if got := h.c.JobCount(); got != 1 {
				t.Errorf("admitted jobs: got %d, want 1", got)
			}
			if got := len(h.offers()); got != 1 {
				t.Errorf("offers: got %d, want 1", got)
			}
		})
	}
}

// TestLargeSlackFactor submits a job whose queue allows it any time. It guards against an
// objective that wraps: the job is refused as late on some kinds of machines.
func TestLargeSlackFactor(t *testing.T) {
	for _, slack := range []float64{1.6, 1e10, 1e300, math.MaxFloat64} {
		h := newFixture(t)
		busy := freeResources(2, 0)
		busy.Pools[0].Waiting = []medlargw.RankWork{{Rank: 0, Work: 64000 * 100}}
		h.c.SetFreeResources(h.now, holder.Incarnation, busy)
		j := job(2)
		j.SlackFactor = slack
		h.c.Submit(h.now, j)
		if got := h.c.JobCount(); got != 1 {
			t.Errorf("jobs with slack factor %v: got %d, want 1 admitted", slack, got)
		}
	}
}
