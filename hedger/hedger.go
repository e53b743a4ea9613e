// Package hedger makes calls to a service that may be slow or silent.
//
// A call that ends after a fixed time never succeeds at a service that takes longer to
// answer, and all the work of the service is lost. A call without an end waits forever
// if its connection no longer carries anything. So a call stays outstanding while copies
// of it are sent, after pauses that grow, and the first answer counts. The first pause
// depends on the time that recent answers took, so that a service that is merely slow
// receives few copies.
//
// The calls must be idempotent.
package hedger

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

const (
	minPause = 400 * time.Millisecond // Shortest time before the first copy is sent.
	maxPause = 2 * time.Second        // Longest time between two copies.
	// maxOutstanding is the number of copies that wait for an answer. The oldest one is
	// given up for another.
	maxOutstanding = 6
	pauseJitter    = 0.2 // Share by which a pause varies.
)

// Hedger remembers how long the answers of a service take. It is safe for concurrent
// use.
type Hedger struct {
	log     *zap.Logger
	answers metrics.Counter
	copies  metrics.Counter
	failed  metrics.Counter
	gauge   metrics.Gauge // Milliseconds.

	mu         sync.Mutex
	answerTime time.Duration // Longest of the recent answers.
}

// New returns a hedger for calls to the platform. Its metrics are those with the prefix
// "platform".
func New(log *zap.Logger, counts metrics.Registry) *Hedger {
	return &Hedger{
		log:     log.Named("hedger"),
		answers: metrics.GetOrRegisterCounter("platform.answers", counts),
		copies:  metrics.GetOrRegisterCounter("platform.copies", counts),
		failed:  metrics.GetOrRegisterCounter("platform.failed", counts),
		gauge:   metrics.GetOrRegisterGauge("platform-answer", counts),
	}
}

// attempt is one copy of a call.
type attempt struct {
	sentAt time.Time
	cancel context.CancelFunc
}

// result is the result of one copy.
type result[T any] struct {
	of    *attempt
	value T
	err   error
}

// Do sends a call. It returns the first answer, and the time at which the answered copy
// was sent. It returns an error if the service refuses the call and no other copy is
// outstanding, or if the context ends. The name of the call is for logs.
func Do[T any](ctx context.Context, h *Hedger, name string, send func(ctx context.Context) (T, error)) (T, time.Time, error) {
	var zero T
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T])
	var outstanding []*attempt
	began, pause := time.Now(), h.firstPause()
	next := time.NewTimer(0)
	defer next.Stop()
	for sent := 0; ; {
		select {
		case <-next.C:
			if len(outstanding) == maxOutstanding {
				outstanding[0].cancel()
				outstanding = outstanding[1:]
			}
			sent++
			if sent > 1 {
				h.countCopy(name, sent, time.Since(began))
			}
			a := &attempt{sentAt: time.Now()}
			attemptCtx, attemptCancel := context.WithCancel(ctx)
			a.cancel = attemptCancel
			outstanding = append(outstanding, a)
			wg.Go(func() {
				defer attemptCancel()
				value, err := send(attemptCtx)
				select {
				case results <- result[T]{a, value, err}:
				case <-attemptCtx.Done():
				}
			})
			next.Reset(withJitter(pause))
			pause = min(2*pause, maxPause)
		case r := <-results:
			outstanding = slices.DeleteFunc(outstanding, func(a *attempt) bool { return a == r.of })
			if isAnswer(r.err) {
				h.countAnswer(name, sent, time.Since(r.of.sentAt))
				return r.value, r.of.sentAt, r.err
			}
			h.failed.Inc(1)
			if len(outstanding) == 0 {
				return zero, r.of.sentAt, r.err
			}
		case <-ctx.Done():
			return zero, time.Time{}, ctx.Err()
		}
	}
}

// isAnswer reports whether the service has carried out the call or knows that it
// can't.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, medlargw.ErrNotFound) || errors.Is(err, medlargw.ErrConflict)
}

// firstPause returns the time after which the first copy is sent.
func (h *Hedger) firstPause() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(minPause, 2*h.answerTime), maxPause)
}

func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pauseJitter*(2*rand.Float64()-1))) //nolint:gosec // Spreads load, not used for security.
}

func (h *Hedger) countCopy(name string, sent int, waited time.Duration) {
	h.copies.Inc(1)
	h.log.Warn("call to the platform sent again", zap.String("call", name), zap.Int("sent", sent), zap.Duration("waited", waited))
}

func (h *Hedger) countAnswer(name string, sent int, took time.Duration) {
	h.answers.Inc(1)
	h.gauge.Update(took.Milliseconds())
	if sent > 1 {
		h.log.Info("slow answer of the platform", zap.String("call", name), zap.Int("sent", sent), zap.Duration("took", took))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answerTime = max(took, h.answerTime/2)
}
