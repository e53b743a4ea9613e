package messenger

import (
	"reflect"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

func TestHolderResourcesRoundTrip(t *testing.T) {
	want := medlargw.HolderResources{Sequence: 7, Pools: []medlargw.PoolResources{{
		Pool: "pool", Free: []medlargw.Resources{{Cores: 1, Memory: 2, Accelerators: 3}}, TotalCores: 4,
		Waiting: []medlargw.RankWork{{Rank: 1, Work: 5, Arriving: 9, Invited: 10}}, NextEnd: 6 * time.Microsecond, Started: 11,
	}}, Clock: 8 * time.Second, Protocol: 1}
	if got := decodeHolderResources(encodeHolderResources(&want)); !reflect.DeepEqual(got, want) {
		t.Errorf("resources: got %+v, want %+v", got, want)
	}
}
