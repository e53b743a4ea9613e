package awaiter_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw/awaiter"
)

// TestLimit answers the load of targets that leave a few orders in a hundred
// unanswered, and of hosts whose answers all become slow.
func TestLimit(t *testing.T) {
	const ms = time.Millisecond
	steady := func(d time.Duration, n int) []time.Duration {
		all := make([]time.Duration, n)
		for i := range all {
			all[i] = d
		}
		return all
	}
	tests := []struct {
		name        string
		answers     []time.Duration
		least, most time.Duration // Bounds of the limit.
	}{
		{"nothing learned", nil, 200 * ms, 200 * ms},
		{"too few answers", steady(2*ms, 7), 200 * ms, 200 * ms},
		{"quick answers", steady(2*ms, 50), 60 * ms, 60 * ms},
		{"slow answers", steady(90*ms, 50), 90 * ms, 100 * ms},
		{"answers become slow", append(steady(2*ms, 50), 80*ms, 90*ms, 100*ms), 100 * ms, 200 * ms},
		{"answers become quick again", append(steady(100*ms, 50), steady(2*ms, 50)...), 60 * ms, 60 * ms},
		{"answers of varying time", append(append(steady(10*ms, 10), steady(70*ms, 10)...), 10*ms, 70*ms, 10*ms, 70*ms), 100 * ms, 200 * ms},
		{"answers later than the greater bound", steady(300*ms, 50), 200 * ms, 200 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := awaiter.New(60*ms, 200*ms)
			for _, d := range test.answers {
				a.Observe(d)
			}
			if got := a.Limit(); got < test.least || got > test.most {
				t.Errorf("limit: got %v, want %v to %v", got, test.least, test.most)
			}
		})
	}
}
