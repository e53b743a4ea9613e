package yard

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Spec is the content of a task's Spec. Only the stand-ins read it.
type Spec struct {
	Ms    float64
	Cores int64
	Fail  int `json:",omitempty"` // Attempts that fail.
}

const heartbeat = 1500 * time.Millisecond // HeartbeatMs of the settings.

type run struct {
	task    string
	attempt int
	spec    Spec
	ends    *time.Timer
	began   time.Time
	stopped bool
}

type end struct {
	n       uint64
	task    string
	attempt int
	how     string
}

// Worker is one worker. Its lock is that of the yard.
type Worker struct {
	y        *Yard
	ID       string
	Zone     string
	Service  string
	Cpu      int64 //nolint:revive,staticcheck // As the page spells it.
	ClockAt  time.Duration
	addr     string
	server   *http.Server
	conns    map[net.Conn]struct{}
	up       bool
	life     int
	born     time.Time
	fence    uint64
	lease    time.Duration // On its clock.
	lapse    *time.Timer
	runs     map[string]*run // By task.
	highest  map[string]int  // The highest attempt that was stopped or has ended here.
	list     []end
	next     uint64
	changed  chan struct{}
	draining bool
	sequence int
	starts   []time.Time

	// Order, if set, is asked for each order: the reply is sent after the first time; one
	// below zero sends none, and the order is carried out after the second time.
	Order func(w *Worker, path string) (reply, late time.Duration)
	// Cut has the worker's calls hang until it is false again; they are not carried out.
	Cut bool
	// LateGrants has the time of a late grant count from its arrival.
	LateGrants bool
}

func (w *Worker) clock() time.Duration { return w.ClockAt + time.Since(w.born) }

// startedAt returns the start of the worker's life, which may be long before that of its
// stand-in.
func (w *Worker) startedAt() time.Time { return w.born.Add(-w.ClockAt) }

// Up starts a life of the worker at its address.
func (w *Worker) Up() {
	l, err := listen(w.addr)
	if err != nil {
		w.y.Fail("worker %s: %v", w.ID, err)
		return
	}
	y := w.y
	y.mu.Lock()
	w.addr = l.Addr().String()
	w.up, w.life, w.born = true, w.life+1, time.Now()
	w.fence, w.lease, w.next = 0, 0, 0
	w.sequence = int(w.ClockAt / heartbeat)
	w.runs, w.highest, w.list = map[string]*run{}, map[string]int{}, nil
	w.changed = make(chan struct{})
	w.conns = map[net.Conn]struct{}{}
	life := w.life
	server := &http.Server{
		ReadHeaderTimeout: headerTimeout,
		Handler:           http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, life) }),
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		y.mu.Lock()
		defer y.mu.Unlock()
		switch state {
		case http.StateNew:
			w.conns[c] = struct{}{}
		case http.StateClosed:
			delete(w.conns, c)
		}
	}
	w.server = server
	y.log("worker-up", "worker", w.ID, "life", life, "at", w.addr)
	y.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.beat(life)
}

// beat writes the worker's item while it lives.
func (w *Worker) beat(life int) {
	w.y.mu.Lock()
	if !w.up || w.life != life {
		w.y.mu.Unlock()
		return
	}
	if !w.Cut {
		w.write()
	}
	w.y.mu.Unlock()
	time.AfterFunc(heartbeat, func() { w.beat(life) })
}

func (w *Worker) write() { w.y.Store.Put("servers/"+w.ID, w.item()) }

// Item returns the worker's item as it would write it now.
func (w *Worker) Item() map[string]any {
	w.y.mu.Lock()
	defer w.y.mu.Unlock()
	return w.item()
}

func (w *Worker) item() map[string]any {
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	item := map[string]any{
		"Service": w.Service, "Address": w.addr, "Zone": w.Zone, "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
		"Capacity": map[string]int64{"Cpu": w.Cpu, "MemMb": 131072, "Gpu": 0}, "Labels": []string{"a", "r1"},
		"ClockMs": w.clock().Milliseconds(), "Sequence": w.sequence, "born": w.startedAt().UnixMilli(),
	}
	if w.draining {
		item["RemainingMs"] = 8000
	}
	return item
}

