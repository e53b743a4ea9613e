package builder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

// TestStoreOutage has an outage of an hour, in which a host is added, and one
// in which a whole deployment starts.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		f.grow(2, 3)
		pass(20 * time.Second)
		f.store.SetFaults(medlargw.StoreFaults{Outage: true})
		before := f.store.Calls()
		pass(time.Minute)
		added := f.add("zone-0")
		added.start()
		pass(5 * time.Second)
		f.converged()
		pass(time.Hour)
		perSecond := float64(f.store.Calls()-before) / time.Hour.Seconds()
		t.Logf("%.2f calls a second to the store that is down, from %d entries", perSecond, len(f.nodes))
		if most := float64(len(f.nodes)); perSecond > most {
			t.Errorf("calls a second: got %.2f, want at most %.0f", perSecond, most)
		}
		f.store.SetFaults(medlargw.StoreFaults{})
		f.publish(2)
		f.list()
		pass(inForce)
		f.converged()
		f.finish()
	})
}

func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		f.add("zone-0")
		f.add("zone-0")
		f.nodes[0].platform.cut.Store(true)
		f.nodes[1].platform.cut.Store(true)
		for _, n := range f.nodes {
			n.start()
		}
		pass(time.Minute)
		for _, n := range f.nodes {
			if got := n.generation(); got != 0 {
				t.Errorf("generation at %s: got %d, want none", n.name, got)
			}
			if got, want := n.members()[0].State, medlargw.MemberJoining; got != want {
				t.Errorf("state of %s: got %s, want %s", n.name, got, want)
			}
		}
		f.publish(1)
		f.list()
		f.nodes[1].platform.cut.Store(false)
		pass(inForce)
		f.converged()
		f.finish()
	})
}

// TestConfigurationInForce publishes to a fleet of the design's zones and takes
// the time until all entries have it.
func TestConfigurationInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		f.grow(9, 2)
		pass(time.Minute)
		f.converged()
		began := time.Now()
		f.publish(2)
		for !f.inForce() && time.Since(began) < inForce {
			pass(10 * time.Millisecond)
		}
		t.Logf("in force at %d entries of 9 zones after %s", len(f.nodes), time.Since(began))
		f.converged()
		f.finish()
	})
}

func (f *fleet) inForce() bool {
	for _, n := range f.nodes {
		if n.generation() != f.generation {
			return false
		}
	}
	return true
}

// TestPlannedStopUnderFullLoad stops an entry whose queue is full and takes the
// time until it has ended.
func TestPlannedStopUnderFullLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		f.grow(1, 2)
		pass(20 * time.Second)
		for range 60 {
			f.nodes[0].load()
		}
		pass(3 * time.Second)
		began := time.Now()
		f.nodes[0].stop()
		took := time.Since(began)
		bound := 6*time.Second + jobDeadline
		t.Logf("the planned stop took %s", took)
		if took > bound {
			t.Errorf("planned stop: got %s, want at most %s", took, bound)
		}
		f.finish()
		f.check()
		for i := range f.records {
			if got := f.records[i].outcome.Code; got == medlargw.CodeStopping || got == medlargw.CodeCancelled {
				t.Errorf("job that was sent %s after the stop began: got %s, want its own end",
					f.records[i].sent.Sub(began), got)
			}
		}
	})
}

// TestHeadNeverGoesBack writes an earlier head into the store, as a store does
// that comes back from a backup.
func TestHeadNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		f.grow(2, 2)
		pass(20 * time.Second)
		old, err := f.store.Get(t.Context(), converter.HeadKey)
		if err != nil {
			t.Fatalf("get head: %v", err)
		}
		f.publish(2)
		pass(inForce)
		now, err := f.store.Get(t.Context(), converter.HeadKey)
		if err != nil {
			t.Fatalf("get head: %v", err)
		}
		if _, err := f.store.Put(t.Context(), converter.HeadKey, old.Value, now.Revision); err != nil {
			t.Fatalf("put head: %v", err)
		}
		pass(inForce)
		f.converged()
		added := f.add("zone-0")
		added.start()
		pass(inForce)
		f.converged()
		f.finish()
	})
}
