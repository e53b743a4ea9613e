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

// group is a deterministic model of entries, targets and the network between
// them. Time passes only in run.
type group struct {
	now       time.Duration // Since the beginning.
	queue     eventQueue
	order     int
	random    *rand.Rand
	entries   []*entry
	targets   []medlargw.Target
	cfg       *medlargw.Config
	loss      float64
	double    float64
	least     time.Duration // Bounds of the delay of one message.
	most      time.Duration
	cut       func(from, to medlargw.HostName) bool
	running   map[medlargw.TargetName]int
	teams     map[medlargw.TeamName]int // Running tasks.
	over      int                       // The most by which rights and use passed a target's slots.
	overTeam  int                       // The most by which a team's running tasks passed its limit.
	busy      int                       // Starts that a target refused.
	calls     int
	unchecked bool // Saves time where rights aren't of interest.
	bytes     int
	ended     []*work
}

// entry is one lender with a plain scheduler: strict classes, first come first.
type entry struct {
	g       *group
	peer    medlargw.Peer
	l       *Lender
	rate    float64 // Of its clock.
	paused  bool
	dead    bool
	offered []medlargw.Capacity
	shares  map[medlargw.TeamName]medlargw.Share
	used    map[medlargw.TargetName]int
	teams   map[medlargw.TeamName]int
	waiting [3][]*work
	active  [3]int
	last    time.Time
	wake    time.Duration
	refused map[medlargw.TargetName]time.Duration // When the target was found full.
}

// work is one task.
type work struct {
	rank    int
	team    medlargw.TeamName
	run     time.Duration
	arrived time.Duration
	began   time.Duration
	ended   time.Duration
}

// newGroup returns entries and targets of one zone each per given size.
func newGroup(tb interface{ Helper() }, seed uint64, favour medlargw.Favour, entries, targets, slots int, zones ...medlargw.ZoneName) *group {
	tb.Helper()
	g := &group{
		random: rand.New(rand.NewPCG(seed, seed)),
		least:  300 * time.Microsecond, most: 700 * time.Microsecond,
		running: map[medlargw.TargetName]int{}, teams: map[medlargw.TeamName]int{},
		cfg: &medlargw.Config{},
	}
	for _, zone := range zones {
		for n := range targets {
			name := medlargw.TargetName(fmt.Sprintf("%s-target-%d", zone, n))
			g.targets = append(g.targets, medlargw.Target{Name: name, Zone: zone, Slots: slots})
		}
		for n := range entries {
			host := medlargw.HostName(fmt.Sprintf("%s-%d", zone, n))
			g.entries = append(g.entries, &entry{
				g: g, rate: 1, peer: medlargw.Peer{Host: host, Zone: zone, Incarnation: 1},
			})
		}
	}
	for _, e := range g.entries {
		e.start(favour)
	}
	g.after(beat, g.beat)
	return g
}

// beat is the time between two heartbeats.
const beat = time.Second

// beat lets each entry hear the digests of all others that it can reach.
func (g *group) beat() {
	for _, from := range g.entries {
		digest := medlargw.Digest{Free: from.l.freeSlots()}
		for rank, waiting := range from.waiting {
			digest.Waiting = append(digest.Waiting, medlargw.ClassDemand{Rank: rank, Tasks: len(waiting)})
		}
		for _, to := range g.entries {
			cut := g.cut != nil && g.cut(from.peer.Host, to.peer.Host)
			if from != to && !cut && !from.dead && !from.paused && !to.dead && !to.paused {
				to.l.Heard(to.clock(), from.peer.Host, digest)
			}
		}
	}
	g.after(beat, g.beat)
}

// start begins the run of the entry's incarnation.
func (e *entry) start(favour medlargw.Favour) {
	s := medlargw.Settings{
		Host: e.peer.Host, Zone: e.peer.Zone, Favour: favour,
		Group: medlargw.GroupSettings{Term: 2 * time.Second, Margin: 200 * time.Millisecond},
	}
	e.l = New(&s, e.peer.Incarnation)
	e.offered = nil
	e.shares = map[medlargw.TeamName]medlargw.Share{}
	e.used = map[medlargw.TargetName]int{}
	e.teams = map[medlargw.TeamName]int{}
	e.refused = map[medlargw.TargetName]time.Duration{}
}

// setView gives all entries, or the named ones, a view of the entries that
// live, and those that the others see.
func (g *group) setView(who ...*entry) {
	if who == nil {
		who = g.entries
	}
	for _, e := range who {
		if e.dead || e.paused {
			continue
		}
		view := medlargw.Group{Targets: g.targets}
		for _, other := range g.entries {
			if !other.dead && (other == e || g.cut == nil || !g.cut(e.peer.Host, other.peer.Host)) {
				view.Entries = append(view.Entries, other.peer)
			}
		}
		e.l.Configure(e.clock(), g.cfg)
		e.l.SetGroup(e.clock(), &view)
		e.step()
	}
}

// run lets the time pass and checks the rights after each event.
func (g *group) run(d time.Duration) {
	end := g.now + d
	for len(g.queue) > 0 && g.queue[0].at <= end {
		e := heap.Pop(&g.queue).(event) //nolint:errcheck // Only events.
		g.now = e.at
		e.do()
		if !g.unchecked {
			g.check()
		}
	}
	g.now = end
}

