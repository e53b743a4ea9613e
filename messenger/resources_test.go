package messenger

import (
	"math"
	"reflect"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

func TestHolderResourcesRoundTrip(t *testing.T) {
	want := medlargw.HolderResources{
		Sequence: 7, Pools: []medlargw.PoolResources{{
			Pool: "pool", Free: []medlargw.Resources{{Cores: 1, Memory: 2, Accelerators: 3}}, TotalCores: 4,
			Waiting: []medlargw.RankWork{{Rank: 1, Work: 5, Arriving: 9, Invited: 10}}, NextEnd: 6 * time.Microsecond, Started: 11,
			Isolated: []medlargw.Resources{{Cores: 12}}, IsolatedCores: 13,
		}}, Clock: 8 * time.Second, Protocol: 1, Confined: []medlargw.ServiceName{"s"},
		Crashes: []medlargw.ServiceCrashes{{Service: "s", Blame: 0.5, Exposure: 2, SinceLast: 3 * time.Millisecond}},
	}
	if got := decodeHolderResources(encodeHolderResources(&want)); !reflect.DeepEqual(got, want) {
		t.Errorf("resources: got %+v, want %+v", got, want)
	}
}

// TestInvalidCrashesAreIgnored guards against a peer whose invalid sums would confine a
// service, or shares that would fail a job.
func TestInvalidCrashesAreIgnored(t *testing.T) {
	for _, invalid := range []float64{math.NaN(), math.Inf(1), -1} {
		w := &wire.HolderRoom{Number: 1, Crashes: []*wire.ServiceCrashes{{Service: "s", Blame: invalid}, {Service: "t", Exposure: invalid}}}
		if got := decodeHolderResources(w).Crashes; len(got) > 0 {
			t.Errorf("crashes with %v: got %v, want none", invalid, got)
		}
		r := decodeReport(&wire.ReportRequest{Tasks: []*wire.TaskReport{{Crash: 7, Blame: invalid}}}).Tasks[0]
		if r.Crash != medlargw.CrashNone || r.Blame != 0 {
			t.Errorf("report with %v: got crash %v and share %v, want none and 0", invalid, r.Crash, r.Blame)
		}
	}
}
