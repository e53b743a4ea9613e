package builder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

// TestStoreOutage adds an entry during an outage of the store that lasts an
// hour. The entry must get its configuration from a peer. The test also bounds
// the rate of calls to the store and checks that all entries receive what is
// published after the outage.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		f.addZones(2, 3)
		wait(20 * time.Second)
		f.store.SetFaults(medlargw.StoreFaults{Outage: true})
		before := f.store.Calls()
		wait(time.Minute)
		added := f.addEntry("zone-0")
		added.start()
		wait(5 * time.Second)
		f.checkConverged()
		wait(time.Hour)
		perSecond := float64(f.store.Calls()-before) / time.Hour.Seconds()
		t.Logf("%.2f calls a second to the store that is down, from %d entries", perSecond, len(f.nodes))
		if most := float64(len(f.nodes)); perSecond > most {
			t.Errorf("calls a second: got %.2f, want at most %.0f", perSecond, most)
		}
		f.store.SetFaults(medlargw.StoreFaults{})
		f.publishConfig(2)
		f.publishHosts()
		wait(propagationTime)
		f.checkConverged()
		f.finish()
	})
}

// TestStartWithoutStore starts all entries while the store is unreachable, and
// then reconnects one of them. The other must get the configuration from it.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		f.addEntry("zone-0")
		f.addEntry("zone-0")
		f.nodes[0].platformClient.disconnected.Store(true)
		f.nodes[1].platformClient.disconnected.Store(true)
		for _, n := range f.nodes {
			n.start()
		}
		wait(time.Minute)
		for _, n := range f.nodes {
			if got := n.generation(); got != 0 {
				t.Errorf("generation at %s: got %d, want none", n.name, got)
			}
			if got, want := n.members()[0].State, medlargw.MemberJoining; got != want {
				t.Errorf("state of %s: got %s, want %s", n.name, got, want)
			}
		}
		f.publishConfig(1)
		f.publishHosts()
		f.nodes[1].platformClient.disconnected.Store(false)
		wait(propagationTime)
		f.checkConverged()
		f.finish()
	})
}

// TestConfigurationPropagation publishes to a fleet with the design's number of
// zones and measures the time until all entries have the configuration in force.
func TestConfigurationPropagation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		f.addZones(9, 2)
		wait(time.Minute)
		f.checkConverged()
		began := time.Now()
		f.publishConfig(2)
		for !f.configInForce() && time.Since(began) < propagationTime {
			wait(10 * time.Millisecond)
		}
		t.Logf("in force at %d entries of 9 zones after %s", len(f.nodes), time.Since(began))
		f.checkConverged()
		f.finish()
	})
}

func (f *fleet) configInForce() bool {
	for _, n := range f.nodes {
		if n.generation() != f.generation {
			return false
		}
	}
	return true
}

// TestPlannedStopUnderFullLoad stops an entry whose queue is full and bounds the
// time that the stop takes.
func TestPlannedStopUnderFullLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		f.addZones(1, 2)
		wait(20 * time.Second)
		for range 60 {
			f.nodes[0].startLoad()
		}
		wait(3 * time.Second)
		began := time.Now()
		f.nodes[0].stop()
		took := time.Since(began)
		bound := 6*time.Second + jobDeadline
		t.Logf("the planned stop took %s", took)
		if took > bound {
			t.Errorf("planned stop: got %s, want at most %s", took, bound)
		}
		f.finish()
		f.checkInvariants()
		for i := range f.records {
			if got := f.records[i].outcome.Code; got == medlargw.CodeStopping || got == medlargw.CodeCancelled {
				t.Errorf("job sent %s after the stop began: got %s, want its own outcome",
					f.records[i].sent.Sub(began), got)
			}
		}
	})
}

// TestOlderHeadIsIgnored writes an earlier head into the store, as a restore
// from a backup does. No entry may return to the earlier configuration.
func TestOlderHeadIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		f.addZones(2, 2)
		wait(20 * time.Second)
		old, err := f.store.Get(t.Context(), converter.HeadKey)
		if err != nil {
			t.Fatalf("get head: %v", err)
		}
		f.publishConfig(2)
		wait(propagationTime)
		current, err := f.store.Get(t.Context(), converter.HeadKey)
		if err != nil {
			t.Fatalf("get head: %v", err)
		}
		if _, err := f.store.Put(t.Context(), converter.HeadKey, old.Value, current.Revision); err != nil {
			t.Fatalf("put head: %v", err)
		}
		wait(propagationTime)
		f.checkConverged()
		added := f.addEntry("zone-0")
		added.start()
		wait(propagationTime)
		f.checkConverged()
		f.finish()
	})
}
