package lender

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// simGroup is a deterministic simulation of entries, targets and the network
// between them. Time advances only in run.
type simGroup struct {
	now             time.Duration // Since the start of the simulation.
	events          eventQueue
	lastOrder       int
	random          *rand.Rand
	entries         []*simEntry
	targets         []medlargw.Target
	cfg             *medlargw.Config
	lossRate        float64
	duplicationRate float64
	minDelay        time.Duration // Lower bound of the delay of one message.
	maxDelay        time.Duration
	isCut           func(from, to medlargw.HostName) bool
	runningByTarget map[medlargw.TargetName]int
	runningByTeam   map[medlargw.TeamName]int // Running tasks of each team.
	maxOveruse      int                       // The most by which allocations and use exceeded a target's slots.
	maxTeamOveruse  int                       // The most by which a team's running tasks exceeded its limit.
	refusedStarts   int                       // Starts that targets refused.
	messages        int
	skipChecks      bool // Skips recordOveruse, to save time in benchmarks.
	bytes           int
	ended           []*simTask
}

// simEntry is a lender with a simple scheduler: strict priority by class, and
// first come, first served within a class.
type simEntry struct {
	g             *simGroup
	peer          medlargw.Peer
	l             *Lender
	clockRate     float64 // Clock seconds per second of the simulation.
	paused        bool
	crashed       bool
	allocations   []medlargw.Allocation
	shares        map[medlargw.TeamName]medlargw.LimitShare
	used          map[medlargw.TargetName]int
	runningByTeam map[medlargw.TeamName]int
	waiting       [3][]*simTask
	runningByRank [3]int
	lastStep      time.Time
	nextStep      time.Duration
	refusedAt     map[medlargw.TargetName]time.Duration // When the target last refused a start.
}

// simTask is one task; its times are since the start of the simulation.
type simTask struct {
	rank    int
	team    medlargw.TeamName
	runTime time.Duration
	arrived time.Duration
	started time.Duration
	ended   time.Duration
}

// newSimGroup returns a group with the given number of entries and of targets in
// each zone, and of slots at each target.
func newSimGroup(tb interface{ Helper() }, seed uint64, favour medlargw.Favour, entries, targets, slots int, zones ...medlargw.ZoneName) *simGroup {
	tb.Helper()
	g := &simGroup{
		random:   rand.New(rand.NewPCG(seed, seed)),
		minDelay: 300 * time.Microsecond, maxDelay: 700 * time.Microsecond,
		runningByTarget: map[medlargw.TargetName]int{}, runningByTeam: map[medlargw.TeamName]int{},
		cfg: &medlargw.Config{},
	}
	for _, zone := range zones {
		for n := range targets {
			name := medlargw.TargetName(fmt.Sprintf("%s-target-%d", zone, n))
			g.targets = append(g.targets, medlargw.Target{Name: name, Zone: zone, Slots: slots})
		}
		for n := range entries {
			host := medlargw.HostName(fmt.Sprintf("%s-%d", zone, n))
			g.entries = append(g.entries, &simEntry{
				g: g, clockRate: 1, peer: medlargw.Peer{Host: host, Zone: zone, Incarnation: 1},
			})
		}
	}
	for _, e := range g.entries {
		e.start(favour)
	}
	g.after(heartbeatInterval, g.exchangeDigests)
	return g
}

const heartbeatInterval = time.Second

// exchangeDigests passes the digest of each entry to all others that it can
// reach.
func (g *simGroup) exchangeDigests() {
	for _, from := range g.entries {
		digest := medlargw.Digest{FreeSlots: from.l.freeSlots()}
		for rank, waiting := range from.waiting {
			digest.Waiting = append(digest.Waiting, medlargw.ClassDemand{Rank: rank, Tasks: len(waiting)})
		}
		for _, to := range g.entries {
			cut := g.isCut != nil && g.isCut(from.peer.Host, to.peer.Host)
			if from != to && !cut && !from.crashed && !from.paused && !to.crashed && !to.paused {
				to.l.SetDigest(to.clock(), from.peer.Host, digest)
			}
		}
	}
	g.after(heartbeatInterval, g.exchangeDigests)
}

