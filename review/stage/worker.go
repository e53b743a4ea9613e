package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	stopTime  = 20 * time.Millisecond
	holdMax   = time.Second
	heartbeat = 1500 * time.Millisecond
)

// spec is the work of a task of this stage.
type spec struct {
	Ms    int64
	Cores int64
	Note  string
}

// run is one run of a task on a worker.
type run struct {
	task     string
	attempt  int
	cores    int64
	began    time.Time
	work     time.Duration
	stopping bool
	timer    *time.Timer
}

// finished is the end of a run: N, task, run, how, saved.
type finished struct {
	n       uint64
	task    string
	attempt int
	how     string
}

// worker is one life of a worker, as the pages describe it.
type worker struct {
	stage  *stage
	server *http.Server // Replaced while the worker is cut off.
	id     string
	addr   string
	zone   string
	rack   string
	cores  int64
	born   time.Time

	mu      sync.Mutex
	fence   uint64
	until   time.Duration
	lapse   *time.Timer
	runs    map[string]*run
	highest map[string]int
	ends    []finished
	lastEnd uint64
	changed chan struct{}
	seq     int
	state   string

	resizedAt time.Time // Zero is never.
	lateLeft  int       // Orders to come that get no answer.
}

func newWorker(s *stage, id, addr, zone, rack string, cores int64) *worker {
	return &worker{
		stage: s, id: id, addr: addr, zone: zone, rack: rack, cores: cores, born: time.Now(), state: "ready",
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
}

// publish writes the worker's report about itself to the store.
func (w *worker) publish() {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{
		"Service": "desk-pool", "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": w.state,
		"ColdRemainingMs": 0, "Capacity": map[string]int64{"Cpu": w.cores, "MemMb": 131072, "Gpu": 0},
		"Labels": []string{"a", w.rack}, "ClockMs": w.clock().Milliseconds(), "Sequence": w.seq, "born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	w.stage.store.put("servers/"+w.id, entry)
}

// beat publishes the worker until the context ends.
func (w *worker) beat(ctx context.Context) {
	for {
		w.publish()
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
			return
		}
	}
}

// clock is the worker's steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.born) }

// order is any order to a worker.
type order struct {
	Task         string
	Attempt      int
	Spec         string
	UntilMs      int64
	FencingToken uint64
	LastSeen     uint64
	WaitMs       int64
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.isTrapped(r.URL.Path, &o) || w.isLate(r.URL.Path, &o) {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/run-start":
		w.reply(rw, w.start(&o))
	case "/run-stop":
		w.reply(rw, w.stop(&o))
	case "/hold":
		w.hold(rw, r, &o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) reply(rw http.ResponseWriter, reason string) {
	body := map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
		answer(rw, http.StatusConflict, body)
		return
	}
	answer(rw, http.StatusOK, body)
}

// accepts checks the fence number of an order and takes its lease.
func (w *worker) accepts(o *order) bool {
	if o.FencingToken < w.fence {
		return false
	}
	w.fence = o.FencingToken
	until := min(time.Duration(o.UntilMs)*time.Millisecond, w.clock()+holdMax)
	if until > w.until {
		w.until = until
		if w.lapse != nil {
			w.lapse.Stop()
		}
		w.lapse = time.AfterFunc(until-w.clock(), w.lapseAll)
	}
	return true
}

func (w *worker) lapseAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock() < w.until {
		return
	}
	for _, r := range w.runs {
		w.end(r, "lapsed")
	}
}

func (w *worker) start(o *order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.FencingToken < w.fence {
		return "fence"
	}
	if time.Duration(o.UntilMs)*time.Millisecond < w.clock() {
		return "late"
	}
	w.accepts(o)
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return ""
	}
	if o.Attempt <= w.highest[o.Task] {
		return "old"
	}
	var sp spec
	if err := json.Unmarshal([]byte(o.Spec), &sp); err != nil {
		sp = spec{Ms: 100}
	}
	r := &run{task: o.Task, attempt: o.Attempt, cores: sp.Cores, began: time.Now(), work: time.Duration(sp.Ms) * time.Millisecond}
	w.runs[o.Task] = r
	w.checkRoom(r)
	r.timer = time.AfterFunc(r.work, func() { w.finish(r, "done") })
	w.stage.record.started(w.id, r, o.Spec)
	return ""
}

func (w *worker) finish(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(r, how)
}

func (w *worker) end(r *run, how string) {
	if w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, finished{w.lastEnd, r.task, r.attempt, how})
	w.stage.record.ended(w.id, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(o *order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.FencingToken < w.fence {
		return "fence"
	}
	w.fence = o.FencingToken
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() { w.finish(r, "stopped") })
	}
	return ""
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	w.mu.Lock()
	if !w.accepts(o) {
		w.mu.Unlock()
		w.reply(rw, "fence")
		return
	}
	for len(w.ends) > 0 && w.ends[0].n <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && o.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	active, ends := [][]any{}, [][]any{}
	for _, x := range w.runs {
		percent := int64(100)
		if x.work > 0 {
			percent = min(100, int64(100*time.Since(x.began)/x.work))
		}
		active = append(active, []any{x.task, x.attempt, "", percent, x.cores})
	}
	for _, f := range w.ends[:min(len(w.ends), 500)] {
		ends = append(ends, []any{f.n, f.task, f.attempt, f.how, ""})
	}
	w.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{
		"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "Active": active, "Finished": ends,
	})
}

func (w *worker) String() string { return fmt.Sprintf("worker %s at %s", w.id, w.addr) }

// isLate reports whether the worker leaves the order unanswered and carries it out late.
func (w *worker) isLate(path string, o *order) bool {
	w.mu.Lock()
	onStart := w.stage.onStart
	if path != "/run-start" {
		onStart = nil
	}
	if onStart != nil {
		w.stage.onStart = nil
	}
	late := onStart == nil && w.lateLeft > 0
	if late {
		w.lateLeft--
	}
	w.mu.Unlock()
	switch {
	case onStart != nil:
		onStart(w, o)
		return true
	case late:
		w.stage.record.say("%s leaves an order to %s with fence number %d unanswered", w.id, path, o.FencingToken)
		x := *o
		time.AfterFunc(lateTime, func() { // Only its fence number and lease have an effect.
			w.mu.Lock()
			defer w.mu.Unlock()
			w.accepts(&x)
		})
	}
	return late
}

// carryOutLate carries a start order out after a delay, with its time counted from then.
func (w *worker) carryOutLate(o *order, delay time.Duration) {
	lease := time.Duration(o.UntilMs)*time.Millisecond - w.clock()
	w.stage.record.say("%s leaves the start of %s run %d unanswered", w.id, o.Task, o.Attempt)
	late := *o
	time.AfterFunc(delay, func() {
		late.UntilMs = (w.clock() + lease).Milliseconds()
		w.stage.record.say("%s carries out the start of %s run %d: %q", w.id, late.Task, late.Attempt, w.start(&late))
	})
}
