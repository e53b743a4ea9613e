package demonstrator

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

func TestDemoEndsEveryJob(t *testing.T) {
	d := New(zap.NewNop())
	if err := d.Run(t.Context(), 500*time.Millisecond, 1); err != nil {
		t.Fatalf("run: %v", err)
	}
	if got, want := d.Report.Whole, d.Report.Jobs; got != want || got == 0 {
		t.Errorf("whole jobs: got %d, want %d and more than none", got, want)
	}
	if got := d.Report.Wrong; got != 0 {
		t.Errorf("wrong answers: got %d, want 0", got)
	}
	if got := d.Counts.Twice(); got != 0 {
		t.Errorf("tasks started twice: got %d, want 0", got)
	}
	if got, want := len(d.Counts.Starts), d.Report.Tasks; got != want {
		t.Errorf("tasks started: got %d, want %d", got, want)
	}
}
