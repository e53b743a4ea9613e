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
	changed  chan struct{}       // Closed and replaced at each change.
	hosts    []medlargw.HostList // The newest last.
	calls    uint64
	faults   medlargw.StoreFaults
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
func (s *Storer) Get(ctx context.Context, key string) (medlargw.Entry, error) {
	if err := s.begin(ctx); err != nil {
		return medlargw.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return medlargw.Entry{}, medlargw.ErrNotFound
	}
	return e, nil
}

// Put writes a key whose revision is the given one; zero creates it.
func (s *Storer) Put(ctx context.Context, key string, value []byte, revision uint64) (uint64, error) {
	if err := s.begin(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != revision {
		return 0, medlargw.ErrConflict
	}
	s.revision++
	s.entries[key] = medlargw.Entry{Key: key, Value: bytes.Clone(value), Revision: s.revision}
	s.wake()
	return s.revision, s.loseReply()
}

// Delete removes a key whose revision is the given one.
func (s *Storer) Delete(ctx context.Context, key string, revision uint64) error {
	if err := s.begin(ctx); err != nil {
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
	s.wake()
	return s.loseReply()
}

func (s *Storer) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the entries whose key starts with the prefix, in order.
func (s *Storer) List(ctx context.Context, prefix string) ([]medlargw.Entry, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []medlargw.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b medlargw.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return all, nil
}

// Watch waits until the key's revision differs from the given one. An outage
// ends it with an error.
func (s *Storer) Watch(ctx context.Context, key string, revision uint64) (medlargw.Entry, error) {
	if err := s.begin(ctx); err != nil {
		return medlargw.Entry{}, err
	}
	for {
		s.mu.Lock()
		e, changed, outage := s.entries[key], s.changed, s.faults.Outage
		s.mu.Unlock()
		if outage {
			return medlargw.Entry{}, errOutage
		}
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

// maxLists is the number of lists that are kept to serve them late.
const maxLists = 64

// SetHosts replaces the list of hosts and raises its version.
func (s *Storer) SetHosts(list medlargw.HostList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list.Version = s.newest().Version + 1
	list.Taken = time.Now()
	s.hosts = append(s.hosts, list)
	if len(s.hosts) > maxLists {
		s.hosts = s.hosts[1:]
	}
}

// newest returns the last list. The lock is held.
func (s *Storer) newest() medlargw.HostList {
	if len(s.hosts) == 0 {
		return medlargw.HostList{}
	}
	return s.hosts[len(s.hosts)-1]
}

// Hosts returns the list of hosts, as late as the faults say.
func (s *Storer) Hosts(ctx context.Context) (medlargw.HostList, error) {
	if err := s.begin(ctx); err != nil {
		return medlargw.HostList{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Lag == 0 {
		return s.newest(), nil
	}
	var list medlargw.HostList
	for _, l := range s.hosts {
		if time.Since(l.Taken) >= s.faults.Lag {
			list = l
		}
	}
	return list, nil
}
