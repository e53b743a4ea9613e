package holder_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestUnknownRunHasAnUnknownLease guards against a target that is filled beyond its
// resources: a holder that stood still finds a run of another entry on its target, whose
// lease is longer than all that the holder has granted itself.
func TestUnknownRunHasAnUnknownLease(t *testing.T) {
	tests := []struct {
		name  string
		task  medlargw.TaskID
		after time.Duration // From the report that lists the run.
		want  int           // Start orders.
	}{
		{"the same task at once", 1, 0, 0},
		{"the same task before the longest lease has ended", 1, 950 * time.Millisecond, 0},
		{"another task at once", 2, 0, 0},
		{"another task before the longest lease has ended", 2, 950 * time.Millisecond, 0},
		{"another task after that", 2, 1100 * time.Millisecond, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			x.now = x.now.Add(3 * time.Second)
			x.report(medlargw.RunReport{
				Clock: 4 * time.Second, IncarnationStart: start, Active: []medlargw.ActiveRun{{Run: medlargw.RunID{Task: "b", Attempt: 1}}},
			})
			for end := x.now.Add(test.after); x.now.Before(end); x.now = x.now.Add(10 * time.Millisecond) {
				x.h.Tick(x.now)
				x.takeActions()
			}
			x.h.Tick(x.now)
			x.takeActions()
			if _, a := x.offer(test.task, 14000); len(a.Starts) != test.want {
				t.Errorf("starts: got %d, want %d", len(a.Starts), test.want)
			}
		})
	}
}
