package holder_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// setCores puts the target into the host list with new resources and a start of its
// incarnation.
func (x *fixture) setCores(cores int64, born time.Time) {
	x.h.SetGroup(x.now, medlargw.Group{
		Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}},
		Targets: []medlargw.Target{{
			Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: cores, Memory: 1000}, IncarnationStart: born,
		}},
	})
}

// TestTargetThatIsResized guards against starts over the resources of a target that has
// shrunk while runs go on there, those that are being stopped included, and against room
// that is not used after it has grown again.
func TestTargetThatIsResized(t *testing.T) {
	type step struct {
		cores int64               // The host list shows so many; negative changes nothing.
		stop  medlargw.TaskID     // This task is cancelled; zero is none.
		offer int64               // A task that takes so many cores is offered.
		want  medlargw.OfferState // Of the offered task.
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"shrinks below its runs", []step{{-1, 0, 20000, medlargw.OfferStarted}, {16000, 0, 4000, medlargw.OfferRefused}}},
		{"shrinks, room is left", []step{{-1, 0, 8000, medlargw.OfferStarted}, {16000, 0, 8000, medlargw.OfferStarted}, {-1, 0, 1, medlargw.OfferRefused}}},
		{"shrinks to nothing", []step{{0, 0, 1, medlargw.OfferRefused}}},
		{"grows again", []step{
			{-1, 0, 20000, medlargw.OfferStarted},
			{16000, 0, 4000, medlargw.OfferRefused},
			{32000, 0, 12000, medlargw.OfferStarted},
			{-1, 0, 1, medlargw.OfferRefused},
		}},
		{"grows beyond what it had", []step{{-1, 0, 32000, medlargw.OfferStarted}, {48000, 0, 16000, medlargw.OfferStarted}}},
		{"shrinks while a run is being stopped", []step{{-1, 0, 20000, medlargw.OfferStarted}, {24000, 1, 8000, medlargw.OfferRefused}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			for i, s := range test.steps {
				if s.cores >= 0 {
					x.setCores(s.cores, time.Time{})
				}
				if s.stop != 0 {
					x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Cancels: []medlargw.TaskID{s.stop}})
				}
				if got, _ := x.offer(medlargw.TaskID(i+1), s.offer); got != s.want {
					t.Errorf("step %d, a task of %d: got %v, want %v", i+1, s.offer, got, s.want)
				}
			}
		})
	}
}

// TestSizeOfNewIncarnation guards against starts by the resources of a target's former
// incarnation: one that starts again under its name may be smaller, and is not used
// before the host list shows it.
func TestSizeOfNewIncarnation(t *testing.T) {
	x := newFixture(t)
	x.setCores(32000, start)
	reborn := start.Add(2 * time.Second)
	x.report(medlargw.RunReport{Clock: 10 * time.Millisecond, IncarnationStart: reborn})
	if got, _ := x.offer(1, 20000); got != medlargw.OfferRefused {
		t.Errorf("before the list shows the new incarnation: got %v, want %v", got, medlargw.OfferRefused)
	}
	x.setCores(16000, reborn)
	if got, _ := x.offer(2, 20000); got != medlargw.OfferRefused {
		t.Errorf("more than it has now: got %v, want %v", got, medlargw.OfferRefused)
	}
	if got, _ := x.offer(3, 16000); got != medlargw.OfferStarted {
		t.Errorf("all that it has now: got %v, want %v", got, medlargw.OfferStarted)
	}
}
