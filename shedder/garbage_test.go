package shedder

import (
	"runtime"
	"sync"
	"testing"
)

// TestGarbageIsCollectedOnce guards against collections for what was collected already, and
// against memory that counts as free before it is.
func TestGarbageIsCollectedOnce(t *testing.T) {
	tests := []struct {
		name   string
		cycles int // Since the count began.
		forced bool
	}{
		{"none since", 0, true},
		{"one that may have been under way", 1, true},
		{"two", 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var mu sync.Mutex
			mu.Lock()
			g := garbage{bytes: 100, cycles: collections()}
			for range test.cycles {
				runtime.GC()
			}
			before := collections()
			g.collect(&mu)
			if got := collections() > before; got != test.forced {
				t.Errorf("collected: got %v, want %v", got, test.forced)
			}
			if g.bytes != 0 || g.collecting {
				t.Errorf("after the collection: got %d bytes, collecting %v, want 0, false", g.bytes, g.collecting)
			}
			mu.Unlock()
		})
	}
}
