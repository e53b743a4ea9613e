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

// TestInvalidResourcesAreIgnored guards against a peer, of an older build maybe, that holds
// a target which states more than any machine has. Tasks would be offered to it first, and
// the sums over all holders would wrap.
func TestInvalidResourcesAreIgnored(t *testing.T) {
	good := &wire.Room{Cores: 8000, Memory: 100}
	below := &wire.Room{Cores: -8000, Memory: -100} // A target that has shrunk below its runs.
	tests := []struct {
		name string
		pool *wire.PoolRoom
		want medlargw.PoolResources
	}{
		{"free cores", &wire.PoolRoom{Free: []*wire.Room{{Cores: math.MaxInt64}, good, below}}, medlargw.PoolResources{
			Free: []medlargw.Resources{{Cores: 8000, Memory: 100}, {Cores: -8000, Memory: -100}},
		}},
		{"isolated memory", &wire.PoolRoom{Isolated: []*wire.Room{{Memory: math.MaxInt64}, good}}, medlargw.PoolResources{
			Isolated: []medlargw.Resources{{Cores: 8000, Memory: 100}},
		}},
		{"far below zero", &wire.PoolRoom{Free: []*wire.Room{{Accelerators: math.MinInt64}, good}}, medlargw.PoolResources{
			Free: []medlargw.Resources{{Cores: 8000, Memory: 100}},
		}},
		{"total", &wire.PoolRoom{Capacity: math.MaxInt64, IsolatedCapacity: math.MaxInt64}, medlargw.PoolResources{}},
		{"total below zero", &wire.PoolRoom{Capacity: -1, IsolatedCapacity: math.MinInt64}, medlargw.PoolResources{}},
		{"time to the next end", &wire.PoolRoom{NextUs: math.MaxInt64}, medlargw.PoolResources{}},
		{"negative time", &wire.PoolRoom{NextUs: math.MinInt64}, medlargw.PoolResources{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := decodeHolderResources(&wire.HolderRoom{Number: 1, Pools: []*wire.PoolRoom{test.pool}}).Pools[0]
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestInvalidWorkIsIgnored guards against an entry of an older build, whose sums of work have
// wrapped: the jobs of all other entries would be ordered by them.
func TestInvalidWorkIsIgnored(t *testing.T) {
	tests := []struct{ sent, want int64 }{
		{0, 0},
		{medlargw.MaxWork, medlargw.MaxWork},
		{medlargw.MaxWork + 1, 0},
		{math.MinInt64, 0},
	}
	for _, test := range tests {
		work := &wire.RankWork{Rank: 1, Work: test.sent, Arriving: test.sent, Invited: test.sent}
		r := decodeHolderResources(&wire.HolderRoom{Number: 1, Pools: []*wire.PoolRoom{{Pool: "pool", Waiting: []*wire.RankWork{work}}}})
		want := medlargw.RankWork{Rank: 1, Work: test.want, Arriving: test.want, Invited: test.want}
		if got := r.Pools[0].Waiting[0]; got != want {
			t.Errorf("work of %d: got %+v, want %+v", test.sent, got, want)
		}
	}
}
