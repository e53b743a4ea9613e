package publisher

import (
	"context"
	"errors"
	"strings"

	"medlargw.example/medlargw"
)

// fault is the failure of one call to the store.
type fault int

const (
	faultNone         fault = iota
	faultUnavailable        // The call has no effect and fails.
	faultLostReply          // The call takes effect and fails.
	faultDelayedWrite       // The call fails, and takes effect before the next one.
	faultCrashBefore        // The publisher crashes before the call.
	faultCrashAfter         // The publisher crashes after the call.
)

var errNoReply = errors.New("no reply")

// crash is the panic value that simulates the crash of a publisher.
type crash struct{}

// fakeStore is an in-memory store that injects a fault into chosen calls.
type fakeStore struct {
	entries         map[string]medlargw.KeyValue
	revision        uint64
	calls           int
	faultCall       int // Number of the first call with the fault, from 1; zero is none.
	faultCount      int // Number of calls with the fault; zero is one.
	fault           fault
	delayedWrite    func() // Write that takes effect at the next call.
	beforeHeadWrite func() // Called once, before the next write of the head.
	afterLostReply  func() // Called once, after the next lost reply.
}

var _ medlargw.Store = (*fakeStore)(nil)

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]medlargw.KeyValue{}} }

// nextFault counts the call and returns its fault.
func (s *fakeStore) nextFault() fault {
	s.calls++
	if write := s.delayedWrite; write != nil {
		s.delayedWrite = nil
		write()
	}
	if s.faultCall == 0 || s.calls < s.faultCall || s.calls >= s.faultCall+max(1, s.faultCount) {
		return faultNone
	}
	if s.fault == faultCrashBefore {
		panic(crash{})
	}
	return s.fault
}

// applyFault ends a call that took effect: it returns err or the error of the
// fault, or panics.
func (s *fakeStore) applyFault(f fault, err error) error {
	if after := s.afterLostReply; after != nil && f == faultLostReply {
		s.afterLostReply = nil
		after()
	}
	switch f {
	case faultCrashAfter:
		panic(crash{})
	case faultLostReply:
		return errNoReply
	default:
		return err
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (medlargw.KeyValue, error) {
	f := s.nextFault()
	if f == faultUnavailable {
		return medlargw.KeyValue{}, errNoReply
	}
	e, ok := s.entries[key]
	var err error
	if !ok {
		err = medlargw.ErrNotFound
	}
	return e, s.applyFault(f, err)
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, revision uint64) (uint64, error) {
	if before := s.beforeHeadWrite; before != nil && key == "head" {
		s.beforeHeadWrite = nil
		before()
	}
	f := s.nextFault()
	switch f {
	case faultUnavailable:
		return 0, errNoReply
	case faultDelayedWrite:
		s.delayedWrite = func() { _, _ = s.write(key, value, revision) }
		return 0, errNoReply
	}
	newRevision, err := s.write(key, value, revision)
	return newRevision, s.applyFault(f, err)
}

// write writes the entry without injecting a fault.
func (s *fakeStore) write(key string, value []byte, revision uint64) (uint64, error) {
	if s.entries[key].Revision != revision {
		return 0, medlargw.ErrConflict
	}
	s.revision++
	s.entries[key] = medlargw.KeyValue{Key: key, Value: value, Revision: s.revision}
	return s.revision, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, revision uint64) error {
	f := s.nextFault()
	if f == faultUnavailable {
		return errNoReply
	}
	if s.entries[key].Revision != revision {
		return s.applyFault(f, medlargw.ErrConflict)
	}
	delete(s.entries, key)
	return s.applyFault(f, nil)
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]medlargw.KeyValue, error) {
	f := s.nextFault()
	if f == faultUnavailable {
		return nil, errNoReply
	}
	var entries []medlargw.KeyValue
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, e)
		}
	}
	return entries, s.applyFault(f, nil)
}

// Watch always fails; publishers do not use it.
func (*fakeStore) Watch(context.Context, string, uint64) (medlargw.KeyValue, error) {
	return medlargw.KeyValue{}, errNoReply
}
