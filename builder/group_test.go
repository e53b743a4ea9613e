package builder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/publisher"
)

// Seed and times of the fleet tests.
const (
	seed            = 5
	propagationTime = 19 * time.Second // Longest time until a publication is in force at every reachable entry.
	drainingGrace   = 5 * time.Second  // Time after which a draining target gets no more tasks.
	maxMessageDelay = time.Millisecond // Between entries.
)

// TestGroupFaults subjects a fleet under load to faults of hosts, zones and the
// platform. It checks the invariants, the share of failed jobs during the fault,
// and that no job fails after it.
func TestGroupFaults(t *testing.T) {
	tests := []struct {
		name      string
		zones     int
		entries   int
		fault     func(f *fleet)
		maxFailed int // Jobs sent during the fault that may fail, in percent.
	}{
		{"no fault", 2, 2, func(*fleet) { wait(10 * time.Second) }, 0},
		{"entry dies", 1, 3, killEntry, 2},
		{"two entries die at once", 1, 4, killTwoEntries, 4},
		{"entry paused and resumed", 1, 3, pauseEntry, 40},
		{"zone cut from zones", 2, 2, partitionZone(true, false), 0},
		{"zone cut from the platform", 2, 2, partitionZone(false, true), 0},
		{"zone cut from both", 2, 2, partitionZone(true, true), 0},
		{"one-way cut", 1, 3, cutOneWay, 0},
		{"messages lost, doubled, late and reordered", 2, 3, disturbMessages, 0},
		{"store flaps", 2, 2, flapStore, 0},
		{"store slow", 2, 2, slowStore, 0},
		{"target leaves", 2, 2, markTargetDraining(false), 0},
		{"target leaves, seen by one entry", 2, 2, markTargetDraining(true), 0},
		{"zone evacuated", 2, 2, evacuateZone(false), 0},
		{"zone evacuated, then the store away and an entry of the zone replaced", 2, 2, evacuateZone(true), 0},
		{"all entries of a zone replaced", 2, 3, replaceEntries, 0},
		{"a rack of targets goes", 1, 2, loseRack, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed)
				f.addZones(tt.zones, tt.entries)
				wait(20 * time.Second)
				f.checkConverged()
				for _, n := range f.nodes {
					n.startLoad()
				}
				wait(5 * time.Second)
				began := time.Now()
				tt.fault(f)
				healed := time.Now()
				wait(20 * time.Second)
				f.checkConverged()
				steady := time.Now()
				wait(10 * time.Second)
				f.finish()
				f.checkInvariants()
				failed, all := f.countFailures(began, healed)
				t.Logf("%d of %d jobs failed; %d starts, %d rejected attempts", failed, all, f.targetPool.totalStarts(), f.targetPool.rejected)
				if 100*failed > tt.maxFailed*all {
					t.Errorf("failed jobs: got %d of %d, want at most %d%%", failed, all, tt.maxFailed)
				}
				if failed, all := f.countFailures(steady, time.Now()); failed != 0 || all == 0 {
					t.Errorf("failed jobs after the fault: got %d of %d, want 0 of at least 1", failed, all)
				}
			})
		})
	}
}

// killEntry kills an entry and waits until it is suspect: for the longest
// silence, one round with its jitter, and the delay of its last message.
func killEntry(f *fleet) {
	f.nodes[1].kill()
	group := f.nodes[0].settings().Group
	wait(group.Suspect + group.Beat*11/10 + 2*maxMessageDelay)
	f.checkConverged()
}

func killTwoEntries(f *fleet) {
	f.nodes[1].kill()
	f.nodes[2].kill()
	wait(10 * time.Second)
}

// pauseEntry pauses an entry for longer than the term of any loan. The entry
// sends and receives nothing, and resumes with decisions made before the pause.
func pauseEntry(f *fleet) {
	n := f.nodes[1]
	resume := n.sender.pause()
	n.isolate(true)
	n.platformClient.disconnected.Store(true)
	wait(time.Minute)
	n.isolate(false)
	n.platformClient.disconnected.Store(false)
	resume()
}

