package rig

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is one run of a task on a worker.
type Run struct {
	Task    string
	Attempt int
	Worker  string
	Started time.Time
	Ended   time.Time // Zero while it goes on.
	How     string    // Empty while it goes on.

	due   time.Time // When its work is done.
	stops time.Time // When a stop takes effect; zero is never.
	time  time.Duration
}

// Job returns the requester's ID of the run's job.
func (r *Run) Job() string { return strings.SplitN(r.Task, ".", 2)[0] }

type ended struct {
	number uint64
	run    *Run
}

// Worker carries out the orders of the system.
type Worker struct {
	rig   *Rig
	id    string
	zone  string
	addr  string
	cores int64
	born  time.Time

	mu       sync.Mutex
	sequence int
	fence    uint64
	until    time.Duration // End of the lease on the worker's clock.
	runs     []*Run
	ends     []ended // Not acknowledged.
	lastEnd  uint64
	highest  map[string]int // Highest attempt that was stopped or has ended, by task.
	changed  chan struct{}
	late     lateness
}

// lateness is a disturbance: a share of the orders gets no answer and is carried out
// seconds later, and the time in it counts from then.
type lateness struct {
	share float64
	until time.Time
	rand  *rand.Rand
}

// The time after which such an order is carried out, as on the pages.
const (
	leastLate = 2 * time.Second
	mostLate  = 12 * time.Second
)

// CarryOutLate has the worker leave a share of its orders unanswered for a while, and
// carry them out 2 to 12 s later.
func (w *Worker) CarryOutLate(share float64, length time.Duration, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = lateness{share: share, until: time.Now().Add(length), rand: rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // Reproducible.
	w.rig.Logf("%s: %.0f of 100 orders get no answer for %v and are carried out late", w.id, 100*share, length)
}

// postpone reports whether an order is left unanswered, and has it carried out later.
func (w *Worker) postpone(path string, o *order) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().After(w.late.until) || w.late.rand.Float64() >= w.late.share {
		return false
	}
	delay := leastLate + time.Duration(w.late.rand.Float64()*float64(mostLate-leastLate))
	length := time.Duration(o.UntilMs)*time.Millisecond - w.clock()
	if path == "/run-start" {
		w.rig.Logf("%s: the start of %s gets no answer, it is carried out %d ms later", w.id, o.Task, delay.Milliseconds())
	}
	time.AfterFunc(delay, func() {
		late := *o
		late.UntilMs = (w.clock() + length).Milliseconds()
		w.carryOut(path, &late)
	})
	return true
}

// carryOut carries out an order whose sender waits no more.
func (w *Worker) carryOut(path string, o *order) {
	switch path {
	case "/run-start":
		w.rig.Logf("%s: the start of %s is carried out late: %s", w.id, o.Task, cmp.Or(w.start(o), "done"))
	case "/run-stop":
		w.stop(o)
	case "/hold":
		w.lists(o, true)
	}
}

func (r *Rig) addWorker(id, zone string, cores int64) error {
	w := &Worker{rig: r, id: id, zone: zone, cores: cores, born: time.Now().Add(-time.Minute), highest: map[string]int{}, changed: make(chan struct{})}
	addr, err := r.serve("127.0.0.1", w)
	if err != nil {
		return err
	}
	w.addr = addr
	r.Workers = append(r.Workers, w)
	w.report()
	go w.work()
	return nil
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

// report writes the worker's entry to the store.
func (w *Worker) report() {
	w.mu.Lock()
	w.sequence++
	raw, _ := json.Marshal(map[string]any{ // These types can be encoded.
		"Service": serviceName, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Capacity": map[string]int64{"Cpu": w.cores, "MemMb": 131072, "Gpu": 0}, "Labels": []string{"a", "r1-1"},
		"ClockMs": w.clock().Milliseconds(), "Sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	w.rig.Store.put("servers/"+w.id, raw, 0)
}

// work ends the runs that are due, and reports.
func (w *Worker) work() {
	tick := time.NewTicker(2 * time.Millisecond)
	beat := time.NewTicker(heartbeat)
	defer tick.Stop()
	defer beat.Stop()
	for {
		select {
		case <-tick.C:
			w.mu.Lock()
			w.endDue()
			w.mu.Unlock()
		case <-beat.C:
			w.report()
		case <-w.rig.closing:
			return
		}
	}
}

// endDue ends the runs whose work is done, that were stopped or whose lease has ended.
// The lock must be held.
func (w *Worker) endDue() {
	now, lapsed := time.Now(), w.clock() > w.until
	for _, r := range w.runs {
		switch {
		case r.How != "":
		case !r.stops.IsZero() && now.After(r.stops):
			w.end(r, "stopped")
		case lapsed:
			w.end(r, "lapsed")
		case now.After(r.due):
			w.end(r, "done")
		}
	}
}

func (w *Worker) end(r *Run, how string) {
	r.How, r.Ended = how, time.Now()
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r})
	w.highest[r.Task] = max(w.highest[r.Task], r.Attempt)
	w.rig.Logf("%s: run %d of %s ended %s after %d ms", w.id, r.Attempt, r.Task, how, r.Ended.Sub(r.Started).Milliseconds())
	w.notify()
}

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) allRuns() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []Run
	for _, r := range w.runs {
		all = append(all, *r)
	}
	return all
}

