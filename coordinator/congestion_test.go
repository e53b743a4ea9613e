package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/coordinator"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/pacer"
)

// TestUnansweredOfferIsRecalled checks that an offer without an answer is not
// sent again with its payload: a recall asks for the states of its tasks, after
// a pause, and until its answer the holder gets no further task.
func TestUnansweredOfferIsRecalled(t *testing.T) {
	tests := []struct {
		name       string
		state      medlargw.OfferState // Answer to the recall.
		wantOffers int                 // Of the task afterwards.
	}{
		{"not arrived", medlargw.OfferRefused, 1},
		{"started", medlargw.OfferStarted, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			h.c.Submit(h.now, job(1))
			first := h.offers()[0]
			id := first.Offer.Tasks[0].ID
			h.c.HandleOfferReply(h.now, h.now, &first, &medlargw.OfferReply{}, errLost)
			if all := h.offers(); len(all) != 0 {
				t.Fatalf("messages at once after the failure: got %v, want none", all)
			}
			h.now = h.now.Add(20 * time.Millisecond)
			h.c.Submit(h.now, job(1))
			all := h.offers()
			if len(all) != 1 || len(all[0].Offer.Tasks) != 0 || len(all[0].Offer.Recalls) != 1 || all[0].Offer.Recalls[0] != id {
				t.Fatalf("messages after the pause: got %+v, want one recall of task %d and no offer", all, id)
			}
			reply := medlargw.OfferReply{Incarnation: holder.Incarnation, Clock: time.Second, States: []medlargw.OfferedState{{ID: id, State: test.state}}}
			h.c.HandleOfferReply(h.now, h.now, &all[0], &reply, nil)
			h.c.Tick(h.now)
			got := 0
			for _, o := range h.offers() {
				got += len(o.Offer.Tasks)
			}
			if want := test.wantOffers + 1; got != want { // One more is the second job's.
				t.Errorf("offered tasks after the answer: got %d, want %d", got, want)
			}
		})
	}
}

// TestPauseGrowsWhileHolderIsSilent counts the messages to a holder that refuses
// all connections at once.
func TestPauseGrowsWhileHolderIsSilent(t *testing.T) {
	h := newFixture(t)
	h.c.Submit(h.now, job(2))
	messages, tasks := 0, 0
	h.advance(500*time.Millisecond, func() {
		for _, o := range h.offers() {
			messages++
			tasks += len(o.Offer.Tasks)
			h.c.HandleOfferReply(h.now, h.now, &o, &medlargw.OfferReply{}, errLost)
		}
	})
	if tasks != 2 {
		t.Errorf("tasks sent: got %d, want 2", tasks)
	}
	if messages > 8 {
		t.Errorf("messages in 500 ms: got %d, want at most 8", messages)
	}
}

// TestSilentHolderIsProbedAfterItsTasks checks that a holder which did not
// answer is used again after it answers, also if none of its tasks is left.
func TestSilentHolderIsProbedAfterItsTasks(t *testing.T) {
	h := newFixture(t)
	j := job(1)
	h.c.Submit(h.now, j)
	first := h.offers()[0]
	h.c.HandleOfferReply(h.now, h.now, &first, &medlargw.OfferReply{}, errLost)
	h.c.Cancel(h.now, j)
	h.advance(time.Second, func() {
		for _, o := range h.offers() {
			h.answer(&o, medlargw.OfferStarted)
		}
	})
	again := job(1)
	again.Arrived, again.Deadline = h.now, h.now.Add(5*time.Second)
	h.c.Submit(h.now, again)
	if all := h.offers(); len(all) != 1 || len(all[0].Offer.Tasks) != 1 {
		t.Errorf("offers after the holder answered: got %v, want one of 1 task", all)
	}
}

// newGroup returns a coordinator at the entry "self" with holders in the given
// zones, the first of which is the entry itself. Each has two free targets, the
// first of which has a thousandth fewer cores at each further holder.
func newGroup(zones ...medlargw.ZoneName) *coordinator.Coordinator {
	self := medlargw.Member{Host: "self", Zone: zones[0], Incarnation: 1}
	c := coordinator.New(zap.NewNop(), medlargw.LeaseSettings{Keep: 120 * time.Millisecond}, self, estimator.New(), pacer.New(0))
	var g medlargw.Group
	for i, zone := range zones {
		name := medlargw.HostName(fmt.Sprintf("h%03d", i))
		g.Entries = append(g.Entries, medlargw.Peer{Host: name, Zone: zone, Incarnation: medlargw.Incarnation(1 + i)})
	}
	c.SetGroup(start, g)
	for i := range zones {
		free := freeResources(1, 2)
		free.Pools[0].Free[0].Cores -= int64(i)
		c.SetFreeResources(start, medlargw.Incarnation(1+i), free)
	}
	return c
}

