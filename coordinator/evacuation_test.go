package coordinator_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// setEvacuated passes the coordinator its group with the evacuated zones and one
// target in each of the zones z and y.
func (h *fixture) setEvacuated(zones ...medlargw.ZoneName) {
	h.c.SetGroup(h.now, medlargw.Group{
		Entries: []medlargw.Peer{holder}, Evacuated: zones,
		Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool"}, {Name: "u", Zone: "y", Pool: "pool"}, {Name: "v", Zone: "x", Pool: "another"}},
	})
}

// TestJobsDuringEvacuation asserts that a job without any zone for its tasks is
// refused at once, and as not run, unless one of its tasks has started.
func TestJobsDuringEvacuation(t *testing.T) {
	tests := []struct {
		name    string
		before  medlargw.OfferState // Answer to the job's offer before the evacuation.
		zones   []medlargw.ZoneName
		refused bool
	}{
		{"a zone is left", medlargw.OfferQueued, []medlargw.ZoneName{"z"}, false},
		{"job waits", medlargw.OfferQueued, []medlargw.ZoneName{"z", "y"}, true},
		{"job has started", medlargw.OfferStarted, []medlargw.ZoneName{"z", "y"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			h.c.Submit(h.now, job(1))
			offers := h.offers()
			h.answer(&offers[0], test.before)
			h.setEvacuated(test.zones...)
			h.now = h.now.Add(20 * time.Millisecond)
			h.c.Tick(h.now)
			recalls := h.offers()
			if got := len(recalls) == 1 && len(recalls[0].Offer.Recalls) == 1; got != test.refused {
				t.Fatalf("recall: got %v, want %v", got, test.refused)
			}
			if !test.refused {
				return
			}
			recall := offers[0]
			h.answer(&recall, medlargw.OfferRefused)
			h.c.Submit(h.now, job(2))
			finished := h.c.TakeActions(h.now).Finished
			if len(finished) != 2 {
				t.Fatalf("ended jobs: got %d, want the one that waited and a new one", len(finished))
			}
			for i := range finished {
				if o := &finished[i].Outcome; o.Code != medlargw.CodeOverloaded || !o.NotRun() {
					t.Errorf("job %d: got code %s and not run %v, want %s and true", i, o.Code, o.NotRun(), medlargw.CodeOverloaded)
				}
			}
		})
	}
}