// Drain has the worker report that it drains.
func (w *Worker) Drain() {
	w.y.mu.Lock()
	defer w.y.mu.Unlock()
	w.draining = true
	w.write()
	w.y.log("worker-drains", "worker", w.ID)
}

// Crash ends the life of the worker: its runs vanish, and its connections are reset.
func (w *Worker) Crash() {
	y := w.y
	y.mu.Lock()
	if !w.up {
		y.mu.Unlock()
		return
	}
	w.up = false
	life := w.life
	for _, r := range w.runs {
		r.ends.Stop()
		y.ended(w, r, "crashed")
	}
	w.runs = map[string]*run{}
	server := w.server
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	y.log("worker-down", "worker", w.ID)
	y.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(4500*time.Millisecond, func() {
		y.mu.Lock()
		gone := !w.up && w.life == life
		y.mu.Unlock()
		if gone {
			y.Store.Remove("servers/" + w.ID)
		}
	})
}

type order struct {
	Task         string
	Attempt      int
	Spec         string
	UntilMs      int64
	FencingToken uint64
	LastSeen     uint64
	WaitMs       int64
}

// count counts an order, and records it. The lock must be held.
func (w *Worker) count(path string, o *order, cut bool, wait, late time.Duration) {
	w.y.orders++
	if wait < 0 && !cut {
		w.y.late++
	}
	if w.Order != nil && (path != "/hold" || w.isWatched()) {
		w.y.log("order", "worker", w.ID, "path", path, "task", o.Task, "attempt", o.Attempt, "fence", o.FencingToken, "until", o.UntilMs,
			"clock", w.clock().Milliseconds(), "answered", wait >= 0 && !cut, "late", late)
	}
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request, life int) {
	if id := r.Header.Get("Expected-Instance"); id != "" && id != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	var wait, late time.Duration
	w.y.mu.Lock()
	if w.Order != nil {
		wait, late = w.Order(w, r.URL.Path)
	}
	cut := w.Cut
	w.count(r.URL.Path, &o, cut, wait, late)
	w.y.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return
	}
	if wait < 0 {
		if w.LateGrants && o.UntilMs > 0 {
			o.UntilMs += late.Milliseconds()
		}
		time.AfterFunc(late, func() { w.do(r, &o, life) })
		<-r.Context().Done()
		return
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	status, body := w.do(r, &o, life)
	w.y.mu.Lock()
	cut = w.Cut
	w.y.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return
	}
	reply(rw, status, body)
}

func (w *Worker) do(r *http.Request, o *order, life int) (int, map[string]any) {
	if r.URL.Path == "/hold" {
		return w.hold(r, o, life)
	}
	w.y.mu.Lock()
	defer w.y.mu.Unlock()
	if !w.up || w.life != life {
		return http.StatusServiceUnavailable, nil
	}
	if o.FencingToken < w.fence {
		w.y.log("refused", "worker", w.ID, "order", r.URL.Path, "task", o.Task, "fence", o.FencingToken, "seen", w.fence)
		return w.conflict("fence")
	}
	w.fence = o.FencingToken
	if r.URL.Path == "/run-stop" {
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
		if a := w.runs[o.Task]; a != nil && a.attempt <= o.Attempt && !a.stopped {
			a.stopped = true
			time.AfterFunc(10*time.Millisecond, func() {
				w.y.mu.Lock()
				defer w.y.mu.Unlock()
				w.finish(a, "stopped")
			})
		}
		return http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()}
	}
	until := time.Duration(o.UntilMs) * time.Millisecond
	if until <= w.clock() {
		return w.conflict("late")
	}
	w.extend(until)
	a := w.runs[o.Task]
	switch {
	case a != nil && a.attempt == o.Attempt:
		return http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()}
	case o.Attempt <= w.highest[o.Task], a != nil:
		return w.conflict("old")
	}
	a = &run{task: o.Task, attempt: o.Attempt, began: time.Now()}
	_ = json.Unmarshal([]byte(o.Spec), &a.spec)
	w.runs[o.Task] = a
	how := "done"
	if a.attempt <= a.spec.Fail {
		how = "failed"
	}
	a.ends = time.AfterFunc(time.Duration(a.spec.Ms*float64(time.Millisecond)), func() {
		w.y.mu.Lock()
		defer w.y.mu.Unlock()
		if !a.stopped {
			w.finish(a, how)
		}
	})
	w.y.started(w, a, o)
	return http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()}
}

