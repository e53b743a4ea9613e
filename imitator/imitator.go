// Package imitator simulates targets that run tasks under a lease. It refuses no
// start for lack of resources; instead it records violations of the rules that
// holders of targets must follow.
//
// The caller provides the clock, so that the package works both in tests with
// virtual time and in the program that simulates the platform.
package imitator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"medlargw.example/medlargw"
)

const (
	// stopDelay is the time from a stop order to the end of the run.
	stopDelay = 30 * time.Millisecond
	// maxLease is the longest lease; longer ones are shortened to it.
	maxLease = time.Second
	// shrinkNotice is the time after which a holder must know that a target has shrunk: 3 s
	// and a heartbeat of the target.
	shrinkNotice = 4500 * time.Millisecond
	// After maxCrashes crashes a task may be started maxLateStarts times more.
	maxCrashes    = 3
	maxLateStarts = 2
)

// Imitator holds simulated targets and their runs.
type Imitator struct {
	now      func() time.Time
	describe func(task string, payload []byte) medlargw.SimulatedTask

	mu                sync.Mutex
	targets           map[medlargw.TargetName]*target
	activeRuns        map[string]int  // Number of active runs by task.
	notRun            map[string]bool // Tasks whose jobs were reported as not run.
	violations        []string
	submissions       map[submission]*history
	repeats           []string
	crashes           map[submission]int // Number of crashes by the task that caused them.
	lateStarts        map[submission]int // Number of starts of a task after maxCrashes.
	usefulCoreSeconds float64            // Core-seconds of successful runs.
	wastedCoreSeconds float64            // Core-seconds of all other runs.
}

// target is one simulated target.
type target struct {
	info         medlargw.Target
	listedStart  time.Time // Start of the incarnation that the host list shows while the target is down.
	larger       []formerResources
	startedAt    time.Time
	fencingToken uint64
	clockRate    float64
	leaseEnd     time.Duration // On the clock of the target.
	lapsedAt     time.Time     // When its lease last lapsed.
	runs         map[medlargw.RunID]*run
	highestEnded map[string]int    // Highest attempt that was stopped or has ended, by task.
	pendingEnds  []medlargw.RunEnd // Not yet acknowledged by a renewal.
	successes    []success         // Of pendingEnds.
	lastEnd      uint64            // Sequence number of the last end.
	changed      chan struct{}     // Closed and replaced when a run starts or ends.
	faults       medlargw.TargetFaults
}

// formerResources are the resources that a target had before it shrank.
type formerResources struct {
	resources medlargw.Resources
	until     time.Time // When holders must have learned that it has shrunk.
}

// run is an active run.
type run struct {
	id        medlargw.RunID
	of        submission
	resources medlargw.Resources
	startedAt time.Time
	runTime   time.Duration
	endsAt    time.Time // Zero for a run that never ends.
	endKind   medlargw.RunEndKind
}

// New returns an imitator without targets. The function describe returns the
// run time and the resources of a task.
func New(now func() time.Time, describe func(task string, payload []byte) medlargw.SimulatedTask) *Imitator {
	return &Imitator{
		now:        now,
		describe:   describe,
		targets:    map[medlargw.TargetName]*target{},
		activeRuns: map[string]int{},
		notRun:     map[string]bool{},

		submissions: map[submission]*history{},
		crashes:     map[submission]int{},
		lateStarts:  map[submission]int{},
	}
}

// Add adds a target and starts its first incarnation.
func (im *Imitator) Add(info medlargw.Target) {
	im.mu.Lock()
	defer im.mu.Unlock()
	t := &target{info: info, clockRate: 1}
	im.reset(t)
	im.targets[info.Name] = t
}

func (im *Imitator) reset(t *target) {
	t.startedAt = im.now()
	t.info.IncarnationStart = t.startedAt
	t.fencingToken = 0
	t.leaseEnd = 0
	t.lapsedAt = time.Time{}
	t.runs = map[medlargw.RunID]*run{}
	t.highestEnded = map[string]int{}
	t.pendingEnds = nil
	t.successes = nil
	t.lastEnd = 0
	t.changed = make(chan struct{})
}

// SetResources changes the resources of a target while it runs. Starts within the
// resources that it had before are no violation until its holder must have learned of
// the change.
func (im *Imitator) SetResources(name medlargw.TargetName, r medlargw.Resources) {
	im.mu.Lock()
	defer im.mu.Unlock()
	t := im.targets[name]
	t.larger = append(t.larger, formerResources{t.info.Resources, im.now().Add(shrinkNotice)})
	t.info.Resources = r
}

// covers reports whether a target has the resources, or had them not long ago.
func (im *Imitator) covers(t *target, r medlargw.Resources) bool {
	now := im.now()
	t.larger = slices.DeleteFunc(t.larger, func(f formerResources) bool { return !f.until.After(now) })
	return t.info.Resources.Covers(r) || slices.ContainsFunc(t.larger, func(f formerResources) bool { return f.resources.Covers(r) })
}

