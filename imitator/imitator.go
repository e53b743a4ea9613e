// Package imitator stands in for targets that run tasks under a lease. It
// guards no room, and counts each rule that it sees broken.
//
// The time is read from a clock that is given, so that the same code serves
// tests in virtual time and the stand-in program.
package imitator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"medlargw.example/medlargw"
)

const (
	// stopTime is how long a stopped run goes on.
	stopTime = 30 * time.Millisecond
	// longest is the longest lease; longer ones are cut to it.
	longest = time.Second
)

// Imitator holds targets and what runs on them.
type Imitator struct {
	now      func() time.Time
	describe func(task string, payload []byte) medlargw.TaskWork

	mu      sync.Mutex
	targets map[medlargw.TargetName]*target
	alive   map[string]int // Runs of a task that are alive.
	refused map[string]bool
	broken  []string
	done    float64 // Core-seconds of runs that ended well.
	wasted  float64 // Core-seconds of all other runs.
}

// target is one imitated target.
type target struct {
	info  medlargw.Target
	began time.Time
	fence uint64
	until time.Duration
	runs  map[medlargw.RunID]*run
	high  map[string]int // Highest attempt that was stopped or has ended, by task.
	ends  []medlargw.RunEnd
	last  uint64
	wake  chan struct{} // Closed at a start and at an end.
	fault medlargw.TargetFaults
}

// run is a run that is alive.
type run struct {
	id      medlargw.RunID
	room    medlargw.Room
	started time.Time
	work    time.Duration
	ends    time.Time // Zero is never.
	kind    medlargw.RunEndKind
}

// New returns an imitator without targets. The function tells what a task
// takes.
func New(now func() time.Time, describe func(task string, payload []byte) medlargw.TaskWork) *Imitator {
	return &Imitator{
		now:      now,
		describe: describe,
		targets:  map[medlargw.TargetName]*target{},
		alive:    map[string]int{},
		refused:  map[string]bool{},
	}
}

// Add takes a target into use.
func (im *Imitator) Add(info medlargw.Target) {
	im.mu.Lock()
	defer im.mu.Unlock()
	t := &target{info: info}
	im.reset(t)
	im.targets[info.Name] = t
}

func (im *Imitator) reset(t *target) {
	t.began = im.now()
	t.info.Born = t.began
	t.fence = 0
	t.until = 0
	t.runs = map[medlargw.RunID]*run{}
	t.high = map[string]int{}
	t.ends = nil
	t.last = 0
	t.wake = make(chan struct{})
}

// Targets returns all targets, in the order of their names.
func (im *Imitator) Targets() []medlargw.Target {
	im.mu.Lock()
	defer im.mu.Unlock()
	var all []medlargw.Target
	for _, t := range im.targets {
		all = append(all, t.info)
	}
	slices.SortFunc(all, func(a, b medlargw.Target) int {
		return slices.Compare([]byte(a.Name), []byte(b.Name))
	})
	return all
}

// Broken returns the rules that were seen broken.
func (im *Imitator) Broken() []string {
	im.mu.Lock()
	defer im.mu.Unlock()
	return slices.Clone(im.broken)
}

// Refused takes note of a task whose job was said not to have run.
func (im *Imitator) Refused(task string) {
	im.mu.Lock()
	defer im.mu.Unlock()
	im.refused[task] = true
}

// Set changes how a target misbehaves.
func (im *Imitator) Set(name medlargw.TargetName, f medlargw.TargetFaults) {
	im.mu.Lock()
	defer im.mu.Unlock()
	im.targets[name].fault = f
}

// Faults returns how a target misbehaves.
func (im *Imitator) Faults(name medlargw.TargetName) medlargw.TargetFaults {
	im.mu.Lock()
	defer im.mu.Unlock()
	return im.targets[name].fault
}

// Spent returns the core-seconds of the runs that ended well, and of those that
// did not.
func (im *Imitator) Spent() (done, wasted float64) {
	im.mu.Lock()
	defer im.mu.Unlock()
	return im.done, im.wasted
}

func (im *Imitator) spend(r *run, kind medlargw.RunEndKind) {
	spent := im.now().Sub(r.started).Seconds() * float64(r.room.Cores) / 1000
	if kind == medlargw.RunDone {
		im.done += spent
		return
	}
	im.wasted += spent
}

// Crash ends everything on a target and starts a new incarnation of it.
func (im *Imitator) Crash(name medlargw.TargetName) {
	im.mu.Lock()
	defer im.mu.Unlock()
	t := im.targets[name]
	for id, r := range t.runs {
		im.alive[id.Task]--
		im.spend(r, medlargw.RunStopped)
	}
	close(t.wake)
	im.reset(t)
}

func (im *Imitator) breaks(format string, args ...any) {
	im.broken = append(im.broken, fmt.Sprintf(format, args...))
}
