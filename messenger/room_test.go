package messenger

import (
	"reflect"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

func TestHolderRoomRoundTrip(t *testing.T) {
	want := medlargw.HolderRoom{Number: 7, Pools: []medlargw.PoolRoom{{
		Pool: "pool", Free: []medlargw.Room{{Cores: 1, Memory: 2, Accelerators: 3}}, Capacity: 4,
		Waiting: []medlargw.RankWork{{Rank: 1, Work: 5}}, Next: 6 * time.Microsecond,
	}}}
	if got := decodeHolderRoom(encodeHolderRoom(&want)); !reflect.DeepEqual(got, want) {
		t.Errorf("room: got %+v, want %+v", got, want)
	}
}
