package conductor_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/imitator"
)

// messageKind is a kind of message or answer in a searchWorld.
type messageKind int

const (
	offerMessage messageKind = iota
	offerAnswer
	reportMessage
	reportAnswer
	transferMessage
	transferAnswer
	startMessage
	startAnswer
	stopMessage
	stopAnswer
	renewMessage
	renewAnswer
	heartbeatMessage
	messageKinds // Number of kinds.
)

func (k messageKind) String() string {
	return [...]string{
		"offer", "answer to offer", "report", "answer to report", "transfer", "answer to transfer", "start", "answer to start",
		"stop", "answer to stop", "renewal", "answer to renewal", "heartbeat",
	}[k]
}

// isRequest reports whether the message begins a call.
func (k messageKind) isRequest() bool { return k%2 == 0 && k != heartbeatMessage }

// messageFate gives the probabilities of what happens to messages of a kind.
type messageFate struct {
	lost, late, slow float64
	starved          float64       // Of a sender that is delayed before it sends a request.
	maxDelay         time.Duration // Of a slow message or a starved sender.
}

// Bounds of the time after which a late request is executed, and one whose lease
// counts from then.
const (
	maxLateness      = 3 * time.Second
	maxGrantLateness = 6 * time.Second
)

// searchEvent is an event at a time of a searchWorld.
type searchEvent struct {
	at  time.Time
	seq int
	run func()
}

type searchQueue []searchEvent

func (q searchQueue) Len() int { return len(q) }
func (q searchQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q searchQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *searchQueue) Push(x any)   { *q = append(*q, x.(searchEvent)) } //nolint:forcetypeassert // Only searchEvents are pushed.
func (q *searchQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// searchWorld runs entries, targets and the messages between them as events in
// virtual time, on one goroutine.
type searchWorld struct {
	trace   func(format string, args ...any)
	rand    *rand.Rand
	start   time.Time
	now     time.Time
	queue   searchQueue
	lastSeq int

	entries         []*searchEntry // The latest incarnation at each host.
	lastIncarnation medlargw.Incarnation
	processes       map[string]int // Number of the process at each host and target.
	targets         *imitator.Imitator
	names           []medlargw.TargetName
	polls           map[medlargw.TargetName][]*searchPoll
	work            map[string]medlargw.SimulatedTask
	callers         []*searchCaller

	fates         [messageKinds]messageFate
	cuts          map[[2]string]time.Time // Ends of the cuts of one-way links.
	delayed       map[medlargw.TargetName]time.Time
	lateGrants    map[medlargw.TargetName]time.Time
	refusing      map[medlargw.TargetName]time.Time // Until when nothing at a target's address accepts connections.
	unlisted      map[medlargw.TargetName]time.Time
	reports       bool                                          // Entries rely on the resources of targets for a time only.
	list          []medlargw.Target                             // What the host list shows until listUntil.
	lastReports   map[medlargw.TargetName]medlargw.TargetReport // Those of list.
	listUntil     time.Time
	idempotent    bool                              // The jobs are idempotent.
	suspect       time.Duration                     // Silence after which an entry leaves the group of another.
	indirect      bool                              // Entries tell each other whom they have heard.
	listed        bool                              // Groups have ListedEntries.
	silentCrashes bool                              // Targets that crash neither close nor refuse connections.
	longest       time.Duration                     // Until all jobs have an outcome.
	downtime      time.Duration                     // Of the targets that the first task of a deadly job crashes.
	shedding      map[medlargw.TargetName]time.Time // Until when targets reject most start orders.
	evacuated     map[medlargw.ZoneName]time.Time   // Until when zones are evacuated.
	returns       bool                              // Callers of refused jobs submit them again.
	refusals      refusalCounts
	unused        float64  // Probability that a target rejects an order as unhealthy.
	problems      []string // Of outcomes.
	endless       []string // Events whose actions never ended.
}

func newSearchWorld(seed uint64, trace func(format string, args ...any)) *searchWorld {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &searchWorld{
		trace: trace, rand: rand.New(rand.NewPCG(seed, 1)), start: start, now: start,
		processes: map[string]int{},
		polls:     map[medlargw.TargetName][]*searchPoll{}, work: map[string]medlargw.SimulatedTask{}, cuts: map[[2]string]time.Time{},
		delayed: map[medlargw.TargetName]time.Time{}, lateGrants: map[medlargw.TargetName]time.Time{}, refusing: map[medlargw.TargetName]time.Time{},
		unlisted: map[medlargw.TargetName]time.Time{},
		shedding: map[medlargw.TargetName]time.Time{}, evacuated: map[medlargw.ZoneName]time.Time{},
		refusals: refusalCounts{rejected: map[string]bool{}},
	}
	w.longest = searchLongest
	w.targets = imitator.New(
		func() time.Time { return w.now },
		func(task string, _ []byte) medlargw.SimulatedTask { return w.work[task] },
	)
	return w
}

// log traces an event with its time.
func (w *searchWorld) log(format string, args ...any) {
	w.trace("%8.4f  "+format, append([]any{w.now.Sub(w.start).Seconds()}, args...)...)
}

// lazyString is formatted only if the trace is printed.
type lazyString func() string

func (s lazyString) String() string { return s() }

// after runs an event later.
func (w *searchWorld) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

func (w *searchWorld) at(at time.Time, run func()) {
	w.lastSeq++
	heap.Push(&w.queue, searchEvent{at: at, seq: w.lastSeq, run: run})
}

// step runs the next event.
func (w *searchWorld) step() {
	e := heap.Pop(&w.queue).(searchEvent) //nolint:forcetypeassert // See Push.
	if e.at.After(w.now) {
		w.now = e.at
	}
	e.run()
}

func (w *searchWorld) chance(p float64) bool { return p > 0 && w.rand.Float64() < p }

// upTo returns a random duration of at most d.
func (w *searchWorld) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rand.Int64N(int64(max(d, 1))))
}

