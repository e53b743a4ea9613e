package scheduler_test

import (
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/scheduler"
)

// classes returns a configuration with a class for each rank, named by its position.
func classes(ranks ...int) *medlargw.Config {
	cfg := &medlargw.Config{}
	for i, rank := range ranks {
		cfg.Classes = append(cfg.Classes, medlargw.Class{Name: medlargw.ClassName(rune('a' + i)), Rank: rank})
	}
	return cfg
}

// TestLargeRanks schedules jobs of a configuration with large ranks, as a value in the store
// may have that another build has written. It guards against memory that grows with the
// number of a rank.
func TestLargeRanks(t *testing.T) {
	const (
		schedulers = 20       // The Go runtime may start a thread meanwhile, whose 5 KB count as well.
		want       = 64 << 10 // Bytes, the mean of all schedulers.
	)
	for _, last := range []int{3, 10_000_000, math.MaxInt} {
		var s *scheduler.Scheduler
		cfg := classes(0, 2, last)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range schedulers {
			s = scheduler.New(medlargw.PolicyLeastWork)
			s.Configure(cfg)
			for i := range 3 {
				class := cfg.Classes[2-i].Name // The least urgent one first.
				s.Add(&medlargw.Job{ID: medlargw.JobID(i + 1), Class: class, Tasks: make([]medlargw.Task, 1)}, time.Second)
			}
		}
		runtime.ReadMemStats(&after)
		if got := (after.TotalAlloc - before.TotalAlloc) / schedulers; got > want {
			t.Fatalf("bytes for ranks 0, 2 and %d: got %d, want at most %d", last, got, want)
		}
		if got, want := s.Backlog("b", "team"), (medlargw.Backlog{Rank: 2, HigherWork: time.Second, ClassWork: time.Second, LowerTasks: 1}); got.Rank != want.Rank ||
			got.HigherWork != want.HigherWork || got.ClassWork != want.ClassWork || got.LowerTasks != want.LowerTasks {
			t.Errorf("backlog of rank 2: got %+v, want %+v", got, want)
		}
		var evicted []medlargw.JobID
		for j := range s.EvictionCandidates("a") {
			evicted = append(evicted, j.ID)
		}
		if want := []medlargw.JobID{1, 2}; !slices.Equal(evicted, want) {
			t.Errorf("jobs to evict: got %v, want %v", evicted, want)
		}
		var got []int
		for cand, ok := s.Peek(math.MaxInt64); ok; cand, ok = s.Peek(math.MaxInt64) {
			got = append(got, cand.Rank)
			s.Take(cand)
		}
		if want := []int{0, 2, last}; !slices.Equal(got, want) {
			t.Errorf("order of ranks: got %v, want %v", got, want)
		}
	}
}

// TestFormerRanks checks that a class without jobs ends with the configuration that had it,
// and that one with jobs stays.
func TestFormerRanks(t *testing.T) {
	s := scheduler.New(medlargw.PolicyLeastWork)
	s.Configure(classes(0, 2))
	job := &medlargw.Job{ID: 1, Class: "b", Tasks: make([]medlargw.Task, 2)}
	s.Add(job, time.Second)
	s.Configure(classes(5))
	if got, want := s.Waiting(), []medlargw.ClassDemand{{Rank: 2, Tasks: 2}, {Rank: 5}}; !slices.Equal(got, want) {
		t.Errorf("classes while a former one has a job: got %v, want %v", got, want)
	}
	s.Remove(job)
	s.Configure(classes(5))
	if got, want := s.Waiting(), []medlargw.ClassDemand{{Rank: 5}}; !slices.Equal(got, want) {
		t.Errorf("classes afterwards: got %v, want %v", got, want)
	}
}