// Targets returns all targets as the host list shows them, ordered by name. It shows
// one that is down as it was before.
func (im *Imitator) Targets() []medlargw.Target {
	im.mu.Lock()
	defer im.mu.Unlock()
	var all []medlargw.Target
	for _, t := range im.targets {
		info := t.info
		if t.startedAt.After(im.now()) {
			info.IncarnationStart = t.listedStart
		}
		all = append(all, info)
	}
	slices.SortFunc(all, func(a, b medlargw.Target) int {
		return slices.Compare([]byte(a.Name), []byte(b.Name))
	})
	return all
}

// Violations returns the recorded violations.
func (im *Imitator) Violations() []string {
	im.mu.Lock()
	defer im.mu.Unlock()
	return slices.Clone(im.violations)
}

// RecordNotRun records a task whose job was reported as not run. A later start
// of the task is a violation.
func (im *Imitator) RecordNotRun(task string) {
	im.mu.Lock()
	defer im.mu.Unlock()
	im.notRun[task] = true
}

// RecordRefusal records a task of a submission of its job that was reported as not run.
// Submissions are told apart by the payloads of their tasks. An earlier or later start
// for this submission is a violation, as is a run of the task at this time, whatever
// submission it is of: the caller may submit the job elsewhere at once.
func (im *Imitator) RecordRefusal(task string, payload []byte) {
	im.mu.Lock()
	defer im.mu.Unlock()
	for _, t := range im.targets {
		im.endDueRuns(t)
		for id := range t.runs {
			if id.Task == task {
				im.addViolation("task %s: its job was refused during run %d on %s", task, id.Attempt, t.info.Name)
			}
		}
	}
	s := im.history(newSubmission(task, payload))
	if s.lastRun != "" {
		im.addViolation("task %s: its job was refused after the start of %s", task, s.lastRun)
	}
	s.refused = true
}

// SetFaults replaces the faults of a target.
func (im *Imitator) SetFaults(name medlargw.TargetName, f medlargw.TargetFaults) {
	im.mu.Lock()
	defer im.mu.Unlock()
	im.targets[name].faults = f
}

// SetClockRate sets how fast the clock of a target runs.
func (im *Imitator) SetClockRate(name medlargw.TargetName, rate float64) {
	im.mu.Lock()
	defer im.mu.Unlock()
	im.targets[name].clockRate = rate
}

// Faults returns the faults of a target.
func (im *Imitator) Faults(name medlargw.TargetName) medlargw.TargetFaults {
	im.mu.Lock()
	defer im.mu.Unlock()
	return im.targets[name].faults
}

// CoreSeconds returns the core-seconds of the successful runs and of all other
// runs.
func (im *Imitator) CoreSeconds() (useful, wasted float64) {
	im.mu.Lock()
	defer im.mu.Unlock()
	return im.usefulCoreSeconds, im.wastedCoreSeconds
}

func (im *Imitator) addCoreSeconds(r *run, kind medlargw.RunEndKind) {
	spent := im.now().Sub(r.startedAt).Seconds() * float64(r.resources.Cores) / 1000
	if kind == medlargw.RunSucceeded {
		im.usefulCoreSeconds += spent
		return
	}
	im.wastedCoreSeconds += spent
}

// Crash ends all runs on a target and starts a new incarnation of it.
func (im *Imitator) Crash(name medlargw.TargetName) {
	im.mu.Lock()
	defer im.mu.Unlock()
	im.crash(im.targets[name], 0)
}

// crash ends all runs on a target and starts a new incarnation of it after the
// downtime.
func (im *Imitator) crash(t *target, downtime time.Duration) {
	for id, r := range t.runs {
		im.activeRuns[id.Task]--
		im.addCoreSeconds(r, medlargw.RunStopped)
	}
	close(t.changed)
	t.listedStart = t.startedAt
	im.reset(t)
	t.startedAt = t.startedAt.Add(downtime)
	t.info.IncarnationStart = t.startedAt
}

// IsDown reports whether a target has crashed and not started again.
func (im *Imitator) IsDown(name medlargw.TargetName) bool {
	im.mu.Lock()
	defer im.mu.Unlock()
	return im.targets[name].startedAt.After(im.now())
}

// Crashes returns the number of targets that a task has crashed.
func (im *Imitator) Crashes(task string) int {
	im.mu.Lock()
	defer im.mu.Unlock()
	n := 0
	for of, crashes := range im.crashes {
		if of.task == task {
			n += crashes
		}
	}
	return n
}

func (im *Imitator) addViolation(format string, args ...any) {
	im.violations = append(im.violations, fmt.Sprintf(format, args...))
}
