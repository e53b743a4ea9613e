package averager_test

import (
	"math"
	"testing"
	"time"

	"medlargw.example/medlargw/averager"
)

func TestRate(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name  string
		until time.Duration // End of the events, 200 a second of size 5.
		at    time.Duration
		want  float64
	}{
		{"nothing seen", 0, time.Second, 0},
		{"steady", 6 * time.Second, 6 * time.Second, 1000},
		{"a second after the last event", 6 * time.Second, 7 * time.Second, 1000 / math.E},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var a averager.Averager
			for d := time.Duration(0); d < test.until; d += 5 * time.Millisecond {
				a.Add(start.Add(d), 5)
			}
			if got := a.Rate(start.Add(test.at)); math.Abs(got-test.want) > 0.02*test.want {
				t.Errorf("rate: got %.1f, want %.1f within 2%%", got, test.want)
			}
		})
	}
}
