package yard

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is an item of the store or an event.
type Item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64 `json:",omitempty"`
	Deleted  bool   `json:",omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is the platform's store.
type Store struct {
	mu        sync.Mutex
	revision  uint64
	compacted uint64
	items     map[string]Item
	events    []Item
	leases    map[uint64]*lease

	fault func(r *http.Request) string
}

// SetFault sets a function that is asked before each call: "" serves it, "busy" answers 503,
// "silent" does not answer, "lost" carries it out and does not answer. Nil serves all.
func (s *Store) SetFault(fault func(r *http.Request) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 100, items: map[string]Item{}, leases: map[uint64]*lease{}}
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	it := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.events = append(s.events, Item{Key: key, Revision: s.revision, Deleted: true})
}

// Put writes an item, as the operator or a worker does.
func (s *Store) Put(key string, value any) {
	raw, ok := value.([]byte)
	if !ok {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, raw, 0)
}

// Remove removes an item.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compacted = s.revision
}

func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for _, key := range s.keys("") {
			if s.items[key].Lease == id {
				s.remove(key)
			}
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
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := ""
	s.mu.Lock()
	ask := s.fault
	s.mu.Unlock()
	if ask != nil {
		fault = ask(r)
	}
	switch fault {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "silent":
		<-r.Context().Done()
		return
	}
	status, body := s.call(r)
	if fault == "lost" {
		<-r.Context().Done()
		return
	}
	if body == nil {
		w.WriteHeader(status)
		return
	}
	reply(w, status, body)
}

// txn is the body of any call.
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
	TTL    int64 `json:"TtlMs"`
}

func (s *Store) call(r *http.Request) (int, any) {
	var body txn
	if r.Method == http.MethodPost && r.ContentLength != 0 {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	now, q := time.Now(), r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	switch path := r.URL.Path; {
	case path == "/kv-key":
		it, ok := s.items[q.Get("Key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, it
	case path == "/kv-range":
		return s.list(q.Get("Prefix"), q.Get("After"))
	case path == "/kv-watch":
		return s.watch(q.Get("Prefix"), q.Get("After"))
	case path == "/kv-txn":
		return s.commit(&body)
	case path == "/kv-lease":
		s.revision++
		ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
		s.leases[s.revision] = &lease{ttl: ttl, ends: now.Add(ttl)}
		return http.StatusOK, map[string]any{"Lease": s.revision, "TtlMs": ttl.Milliseconds()}
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		return s.keep(now, r.Method, path[strings.LastIndex(path, "/")+1:])
	}
	return http.StatusNotFound, nil
}

func (s *Store) list(prefix, after string) (int, any) {
	page := struct {
		Items   []Item `json:"items"`
		HasMore bool
		At      uint64
	}{At: s.revision}
	for _, key := range s.keys(prefix) {
		if key > after {
			page.Items = append(page.Items, s.items[key])
		}
	}
	return http.StatusOK, page
}

// watch returns the events at once. The entries of medlargw ask for no wait.
func (s *Store) watch(prefix, since string) (int, any) {
	after, _ := strconv.ParseUint(since, 10, 64) // Zero, the oldest revision, if it can't be parsed.
	if after < s.compacted {
		return http.StatusGone, nil
	}
	page := struct {
		Events []Item `json:"events"`
		At     uint64
	}{Events: []Item{}, At: s.revision}
	for i := range s.events {
		if e := s.events[i]; e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			page.Events = append(page.Events, e)
		}
	}
	return http.StatusOK, page
}

func (s *Store) commit(t *txn) (int, any) {
	for _, e := range t.ExpectedRevision {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, nil
		}
	}
	for _, e := range t.Write {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, e := range t.Write {
		s.put(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]uint64{"Revision": s.revision}
}

// keep renews a lease or ends it.
func (s *Store) keep(now time.Time, method, text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64) // Zero, which is no lease, if it can't be parsed.
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.ends = now.Add(l.ttl)
	if method == http.MethodDelete {
		l.ends = now
		s.expire(now)
	}
	return http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()}
}
