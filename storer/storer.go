// Package storer is the stand-in for the platform: a key-value service with
// compare-and-swap and watches, and a list of hosts. It keeps everything in
// memory and is never needed in production.
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
	mu       sync.Mutex
	entries  map[string]medlargw.Entry
	revision uint64
	changed  chan struct{} // Closed and replaced at each change.
	hosts    medlargw.HostList
	calls    uint64
}

var (
	_ medlargw.Store = (*Storer)(nil)
	_ medlargw.Hosts = (*Storer)(nil)
)

// New returns an empty store.
func New() *Storer {
	return &Storer{entries: map[string]medlargw.Entry{}, changed: make(chan struct{})}
}

// Calls returns the number of calls so far; a waiting watch counts as one.
func (s *Storer) Calls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get returns the value of a key, or medlargw.ErrNotFound.
func (s *Storer) Get(_ context.Context, key string) (medlargw.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	e, ok := s.entries[key]
	if !ok {
		return medlargw.Entry{}, medlargw.ErrNotFound
	}
	return e, nil
}

// Put writes a key whose revision is the given one; zero creates it.
func (s *Storer) Put(_ context.Context, key string, value []byte, revision uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.entries[key].Revision != revision {
		return 0, medlargw.ErrConflict
	}
	s.revision++
	s.entries[key] = medlargw.Entry{Key: key, Value: bytes.Clone(value), Revision: s.revision}
	s.wake()
	return s.revision, nil
}

// Delete removes a key whose revision is the given one.
func (s *Storer) Delete(_ context.Context, key string, revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	e, ok := s.entries[key]
	if !ok {
		return medlargw.ErrNotFound
	}
	if e.Revision != revision {
		return medlargw.ErrConflict
	}
	delete(s.entries, key)
	s.wake()
	return nil
}

func (s *Storer) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the entries whose key starts with the prefix, in order.
func (s *Storer) List(_ context.Context, prefix string) ([]medlargw.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	var all []medlargw.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b medlargw.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return all, nil
}

// Watch waits until the key's revision differs from the given one.
func (s *Storer) Watch(ctx context.Context, key string, revision uint64) (medlargw.Entry, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		e, changed := s.entries[key], s.changed
		s.mu.Unlock()
		if e.Revision != revision {
			e.Key = key
			return e, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return medlargw.Entry{}, ctx.Err()
		}
	}
}

// SetHosts replaces the list of hosts and raises its version.
func (s *Storer) SetHosts(list medlargw.HostList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list.Version = s.hosts.Version + 1
	list.Taken = time.Now()
	s.hosts = list
}

// Hosts returns the list of hosts.
func (s *Storer) Hosts(context.Context) (medlargw.HostList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.hosts, nil
}