// cut takes the link from one host or target to another down for a while.
func (w *searchWorld) cut(from, to string, d time.Duration) {
	w.cuts[[2]string{from, to}] = w.now.Add(d)
}

// transit returns how long a message takes, and false if it is lost. A request
// on a link that is down may arrive once the link is up again.
func (w *searchWorld) transit(k messageKind, from, to string) (time.Duration, bool) {
	d := 200*time.Microsecond + w.upTo(time.Millisecond)
	fate := &w.fates[k]
	if up := w.cuts[[2]string{from, to}]; up.After(w.now) {
		if k.isRequest() && w.chance(0.4) {
			w.log("%s from %s to %s held until the link is up", k, from, to)
			return up.Sub(w.now) + w.upTo(300*time.Millisecond), true
		}
		if k != heartbeatMessage && k != renewMessage {
			w.log("%s from %s to %s lost: link down", k, from, to)
		}
		return 0, false
	}
	switch {
	case w.chance(fate.lost):
		w.log("%s from %s to %s lost", k, from, to)
		return 0, false
	case k.isRequest() && w.chance(fate.late):
		d += 150*time.Millisecond + w.upTo(maxLateness)
		w.log("%s from %s to %s late by %v", k, from, to, d)
	case w.chance(fate.slow):
		d += w.upTo(fate.maxDelay)
		w.log("%s from %s to %s takes %v", k, from, to, d)
	}
	return d, true
}

// call sends a request from an entry. The function serve handles it where it
// arrives, and passes the event that handles the answer at the sender to respond.
// If no answer arrives within the limit, the sender gets the event failed; nil is
// no event.
func (w *searchWorld) call(e *searchEntry, k messageKind, to string, limit time.Duration, serve func(respond func(searchHandler)), failed, notSent searchHandler) {
	if fate := &w.fates[k]; w.chance(fate.starved) {
		d := w.upTo(fate.maxDelay)
		w.log("%s from %s to %s is sent after %v", k, e.host, to, d)
		w.after(d, func() {
			switch {
			case e.stopped:
			case k == startMessage && d > limit: // The order is too old.
				e.post(notSent)
			default:
				w.callNow(e, k, to, limit, serve, failed)
			}
		})
		return
	}
	w.callNow(e, k, to, limit, serve, failed)
}

