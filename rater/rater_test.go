package rater_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/rater"
)

// TestMixedSpeeds rates targets of 0.6, 1 and 1.6 times the usual speed while the
// estimates of their tasks are off by about half, as those of callers are.
func TestMixedSpeeds(t *testing.T) {
	tests := []struct {
		name      string
		slowness  float64
		runs      int
		compared  bool // With other tasks of the same job.
		tolerance float64
	}{
		{name: "slow, compared", slowness: 1 / 0.6, runs: 24, compared: true, tolerance: 0.15},
		{name: "usual, compared", slowness: 1, runs: 24, compared: true, tolerance: 0.15},
		{name: "fast, compared", slowness: 1 / 1.6, runs: 24, compared: true, tolerance: 0.15},
		{name: "slow, by estimates alone", slowness: 1 / 0.6, runs: 200, tolerance: 0.25},
		{name: "fast, by estimates alone", slowness: 1 / 1.6, runs: 200, tolerance: 0.25},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 0))
			var r rater.Rater
			for range test.runs {
				error := math.Exp(0.4 * random.NormFloat64())
				uneven := math.Exp(0.15 * random.NormFloat64())
				usual := 0.0
				if test.compared {
					usual = error
				}
				r.Observe(test.slowness*error*uneven, usual)
			}
			if got := r.Slowness(); math.Abs(math.Log(got/test.slowness)) > test.tolerance {
				t.Errorf("slowness: got %.2f, want %.2f", got, test.slowness)
			}
		})
	}
}

// TestFaultIsNotASpeed asserts that a target that is five times slower for a
// while keeps its rating.
func TestFaultIsNotASpeed(t *testing.T) {
	var r rater.Rater
	for range 20 {
		r.Observe(1.6, 1)
	}
	before := r.Slowness()
	for range 50 {
		r.Observe(8, 1)
	}
	if got := r.Slowness(); got != before {
		t.Errorf("slowness after the fault: got %.2f, want %.2f", got, before)
	}
}

func TestNew(t *testing.T) {
	tests := []struct {
		name   string
		rating medlargw.Rating
		want   float64
	}{
		{name: "well known", rating: medlargw.Rating{Slowness: 1.5, Runs: 1e6}, want: 1.46},
		{name: "not rated", rating: medlargw.Rating{}, want: 1},
		{name: "negative", rating: medlargw.Rating{Slowness: -2, Runs: 5}, want: 1},
		{name: "not a number", rating: medlargw.Rating{Slowness: math.NaN(), Runs: 5}, want: 1},
		{name: "beyond all bounds", rating: medlargw.Rating{Slowness: 1e9, Runs: 1e9}, want: 3.68},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := rater.New(test.rating)
			if got := r.Slowness(); math.Abs(got-test.want) > 0.01 {
				t.Errorf("slowness: got %.2f, want %.2f", got, test.want)
			}
		})
	}
}