func partitionZone(fromZones, fromPlatform bool) func(f *fleet) {
	return func(f *fleet) {
		nodes, addrs := f.zoneNodes("zone-0")
		_, others := f.zoneNodes("zone-1")
		f.net.SetPartitionBetween(addrs, others, fromZones)
		for _, n := range nodes {
			n.platformClient.disconnected.Store(fromPlatform)
		}
		wait(5 * time.Second)
		f.publishConfig(2)
		wait(40 * time.Second)
		f.net.SetPartitionBetween(addrs, others, false)
		for _, n := range nodes {
			n.platformClient.disconnected.Store(false)
		}
	}
}

func cutOneWay(f *fleet) {
	f.net.SetPartition(f.nodes[0].addr, f.nodes[1].addr, true)
	wait(time.Minute)
	f.net.SetPartition(f.nodes[0].addr, f.nodes[1].addr, false)
}

func disturbMessages(f *fleet) {
	f.net.SetLoss(0.1)
	f.net.SetDuplication(0.2)
	f.net.SetDelay(0, 100*time.Millisecond)
	wait(time.Minute)
	f.net.SetLoss(0)
	f.net.SetDuplication(0)
	f.net.SetDelay(0, maxMessageDelay)
}

func flapStore(f *fleet) {
	for range 10 {
		f.store.SetFaults(medlargw.StoreFaults{Outage: true})
		wait(3 * time.Second)
		f.store.SetFaults(medlargw.StoreFaults{})
		wait(time.Second)
	}
	f.publishConfig(3)
}

func slowStore(f *fleet) {
	f.store.SetFaults(medlargw.StoreFaults{Delay: 3 * time.Second})
	wait(time.Minute)
	f.store.SetFaults(medlargw.StoreFaults{})
	f.publishConfig(3)
}

// markTargetDraining lists a target as draining. If oneEntry is set, only an
// entry of the other zone reads the new list.
func markTargetDraining(oneEntry bool) func(f *fleet) {
	return func(f *fleet) {
		if oneEntry {
			for _, n := range f.nodes[:len(f.nodes)-1] {
				n.platformClient.disconnected.Store(true)
			}
			wait(10 * time.Second)
		}
		f.hosts.Targets[0].Draining = true
		f.publishHosts()
		f.targetPool.setStartDeadline(f.hosts.Targets[0].Name, drainingGrace)
		wait(20 * time.Second)
		for _, n := range f.nodes {
			n.platformClient.disconnected.Store(false)
		}
	}
}

// evacuateZone evacuates a zone and takes the request back. If storeAway is set,
// an entry of the zone is replaced during an outage of the store.
func evacuateZone(storeAway bool) func(f *fleet) {
	return func(f *fleet) {
		f.setEvacuated("zone-0", true, drainingGrace)
		wait(10 * time.Second)
		if storeAway {
			f.store.SetFaults(medlargw.StoreFaults{Outage: true})
			nodes, _ := f.zoneNodes("zone-0")
			replacement := f.addEntry("zone-0")
			nodes[1].kill()
			wait(5 * time.Second)
			replacement.start()
			wait(5 * time.Second)
			replacement.startLoad()
		}
		wait(20 * time.Second)
		f.store.SetFaults(medlargw.StoreFaults{})
		f.publishHosts()
		f.setEvacuated("zone-0", false, time.Hour)
	}
}

// setEvacuated evacuates a zone or takes that back, and sets the start deadlines
// of its targets.
func (f *fleet) setEvacuated(zone medlargw.ZoneName, evacuated bool, deadline time.Duration) {
	var err error
	if f.generation, err = publisher.New(f.store).Evacuate(context.Background(), zone, evacuated); err != nil {
		f.t.Fatalf("evacuate: %v", err)
	}
	for i := range f.hosts.Targets {
		if t := &f.hosts.Targets[i]; t.Zone == zone {
			f.targetPool.setStartDeadline(t.Name, deadline)
		}
	}
}

func replaceEntries(f *fleet) {
	old, _ := f.zoneNodes("zone-0")
	for _, n := range old {
		replacement := f.addEntry("zone-0")
		f.publishHosts()
		replacement.start()
		wait(5 * time.Second)
		replacement.startLoad()
		n.stop()
	}
}

// loseRack removes half of the targets; the host list omits them 10 s later.
func loseRack(f *fleet) {
	half := len(f.hosts.Targets) / 2
	for i := range f.hosts.Targets[:half] {
		f.targetPool.remove(f.hosts.Targets[i].Name)
	}
	wait(10 * time.Second)
	f.hosts.Targets = f.hosts.Targets[half:]
	f.publishHosts()
	wait(10 * time.Second)
}
