package reporter

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// fixedConfig is a configuration with one class.
type fixedConfig struct{}

func (fixedConfig) Config() *medlargw.Config {
	objective := medlargw.Objective{SuccessRatio: 0.9, ResponseTime: time.Second}
	return &medlargw.Config{Classes: []medlargw.Class{{Name: "urgent", Objective: objective}}}
}

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newReporter() *Reporter {
	r := New(zap.NewNop(), registrar.New(zap.NewNop()), metrics.NewRegistry(), testStart)
	r.configSource = fixedConfig{}
	return r
}

func jobEnd(at time.Time, team string, response time.Duration, code medlargw.Code) medlargw.JobSummary {
	return medlargw.JobSummary{
		Team: medlargw.TeamName(team), Class: "urgent", Ended: at, ResponseTime: response,
		Complete: code == medlargw.CodeNone, Code: code,
	}
}

func TestMissedObjective(t *testing.T) {
	tests := []struct {
		name     string
		response time.Duration
		code     medlargw.Code
		want     medlargw.JobCounts
	}{
		{name: "in time", response: time.Second, want: medlargw.JobCounts{Jobs: 1}},
		{name: "late", response: time.Second + 1, want: medlargw.JobCounts{Jobs: 1, Missed: 1}},
		{name: "refused", code: medlargw.CodeOverloaded, want: medlargw.JobCounts{Jobs: 1, Missed: 1}},
		{name: "cancelled by its caller", code: medlargw.CodeCancelled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReporter()
			r.JobEnded(jobEnd(testStart, "desk", tt.response, tt.code))
			var got medlargw.JobCounts
			for _, s := range r.BurnStatus(testStart).Series {
				got.Add(s.Windows[medlargw.BurnHour])
			}
			if got != tt.want {
				t.Errorf("counts: got %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestWindowsExpire(t *testing.T) {
	tests := []struct {
		after time.Duration
		want  string // Jobs in each window.
	}{
		{after: 0, want: "[1 1 1 1]"},
		{after: 4 * time.Minute, want: "[1 1 1 1]"},
		{after: 5 * time.Minute, want: "[0 1 1 1]"},
		{after: time.Hour, want: "[0 0 1 1]"},
		{after: 6 * time.Hour, want: "[0 0 0 1]"},
		{after: 72 * time.Hour, want: "[0 0 0 0]"},
		{after: 1000 * time.Hour, want: "[0 0 0 0]"},
		{after: -time.Hour, want: "[1 1 1 1]"}, // The clock was set back.
	}
	for _, tt := range tests {
		r := newReporter()
		r.JobEnded(jobEnd(testStart, "desk", 0, medlargw.CodeNone))
		b := r.BurnStatus(testStart.Add(tt.after))
		var jobs []uint64
		for _, c := range b.Series[0].Windows {
			jobs = append(jobs, c.Jobs)
		}
		if got := fmt.Sprint(jobs); got != tt.want {
			t.Errorf("after %s: got %s, want %s", tt.after, got, tt.want)
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	r := newReporter()
	for n := range maxSeries + 10 {
		r.JobEnded(jobEnd(testStart, fmt.Sprint("team-", n), 0, medlargw.CodeNone))
	}
	b := r.BurnStatus(testStart)
	if got, want := len(b.Series), maxSeries; got != want {
		t.Errorf("series: got %d, want %d", got, want)
	}
	if got, want := b.Uncounted, uint64(10); got != want {
		t.Errorf("jobs without a series: got %d, want %d", got, want)
	}
	later := testStart.Add(73 * time.Hour) // All series may be evicted.
	r.JobEnded(jobEnd(later, "new", 0, medlargw.CodeNone))
	if got, want := r.BurnStatus(later).Uncounted, uint64(10); got != want {
		t.Errorf("jobs without a series after three days: got %d, want %d", got, want)
	}
}

func BenchmarkJobEnded(b *testing.B) {
	r := newReporter()
	for n := range b.N {
		r.JobEnded(jobEnd(testStart.Add(time.Duration(n)*time.Millisecond), "desk", time.Millisecond, medlargw.CodeNone))
	}
}

func BenchmarkBurnOf360Teams(b *testing.B) {
	r := newReporter()
	for n := range 360 {
		r.JobEnded(jobEnd(testStart, fmt.Sprint("team-", n), 0, medlargw.CodeNone))
	}
	b.ReportAllocs()
	for b.Loop() {
		r.BurnStatus(testStart)
	}
}

func BenchmarkNewSeries(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		newSeries()
	}
}
