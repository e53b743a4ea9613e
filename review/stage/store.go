package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an event that tells of its change.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64 `json:",omitempty"`
	Deleted  bool   `json:",omitempty"`
	At       uint64 `json:",omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store, with its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*storeLease
	changed  chan struct{}
	silentAt time.Time
	silent   chan struct{} // Closed when the store answers again; nil while it does.
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
}

// setSilent makes the store leave all calls unanswered and undone, and refuse the reports
// of workers, or serve again. The leases pause meanwhile.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent {
		s.silent = make(chan struct{})
		s.silentAt = time.Now()
		return
	}
	for _, l := range s.leases {
		l.ends = l.ends.Add(time.Since(s.silentAt))
	}
	if s.silent != nil {
		close(s.silent)
		s.silent = nil
	}
}

// put writes an item for the operator or a worker.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == nil {
		s.write(key, raw, 0)
	}
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.addEvent(it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.addEvent(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) addEvent(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the items of the leases that have ended.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.items {
			if it.Lease == id {
				s.remove(key)
			}
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	if silent == nil {
		s.expire()
	}
	s.mu.Unlock()
	if silent != nil {
		<-r.Context().Done() // Nothing was done.
		return
	}
	path := r.URL.Path
	switch {
	case path == "/kv-key":
		s.serveKey(w, r)
	case path == "/kv-range":
		s.serveRange(w, r)
	case path == "/kv-watch":
		s.serveWatch(w, r)
	case path == "/kv-txn":
		s.serveTxn(w, r)
	case path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveRenewal(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	it.At = s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("After") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items   []item `json:"items"`
		HasMore bool
		At      uint64
	}{HasMore: len(keys) > 500, At: s.revision}
	for _, key := range keys[:min(len(keys), 500)] {
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := true; ; {
		events, at, changed := s.since(q.Get("Prefix"), after)
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, struct {
				Events []item `json:"events"`
				At     uint64
			}{events, at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) (events []item, at uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.events {
		if e.Revision <= after || !strings.HasPrefix(e.Key, prefix) {
			continue
		}
		if len(events) == 500 {
			return events, events[499].Revision, s.changed
		}
		events = append(events, e)
	}
	return events, s.revision, s.changed
}

// txn is the body of a change under conditions.
type txn struct {
	ExpectedRevision []struct {
		Key      string
		Revision uint64
	}
	Write []struct {
		Key   string
		Value []byte
		Lease uint64
	}
	Remove []string
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, revision := s.commit(&t)
	s.mu.Unlock()
	answer(w, status, map[string]any{"Revision": revision})
}

func (s *store) commit(t *txn) (status int, revision uint64) {
	for _, e := range t.ExpectedRevision {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, 0
		}
	}
	for _, e := range t.Write {
		switch {
		case strings.HasPrefix(e.Key, "op/"), strings.HasPrefix(e.Key, "servers/"):
			return http.StatusForbidden, 0
		case e.Lease != 0 && s.leases[e.Lease] == nil:
			return http.StatusNotFound, 0
		}
	}
	for _, e := range t.Write {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, s.revision
}

type ttlBody struct {
	Lease uint64 `json:",omitempty"`
	TtlMs int64  //nolint:revive // The name on the wire.
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body ttlBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Duration(body.TtlMs)*time.Millisecond, time.Second)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, ttlBody{Lease: id, TtlMs: ttl.Milliseconds()})
}

func (s *store) serveRenewal(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		if r.Method == http.MethodDelete {
			l.ends = time.Time{}
			s.expire()
		} else {
			l.ends = time.Now().Add(l.ttl)
		}
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, ttlBody{TtlMs: l.ttl.Milliseconds()})
}

// answer sends a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
