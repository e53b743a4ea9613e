package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// TestTasksThatAHomeHolds guards against jobs that take all memory of their home, and against
// a crowd of them that keeps more urgent ones out.
func TestTasksThatAHomeHolds(t *testing.T) {
	const limit = 10
	type request struct {
		rank, tasks int
		starts      bool // Its tasks are started before the next request.
	}
	tests := []struct {
		name     string
		limit    int
		requests []request
		want     []bool // Whether the jobs are refused in the end.
	}{
		{"within the limit", limit, []request{{0, 5, false}, {0, 5, false}}, []bool{false, false}},
		{"no limit", 0, []request{{0, 50, false}, {0, 50, false}}, []bool{false, false}},
		{"over the limit", limit, []request{{0, 5, false}, {0, 6, false}, {0, 5, false}}, []bool{false, true, false}},
		{"more urgent", limit, []request{{1, 5, false}, {1, 5, false}, {0, 3, false}}, []bool{false, true, false}},
		{"least urgent first", limit, []request{{2, 5, false}, {1, 5, false}, {0, 5, false}}, []bool{true, false, false}},
		{"less urgent", limit, []request{{0, 5, false}, {0, 5, false}, {1, 1, false}}, []bool{false, false, true}},
		{"has started", limit, []request{{1, 10, true}, {0, 1, false}}, []bool{false, true}},
		{"not enough to withdraw", limit, []request{{0, 8, false}, {1, 2, false}, {0, 3, false}}, []bool{false, false, true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newLimitedFixture(t, zap.NewNop(), test.limit)
			refused := map[string]medlargw.RefusalReason{}
			take := func() []medlargw.OfferCommand {
				a := h.c.TakeActions(h.now)
				for _, f := range a.Finished {
					refused[f.Job.RequestID] = f.Refusal
					if !f.Outcome.NotRun() || f.Outcome.RetryAfter <= 0 {
						t.Errorf("job %s: got %+v, want a refusal with a time to return", f.Job.RequestID, f.Outcome)
					}
				}
				return a.Offers
			}
			// answer answers the offered tasks with a state, and returns those that are recalled.
			answer := func(offers []medlargw.OfferCommand, state medlargw.OfferState) {
				for _, o := range offers {
					reply := medlargw.OfferReply{Incarnation: o.To.Incarnation, Clock: h.now.Sub(start)}
					for _, task := range o.Offer.Tasks {
						reply.States = append(reply.States, medlargw.OfferedState{ID: task.ID, State: state})
					}
					for _, id := range o.Offer.Recalls {
						reply.States = append(reply.States, medlargw.OfferedState{ID: id, State: medlargw.OfferRefused})
					}
					h.c.HandleOfferReply(h.now, h.now, &o, &reply, nil)
				}
			}
			for i, r := range test.requests {
				m := job(r.tasks)
				m.RequestID, m.Rank = fmt.Sprint(i), r.rank
				m.Resources = medlargw.Resources{Cores: 100}
				h.c.Submit(h.now, m)
				state := medlargw.OfferQueued
				if r.starts {
					state = medlargw.OfferStarted
				}
				answer(take(), state)
			}
			h.advance(200*time.Millisecond, func() { answer(take(), medlargw.OfferQueued) })
			for i, want := range test.want {
				if got := refused[fmt.Sprint(i)] == medlargw.RefusalMemory; got != want {
					t.Errorf("job %d refused: got %v (%q), want %v", i, got, refused[fmt.Sprint(i)], want)
				}
			}
		})
	}
}
