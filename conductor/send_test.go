package conductor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

type virtualClock struct{}

func (virtualClock) Now() time.Time { return time.Now() }

// TestLateProcessWaitsForAnswers answers the load of a host without processor time:
// an order that was answered was counted as not answered, because the process read
// the answer late. The extra time is that of the lag, within bounds.
func TestLateProcessWaitsForAnswers(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		lag    time.Duration
		excuse time.Duration // LeaseSettings.Lag.
		want   time.Duration // When the call is cancelled.
	}{
		{"on time", 0, time.Second, 200 * ms},
		{"late", 120 * ms, time.Second, 320 * ms},
		{"late for long", 2 * time.Second, time.Second, 400 * ms},
		{"late, without excuse", 120 * ms, 0, 200 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(zap.NewNop(), nil, &medlargw.Settings{Lease: medlargw.LeaseSettings{Lag: tt.excuse}}, 1, virtualClock{}, nil, metrics.NewRegistry())
				c.ctx = t.Context()
				c.lag.Store(int64(tt.lag))
				begin := time.Now()
				ended := make(chan time.Duration, 1)
				c.send(200*ms, 200*ms, func(ctx context.Context) event {
					<-ctx.Done()
					ended <- time.Since(begin)
					return nil
				})
				if got := <-ended; got != tt.want {
					t.Errorf("end of the call: got after %v, want after %v", got, tt.want)
				}
				c.senders.Wait()
			})
		})
	}
}
