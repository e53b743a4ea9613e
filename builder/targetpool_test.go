package builder_test

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"medlargw.example/medlargw"
)

// targetPool is the set of all fake targets. It counts the starts of each task.
type targetPool struct {
	mu         sync.Mutex
	targets    map[medlargw.TargetName]*fakeTarget
	starts     map[uint64]int // By task number.
	rejected   int            // Attempts that a target did not start.
	lateStarts int            // Starts on a draining target after its start deadline.
}

type fakeTarget struct {
	slots         int
	used          int
	gone          bool
	startDeadline time.Time // Later starts are counted as late; zero is no deadline.
}

func newTargetPool() *targetPool {
	return &targetPool{targets: map[medlargw.TargetName]*fakeTarget{}, starts: map[uint64]int{}}
}

// admit takes a slot of the attempt's target, or returns the reason why the
// attempt is not started.
func (p *targetPool) admit(a *medlargw.Attempt) medlargw.AttemptEnd {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[a.Target]
	refused := medlargw.AttemptEnd{Kind: medlargw.EndNotStarted}
	switch now := time.Now(); {
	case !a.SlotExpiresAt.IsZero() && now.After(a.SlotExpiresAt):
		p.rejected++
		refused.Reason = medlargw.ReasonLoanExpired
		return refused
	case t == nil || t.gone:
		p.rejected++
		refused.Reason = medlargw.ReasonUnreachable
		return refused
	case t.used >= t.slots:
		p.rejected++
		refused.Reason = medlargw.ReasonBusy
		return refused
	case !t.startDeadline.IsZero() && now.After(t.startDeadline):
		p.lateStarts++
	}
	t.used++
	p.starts[binary.BigEndian.Uint64(a.Task().Payload)]++
	return medlargw.AttemptEnd{Kind: medlargw.EndSucceeded}
}

// release returns the slot of an ended attempt and reports whether the target
// still exists.
func (p *targetPool) release(target medlargw.TargetName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[target]
	t.used--
	return !t.gone
}

func (p *targetPool) totalStarts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, k := range p.starts {
		n += k
	}
	return n
}

// fakeSender sends the attempts of one entry to the fake targets. While it is
// paused, it holds attempts back, as a paused process does.
type fakeSender struct {
	targetPool *targetPool
	roundTrip  time.Duration

	mu      sync.Mutex
	resumed chan struct{} // Closed on resume; nil when not paused.
	dead    bool
}

var _ medlargw.Sender = (*fakeSender)(nil)

func (s *fakeSender) state() (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumed, s.dead
}

func (s *fakeSender) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
}

// pause holds all attempts back until the returned function is called.
func (s *fakeSender) pause() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	resumed := make(chan struct{})
	s.resumed = resumed
	return func() {
		s.mu.Lock()
		s.resumed = nil
		s.mu.Unlock()
		close(resumed)
	}
}

// Send runs the task on its target for the run time in the payload.
func (s *fakeSender) Send(ctx context.Context, a *medlargw.Attempt) medlargw.AttemptEnd {
	resumed, dead := s.state()
	if resumed != nil {
		<-resumed
	}
	if ctx.Err() != nil {
		return medlargw.AttemptEnd{Kind: medlargw.EndNotStarted, Reason: medlargw.ReasonCancelled}
	}
	if dead {
		return medlargw.AttemptEnd{Kind: medlargw.EndLost, Reason: medlargw.ReasonTruncated}
	}
	if end := s.targetPool.admit(a); end.Kind != medlargw.EndSucceeded {
		sleep(ctx, s.roundTrip)
		return end
	}
	body, run := decodePayload(a.Task().Payload)
	sleep(ctx, run+s.roundTrip)
	if !s.targetPool.release(a.Target) || ctx.Err() != nil {
		return medlargw.AttemptEnd{Kind: medlargw.EndLost, Reason: medlargw.ReasonTruncated}
	}
	return medlargw.AttemptEnd{Kind: medlargw.EndSucceeded, Body: body, Elapsed: run + s.roundTrip}
}

// jsonRunTime is the run time of a task whose payload is JSON.
const jsonRunTime = 500 * time.Millisecond

// decodePayload returns the answer to a payload and the run time of its task.
func decodePayload(payload []byte) ([]byte, time.Duration) {
	if payload[0] == '"' {
		return payload, jsonRunTime
	}
	return payload[:8], time.Duration(binary.BigEndian.Uint64(payload[8:]))
}

// setStartDeadline sets the start deadline of a target to d from now.
func (p *targetPool) setStartDeadline(target medlargw.TargetName, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets[target].startDeadline = time.Now().Add(d)
}

// remove removes a target; attempts that run on it are lost.
func (p *targetPool) remove(target medlargw.TargetName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets[target].gone = true
}

// sleep returns after d or when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// encodePayload returns the payload of a task with a number and a run time.
func encodePayload(number uint64, run time.Duration) []byte {
	b := binary.BigEndian.AppendUint64(nil, number)
	return binary.BigEndian.AppendUint64(b, uint64(run))
}
