package conductor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestLateCopyOfOfferStartsNothingTwice guards against a task alive at two
// targets with one attempt number, when its offer comes again past its validity.
// A holder stands still, so that it accepts an offer after its home has given up
// the answer. Then the home stands still, and handles an answer of the holder so
// late that it takes the holder's clock for slower than it is.
func TestLateCopyOfOfferStartsNothingTwice(t *testing.T) {
	const rounds = 30
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runCluster(t, seed, []string{"a1", "a2", "b1"}, func(cl *cluster) {
				r := rand.New(rand.NewPCG(seed, 9)) //nolint:gosec // Must be reproducible.
				between := func(low, high int) time.Duration { return time.Duration(low+r.IntN(high-low)) * time.Millisecond }
				go cl.submitRandom(rounds*1200*time.Millisecond, 15)
				for i := range rounds {
					time.Sleep(between(400, 600))
					home, holder := cl.entries[i%len(cl.entries)], cl.entries[(i+1)%len(cl.entries)]
					held, overlap := between(250, 350), between(50, 150)
					holder.clock.freeze(held)
					for j := range 3 {
						cl.submit(home, fmt.Sprintf("round%d.%d", i, j), 4, 900*time.Millisecond, 14000)
					}
					time.Sleep(held - overlap)
					home.clock.freeze(overlap + between(400, 500))
					time.Sleep(overlap + 500*time.Millisecond)
				}
				time.Sleep(8 * time.Second)
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
				cl.withLock(func() {
					if cl.pending != 0 {
						t.Errorf("jobs without an outcome: got %d, want 0", cl.pending)
					}
					if cl.outcomes[""] == 0 {
						t.Errorf("complete jobs: got none of %v, want some", cl.outcomes)
					}
				})
			})
		})
	}
}
