package spacer_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw/spacer"
)

// TestRequestsAreSpaced guards against requests that pile up at peers which do not answer,
// and against one that keeps all others from being sent.
func TestRequestsAreSpaced(t *testing.T) {
	const step = 100 * time.Millisecond
	tests := []struct {
		name string
		took time.Duration // Of each request.
		want int           // Requests within 10 s, one of which may start at each step.
	}{
		{"quick", step, 100},
		{"slower than the first pause", time.Second, 19},
		{"no answer", time.Minute, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s spacer.Spacer
			var ends []time.Time
			began, got := time.Unix(0, 0), 0
			for now := began; now.Before(began.Add(10 * time.Second)); now = now.Add(step) {
				for len(ends) > 0 && !ends[0].After(now) {
					s.End()
					ends = ends[1:]
				}
				if s.Start(now) {
					got++
					ends = append(ends, now.Add(test.took))
				}
			}
			if got > test.want || got < test.want/2 {
				t.Errorf("requests: got %d, want at most %d and half of them at least", got, test.want)
			}
		})
	}
}
