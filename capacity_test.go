package medlargw

import (
	"fmt"
	"testing"
)

// TestConnectionLimits checks the limits that follow from those of the process, and that
// the largest requests are always within them.
func TestConnectionLimits(t *testing.T) {
	const body = 256 << 10
	const minBytes = (20<<10*33 + 2*body) / 4 * 5
	tests := []struct {
		memory   int64
		files    int
		listener ListenerKind
		conns    int
		bytes    int64
	}{
		{284, 4100, ListenerCallers, 1950, 71 << 20},
		{284, 4100, ListenerPeers, 487, 284 << 20 / 8},
		{284, 4100, ListenerOperators, 121, 284 << 20 / 32},
		{144, 3075, ListenerCallers, 1437, 36 << 20},
		{100, 600, ListenerCallers, 200, 25 << 20},
		{0, 4100, ListenerCallers, 1950, 256 << 20},
		{64, 100_000, ListenerCallers, 64 << 20 / 4 / (24 << 10), 16 << 20},
		{1, 10, ListenerCallers, 2, minBytes},
		{1, 1, ListenerOperators, 1, minBytes},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d MiB, %d files, listener %d", test.memory, test.files, test.listener), func(t *testing.T) {
			c := CapacitySettings{Memory: test.memory, Files: test.files}
			got := c.ConnectionLimits(test.listener, body)
			if want := (ConnectionLimits{Conns: test.conns, Bytes: test.bytes, Write: answerTimeout}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
	for _, test := range []struct {
		memory int64
		tasks  int
	}{{0, 0}, {1, 2000}, {100, 2560}, {284, 7270}} {
		if got := (&CapacitySettings{Memory: test.memory}).MaxTasks(); got != test.tasks {
			t.Errorf("tasks in %d MiB: got %d, want %d", test.memory, got, test.tasks)
		}
	}
	if got := (&CapacitySettings{}).ConnectionLimits(ListenerCallers, body).Conns; got < 1 {
		t.Errorf("connections by the limit of the operating system: got %d, want some", got)
	}
}
