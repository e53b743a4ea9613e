package rig

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems   = 500
	answerTime  = 4 * time.Millisecond
	minLeaseTTL = time.Second
)

type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64 `json:",omitempty"`
	Deleted  bool   `json:",omitempty"`
	At       uint64 `json:",omitempty"`

	changed time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is the platform's metadata store.
type Store struct {
	rig    *Rig
	addr   string
	server *http.Server

	mu       sync.Mutex
	revision uint64
	dropped  uint64 // Revision up to which the history is gone.
	items    map[string]item
	events   []item
	leases   map[uint64]lease
	changed  chan struct{}
}

func newStore(r *Rig) *Store {
	return &Store{rig: r, revision: 1, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
}

func (s *Store) put(key string, value []byte, leaseID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, leaseID)
}

func (s *Store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID, changed: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.add(it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.add(item{Key: key, Revision: s.revision, Deleted: true, changed: time.Now()})
}

func (s *Store) add(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes what has ended. The lock must be held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
	for len(s.events) > 0 && now.Sub(s.events[0].changed) > history {
		s.dropped = s.events[0].Revision
		s.events = s.events[1:]
	}
}

// end ends a lease. The lock must be held.
func (s *Store) end(id uint64) {
	delete(s.leases, id)
	for _, key := range s.keys("") {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) keys(prefix string) []string {
	var all []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			all = append(all, key)
		}
	}
	slices.Sort(all)
	return all
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	s.expire()
	s.mu.Unlock()
	switch path := r.URL.Path; {
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
	case strings.HasPrefix(path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/kv-keep/"), true)
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/kv-lease-end/"), false)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	it.At = s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page := struct {
		Items   []item `json:"items"`
		HasMore bool
		At      uint64
	}{Items: []item{}}
	s.mu.Lock()
	page.At = s.revision
	for _, key := range s.keys(q.Get("Prefix")) {
		if key <= q.Get("After") {
			continue
		}
		if page.HasMore = len(page.Items) == pageItems; page.HasMore {
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, page)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := true; ; {
		events, at, gone, changed := s.eventsAfter(q.Get("Prefix"), after)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || !waiting:
			reply(w, http.StatusOK, struct {
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

func (s *Store) eventsAfter(prefix string, after uint64) (events []item, at uint64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return nil, 0, true, nil
	}
	events = []item{}
	for _, e := range s.events {
		if e.Revision <= after || !strings.HasPrefix(e.Key, prefix) {
			continue
		}
		if len(events) == pageItems {
			return events, events[len(events)-1].Revision, false, s.changed
		}
		events = append(events, e)
	}
	return events, s.revision, false, s.changed
}

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

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := s.check(&t)
	if status == http.StatusOK {
		for _, e := range t.Write {
			s.write(e.Key, e.Value, e.Lease)
		}
		for _, key := range t.Remove {
			s.remove(key)
		}
	}
	current := []item{}
	for _, e := range t.ExpectedRevision {
		current = append(current, s.items[e.Key])
	}
	revision := s.revision
	s.mu.Unlock()
	switch status {
	case http.StatusOK:
		reply(w, status, struct{ Revision uint64 }{revision})
	case http.StatusPreconditionFailed:
		reply(w, status, struct {
			Items []item `json:"items"`
		}{current})
	default:
		w.WriteHeader(status)
	}
}

// check returns the status of a transaction. The lock must be held.
func (s *Store) check(t *txn) int {
	for _, e := range t.ExpectedRevision {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed
		}
	}
	for _, e := range t.Write {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			return http.StatusForbidden
		}
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			return http.StatusNotFound
		}
	}
	return http.StatusOK
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct{ TtlMs int64 } //nolint:revive // The name on the wire.
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Duration(request.TtlMs)*time.Millisecond, minLeaseTTL)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int64{"Lease": int64(id), "TtlMs": ttl.Milliseconds()})
}

// serveKeep renews a lease, or ends it.
func (s *Store) serveKeep(w http.ResponseWriter, number string, keep bool) {
	id, _ := strconv.ParseUint(number, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case keep:
		l.ends = time.Now().Add(l.ttl)
		s.leases[id] = l
		reply(w, http.StatusOK, struct{}{})
	default:
		s.end(id)
		reply(w, http.StatusOK, struct{}{})
	}
}