func (w *Worker) conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"ClockMs": w.clock().Milliseconds(), "Reason": reason}
}

// isWatched reports whether the worker's holds are recorded.
func (w *Worker) isWatched() bool { return w.Order != nil && (w.Cut || len(w.runs) > 0) }

// extend extends the lease, by HoldMaxMs at most.
func (w *Worker) extend(until time.Duration) {
	until = min(until, w.clock()+time.Second)
	if until <= w.lease {
		return
	}
	if w.isWatched() {
		w.y.log("lease", "worker", w.ID, "until", until.Milliseconds(), "clock", w.clock().Milliseconds())
	}
	w.lease = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	life := w.life
	w.lapse = time.AfterFunc(until-w.clock(), func() {
		w.y.mu.Lock()
		defer w.y.mu.Unlock()
		if w.life != life || w.clock() < w.lease {
			return
		}
		for _, r := range w.runs {
			w.finish(r, "lapsed")
		}
	})
}

func (w *Worker) finish(a *run, how string) {
	if !w.up || w.runs[a.task] != a {
		return
	}
	a.ends.Stop()
	delete(w.runs, a.task)
	w.highest[a.task] = max(w.highest[a.task], a.attempt)
	w.next++
	w.list = append(w.list, end{w.next, a.task, a.attempt, how})
	close(w.changed)
	w.changed = make(chan struct{})
	w.y.ended(w, a, how)
}

// awaitEnd waits for an end that is not forgotten. The lock must be held.
func (w *Worker) awaitEnd(r *http.Request, deadline <-chan time.Time, waiting bool) {
	for waiting && len(w.list) == 0 {
		changed := w.changed
		w.y.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.y.mu.Lock()
	}
}

func (w *Worker) hold(r *http.Request, o *order, life int) (int, map[string]any) {
	y := w.y
	deadline := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	y.mu.Lock()
	defer y.mu.Unlock()
	if !w.up || w.life != life {
		return http.StatusServiceUnavailable, nil
	}
	if o.FencingToken < w.fence {
		y.log("refused", "worker", w.ID, "order", "/hold", "fence", o.FencingToken, "seen", w.fence)
		return w.conflict("fence")
	}
	if o.FencingToken > w.fence {
		y.log("claimed", "worker", w.ID, "fence", o.FencingToken, "by", r.RemoteAddr)
	}
	w.fence = o.FencingToken
	for len(w.list) > 0 && w.list[0].n <= o.LastSeen {
		w.list = w.list[1:]
	}
	if o.UntilMs > 0 {
		if until := time.Duration(o.UntilMs) * time.Millisecond; until > w.clock() {
			w.extend(until)
		}
	}
	w.awaitEnd(r, deadline.C, o.WaitMs > 0)
	active, finished := [][]any{}, [][]any{}
	for _, a := range w.runs {
		percent := min(99, int(float64(time.Since(a.began).Milliseconds())*100/max(a.spec.Ms, 1)))
		active = append(active, []any{a.task, a.attempt, "", percent, a.spec.Cores})
	}
	if w.isWatched() {
		y.log("listed", "worker", w.ID, "fence", o.FencingToken, "active", active)
	}
	for _, e := range w.list {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.startedAt().UnixMilli(), "Active": active, "Finished": finished}
}

func taskOf(id string, index int) string { return fmt.Sprintf("%s.0.0.%d", id, index) }

// Clock returns the worker's clock.
func (w *Worker) Clock() time.Duration { return w.clock() }

// SetCPU changes the capacity for the next life of the worker.
func (w *Worker) SetCPU(cpu int64) {
	w.y.mu.Lock()
	defer w.y.mu.Unlock()
	w.Cpu = cpu
}