func (w *searchWorld) callNow(e *searchEntry, k messageKind, to string, limit time.Duration, serve func(respond func(searchHandler)), failed searchHandler) {
	answered := false
	finish := func(h searchHandler) {
		if !answered {
			answered = true
			if h != nil {
				e.post(h)
			}
		}
	}
	w.after(limit, func() {
		if e.frozen() && w.chance(0.5) { // An answer that arrived in the meantime is read first.
			w.at(e.frozenUntil.Add(time.Millisecond), func() { finish(failed) })
			return
		}
		finish(failed)
	})
	d, ok := w.transit(k, e.host, to)
	if !ok {
		return
	}
	process := w.processes[to]
	w.after(d, func() {
		if d > limit && process != w.processes[to] {
			return // The connection has ended with the process.
		}
		serve(func(h searchHandler) {
			if d, ok := w.transit(k+1, to, e.host); ok {
				w.after(d, func() { finish(h) })
			}
		})
	})
}

// entry returns the running entry at a host, or nil.
func (w *searchWorld) entry(host string) *searchEntry {
	for _, e := range w.entries {
		if e.host == host && !e.stopped {
			return e
		}
	}
	return nil
}

// running returns the running entries.
func (w *searchWorld) running() []*searchEntry {
	var all []*searchEntry
	for _, e := range w.entries {
		if !e.stopped {
			all = append(all, e)
		}
	}
	return all
}

// targetList returns the host list of the platform.
func (w *searchWorld) targetList() []medlargw.Target {
	if w.listUntil.After(w.now) && w.list != nil {
		return w.list
	}
	var all []medlargw.Target
	for _, t := range w.targets.Targets() {
		if !w.unlisted[t.Name].After(w.now) {
			all = append(all, t)
		}
	}
	return all
}

// reportsOf returns reports of the targets' present state.
func (w *searchWorld) reportsOf(targets []medlargw.Target) map[medlargw.TargetName]medlargw.TargetReport {
	reports := map[medlargw.TargetName]medlargw.TargetReport{}
	for i := range targets {
		t := &targets[i]
		reports[t.Name] = medlargw.TargetReport{Clock: w.targets.Clock(t.Name), IncarnationStart: t.IncarnationStart}
	}
	return reports
}

// searchPoll is a renewal that waits at a target for the end of a run.
type searchPoll struct {
	name    medlargw.TargetName
	renewal medlargw.Renewal
	until   time.Time
	respond func(medlargw.RunReport)
	broken  func() // The target's end of the connection closes.
}

// poll carries out a renewal, and answers it at its end or at the end of a run.
func (w *searchWorld) poll(p *searchPoll) {
	report, next := w.targets.Report(p.name, p.renewal)
	if report.Status != medlargw.OrderDone || len(report.Ended) > 0 || !p.until.After(w.now) {
		p.respond(report)
		return
	}
	p.renewal.LeaseEnd = 0 // The lease has been renewed.
	w.polls[p.name] = append(w.polls[p.name], p)
	w.after(min(p.until.Sub(w.now), max(next, time.Millisecond)), func() { w.wake(p) })
}

// wake lets a waiting renewal look at the target again.
func (w *searchWorld) wake(p *searchPoll) {
	for i, other := range w.polls[p.name] {
		if other == p {
			w.polls[p.name] = append(w.polls[p.name][:i:i], w.polls[p.name][i+1:]...)
			w.poll(p)
			return
		}
	}
}

// targetChanged lets all waiting renewals look at a target again.
func (w *searchWorld) targetChanged(name medlargw.TargetName) {
	for _, p := range w.polls[name] {
		w.after(0, func() { w.wake(p) })
	}
}

// breakConnections ends the connections of a target that has crashed.
func (w *searchWorld) breakConnections(name medlargw.TargetName) {
	w.processes[string(name)]++
	for _, p := range w.polls[name] {
		if !w.silentCrashes {
			p.broken()
		}
	}
	w.polls[name] = nil
}

// resetConnections ends the waiting renewals of a target that goes on.
func (w *searchWorld) resetConnections(name medlargw.TargetName) {
	polls := w.polls[name]
	w.polls[name] = nil
	for _, p := range polls {
		p.broken()
	}
}

// crash starts a new incarnation of a target. Waiting renewals get no answer.
func (w *searchWorld) crash(name medlargw.TargetName) {
	w.targets.Crash(name)
	w.processes[string(name)]++
	w.polls[name] = nil
}
