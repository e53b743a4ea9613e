package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestUnansweredOfferIsHandedOver guards against two runs of a task with the
// same attempt number: the reply to an offer is lost, the holder hands the
// started tasks over to its successor, whose report is lost too, and the home
// asks the former holder whether the tasks have started.
func TestUnansweredOfferIsHandedOver(t *testing.T) {
	for _, leaving := range []int{0, 1} {
		for seed := range seeds() {
			t.Run(fmt.Sprintf("entry %d leaves, seed %d", leaving, seed), func(t *testing.T) {
				runCluster(t, seed, []string{"a1", "a2", "b1"}, func(cl *cluster) {
					home, former, successor := cl.entries[2], cl.entries[leaving], cl.entries[1-leaving]
					cl.submit(home, "fill", 12, 250*time.Millisecond, 14000)
					time.Sleep(10 * time.Millisecond)
					cl.sim.setLinkDown(former.host, home.host, true)
					cl.sim.setLinkDown(successor.host, home.host, true)
					cl.submit(home, "job", 8, 900*time.Millisecond, 14000)
					time.Sleep(20 * time.Millisecond)
					cl.setGroups(former)
					time.Sleep(100 * time.Millisecond)
					cl.sim.setLinkDown(former.host, home.host, false)
					time.Sleep(300 * time.Millisecond)
					cl.sim.setLinkDown(successor.host, home.host, false)
					time.Sleep(5 * time.Second)
					for _, violation := range cl.sim.targets.Violations() {
						t.Error(violation)
					}
				})
			})
		}
	}
}

// TestRunsOfUnansweredTransferGoOn guards against a second run of a task: a new
// entry gets the transfer of targets but does not reach them, and the former
// holder has no answer to the transfer and goes on renewing the lease.
func TestRunsOfUnansweredTransferGoOn(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, seed, []string{"a1", "b1"}, func(cl *cluster) {
				former, home := cl.entries[0], cl.entries[1]
				cl.submit(home, "fill", 12, 250*time.Millisecond, 14000)
				time.Sleep(10 * time.Millisecond)
				cl.submit(home, "job", 10, 1200*time.Millisecond, 14000)
				time.Sleep(20 * time.Millisecond)
				successor := cl.add("a2")
				for _, target := range cl.sim.targets.Targets() {
					cl.setHostDown(successor.host, string(target.Name), true)
				}
				cl.sim.setLinkDown(successor.host, former.host, true)
				cl.setGroups()
				time.Sleep(300 * time.Millisecond)
				cl.sim.setLinkDown(former.host, successor.host, true)
				time.Sleep(3 * time.Second)
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// TestLostReportOfHandover guards against a run that goes on unknown to its
// home, and a second one when the caller submits the job again: the report that
// the new holder has taken over is lost, and the former holder ends.
func TestLostReportOfHandover(t *testing.T) {
	for _, leaving := range []int{0, 1} {
		for seed := range seeds() {
			t.Run(fmt.Sprintf("entry %d leaves, seed %d", leaving, seed), func(t *testing.T) {
				runCluster(t, seed, []string{"a1", "a2", "b1"}, func(cl *cluster) {
					home, former, successor := cl.entries[2], cl.entries[leaving], cl.entries[1-leaving]
					cl.submit(home, "other", 18, 2400*time.Millisecond, 14000)
					time.Sleep(10 * time.Millisecond)
					cl.submit(home, "job", 14, 2400*time.Millisecond, 14000)
					time.Sleep(20 * time.Millisecond)
					cl.setGroups(former)
					cl.sim.setLinkDown(successor.host, home.host, true)
					time.Sleep(60 * time.Millisecond)
					cl.sim.setLinkDown(successor.host, home.host, false)
					time.Sleep(100 * time.Millisecond)
					cl.stop(former)
					cl.setGroups()
					time.Sleep(6 * time.Second)
					for _, violation := range cl.sim.targets.Violations() {
						t.Error(violation)
					}
				})
			})
		}
	}
}

// TestFormerHolderIsCutOff guards against a second run of a task: a holder that
// hears nothing any more after its transfer counts its leases as ended and says so
// to the home, while the new holder renews them.
func TestFormerHolderIsCutOff(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, seed, []string{"a1", "a2", "b1"}, func(cl *cluster) {
				former, successor, home := cl.entries[0], cl.entries[1], cl.entries[2]
				cl.submit(home, "fill", 8, 250*time.Millisecond, 14000)
				time.Sleep(10 * time.Millisecond)
				cl.submit(home, "job", 14, 1300*time.Millisecond, 14000)
				time.Sleep(50 * time.Millisecond)
				cl.setGroups(former)
				cl.sim.setLinkDown(successor.host, former.host, true)
				cl.sim.setLinkDown(home.host, former.host, true)
				for _, target := range cl.sim.targets.Targets() {
					cl.sim.setLinkDown(string(target.Name), former.host, true)
				}
				time.Sleep(4 * time.Second)
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// TestTransferBeforeHostList guards against a job that is answered only at its
// deadline: an entry that has just started gets a transfer before it has the list
// of targets.
func TestTransferBeforeHostList(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, seed, []string{"a1", "b1"}, func(cl *cluster) {
				cl.submit(cl.entries[0], "job", 10, 900*time.Millisecond, 14000)
				time.Sleep(20 * time.Millisecond)
				started := cl.add("a2")
				g := medlargw.Group{}
				for _, e := range cl.entries {
					g.Entries = append(g.Entries, e.peer)
				}
				started.conductor.SetGroup(g) // Without targets.
				for _, e := range cl.entries[:2] {
					e.conductor.SetGroup(medlargw.Group{Entries: g.Entries, Targets: cl.sim.targets.Targets()})
				}
				time.Sleep(400 * time.Millisecond)
				cl.setGroups()
				time.Sleep(3 * time.Second)
				cl.withLock(func() {
					if got := cl.outcomes[""]; got != 1 {
						t.Errorf("complete jobs: got %d of %v, want 1", got, cl.outcomes)
					}
				})
			})
		})
	}
}

