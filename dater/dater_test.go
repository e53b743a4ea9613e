package dater

import (
	"testing"
	"time"
)

// TestUnreadAfterPause guards against requests from before a pause that are taken for
// new ones, and against an entry that refuses requests for long after it.
func TestUnreadAfterPause(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name  string
		wakes []time.Duration
		now   time.Duration
		want  time.Duration
	}{
		{"no wake", nil, 5000 * ms, 0},
		{"on time", []time.Duration{0, 50 * ms, 100 * ms, 150 * ms}, 199 * ms, 0},
		{"read before the goroutine has woken", []time.Duration{0, 50 * ms}, 1500 * ms, 1450 * ms},
		{"read after it has woken once", []time.Duration{0, 50 * ms, 1500 * ms}, 1520 * ms, 1470 * ms},
		{"read after it has woken twice", []time.Duration{0, 50 * ms, 1500 * ms, 1550 * ms}, 1560 * ms, 1510 * ms},
		{"read after it has woken four times", []time.Duration{0, 50 * ms, 1500 * ms, 1550 * ms, 1600 * ms, 1650 * ms}, 1651 * ms, 0},
		{"two pauses", []time.Duration{0, 50 * ms, 1500 * ms}, 3000 * ms, 2950 * ms},
		{"late, but not by a pause", []time.Duration{0, 200 * ms, 400 * ms, 600 * ms}, 800 * ms, 0},
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(200 * ms)
			for _, w := range test.wakes {
				d.Wake(start.Add(w))
			}
			if got := d.Unread(start.Add(test.now)); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
