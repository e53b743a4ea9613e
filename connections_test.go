package medlargw

import (
	"fmt"
	"testing"
)

// TestConnectionLimits checks the limits that follow from those of the process, and that
// the largest requests are always within them.
func TestConnectionLimits(t *testing.T) {
	const body = 256 << 10
	const minBytes = 2 * (20<<10*33 + 3*body)
	tests := []struct {
		memory   int64
		listener Listener
		bytes    int64
	}{
		{284, ListenerCallers, 71 << 20},
		{284, ListenerPeers, 284 << 20 / 8},
		{284, ListenerOperators, 284 << 20 / 32},
		{144, ListenerCallers, 36 << 20},
		{100, ListenerCallers, 25 << 20},
		{0, ListenerCallers, 256 << 20},
		{64, ListenerCallers, 16 << 20},
		{1, ListenerCallers, minBytes},
		{1, ListenerOperators, minBytes},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d MiB, listener %d", test.memory, test.listener), func(t *testing.T) {
			c := CapacitySettings{Memory: test.memory}
			got := c.ConnectionLimits(test.listener, body)
			if want := (ConnectionLimits{Bytes: test.bytes}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}
