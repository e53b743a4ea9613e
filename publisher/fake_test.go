package publisher

import (
	"context"
	"errors"
	"strings"

	"medlargw.example/medlargw"
)

// fault is what goes wrong with one call of the store.
type fault int

const (
	faultNone  fault = iota
	faultDown        // The call has no effect and fails.
	faultLost        // The call takes effect and fails.
	faultLate        // The call fails, and takes effect before the next one.
	faultCrash       // The publisher ends before the call.
	faultAfter       // The publisher ends after the call.
)

var errDown = errors.New("no reply")

// crash is the panic that ends a publisher in the middle.
type crash struct{}

// fakeStore is a store whose n-th call meets a fault.
type fakeStore struct {
	entries  map[string]medlargw.Entry
	revision uint64
	calls    int
	at       int // Call that meets the fault, from 1; zero is none.
	lasting  int // Calls that meet it.
	fault    fault
	late     func() // Write that is still under way.
	before   func() // Called before a write of the head, once.
	after    func() // Called after a lost reply, once.
}

var _ medlargw.Store = (*fakeStore)(nil)

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]medlargw.Entry{}} }

// meet counts the call and returns its fault.
func (s *fakeStore) meet() fault {
	s.calls++
	if late := s.late; late != nil {
		s.late = nil
		late()
	}
	if s.at == 0 || s.calls < s.at || s.calls >= s.at+max(1, s.lasting) {
		return faultNone
	}
	if s.fault == faultCrash {
		panic(crash{})
	}
	return s.fault
}

func (s *fakeStore) end(f fault, err error) error {
	if after := s.after; after != nil && f == faultLost {
		s.after = nil
		after()
	}
	switch f {
	case faultAfter:
		panic(crash{})
	case faultLost:
		return errDown
	default:
		return err
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (medlargw.Entry, error) {
	f := s.meet()
	if f == faultDown {
		return medlargw.Entry{}, errDown
	}
	e, ok := s.entries[key]
	var err error
	if !ok {
		err = medlargw.ErrNotFound
	}
	return e, s.end(f, err)
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, revision uint64) (uint64, error) {
	if before := s.before; before != nil && key == "head" {
		s.before = nil
		before()
	}
	f := s.meet()
	switch f {
	case faultDown:
		return 0, errDown
	case faultLate:
		s.late = func() { _, _ = s.write(key, value, revision) }
		return 0, errDown
	}
	written, err := s.write(key, value, revision)
	return written, s.end(f, err)
}

// write writes without a fault.
func (s *fakeStore) write(key string, value []byte, revision uint64) (uint64, error) {
	if s.entries[key].Revision != revision {
		return 0, medlargw.ErrConflict
	}
	s.revision++
	s.entries[key] = medlargw.Entry{Key: key, Value: value, Revision: s.revision}
	return s.revision, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, revision uint64) error {
	f := s.meet()
	if f == faultDown {
		return errDown
	}
	if s.entries[key].Revision != revision {
		return s.end(f, medlargw.ErrConflict)
	}
	delete(s.entries, key)
	return s.end(f, nil)
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]medlargw.Entry, error) {
	f := s.meet()
	if f == faultDown {
		return nil, errDown
	}
	var all []medlargw.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			all = append(all, e)
		}
	}
	return all, s.end(f, nil)
}

// Watch isn't used by publishers.
func (*fakeStore) Watch(context.Context, string, uint64) (medlargw.Entry, error) {
	return medlargw.Entry{}, errDown
}
