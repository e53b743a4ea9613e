package builder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
)

// Times of the fault rows.
const (
	seed        = 5
	inForce     = 19 * time.Second // Within which a configuration is in force.
	leavingTime = 5 * time.Second  // After which a leaving target gets nothing.
)

// TestGroupFaults runs a fleet under load through the faults of hosts, zones
// and the platform, and counts at the targets what must always hold.
func TestGroupFaults(t *testing.T) {
	tests := []struct {
		name    string
		zones   int
		entries int
		fault   func(f *fleet)
		failing int // Jobs sent during the fault that may fail, in percent.
	}{
		{"no fault", 2, 2, func(*fleet) { pass(10 * time.Second) }, 0},
		{"entry dies", 1, 3, entryDies, 2},
		{"two entries die at once", 1, 4, twoDie, 4},
		{"entry paused and woken", 1, 3, entryPaused, 40},
		{"zone cut from zones", 2, 2, zoneCut(true, false), 0},
		{"zone cut from the platform", 2, 2, zoneCut(false, true), 0},
		{"zone cut from both", 2, 2, zoneCut(true, true), 0},
		{"one-way cut", 1, 3, oneWay, 0},
		{"messages lost, doubled, late and reordered", 2, 3, noise, 0},
		{"store flaps", 2, 2, flapping, 0},
		{"store slow", 2, 2, slow, 0},
		{"target leaves", 2, 2, targetLeaves(false), 0},
		{"target leaves, seen by one entry", 2, 2, targetLeaves(true), 0},
		{"all entries of a zone replaced", 2, 3, replaced, 0},
		{"a rack of targets goes", 1, 2, rackGoes, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed)
				f.grow(tt.zones, tt.entries)
				pass(20 * time.Second)
				f.converged()
				for _, n := range f.nodes {
					n.load()
				}
				pass(5 * time.Second)
				began := time.Now()
				tt.fault(f)
				healed := time.Now()
				pass(20 * time.Second)
				f.converged()
				steady := time.Now()
				pass(10 * time.Second)
				f.finish()
				f.check()
				failed, all := f.failures(began, healed)
				t.Logf("%d of %d jobs failed; %d starts, %d wasted", failed, all, f.bench.total(), f.bench.wasted)
				if 100*failed > tt.failing*all {
					t.Errorf("failed jobs: got %d of %d, want at most %d%%", failed, all, tt.failing)
				}
				if failed, all := f.failures(steady, time.Now()); failed != 0 || all == 0 {
					t.Errorf("failed jobs after the fault: got %d of %d, want 0 of more than none", failed, all)
				}
			})
		})
	}
}

func entryDies(f *fleet) {
	f.nodes[1].kill()
	pass(4 * time.Second)
	f.converged()
}

func twoDie(f *fleet) {
	f.nodes[1].kill()
	f.nodes[2].kill()
	pass(10 * time.Second)
}

// entryPaused holds an entry for longer than any term: it sends and hears
// nothing, and goes on with what it had decided before.
func entryPaused(f *fleet) {
	n := f.nodes[1]
	wake := n.sender.pause()
	n.isolate(true)
	n.platform.cut.Store(true)
	pass(time.Minute)
	n.isolate(false)
	n.platform.cut.Store(false)
	wake()
}

func zoneCut(fromZones, fromPlatform bool) func(f *fleet) {
	return func(f *fleet) {
		nodes, addrs := f.zone("zone-0")
		_, others := f.zone("zone-1")
		f.net.CutBoth(addrs, others, fromZones)
		for _, n := range nodes {
			n.platform.cut.Store(fromPlatform)
		}
		pass(5 * time.Second)
		f.publish(2)
		pass(40 * time.Second)
		f.net.CutBoth(addrs, others, false)
		for _, n := range nodes {
			n.platform.cut.Store(false)
		}
	}
}

func oneWay(f *fleet) {
	f.net.Cut(f.nodes[0].addr, f.nodes[1].addr, true)
	pass(time.Minute)
	f.net.Cut(f.nodes[0].addr, f.nodes[1].addr, false)
}

func noise(f *fleet) {
	f.net.SetLoss(0.1)
	f.net.SetDouble(0.2)
	f.net.SetDelay(0, 100*time.Millisecond)
	pass(time.Minute)
	f.net.SetLoss(0)
	f.net.SetDouble(0)
	f.net.SetDelay(0, time.Millisecond)
}

func flapping(f *fleet) {
	for range 10 {
		f.store.SetFaults(medlargw.StoreFaults{Outage: true})
		pass(3 * time.Second)
		f.store.SetFaults(medlargw.StoreFaults{})
		pass(time.Second)
	}
	f.publish(3)
}

func slow(f *fleet) {
	f.store.SetFaults(medlargw.StoreFaults{Slow: 3 * time.Second})
	pass(time.Minute)
	f.store.SetFaults(medlargw.StoreFaults{})
	f.publish(3)
}

// targetLeaves lists a target as leaving. When one entry alone sees the list,
// it is one of the other zone.
func targetLeaves(alone bool) func(f *fleet) {
	return func(f *fleet) {
		if alone {
			for _, n := range f.nodes[:len(f.nodes)-1] {
				n.platform.cut.Store(true)
			}
			pass(10 * time.Second)
		}
		f.hosts.Targets[0].Leaving = true
		f.list()
		f.bench.closeAfter(f.hosts.Targets[0].Name, leavingTime)
		pass(20 * time.Second)
		for _, n := range f.nodes {
			n.platform.cut.Store(false)
		}
	}
}

func replaced(f *fleet) {
	old, _ := f.zone("zone-0")
	for _, n := range old {
		fresh := f.add("zone-0")
		f.list()
		fresh.start()
		pass(5 * time.Second)
		fresh.load()
		n.stop()
	}
}

// rackGoes ends half of the targets; the list says so later.
func rackGoes(f *fleet) {
	half := len(f.hosts.Targets) / 2
	for i := range f.hosts.Targets[:half] {
		f.bench.remove(f.hosts.Targets[i].Name)
	}
	pass(10 * time.Second)
	f.hosts.Targets = f.hosts.Targets[half:]
	f.list()
	pass(10 * time.Second)
}
