package hedger_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/hedger"
)

var errBusy = errors.New("busy")

// reaction is what a service does with one copy of a call. Without a time it never
// answers.
type reaction struct {
	after time.Duration
	err   error
}

// service reacts to each copy of a call in turn, and to all further ones like to the
// last.
type service struct {
	reactions []reaction

	mu             sync.Mutex
	sent           int
	outstanding    int
	maxOutstanding int
}

func (s *service) serve(ctx context.Context) (int, error) {
	s.mu.Lock()
	r := s.reactions[min(s.sent, len(s.reactions)-1)]
	s.sent++
	number := s.sent
	s.outstanding++
	s.maxOutstanding = max(s.maxOutstanding, s.outstanding)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.outstanding--
		s.mu.Unlock()
	}()
	if r.after == 0 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	select {
	case <-time.After(r.after):
		return number, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func newHedger() *hedger.Hedger { return hedger.New(zap.NewNop(), metrics.NewRegistry()) }

// TestFirstAnswerCounts guards against calls that never succeed at a slow service, and
// against calls that wait for a connection on which nothing comes any more.
func TestFirstAnswerCounts(t *testing.T) {
	const ms = time.Millisecond
	never := reaction{}
	tests := []struct {
		name      string
		reactions []reaction
		answer    int // Number of the copy that is answered.
		err       error
		within    time.Duration
		maxSent   int
	}{
		{"usual", []reaction{{4 * ms, nil}}, 1, nil, 4 * ms, 1},
		{"slow", []reaction{{800 * ms, nil}}, 1, nil, 800 * ms, 2},
		{"very slow", []reaction{{6 * time.Second, nil}}, 1, nil, 6 * time.Second, 6},
		{"first connection silent", []reaction{never, {4 * ms, nil}}, 2, nil, 500 * ms, 2},
		{"first connection silent and slow", []reaction{never, {3 * time.Second, nil}}, 2, nil, 3500 * ms, 4},
		{"silent for a while", []reaction{never, never, never, never, never, never, {4 * ms, nil}}, 7, nil, 12 * time.Second, 7},
		{"refused", []reaction{{4 * ms, errBusy}}, 0, errBusy, 4 * ms, 1},
		{"copy refused", []reaction{{800 * ms, nil}, {4 * ms, errBusy}}, 1, nil, 800 * ms, 2},
		{"not found", []reaction{never, {4 * ms, medlargw.ErrNotFound}}, 2, medlargw.ErrNotFound, 500 * ms, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &service{reactions: test.reactions}
				began := time.Now()
				got, sentAt, err := hedger.Do(t.Context(), newHedger(), "call", s.serve)
				took := time.Since(began)
				if got != test.answer || !errors.Is(err, test.err) {
					t.Errorf("got answer %d, %v, want %d, %v", got, err, test.answer, test.err)
				}
				if took > test.within || s.sent > test.maxSent {
					t.Errorf("got %d copies in %v, want at most %d in %v", s.sent, took, test.maxSent, test.within)
				}
				if test.answer > 0 {
					answered := test.reactions[min(test.answer, len(test.reactions))-1]
					if got, want := time.Since(sentAt), answered.after; got != want {
						t.Errorf("answered copy: got sent %v ago, want %v", got, want)
					}
				}
				if s.outstanding != 0 {
					t.Errorf("outstanding copies after the answer: got %d, want none", s.outstanding)
				}
			})
		})
	}
}

// TestSlowServiceGetsFewCopies guards against copies that add to the load of a service
// which is merely slow.
func TestSlowServiceGetsFewCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, s := newHedger(), &service{reactions: []reaction{{800 * time.Millisecond, nil}}}
		const calls = 10
		for range calls {
			if _, _, err := hedger.Do(t.Context(), h, "call", s.serve); err != nil {
				t.Fatal(err)
			}
		}
		if got, want := s.sent, calls+1; got > want {
			t.Errorf("copies: got %d, want at most %d", got, want)
		}
	})
}

// TestSilentServiceGetsFewCopies guards against calls that pile up at a service that
// does not answer.
func TestSilentServiceGetsFewCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{reactions: []reaction{{}}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if _, _, err := hedger.Do(ctx, newHedger(), "call", s.serve); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got error %v, want %v", err, context.DeadlineExceeded)
		}
		if got, want := s.sent, 45; got > want {
			t.Errorf("copies in a minute: got %d, want at most %d", got, want)
		}
		if got, want := s.maxOutstanding, 7; got > want { // One may be ending.
			t.Errorf("outstanding copies: got %d, want at most %d", got, want)
		}
	})
}