// TestCapacitiesWithRuns guards against runs that end or start twice when the
// shares change below them: the entries of a zone state other capacities, all at
// once or in two views for a while, as in a planned replacement that mixes builds.
func TestCapacitiesWithRuns(t *testing.T) {
	tests := []struct {
		name  string
		views int // Entries that learn of the capacities at first.
	}{
		{"all at once", 3},
		{"one learns first", 1},
		{"two learn first", 2},
	}
	for _, test := range tests {
		for seed := range seeds() {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				runCluster(t, seed, []string{"a1", "a2", "a3"}, func(cl *cluster) {
					for i := range 6 {
						cl.submit(cl.entries[i%3], fmt.Sprintf("job %d", i), 4, 900*time.Millisecond, 14000)
					}
					time.Sleep(50 * time.Millisecond)
					capacities := []int64{800, 144, 480}
					for _, e := range cl.entries[:test.views] {
						cl.setGroupWithCapacities(e, capacities)
					}
					time.Sleep(400 * time.Millisecond)
					for _, e := range cl.entries {
						cl.setGroupWithCapacities(e, capacities)
					}
					time.Sleep(6 * time.Second)
					for _, violation := range cl.sim.targets.Violations() {
						t.Error(violation)
					}
					cl.withLock(func() {
						if got := cl.outcomes[""]; got != 6 {
							t.Errorf("complete jobs: got %d of %v, want 6", got, cl.outcomes)
						}
					})
				})
			})
		}
	}
}

// setGroupWithCapacities passes an entry the group of all entries with the given
// capacities.
func (cl *cluster) setGroupWithCapacities(e *entry, capacities []int64) {
	g := medlargw.Group{Targets: cl.sim.targets.Targets()}
	for i, other := range cl.entries {
		p := other.peer
		p.Capacity = capacities[i]
		g.Entries = append(g.Entries, p)
	}
	e.conductor.SetGroup(g)
}
