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
// its last report is too old, nothing starts there, and its resources are not offered.
func TestTargetWithoutReport(t *testing.T) {
	const told = 4300 * time.Millisecond
	tests := []struct {
		name   string
		limit  time.Duration // LeaseSettings.Told.
		told   time.Duration // Before the offer; negative is never.
		cores  int64         // Of the task.
		want   medlargw.OfferState
		listed bool // Whether its resources are offered to homes.
	}{
		{"reported just now", told, 0, 20000, medlargw.OfferStarted, true},
		{"just within the time", told, told, 20000, medlargw.OfferStarted, true},
		{"too long ago", told, told + time.Millisecond, 20000, medlargw.OfferRefused, false},
		{"too long ago, a small task", told, told + time.Millisecond, 1, medlargw.OfferRefused, false},
		{"never", told, -1, 20000, medlargw.OfferRefused, false},
		{"without a limit", 0, -1, 20000, medlargw.OfferStarted, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := medlargw.DefaultLeaseSettings()
			settings.Told = test.limit
			x := &fixture{t: t, now: start, h: holder.New(zap.NewNop(), settings, self, pacer.New(0))}
			x.setCores(32000, start)
			x.now = x.now.Add(time.Second)
			x.h.Tick(x.now)
			x.takeActions()
			x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start})
			if test.told >= 0 {
				x.h.SetTold(x.now, map[medlargw.TargetName]time.Time{"t": x.now.Add(-test.told)})
			}
			free := x.h.FreeResources(x.now)
			if got := len(free.Pools) > 0 && free.Pools[0].TotalCores > 0; got != test.listed {
				t.Errorf("resources are offered: got %v, want %v", got, test.listed)
			}
			if got, _ := x.offer(1, test.cores); got != test.want {
				t.Errorf("offer: got %v, want %v", got, test.want)
			}
			x.h.SetTold(x.now, map[medlargw.TargetName]time.Time{"t": x.now})
			if got, _ := x.offer(2, 1000); got != medlargw.OfferStarted {
				t.Errorf("offer after a new report: got %v, want %v", got, medlargw.OfferStarted)
			}
		})
	}
}
