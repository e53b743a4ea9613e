package holder_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/holder"
	"medlargw.example/medlargw/pacer"
)

// TestTargetWithoutReport guards against starts over the resources of a target that has
// shrunk while its entry could not read the host list, or the target not write to it: once
// its last report is too old by its own clock, nothing starts there, and its resources are
// not offered. The list that is read right after an outage has the report of before.
func TestTargetWithoutReport(t *testing.T) {
	const reported, clock = 4300 * time.Millisecond, 20 * time.Second
	of := func(at time.Duration) *medlargw.TargetReport {
		return &medlargw.TargetReport{Clock: at, IncarnationStart: start}
	}
	tests := []struct {
		name   string
		limit  time.Duration // LeaseSettings.Reported.
		report *medlargw.TargetReport
		after  time.Duration // From the target's last answer to the offer.
		cores  int64         // Of the task.
		want   medlargw.OfferState
	}{
		{"reported just now", reported, of(clock), 0, 20000, medlargw.OfferStarted},
		{"within the time", reported, of(clock - 4*time.Second), 0, 20000, medlargw.OfferStarted},
		{"too long ago by a clock that may be slow", reported, of(clock - 4250*time.Millisecond), 0, 20000, medlargw.OfferRefused},
		{"too long ago with the time since the last answer", reported, of(clock - 4*time.Second), 300 * time.Millisecond, 20000, medlargw.OfferRefused},
		{"too long ago, a small task", reported, of(clock - 5*time.Second), 0, 1, medlargw.OfferRefused},
		{"never", reported, nil, 0, 20000, medlargw.OfferRefused},
		{"by another incarnation", reported, &medlargw.TargetReport{Clock: clock, IncarnationStart: start.Add(-time.Minute)}, 0, 20000, medlargw.OfferRefused},
		{"without a date", reported, of(0), 0, 20000, medlargw.OfferRefused},
		{"without a limit", 0, nil, 0, 20000, medlargw.OfferStarted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := medlargw.DefaultLeaseSettings()
			settings.Reported = test.limit
			x := &fixture{t: t, now: start, h: holder.New(zap.NewNop(), settings, self, pacer.New(0))}
			x.setCores(32000, start)
			x.now = x.now.Add(time.Second)
			x.h.Tick(x.now)
			x.takeActions()
			x.report(medlargw.RunReport{Clock: clock, IncarnationStart: start})
			if test.report != nil {
				x.h.SetReports(x.now, map[medlargw.TargetName]medlargw.TargetReport{"t": *test.report})
			}
			x.now = x.now.Add(test.after)
			free := x.h.FreeResources(x.now)
			if got, want := len(free.Pools) > 0 && free.Pools[0].TotalCores > 0, test.want == medlargw.OfferStarted; got != want {
				t.Errorf("resources are offered: got %v, want %v", got, want)
			}
			if got, _ := x.offer(1, test.cores); got != test.want {
				t.Errorf("offer: got %v, want %v", got, test.want)
			}
			x.h.SetReports(x.now, map[medlargw.TargetName]medlargw.TargetReport{"t": *of(clock)})
			if got, _ := x.offer(2, 1000); got != medlargw.OfferStarted {
				t.Errorf("offer after a new report: got %v, want %v", got, medlargw.OfferStarted)
			}
		})
	}
}
