package sampler_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"medlargw.example/medlargw/sampler"
)

// TestMedian compares the waits of goroutines that have a processor with those of
// many that share one: each runs for 2 ms while the others wait.
func TestMedian(t *testing.T) {
	s := sampler.New()
	s.Median()
	for range 50 {
		time.Sleep(time.Millisecond)
	}
	idle := s.Median()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var wg conc.WaitGroup
	for range 50 {
		wg.Go(func() {
			for begin := time.Now(); time.Since(begin) < 2*time.Millisecond; { //nolint:revive // Keeps the processor.
			}
		})
	}
	wg.Wait()
	if busy, want := s.Median(), 10*time.Millisecond; busy < want || idle >= busy {
		t.Errorf("median wait: got %v idle and %v busy, want at least %v busy and less idle", idle, busy, want)
	}
}
