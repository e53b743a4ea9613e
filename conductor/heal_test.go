package conductor_test

import (
	"fmt"
	"testing"
	"time"
)

// TestHealedCutKeepsHolders guards against work that is given up when a cut between
// zones heals: entries of another zone took the targets of the cut zone for theirs, and
// the claims that they repeat reach the targets before the entries hear of each other.
func TestHealedCutKeepsHolders(t *testing.T) {
	lost, all := 0, 0
	for step := range 20 {
		t.Run(fmt.Sprintf("healed after %d ms", 4000+100*step), func(t *testing.T) {
			runCluster(t, 7, []string{"a1", "a2", "b1", "b2"}, func(cl *cluster) {
				setCut := func(cut bool) {
					for _, far := range cl.entries[2:] {
						for _, near := range cl.entries[:2] {
							cl.setHostDown(far.host, near.host, cut)
						}
						for _, target := range cl.sim.targets.Targets() {
							if zoneOf(string(target.Name)) == "a" {
								cl.setHostDown(far.host, string(target.Name), cut)
							}
						}
					}
				}
				setCut(true)
				time.Sleep(500 * time.Millisecond)
				cl.setGroups()
				time.Sleep(time.Duration(3500+100*step) * time.Millisecond)
				for i := range 4 {
					cl.submit(cl.entries[i%2], fmt.Sprintf("job%d", i), 2, 900*time.Millisecond, 14000)
				}
				time.Sleep(100 * time.Millisecond)
				setCut(false)
				time.Sleep(200 * time.Millisecond) // Until the next heartbeats have arrived.
				cl.setGroups()
				time.Sleep(4 * time.Second)
				for _, e := range cl.entries {
					lost += int(e.counter("tasks.unknown"))
					all += int(e.counter("tasks.done"))
				}
			})
		})
	}
	if lost > 0 || all == 0 {
		t.Errorf("runs taken from their holders: got %d, beside %d that succeeded, want 0", lost, all)
	}
}