// TestWideJobUsesFewHolders checks where the tasks of a job go: to this entry's
// own targets first, which needs no message, then to as few holders of its zone
// as possible, and to other zones last.
func TestWideJobUsesFewHolders(t *testing.T) {
	tests := []struct {
		name  string
		tasks int
		want  []int // Tasks offered to each holder. Two fit on a target.
	}{
		{"fits at this entry", 4, []int{4, 0, 0, 0}},
		{"one more holder", 8, []int{4, 0, 4, 0}},
		{"whole zone", 12, []int{4, 4, 4, 0}},
		{"another zone", 14, []int{4, 4, 4, 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newGroup("z", "z", "z", "y")
			c.Submit(start, job(test.tasks))
			got := make([]int, len(test.want))
			for _, o := range c.TakeActions(start).Offers {
				got[o.To.Incarnation-1] += len(o.Offer.Tasks)
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("tasks by holder: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestProbesDoNotGrowWithTheGroup counts the probes for free resources while a
// task waits, in groups of different sizes, and at an entry that has no processor
// time left: there, probes must become rarer.
func TestProbesDoNotGrowWithTheGroup(t *testing.T) {
	const (
		span     = time.Second
		interval = 25 * time.Millisecond
		keep     = 120 * time.Millisecond // Of the keepalives to the holder of the task.
		perRound = 5
	)
	tests := []struct {
		entries int
		lag     time.Duration
	}{{6, 0}, {30, 0}, {150, 0}, {300, 0}, {30, 10 * time.Millisecond}, {30, 250 * time.Millisecond}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d entries, lag %v", test.entries, test.lag), func(t *testing.T) {
			zones := make([]medlargw.ZoneName, test.entries)
			for i := range zones {
				zones[i] = medlargw.ZoneName(fmt.Sprint("z", i%6))
			}
			c := newGroup(zones...)
			c.SetLag(test.lag)
			for i := range zones {
				c.SetFreeResources(start, medlargw.Incarnation(1+i), freeResources(2, 0))
			}
			j := job(1)
			j.SlackFactor = 20 // Waits longer than the test takes.
			j.Deadline = start.Add(time.Minute)
			c.Submit(start, j)
			probes := 0
			for now := start; now.Before(start.Add(span)); now = now.Add(interval) {
				c.Tick(now)
				for _, o := range c.TakeActions(now).Offers {
					reply := medlargw.OfferReply{Incarnation: o.To.Incarnation}
					for _, task := range o.Offer.Tasks {
						reply.States = append(reply.States, medlargw.OfferedState{ID: task.ID, State: medlargw.OfferQueued})
					}
					if len(reply.States) == 0 {
						probes++
					}
					c.HandleOfferReply(now, now, &o, &reply, nil)
				}
			}
			if want := perRound*int(span/max(interval, test.lag)) + int(span/keep); probes > want {
				t.Errorf("probes and keepalives in %v: got %d, want at most %d", span, probes, want)
			}
		})
	}
}

// TestCongestedRankIsRefused submits jobs of one rank while there is no
// capacity. The first one waits. Once it has waited for a tenth of its
// objective, further jobs of the same rank are refused at once, and more urgent
// ones are not.
func TestCongestedRankIsRefused(t *testing.T) {
	h := newFixture(t)
	busy := freeResources(2, 0)
	busy.Pools[0].Waiting = []medlargw.RankWork{{Rank: 0, Arriving: 64000 * 1000}} // As much as the holder can serve.
	h.c.SetFreeResources(h.now, holder.Incarnation, busy)
	refused := func() int {
		n := 0
		a := h.c.TakeActions(h.now)
		for _, f := range a.Finished {
			if got, want := f.Outcome.Code, medlargw.CodeOverloaded; got != want {
				t.Errorf("code: got %s, want %s", got, want)
			}
			if f.Outcome.RetryAfter <= 0 || !f.Outcome.NotRun() {
				t.Errorf("refusal: got %+v, want a retry delay and no task run", f.Outcome)
			}
			n++
		}
		for _, o := range a.Offers {
			h.answer(&o, medlargw.OfferQueued)
		}
		return n
	}
	arriving := func() *medlargw.Job {
		j := job(2)
		j.Arrived, j.Deadline = h.now, h.now.Add(5*time.Second)
		return j
	}
	h.c.Submit(h.now, arriving())
	if got := refused(); got != 0 {
		t.Errorf("refusals of the first job: got %d, want 0", got)
	}
	h.now = h.now.Add(200 * time.Millisecond) // A tenth of the objective of 1.5 s has passed.
	h.c.Submit(h.now, arriving())
	if got := refused(); got != 1 {
		t.Errorf("refusals while a job of the rank waits: got %d, want 1 at once", got)
	}
	urgent := arriving()
	urgent.Rank = -1
	h.c.Submit(h.now, urgent)
	if got := refused(); got != 0 {
		t.Errorf("refusals of a more urgent job: got %d, want 0", got)
	}
}
