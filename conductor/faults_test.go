package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestFaults checks that under each fault no rule of the targets is violated,
// every job has an outcome, and enough of the jobs complete.
func TestFaults(t *testing.T) {
	tests := []struct {
		name        string
		fault       func(cl *cluster)
		minComplete float64 // Minimum share of the jobs that complete.
	}{
		{"calm", func(*cluster) {}, 0.95},
		{"a home and holder is lost", func(cl *cluster) {
			cl.stop(cl.entries[0])
			time.Sleep(500 * time.Millisecond)
			cl.setGroups()
		}, 0.6},
		{"a home and holder is lost and comes back", func(cl *cluster) {
			cl.stop(cl.entries[0])
			time.Sleep(400 * time.Millisecond)
			cl.setGroups()
			time.Sleep(600 * time.Millisecond)
			cl.add(cl.entries[0].host)
			cl.setGroups()
		}, 0.6},
		{"a zone has no entry for a while", func(cl *cluster) {
			cl.stop(cl.entries[2])
			time.Sleep(400 * time.Millisecond)
			cl.setGroups()
			time.Sleep(2 * time.Second)
			cl.add(cl.entries[2].host)
			cl.setGroups()
		}, 0.5},
		{"planned stop of a holder", func(cl *cluster) {
			e := cl.entries[0]
			cl.setGroups(e)
			time.Sleep(4 * time.Second)
			cl.stop(e)
			cl.setGroups()
		}, 0.9},
		{"planned stop of a holder that takes back what it handed over", func(cl *cluster) {
			e := cl.entries[0]
			cl.setGroups(e)
			time.Sleep(20 * time.Millisecond)
			cl.setGroups()
			time.Sleep(20 * time.Millisecond)
			cl.setGroups(cl.entries[1])
		}, 0.8},
		{"planned stop whose transfers are not answered", func(cl *cluster) {
			e := cl.entries[0]
			cl.sim.setLinkDown("a2", "a1", true)
			cl.setGroups(e)
			time.Sleep(300 * time.Millisecond)
			cl.sim.setLinkDown("a2", "a1", false)
			time.Sleep(3 * time.Second)
			cl.stop(e)
			cl.setGroups()
		}, 0.7},
		{"answers of holders are lost for a moment, again and again", func(cl *cluster) {
			for range 6 {
				cl.sim.setLinkDown("b1", "a1", true)
				cl.sim.setLinkDown("a2", "a1", true)
				time.Sleep(650 * time.Millisecond)
				cl.sim.setLinkDown("b1", "a1", false)
				cl.sim.setLinkDown("a2", "a1", false)
				time.Sleep(300 * time.Millisecond)
			}
		}, 0.5},
		{"two entries consider each other lost", func(cl *cluster) {
			cl.setHostDown("a1", "a2", true)
			cl.setGroups()
			time.Sleep(3 * time.Second)
			cl.setHostDown("a1", "a2", false)
			cl.setGroups()
		}, 0.3},
		{"orders executed 3 s late", func(cl *cluster) {
			cl.sim.targets.SetFaults("a1-t0", medlargw.TargetFaults{OrderDelay: 3 * time.Second})
			time.Sleep(2 * time.Second)
			cl.sim.targets.SetFaults("a1-t0", medlargw.TargetFaults{OrderDelay: 0})
		}, 0.8},
		{"orders executed 12 s late", func(cl *cluster) {
			cl.sim.targets.SetFaults("b1-t0", medlargw.TargetFaults{OrderDelay: 12 * time.Second})
			time.Sleep(2 * time.Second)
			cl.sim.targets.SetFaults("b1-t0", medlargw.TargetFaults{})
		}, 0.8},
		{"start orders and renewals executed 3 s late, with their time from then on", func(cl *cluster) {
			for range 4 {
				cl.sim.targets.SetFaults("a1-t0", medlargw.TargetFaults{GrantDelay: 3 * time.Second})
				time.Sleep(500 * time.Millisecond)
				cl.sim.targets.SetFaults("a1-t0", medlargw.TargetFaults{})
				time.Sleep(time.Second)
			}
		}, 0.8},
		{"targets taken over while orders are on their way", func(cl *cluster) {
			for i := range 5 {
				cl.sim.targets.SetFaults(medlargw.TargetName(fmt.Sprintf("a1-t%d", i)), medlargw.TargetFaults{OrderDelay: 700 * time.Millisecond})
			}
			time.Sleep(100 * time.Millisecond)
			cl.stop(cl.entries[0])
			cl.setGroups()
			time.Sleep(100 * time.Millisecond)
			for i := range 5 {
				cl.sim.targets.SetFaults(medlargw.TargetName(fmt.Sprintf("a1-t%d", i)), medlargw.TargetFaults{})
			}
		}, 0.6},
		{"target unreachable for a while", func(cl *cluster) {
			for _, host := range []string{"a1", "a2", "b1"} {
				cl.setHostDown(host, "a1-t1", true)
			}
			time.Sleep(1500 * time.Millisecond)
			for _, host := range []string{"a1", "a2", "b1"} {
				cl.setHostDown(host, "a1-t1", false)
			}
		}, 0.8},
		{"answers of a target are lost", func(cl *cluster) {
			for _, host := range []string{"a1", "a2", "b1"} {
				cl.sim.setLinkDown("a2-t1", host, true)
			}
			time.Sleep(1500 * time.Millisecond)
			for _, host := range []string{"a1", "a2", "b1"} {
				cl.sim.setLinkDown("a2-t1", host, false)
			}
		}, 0.8},
		{"new incarnation at the old address", func(cl *cluster) {
			cl.sim.targets.Crash("a1-t0")
			time.Sleep(300 * time.Millisecond)
			cl.sim.targets.Crash("b1-t0")
		}, 0.8},
		{"a home and a holder are cut off from each other, one way", func(cl *cluster) {
			cl.sim.setLinkDown("a1", "b1", true)
			time.Sleep(1500 * time.Millisecond)
			cl.sim.setLinkDown("a1", "b1", false)
			time.Sleep(500 * time.Millisecond)
			cl.sim.setLinkDown("a2", "a1", true)
			time.Sleep(1500 * time.Millisecond)
			cl.sim.setLinkDown("a2", "a1", false)
		}, 0.5},
		{"a home and holder is paused past every lease", func(cl *cluster) {
			cl.entries[0].clock.freeze(3 * time.Second)
			time.Sleep(600 * time.Millisecond)
			cl.setHostDown("a1", "a2", true)
			cl.setHostDown("a1", "b1", true)
			cl.setGroups()
			time.Sleep(2500 * time.Millisecond)
			cl.setHostDown("a1", "a2", false)
			cl.setHostDown("a1", "b1", false)
			cl.setGroups()
		}, 0.4},
		{"a home and holder is paused for less than a lease", func(cl *cluster) {
			for range 3 {
				cl.entries[1].clock.freeze(600 * time.Millisecond)
				time.Sleep(1500 * time.Millisecond)
			}
		}, 0.6},
		{"targets hang, are slow and fail", func(cl *cluster) {
			cl.sim.targets.SetFaults("a1-t0", medlargw.TargetFaults{Hang: true})
			cl.sim.targets.SetFaults("a2-t0", medlargw.TargetFaults{SlowFactor: 8})
			cl.sim.targets.SetFaults("b1-t0", medlargw.TargetFaults{Fail: true})
			time.Sleep(3 * time.Second)
			cl.sim.targets.SetFaults("a1-t0", medlargw.TargetFaults{})
			cl.sim.targets.SetFaults("a2-t0", medlargw.TargetFaults{})
			cl.sim.targets.SetFaults("b1-t0", medlargw.TargetFaults{})
		}, 0.6},
	}
	for _, test := range tests {
		for seed := range seeds() {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				runCluster(t, seed, []string{"a1", "a2", "b1"}, func(cl *cluster) {
					go func() {
						time.Sleep(time.Second)
						test.fault(cl)
					}()
					cl.submitRandom(8*time.Second, 6)
					time.Sleep(8 * time.Second)
					for _, violation := range cl.sim.targets.Violations() {
						t.Error(violation)
					}
					if cl.pending != 0 {
						t.Errorf("jobs without an outcome: got %d, want 0", cl.pending)
					}
					total := 0
					for _, n := range cl.outcomes {
						total += n
					}
					if got := float64(cl.outcomes[""]) / float64(total); got < test.minComplete {
						t.Errorf("share of complete jobs: got %.2f of %d, want at least %.2f: %v", got, total, test.minComplete, cl.outcomes)
					}
				})
			})
		}
	}
}
