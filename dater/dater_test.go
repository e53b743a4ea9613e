package dater

import (
	"testing"
	"time"
)

// TestUnreadAfterSuspension guards against requests from before a suspension that are
// taken for new ones, and against an entry that refuses requests for long after it, or
// since it is throttled.
func TestUnreadAfterSuspension(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name      string
		wakes     []time.Duration
		now       time.Duration
		suspended time.Duration // Between 50 ms and 1500 ms.
		want      time.Duration
	}{
		{"no wake", nil, 5000 * ms, 1000 * ms, 0},
		{"on time", []time.Duration{0, 10 * ms, 20 * ms, 30 * ms}, 50 * ms, 0, 0},
		{"read before the goroutine has woken", []time.Duration{0, 50 * ms}, 1500 * ms, 1400 * ms, 1450 * ms},
		{"read after it has woken once", []time.Duration{0, 50 * ms, 1500 * ms}, 1520 * ms, 1400 * ms, 1470 * ms},
		{"read after it has woken twice", []time.Duration{0, 50 * ms, 1500 * ms, 1550 * ms}, 1560 * ms, 1400 * ms, 1510 * ms},
		{"read after it has woken four times", []time.Duration{0, 50 * ms, 1500 * ms, 1550 * ms, 1600 * ms, 1650 * ms}, 1651 * ms, 1400 * ms, 0},
		{"the process stood still", []time.Duration{0, 50 * ms, 1500 * ms}, 1520 * ms, 0, 0},
		{"throttled again and again", []time.Duration{0, 300 * ms, 600 * ms, 900 * ms}, 1200 * ms, 0, 0},
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			awake := func(at time.Duration) time.Time {
				if at > 50*ms {
					at -= test.suspended
				}
				return start.Add(at)
			}
			d := New(200 * ms)
			for _, w := range test.wakes {
				d.Wake(start.Add(w), awake(w))
			}
			if got := d.Unread(start.Add(test.now), awake(test.now)); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