// start resets the entry's state and creates its lender.
func (e *simEntry) start(favour medlargw.Favour) {
	s := medlargw.Settings{
		Host: e.peer.Host, Zone: e.peer.Zone, Favour: favour,
		Group: medlargw.GroupSettings{Term: 2 * time.Second, Margin: 200 * time.Millisecond},
	}
	e.l = New(&s, e.peer.Incarnation)
	e.allocations = nil
	e.shares = map[medlargw.TeamName]medlargw.LimitShare{}
	e.used = map[medlargw.TargetName]int{}
	e.runningByTeam = map[medlargw.TeamName]int{}
	e.refusedAt = map[medlargw.TargetName]time.Duration{}
}

// setView gives all entries, or the given ones, a view of those entries that
// haven't crashed and aren't cut off from them.
func (g *simGroup) setView(entries ...*simEntry) {
	if entries == nil {
		entries = g.entries
	}
	for _, e := range entries {
		if e.crashed || e.paused {
			continue
		}
		view := medlargw.Group{Targets: g.targets}
		for _, other := range g.entries {
			if !other.crashed && (other == e || g.isCut == nil || !g.isCut(e.peer.Host, other.peer.Host)) {
				view.Entries = append(view.Entries, other.peer)
			}
		}
		e.l.Configure(e.clock(), g.cfg)
		e.l.SetGroup(e.clock(), &view)
		e.step()
	}
}

// run advances the time and records overuse after each event.
func (g *simGroup) run(d time.Duration) {
	end := g.now + d
	for len(g.events) > 0 && g.events[0].at <= end {
		e := heap.Pop(&g.events).(event) //nolint:errcheck // Only events.
		g.now = e.at
		e.do()
		if !g.skipChecks {
			g.recordOveruse()
		}
	}
	g.now = end
}

// recordOveruse updates by how much allocations and use exceed a target's slots,
// and running tasks a team's limit.
func (g *simGroup) recordOveruse() {
	sums := map[medlargw.TargetName]int{}
	for _, e := range g.entries {
		if e.crashed {
			continue
		}
		usable := maps.Clone(e.used)
		for _, c := range e.allocations {
			if !e.paused && (c.ExpiresAt.IsZero() || e.clock().Before(c.ExpiresAt)) {
				usable[c.Target.Name] = max(usable[c.Target.Name], c.Slots)
			}
		}
		for name, n := range usable {
			sums[name] += n
		}
	}
	for _, t := range g.cfg.Teams {
		g.maxTeamOveruse = max(g.maxTeamOveruse, g.runningByTeam[t.Name]-t.Limit.Running)
	}
	for _, t := range g.targets {
		g.maxOveruse = max(g.maxOveruse, sums[t.Name]-t.Slots)
	}
}

var epoch = time.Unix(1_000_000, 0)

func (e *simEntry) clock() time.Time {
	return epoch.Add(time.Duration(float64(e.g.now) * e.clockRate))
}

func (e *simEntry) demand() *medlargw.Demand {
	d := &medlargw.Demand{}
	for rank := range e.waiting {
		waiting := 0
		for _, w := range e.waiting[rank] {
			if e.allowed(w.team) {
				waiting++
			}
		}
		d.Classes = append(d.Classes, medlargw.ClassDemand{Rank: rank, Tasks: waiting, Running: e.runningByRank[rank]})
	}
	for name, n := range e.used {
		d.Targets = append(d.Targets, medlargw.TargetUsage{Target: name, Used: n})
	}
	for _, t := range e.g.cfg.Teams {
		use := medlargw.TeamUsage{Team: t.Name, Running: e.runningByTeam[t.Name]}
		for rank := range e.waiting {
			for _, w := range e.waiting[rank] {
				if w.team == t.Name {
					use.Waiting++
				}
			}
		}
		d.Teams = append(d.Teams, use)
	}
	return d
}

func (e *simEntry) allowed(team medlargw.TeamName) bool {
	s, ok := e.shares[team]
	return !ok || e.runningByTeam[team] < s.Limit.Running
}

