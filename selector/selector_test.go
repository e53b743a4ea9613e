package selector_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw/selector"
)

type target struct {
	name       string
	freeCores  int64
	slowness   float64
	slow, cold bool
}

// selected returns the name of the target that the selector selects; empty is none.
func selected(s *selector.Selector, targets []target) string {
	name := ""
	for _, c := range targets {
		if s.Consider(c.freeCores, c.slowness, c.slow, c.cold) {
			name = c.name
		}
	}
	return name
}

// TestTargetsComeBackCold answers a load in which the targets of a zone come back
// cold together, as after an upkeep: tasks go to warm targets while there are
// any, and to cold ones only if they can still end in time there.
func TestTargetsComeBackCold(t *testing.T) {
	const estimate = 200 * time.Millisecond
	warm, tight := target{"warm", 32, 1, false, false}, target{"tight", 16, 1, false, false}
	cold, coldTight := target{"cold", 32, 1, false, true}, target{"cold tight", 16, 1, false, true}
	slow := target{"slow", 8, 2.5, true, false}
	coldSlow := target{"cold and slow", 4, 4, true, true}
	tests := []struct {
		name    string
		slack   time.Duration
		late    bool
		targets []target
		want    string
	}{
		{"warm before cold", time.Second, false, []target{coldTight, warm, cold}, "warm"},
		{"least free cores", time.Second, false, []target{warm, tight}, "tight"},
		{"least free cores, the other order", time.Second, false, []target{tight, warm}, "tight"},
		{"cold before slow", time.Second, false, []target{slow, cold}, "cold"},
		{"least free cores of cold ones", time.Second, false, []target{cold, coldTight}, "cold tight"},
		{"task bears a cold target", 300 * time.Millisecond, false, []target{cold}, "cold"},
		{"task does not bear a cold target", 299 * time.Millisecond, false, []target{cold}, ""},
		{"warm target without slack", 0, false, []target{cold, warm}, "warm"},
		{"late task on a cold target", -time.Second, true, []target{cold}, "cold"},
		{"late task prefers a warm target", -time.Second, true, []target{coldTight, warm}, "warm"},
		{"cold target that runs have shown to be slower", 700 * time.Millisecond, false, []target{coldSlow}, ""},
		{"slow target in time", 500 * time.Millisecond, false, []target{slow}, "slow"},
		{"slow target too late", 499 * time.Millisecond, false, []target{slow}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := selector.New(estimate, test.slack, test.late, false)
			if got := selected(s, test.targets); got != test.want {
				t.Errorf("target: got %q, want %q", got, test.want)
			}
		})
	}
}

// TestTargetsOfMixedSpeeds answers a load of short and long tasks on targets that
// differ in speed by nature, alone and while other tasks wait.
func TestTargetsOfMixedSpeeds(t *testing.T) {
	const estimate = 200 * time.Millisecond
	fast, usual, slow := target{"fast", 32, 0.6, false, false}, target{"usual", 32, 1, false, false}, target{"slow", 32, 1.7, false, false}
	all := []target{usual, slow, fast}
	tests := []struct {
		name      string
		slack     time.Duration
		contended bool
		late      bool
		targets   []target
		want      string
	}{
		{"fastest while nothing else waits", time.Second, false, false, all, "fast"},
		{"slowest that suffices while others wait", time.Second, true, false, all, "slow"},
		{"task without slack for a slow target", 339 * time.Millisecond, true, false, all, "usual"},
		{"no target would do", 339 * time.Millisecond, true, false, []target{slow}, ""},
		{"late task while others wait", -time.Second, true, true, all, "fast"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := selector.New(estimate, test.slack, test.late, test.contended)
			if got := selected(s, test.targets); got != test.want {
				t.Errorf("target: got %q, want %q", got, test.want)
			}
		})
	}
}
