package demonstrator

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/driver"
)

func TestDemoCompletesEveryJob(t *testing.T) {
	d := New(zap.NewNop())
	if err := d.Run(t.Context(), 500*time.Millisecond, 1); err != nil {
		t.Fatalf("run: %v", err)
	}
	if got, want := d.LoadReport.Complete, d.LoadReport.Jobs; got != want || got == 0 {
		t.Errorf("complete jobs: got %d, want all %d and more than 0", got, want)
	}
	if got := d.LoadReport.Incorrect; got != 0 {
		t.Errorf("wrong answers: got %d, want 0", got)
	}
	if got := d.Counts.DuplicateStarts(); got != 0 {
		t.Errorf("tasks started twice: got %d, want 0", got)
	}
	if got, want := len(d.Counts.StartsByTask), d.LoadReport.Tasks; got != want {
		t.Errorf("tasks started: got %d, want %d", got, want)
	}
}

func TestBurstAtOneEntryUsesAllTargetsOfItsZone(t *testing.T) {
	d := New(zap.NewNop())
	if err := d.start(t.Context()); err != nil {
		t.Fatalf("start: %v", err)
	}
	burst := medlargw.Load{
		Entries: d.callerAddrs[:1],
		Kinds: []medlargw.JobKind{{
			Service: "slip-check", Class: "urgent", Token: deskToken,
			MeanTasks: 100, MeanRunTime: 100 * time.Millisecond, Deadline: 30 * time.Second,
		}},
		Rate: 20, Duration: 300 * time.Millisecond, Seed: 1,
	}
	report, err := driver.New(burst, 0).Run(t.Context())
	if err != nil {
		t.Errorf("run: %v", err)
	}
	if err := d.stop(t.Context()); err != nil {
		t.Errorf("stop: %v", err)
	}
	if got, want := report.Complete, report.Jobs; got != want || got == 0 {
		t.Errorf("complete jobs: got %d, want all %d and more than 0", got, want)
	}
	for n, e := range d.targets[:targetsPerZone] {
		if counts := e.Counts(); counts.Started == 0 {
			t.Errorf("target %d of the entry's zone: got no task, want at least one", n)
		}
	}
	if got := d.Counts.DuplicateStarts(); got != 0 {
		t.Errorf("tasks started twice: got %d, want 0", got)
	}
	if got, want := d.Counts.Requests, report.Tasks; got != want {
		t.Errorf("requests to targets: got %d, want %d, one for each task", got, want)
	}
}
