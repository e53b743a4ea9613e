// Package storer is a fake of the platform: an in-memory key-value store with
// compare-and-swap and watches, and a list of hosts. It is not for production
// use.
package storer

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"medlargw.example/medlargw"
)

// Storer implements medlargw.Store and medlargw.Hosts in memory.
type Storer struct {
	mu        sync.Mutex
	entries   map[string]medlargw.KeyValue
	revision  uint64
	changed   chan struct{}       // Closed and replaced at each change.
	hostLists []medlargw.HostList // Ordered by age, the newest last.
	calls     uint64
	faults    medlargw.StoreFaults
}

var (
	_ medlargw.Store      = (*Storer)(nil)
	_ medlargw.HostLister = (*Storer)(nil)
)

// New returns an empty store.
func New() *Storer {
	return &Storer{entries: map[string]medlargw.KeyValue{}, changed: make(chan struct{})}
}

// Calls returns the number of calls so far. A watch counts as one call.
func (s *Storer) Calls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get returns the value of a key, or medlargw.ErrNotFound.
func (s *Storer) Get(ctx context.Context, key string) (medlargw.KeyValue, error) {
	if err := s.beginCall(ctx); err != nil {
		return medlargw.KeyValue{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return medlargw.KeyValue{}, medlargw.ErrNotFound
	}
	return e, nil
}

// Put writes a key if its revision is the given one. A revision of zero creates
// the key.
func (s *Storer) Put(ctx context.Context, key string, value []byte, revision uint64) (uint64, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != revision {
		return 0, medlargw.ErrConflict
	}
	s.revision++
	s.entries[key] = medlargw.KeyValue{Key: key, Value: bytes.Clone(value), Revision: s.revision}
	s.notifyWatchers()
	return s.revision, s.lostReplyError()
}

// Delete removes a key if its revision is the given one.
func (s *Storer) Delete(ctx context.Context, key string, revision uint64) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return medlargw.ErrNotFound
	}
	if e.Revision != revision {
		return medlargw.ErrConflict
	}
	delete(s.entries, key)
	s.notifyWatchers()
	return s.lostReplyError()
}

func (s *Storer) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the entries whose key starts with the prefix, ordered by key.
func (s *Storer) List(ctx context.Context, prefix string) ([]medlargw.KeyValue, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []medlargw.KeyValue
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b medlargw.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	return all, nil
}

// Watch waits until the key's revision differs from the given one, and returns
// the entry. It fails when an outage begins.
func (s *Storer) Watch(ctx context.Context, key string, revision uint64) (medlargw.KeyValue, error) {
	if err := s.beginCall(ctx); err != nil {
		return medlargw.KeyValue{}, err
	}
	for {
		s.mu.Lock()
		e, changed, outage := s.entries[key], s.changed, s.faults.Outage
		s.mu.Unlock()
		if outage {
			return medlargw.KeyValue{}, errOutage
		}
		if e.Revision != revision {
			e.Key = key
			return e, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return medlargw.KeyValue{}, ctx.Err()
		}
	}
}

// maxHostLists limits the host lists that are kept in order to serve old ones.
const maxHostLists = 64

// SetHosts replaces the list of hosts and increments its version.
func (s *Storer) SetHosts(list medlargw.HostList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list.Version = s.newestHostList().Version + 1
	list.TakenAt = time.Now()
	s.hostLists = append(s.hostLists, list)
	if len(s.hostLists) > maxHostLists {
		s.hostLists = s.hostLists[1:]
	}
}

// newestHostList returns the current host list. The caller must hold s.mu.
func (s *Storer) newestHostList() medlargw.HostList {
	if len(s.hostLists) == 0 {
		return medlargw.HostList{}
	}
	return s.hostLists[len(s.hostLists)-1]
}

// Hosts returns the list of hosts, or with the fault HostListLag the newest
// list that is at least that old.
func (s *Storer) Hosts(ctx context.Context) (medlargw.HostList, error) {
	if err := s.beginCall(ctx); err != nil {
		return medlargw.HostList{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.HostListLag == 0 {
		return s.newestHostList(), nil
	}
	var list medlargw.HostList
	for _, l := range s.hostLists {
		if time.Since(l.TakenAt) >= s.faults.HostListLag {
			list = l
		}
	}
	return list, nil
}
