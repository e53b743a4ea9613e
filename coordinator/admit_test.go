package coordinator_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestUnansweredOfferIsNoCongestion answers slow links and processors: a job that
// has waited only for the answer to its offer does not tell that resources lack.
func TestUnansweredOfferIsNoCongestion(t *testing.T) {
	tests := []struct {
		name   string
		answer time.Duration // When the offer is answered: queued; zero is never.
		want   int           // Jobs that are not refused.
	}{
		{"offer in flight", 0, 2},
		{"offer answered at once", time.Millisecond, 1},
		{"offer answered late", 100 * time.Millisecond, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			busy := freeResources(2, 0)
			busy.Pools[0].Waiting = []medlargw.RankWork{{Rank: 0, Work: 64000 * 50, Arriving: 64000 * 1000}}
			h.c.SetFreeResources(h.now, holder.Incarnation, busy)
			h.c.Submit(h.now, job(1))
			all := h.offers()
			if len(all) != 1 || len(all[0].Offer.Tasks) != 1 {
				t.Fatalf("offers: got %+v, want one of one task", all)
			}
			if test.answer > 0 {
				h.now = h.now.Add(test.answer)
				h.answer(&all[0], medlargw.OfferQueued)
				busy.Sequence++
				h.c.SetFreeResources(h.now, holder.Incarnation, busy)
			}
			h.now = start.Add(160 * time.Millisecond)
			next := job(1)
			next.Arrived, next.Deadline = h.now, h.now.Add(5*time.Second)
			h.c.Submit(h.now, next)
			if got := h.c.JobCount(); got != test.want {
				t.Errorf("admitted jobs: got %d, want %d", got, test.want)
			}
		})
	}
}