// check notes by how much rights and use pass a target's slots.
func (g *group) check() {
	sums := map[medlargw.TargetName]int{}
	for _, e := range g.entries {
		if e.dead {
			continue
		}
		rights := maps.Clone(e.used)
		for _, c := range e.offered {
			if !e.paused && (c.Until.IsZero() || e.clock().Before(c.Until)) {
				rights[c.Target.Name] = max(rights[c.Target.Name], c.Slots)
			}
		}
		for name, n := range rights {
			sums[name] += n
		}
	}
	for _, t := range g.cfg.Teams {
		g.overTeam = max(g.overTeam, g.teams[t.Name]-t.Limit.Running)
	}
	for _, t := range g.targets {
		g.over = max(g.over, sums[t.Name]-t.Slots)
	}
}

var epoch = time.Unix(1_000_000, 0)

func (e *entry) clock() time.Time {
	return epoch.Add(time.Duration(float64(e.g.now) * e.rate))
}

func (e *entry) demand() *medlargw.Demand {
	d := &medlargw.Demand{}
	for rank := range e.waiting {
		waiting := 0
		for _, w := range e.waiting[rank] {
			if e.allowed(w.team) {
				waiting++
			}
		}
		d.Classes = append(d.Classes, medlargw.ClassDemand{Rank: rank, Tasks: waiting, Running: e.active[rank]})
	}
	for name, n := range e.used {
		d.Targets = append(d.Targets, medlargw.TargetUse{Target: name, Used: n})
	}
	for _, t := range e.g.cfg.Teams {
		use := medlargw.TeamUse{Team: t.Name, Running: e.teams[t.Name]}
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

func (e *entry) allowed(team medlargw.TeamName) bool {
	s, ok := e.shares[team]
	return !ok || e.teams[team] < s.Limit.Running
}

// step lets the lender act as the dispatcher does.
func (e *entry) step() {
	now := e.clock()
	e.last = now
	e.l.SetDemand(now, e.demand())
	e.l.Tick(now)
	actions := e.l.Actions()
	for _, c := range actions.Calls {
		e.send(c)
	}
	for _, a := range actions.Answers {
		e.answer(a)
	}
	if actions.Moved {
		e.offered = actions.Capacities
	}
	for _, s := range actions.Shares {
		e.shares[s.Team] = s
	}
	wake := time.Duration(float64(actions.Wake.Sub(epoch))/e.rate) + time.Microsecond
	actions.Reset()
	e.wakeAt(wake)
	e.dispatch()
}

// busyPause is the placer's pause after a target refused a start.
const busyPause = 20 * time.Millisecond

// lendPause is the dispatcher's shortest time between two looks at the loans.
const lendPause = 2 * time.Millisecond

func (e *entry) wakeAt(wake time.Duration) {
	if e.wake > e.g.now && e.wake <= wake {
		return
	}
	e.wake = wake
	e.g.after(wake-e.g.now, func() {
		if e.wake == wake && !e.paused && !e.dead {
			e.step()
		}
	})
}

// turn starts what can start, and lets the lender act if tasks wait.
func (e *entry) turn() {
	if e.dead || e.paused {
		return
	}
	if e.dispatch(); !e.short() {
		return
	}
	if e.clock().Sub(e.last) >= lendPause {
		e.step()
		return
	}
	e.wakeAt(e.g.now + lendPause)
}

func (e *entry) short() bool { return e.waitingTasks() > 0 }

func (e *entry) waitingTasks() int {
	return len(e.waiting[0]) + len(e.waiting[1]) + len(e.waiting[2])
}

func (e *entry) dispatch() {
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
			e.run(w, target)
		}
	}
}

func (e *entry) pick() (medlargw.TargetName, bool) {
	for _, c := range e.offered {
		if at, ok := e.refused[c.Target.Name]; ok && e.g.now-at < busyPause {
			continue
		}
		if e.used[c.Target.Name] < c.Slots && (c.Until.IsZero() || !e.clock().After(c.Until)) {
			return c.Target.Name, true
		}
	}
	return "", false
}

// run carries a task to its target; a full target refuses it.
func (e *entry) run(w *work, name medlargw.TargetName) {
	g := e.g
	e.used[name]++
	e.teams[w.team]++
	e.active[w.rank]++
	end := func() {
		e.used[name]--
		e.teams[w.team]--
		e.active[w.rank]--
		e.turn()
	}
	if g.running[name] >= g.slots(name) {
		g.busy++
		e.refused[name] = g.now
		g.after(time.Millisecond, func() {
			e.waiting[w.rank] = append([]*work{w}, e.waiting[w.rank]...)
			end()
		})
		return
	}
	g.running[name]++
	g.teams[w.team]++
	w.began = g.now
	g.after(w.run, func() {
		g.running[name]--
		g.teams[w.team]--
		w.ended = g.now
		g.ended = append(g.ended, w)
		end()
	})
}

func (g *group) slots(name medlargw.TargetName) int {
	for _, t := range g.targets {
		if t.Name == name {
			return t.Slots
		}
	}
	return 0
}

// submit lets n tasks wait at the entry.
func (e *entry) submit(n, rank int, team medlargw.TeamName, run time.Duration) []*work {
	job := make([]*work, n)
	for i := range job {
		job[i] = &work{rank: rank, team: team, run: run, arrived: e.g.now}
	}
	e.waiting[rank] = append(e.waiting[rank], job...)
	e.turn()
	return job
}
