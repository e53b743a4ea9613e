package rig

import (
	"cmp"
	"encoding/json"
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
	ambush   *Ambush // Nil if there is none.
	server   *http.Server
}

// Ambush is a disturbance: the first start order to one of some workers gets no answer
// and is carried out later, and the time in it counts from then. Right after the order,
// the worker is cut off so that connections to it are refused, and runs on.
type Ambush struct {
	Delay time.Duration // Until the order is carried out.
	Cut   time.Duration

	once sync.Once
	hit  bool
}

// Arm lets an ambush wait at the worker.
func (w *Worker) Arm(a *Ambush) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ambush = a
}

// postpone reports whether an order is left unanswered, and has it carried out later.
func (w *Worker) postpone(path string, o *order) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ambush == nil || path != "/run-start" {
		return false
	}
	mine := false
	w.ambush.once.Do(func() { mine, w.ambush.hit = true, true })
	if !mine {
		return false
	}
	a := w.ambush
	length := time.Duration(o.UntilMs)*time.Millisecond - w.clock()
	w.rig.Logf("%s: the start of %s, run %d, gets no answer, it is carried out %d ms later", w.id, o.Task, o.Attempt, a.Delay.Milliseconds())
	time.AfterFunc(a.Delay, func() {
		late := *o
		late.UntilMs = (w.clock() + length).Milliseconds()
		w.rig.Logf("%s: the start of %s, run %d, is carried out late: %s", w.id, o.Task, o.Attempt, cmp.Or(w.start(&late), "done"))
	})
	go w.refuse(a.Cut)
	return true
}

// refuse has connections to the worker refused for a while.
func (w *Worker) refuse(length time.Duration) {
	w.rig.Logf("%s: is cut off for %v, connections are refused", w.id, length)
	_ = w.server.Close()
	time.Sleep(length)
	select {
	case <-w.rig.closing:
		return
	default:
	}
	s, _, err := w.rig.serveAt(w.addr, w)
	if err != nil {
		w.rig.Logf("%s: is not back: %v", w.id, err)
		return
	}
	w.server = s
	w.rig.Logf("%s: is reached again", w.id)
}

func (r *Rig) addWorker(id, zone string, cores int64) error {
	w := &Worker{rig: r, id: id, zone: zone, cores: cores, born: time.Now().Add(-time.Minute), highest: map[string]int{}, changed: make(chan struct{})}
	server, addr, err := r.serveAt("127.0.0.1:0", w)
	if err != nil {
		return err
	}
	w.server, w.addr = server, addr
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