// step runs the lender and carries out its actions, as the dispatcher does.
func (e *simEntry) step() {
	now := e.clock()
	e.lastStep = now
	e.l.SetDemand(now, e.demand())
	e.l.Tick(now)
	actions := e.l.Actions()
	for _, c := range actions.Calls {
		e.send(c)
	}
	for _, a := range actions.Replies {
		e.reply(a)
	}
	if actions.AllocationsChanged {
		e.allocations = actions.Allocations
	}
	for _, s := range actions.Shares {
		e.shares[s.Team] = s
	}
	next := time.Duration(float64(actions.NextTick.Sub(epoch))/e.clockRate) + time.Microsecond
	actions.Reset()
	e.scheduleStep(next)
	e.dispatch()
}

// refusalPause is how long the placer avoids a target that refused a start.
const refusalPause = 20 * time.Millisecond

// minStepInterval is the dispatcher's shortest time between two calls of Tick
// for waiting tasks.
const minStepInterval = 2 * time.Millisecond

// scheduleStep makes the next step due at the given time, unless an earlier one
// is due already.
func (e *simEntry) scheduleStep(at time.Duration) {
	if e.nextStep > e.g.now && e.nextStep <= at {
		return
	}
	e.nextStep = at
	e.g.after(at-e.g.now, func() {
		if e.nextStep == at && !e.paused && !e.crashed {
			e.step()
		}
	})
}

// dispatchAndStep starts the tasks that have a slot, and runs the lender if
// others still wait.
func (e *simEntry) dispatchAndStep() {
	if e.crashed || e.paused {
		return
	}
	if e.dispatch(); !e.hasWaitingTasks() {
		return
	}
	if e.clock().Sub(e.lastStep) >= minStepInterval {
		e.step()
		return
	}
	e.scheduleStep(e.g.now + minStepInterval)
}

func (e *simEntry) hasWaitingTasks() bool { return e.waitingTasks() > 0 }

func (e *simEntry) waitingTasks() int {
	return len(e.waiting[0]) + len(e.waiting[1]) + len(e.waiting[2])
}

func (e *simEntry) dispatch() {
	for rank := range e.waiting {
		for i := 0; i < len(e.waiting[rank]); {
			w := e.waiting[rank][i]
			if !e.allowed(w.team) {
				i++
				continue
			}
			target, ok := e.pick()
			if !ok {
				return
			}
			e.waiting[rank] = slices.Delete(e.waiting[rank], i, i+1)
			e.startTask(w, target)
		}
	}
}

func (e *simEntry) pick() (medlargw.TargetName, bool) {
	for _, c := range e.allocations {
		if at, ok := e.refusedAt[c.Target.Name]; ok && e.g.now-at < refusalPause {
			continue
		}
		if e.used[c.Target.Name] < c.Slots && (c.ExpiresAt.IsZero() || !e.clock().After(c.ExpiresAt)) {
			return c.Target.Name, true
		}
	}
	return "", false
}

// startTask sends a task to a target, which refuses it if all slots are in use.
func (e *simEntry) startTask(w *simTask, name medlargw.TargetName) {
	g := e.g
	e.used[name]++
	e.runningByTeam[w.team]++
	e.runningByRank[w.rank]++
	end := func() {
		e.used[name]--
		e.runningByTeam[w.team]--
		e.runningByRank[w.rank]--
		e.dispatchAndStep()
	}
	if g.runningByTarget[name] >= g.slots(name) {
		g.refusedStarts++
		e.refusedAt[name] = g.now
		g.after(time.Millisecond, func() {
			e.waiting[w.rank] = append([]*simTask{w}, e.waiting[w.rank]...)
			end()
		})
		return
	}
	g.runningByTarget[name]++
	g.runningByTeam[w.team]++
	w.started = g.now
	g.after(w.runTime, func() {
		g.runningByTarget[name]--
		g.runningByTeam[w.team]--
		w.ended = g.now
		g.ended = append(g.ended, w)
		end()
	})
}

func (g *simGroup) slots(name medlargw.TargetName) int {
	for _, t := range g.targets {
		if t.Name == name {
			return t.Slots
		}
	}
	return 0
}

// submit queues a job of n tasks at the entry.
func (e *simEntry) submit(n, rank int, team medlargw.TeamName, run time.Duration) []*simTask {
	job := make([]*simTask, n)
	for i := range job {
		job[i] = &simTask{rank: rank, team: team, runTime: run, arrived: e.g.now}
	}
	e.waiting[rank] = append(e.waiting[rank], job...)
	e.dispatchAndStep()
	return job
}
