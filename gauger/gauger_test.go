package gauger_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw/gauger"
)

const ms = time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLag answers the load of a host whose processor share is used up by a burst:
// its control loop wakes up late once, or again and again.
func TestLag(t *testing.T) {
	type record struct{ at, late time.Duration }
	tests := []struct {
		name    string
		records []record
		at      time.Duration
		want    time.Duration
	}{
		{"nothing recorded", nil, 0, 0},
		{"on time", []record{{0, 0}, {20 * ms, 3 * ms}, {40 * ms, 10 * ms}}, 40 * ms, 0},
		{"clock of an event ahead of the loop's", []record{{0, -5 * ms}}, 0, 0},
		{"at once", []record{{0, 300 * ms}}, 0, 300 * ms},
		{"in full for half a second", []record{{0, 300 * ms}}, 500 * ms, 300 * ms},
		{"falls after that", []record{{0, 300 * ms}}, 750 * ms, 150 * ms},
		{"over after a second", []record{{0, 300 * ms}}, 1000 * ms, 0},
		{"stays over", []record{{0, 300 * ms}}, time.Minute, 0},
		{"the greatest counts", []record{{0, 100 * ms}, {30 * ms, 400 * ms}, {50 * ms, 200 * ms}}, 60 * ms, 400 * ms},
		{"a smaller later one outlives it", []record{{0, 400 * ms}, {450 * ms, 300 * ms}}, 900 * ms, 300 * ms},
		{"on time again", []record{{0, 400 * ms}, {100 * ms, 0}, {1100 * ms, 0}}, 1100 * ms, 0},
		{"late again after a minute", []record{{0, 400 * ms}, {time.Minute, 50 * ms}}, time.Minute, 50 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gauger.New()
			for _, r := range tt.records {
				g.Record(start.Add(r.at), r.late)
			}
			if got := g.Lag(start.Add(tt.at)); got != tt.want {
				t.Errorf("lag: got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestLagOfAStarvedProcess wakes a loop 300 ms late each time for three seconds.
func TestLagOfAStarvedProcess(t *testing.T) {
	g := gauger.New()
	for at := time.Duration(0); at < 3*time.Second; at += 300 * ms {
		g.Record(start.Add(at), 300*ms)
		if got, want := g.Lag(start.Add(at+290*ms)), 300*ms; got != want {
			t.Fatalf("lag at %v: got %v, want %v", at, got, want)
		}
	}
}