// order is the body of any order.
type order struct {
	Task         string
	Attempt      int
	Spec         string
	UntilMs      int64
	FencingToken uint64
	LastSeen     uint64
	WaitMs       int64
}

// ServeHTTP serves one call.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		out.WriteHeader(http.StatusOK)
		return
	}
	if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.postpone(r.URL.Path, &o) {
		select {
		case <-r.Context().Done():
		case <-w.rig.closing:
		}
		return
	}
	switch r.URL.Path {
	case "/run-start":
		w.answer(out, w.start(&o))
	case "/run-stop":
		w.answer(out, w.stop(&o))
	case "/hold":
		w.hold(out, r, &o)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// answer answers an order, given the reason of its rejection or none.
func (w *Worker) answer(out http.ResponseWriter, reason string) {
	body := map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	if reason == "" {
		reply(out, http.StatusOK, body)
		return
	}
	body["Reason"] = reason
	reply(out, http.StatusConflict, body)
}

// extend takes a lease, which never becomes shorter. The lock must be held.
func (w *Worker) extend(ms int64) {
	w.until = max(w.until, min(time.Duration(ms)*time.Millisecond, w.clock()+holdMax))
}

func (w *Worker) start(o *order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue()
	switch {
	case o.FencingToken < w.fence:
		return "fence"
	case time.Duration(o.UntilMs)*time.Millisecond < w.clock():
		return "late"
	}
	w.fence = o.FencingToken
	w.extend(o.UntilMs)
	for _, r := range w.runs {
		if r.Task == o.Task && r.Attempt == o.Attempt && r.How == "" {
			return ""
		}
	}
	if o.Attempt <= w.highest[o.Task] {
		return "old"
	}
	var spec struct{ Ms int64 }
	_ = json.Unmarshal([]byte(o.Spec), &spec) // A task with any other text ends at once.
	now := time.Now()
	work := time.Duration(spec.Ms) * time.Millisecond
	w.runs = append(w.runs, &Run{Task: o.Task, Attempt: o.Attempt, Worker: w.id, Started: now, due: now.Add(work), time: work})
	w.rig.Logf("%s: run %d of %s starts", w.id, o.Attempt, o.Task)
	return ""
}

func (w *Worker) stop(o *order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue()
	if o.FencingToken < w.fence {
		return "fence"
	}
	w.fence = o.FencingToken
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	for _, r := range w.runs {
		if r.Task == o.Task && r.Attempt == o.Attempt && r.How == "" && r.stops.IsZero() {
			r.stops = time.Now().Add(stopTime)
			w.rig.Logf("%s: run %d of %s is told to stop", w.id, r.Attempt, r.Task)
		}
	}
	return ""
}

func (w *Worker) hold(out http.ResponseWriter, r *http.Request, o *order) {
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	first := true
	for waiting := true; ; first = false {
		body, changed := w.lists(o, first)
		switch {
		case body == nil:
			w.answer(out, "fence")
			return
		case !waiting || len(body["Finished"].([][]any)) > 0: //nolint:errcheck,forcetypeassert // Of lists.
			reply(out, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// lists carries out a hold, and returns the lists; nil if the fence number is too low.
func (w *Worker) lists(o *order, first bool) (map[string]any, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue()
	if o.FencingToken < w.fence {
		return nil, nil
	}
	w.fence = o.FencingToken
	if first {
		w.extend(o.UntilMs)
		w.ends = slices.DeleteFunc(w.ends, func(e ended) bool { return e.number <= o.LastSeen })
	}
	active, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		if r.How == "" {
			percent := int(100 * time.Since(r.Started) / max(r.time, time.Millisecond))
			active = append(active, []any{r.Task, r.Attempt, "", min(percent, 99), 1000})
		}
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.run.Task, e.run.Attempt, e.run.How, ""})
	}
	return map[string]any{
		"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "Active": active, "Finished": finished,
	}, w.changed
}
