package coordinator_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/coordinator"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/pacer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a coordinator with one holder, the entry "h".
type fixture struct {
	t   *testing.T
	c   *coordinator.Coordinator
	now time.Time
}

var (
	home   = medlargw.Peer{Host: "self", Zone: "z", Incarnation: 1}
	holder = medlargw.Peer{Host: "h", Zone: "z", Incarnation: 2}
)

func newFixture(t *testing.T) *fixture { return newLoggedFixture(t, zap.NewNop()) }

func newLoggedFixture(t *testing.T, log *zap.Logger) *fixture {
	return newLimitedFixture(t, log, 0)
}

// newLimitedFixture returns a fixture whose coordinator holds a number of tasks at most.
func newLimitedFixture(t *testing.T, log *zap.Logger, tasks int) *fixture {
	settings := medlargw.LeaseSettings{
		Lease: 800 * time.Millisecond, Stop: 50 * time.Millisecond, Keep: 120 * time.Millisecond, Silence: 500 * time.Millisecond,
		Lag: time.Second, Tasks: tasks,
	}
	self := medlargw.Member{Host: "self", Zone: "z", Incarnation: 1}
	h := &fixture{t: t, now: start, c: coordinator.New(log, settings, self, estimator.New(), pacer.New(0))}
	h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder}})
	h.c.SetFreeResources(h.now, holder.Incarnation, freeResources(1, 2))
	return h
}

// freeResources returns the free resources of a holder with the given number of
// free targets of 32 cores.
func freeResources(sequence uint64, free int) medlargw.HolderResources {
	p := medlargw.PoolResources{Pool: "pool", TotalCores: 64000}
	for range free {
		p.Free = append(p.Free, medlargw.Resources{Cores: 32000})
	}
	return medlargw.HolderResources{Sequence: sequence, Pools: []medlargw.PoolResources{p}}
}

func job(tasks int) *medlargw.Job {
	j := &medlargw.Job{
		RequestID: "k", Idempotent: true, Service: "s", Pool: "pool", MaxAttempts: 2, SlackFactor: 1.6, Grace: 60 * time.Millisecond,
		Resources: medlargw.Resources{Cores: 14000}, EstimatedRuntime: 900 * time.Millisecond, Arrived: start, Deadline: start.Add(5 * time.Second),
	}
	for i := range tasks {
		j.Tasks = append(j.Tasks, medlargw.Task{ID: string(rune('a' + i))})
	}
	return j
}

// offers returns the messages that are sent to the holder now.
func (h *fixture) offers() []medlargw.OfferCommand { return h.c.TakeActions(h.now).Offers }

// advance moves the clock forward in steps of one tick, and calls each after
// every tick.
func (h *fixture) advance(d time.Duration, each func()) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(20 * time.Millisecond)
		h.c.Tick(h.now)
		each()
	}
}

// submitStarted submits a job and answers its offer with all tasks started. It
// returns the offer.
func (h *fixture) submitStarted(tasks int) medlargw.OfferCommand {
	h.t.Helper()
	h.c.Submit(h.now, job(tasks))
	all := h.offers()
	if len(all) != 1 || len(all[0].Offer.Tasks) != tasks {
		h.t.Fatalf("offers: got %v, want one of %d tasks", all, tasks)
	}
	h.answer(&all[0], medlargw.OfferStarted)
	return all[0]
}

// answer answers an offer with one state for all of its tasks.
func (h *fixture) answer(o *medlargw.OfferCommand, state medlargw.OfferState) {
	reply := medlargw.OfferReply{Incarnation: o.To.Incarnation, Clock: h.now.Sub(start)}
	for i := range o.Offer.Tasks {
		reply.States = append(reply.States, medlargw.OfferedState{ID: o.Offer.Tasks[i].ID, State: state})
	}
	h.c.HandleOfferReply(h.now, h.now, o, &reply, nil)
}

// TestNoNewOfferWhileLostHolderRunsTask guards against a second run of a task:
// a holder that was considered lost answers again and continues the task, which
// must not be offered under a new ID.
func TestNoNewOfferWhileLostHolderRunsTask(t *testing.T) {
	h := newFixture(t)
	first := h.submitStarted(1)
	var last medlargw.OfferCommand
	h.advance(700*time.Millisecond, func() {
		for _, o := range h.offers() {
			last = o
		}
	})
	h.answer(&last, medlargw.OfferStarted)
	h.advance(3*time.Second, func() {
		for _, o := range h.offers() {
			for _, task := range o.Offer.Tasks {
				if got, want := task.ID, first.Offer.Tasks[0].ID; got != want {
					t.Fatalf("task offered after %v: got ID %d, want %d again", h.now.Sub(start), got, want)
				}
			}
			h.answer(&o, medlargw.OfferStarted)
		}
	})
}

// TestTaskOfEndedJobIsCancelled checks that a holder is told to stop a task
// that it reports as started after the job has ended.
func TestTaskOfEndedJobIsCancelled(t *testing.T) {
	h := newFixture(t)
	first := h.submitStarted(1)
	id := first.Offer.Tasks[0].ID
	report := medlargw.Report{
		From:  medlargw.Member{Host: "h", Incarnation: holder.Incarnation},
		Tasks: []medlargw.TaskReport{{Home: home, ID: id, Event: medlargw.TaskUnknown}},
	}
	h.c.HandleReport(h.now, &report)
	for _, o := range h.offers() {
		h.answer(&o, medlargw.OfferStarted)
	}
	report.Tasks[0].Event = medlargw.TaskStarted
	h.c.HandleReport(h.now, &report)
	all := h.offers()
	if len(all) != 1 || len(all[0].Offer.Cancels) != 1 || all[0].Offer.Cancels[0] != id {
		t.Errorf("offers after the start of a forgotten task: got %v, want a cancel of %d", all, id)
	}
}

// TestCancelReachesFormerHolder guards against a run that goes on after its job
// was given up: a holder whose transfer was not answered still holds the target
// when the new holder reports that it has taken over.
func TestCancelReachesFormerHolder(t *testing.T) {
	h := newFixture(t)
	successor := medlargw.Peer{Host: "successor", Zone: "z", Incarnation: 3}
	h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder, successor}})
	first := h.submitStarted(1)
	id := first.Offer.Tasks[0].ID
	h.c.HandleReport(h.now, &medlargw.Report{
		From:  medlargw.Member{Host: successor.Host, Incarnation: successor.Incarnation},
		Tasks: []medlargw.TaskReport{{Home: home, ID: id, Event: medlargw.TaskStarted}},
	})
	h.c.AbortAll(h.now, "the entry stood still")
	cancelled := map[medlargw.HostName]bool{}
	for _, o := range h.offers() {
		cancelled[o.To.Host] = slices.Contains(o.Offer.Cancels, id)
	}
	for _, p := range []medlargw.Peer{holder, successor} {
		if !cancelled[p.Host] {
			t.Errorf("cancel sent to %s: got none, want one", p.Host)
		}
	}
}

// TestStoppedByFormerHolder guards against a second run of a task: a former holder
// takes the run for stopped after another one has taken it over.
func TestStoppedByFormerHolder(t *testing.T) {
	h := newFixture(t)
	successor := medlargw.Peer{Host: "successor", Zone: "z", Incarnation: 3}
	h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder, successor}})
	id := h.submitStarted(1).Offer.Tasks[0].ID
	report := func(from medlargw.Peer, event medlargw.TaskEvent) {
		h.c.HandleReport(h.now, &medlargw.Report{
			From:  medlargw.Member{Host: from.Host, Incarnation: from.Incarnation},
			Tasks: []medlargw.TaskReport{{Home: home, ID: id, Event: event}},
		})
	}
	offered := func() int {
		n := 0
		for _, o := range h.offers() {
			n += len(o.Offer.Tasks)
		}
		return n
	}
	report(successor, medlargw.TaskStarted)
	report(holder, medlargw.TaskStopped)
	if got := offered(); got != 0 {
		t.Errorf("offers after the report of the former holder: got %d, want 0", got)
	}
	report(successor, medlargw.TaskStopped)
	if got := offered(); got != 1 {
		t.Errorf("offers after the report of the new holder: got %d, want 1", got)
	}
}

// TestReportOfUnknownHolder guards against a run that goes on after its job was given
// up: a new entry reports that it has taken over the run before the home has that
// entry in its group, and the cancel must reach it.
func TestReportOfUnknownHolder(t *testing.T) {
	h := newFixture(t)
	id := h.submitStarted(1).Offer.Tasks[0].ID
	h.c.HandleReport(h.now, &medlargw.Report{
		From:  medlargw.Member{Host: "new", Zone: "z", Incarnation: 9},
		Tasks: []medlargw.TaskReport{{Home: home, ID: id, Event: medlargw.TaskStarted}},
	})
	h.c.AbortAll(h.now, "the entry stood still")
	for _, o := range h.offers() {
		if o.To.Host == "new" && slices.Contains(o.Offer.Cancels, id) {
			return
		}
	}
	t.Error("cancels sent to the new entry: got none, want one")
}

// TestReportToFormerIncarnationIsIgnored guards against the end of a task by the
// report of another one: a report to the entry before its restart arrives after
// it, and both incarnations have numbered their tasks from 1.
func TestReportToFormerIncarnationIsIgnored(t *testing.T) {
	h := newFixture(t)
	first := h.submitStarted(1)
	former := home
	former.Incarnation = 99
	h.c.HandleReport(h.now, &medlargw.Report{
		From:  medlargw.Member{Host: holder.Host, Incarnation: holder.Incarnation},
		Tasks: []medlargw.TaskReport{{Home: former, ID: first.Offer.Tasks[0].ID, Event: medlargw.TaskSucceeded}},
	})
	if got := len(h.c.TakeActions(h.now).Finished); got != 0 {
		t.Errorf("finished jobs: got %d, want 0", got)
	}
}

// TestLostHolderOfJob checks that a task whose holder is lost is started again
// only if its job is idempotent: the run may have succeeded.
func TestLostHolderOfJob(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		offers     int // Of the second attempt, to the other holder.
		finished   int
	}{
		{"idempotent", true, 1, 0},
		{"not idempotent", false, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			j := job(1)
			j.Idempotent = test.idempotent
			h.c.Submit(h.now, j)
			h.answer(&h.offers()[0], medlargw.OfferStarted)
			other := medlargw.Peer{Host: "other", Zone: "z", Incarnation: 3}
			h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder, other}})
			h.c.SetFreeResources(h.now, other.Incarnation, freeResources(1, 1))
			offers, finished := 0, 0
			h.advance(3*time.Second, func() {
				a := h.c.TakeActions(h.now)
				finished += len(a.Finished)
				for _, o := range a.Offers {
					if o.To.Host == other.Host && len(o.Offer.Tasks) > 0 {
						offers++
						h.answer(&o, medlargw.OfferStarted)
					}
				}
			})
			if offers != test.offers || finished != test.finished {
				t.Errorf("after the loss of the holder: got %d offers and %d finished jobs, want %d and %d", offers, finished, test.offers, test.finished)
			}
		})
	}
}

// TestRefusalOnlyWhileNothingStarted checks that a job without capacity is
// reported as not run only if none of its tasks was started.
func TestRefusalOnlyWhileNothingStarted(t *testing.T) {
	tests := []struct {
		name   string
		states []medlargw.OfferState // States of the tasks in the first answer.
		notRun bool
	}{
		{"all refused", []medlargw.OfferState{medlargw.OfferRefused, medlargw.OfferRefused}, true},
		{"one started", []medlargw.OfferState{medlargw.OfferStarted, medlargw.OfferRefused}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			h.c.Submit(h.now, job(2))
			var finished *medlargw.FinishedJob
			first := true
			h.advance(6*time.Second, func() {
				a := h.c.TakeActions(h.now)
				for i := range a.Finished {
					finished = &a.Finished[i]
				}
				for _, o := range a.Offers {
					reply := medlargw.OfferReply{Incarnation: holder.Incarnation, Clock: h.now.Sub(start)}
					for i := range o.Offer.Tasks {
						state := medlargw.OfferRefused
						if first {
							state = test.states[i]
						}
						reply.States = append(reply.States, medlargw.OfferedState{ID: o.Offer.Tasks[i].ID, State: state})
					}
					first = false
					for _, id := range o.Offer.Recalls {
						reply.States = append(reply.States, medlargw.OfferedState{ID: id, State: medlargw.OfferRefused})
					}
					reply.FreeResources = freeResources(uint64(h.now.Sub(start)), 0)
					h.c.HandleOfferReply(h.now, h.now, &o, &reply, nil)
				}
			})
			if finished == nil {
				t.Fatal("got no outcome, want one")
			}
			if got := finished.Outcome.NotRun(); got != test.notRun {
				t.Errorf("reported as not run: got %v, want %v", got, test.notRun)
			}
		})
	}
}

var errLost = errors.New("no answer")

// TestStaleMemberViewKeepsHolder checks that a holder that answers is not
// treated as ended when this entry, after a network partition, sees a former
// incarnation of the holder's host in the list of members instead.
func TestStaleMemberViewKeepsHolder(t *testing.T) {
	h := newFixture(t)
	id := h.submitStarted(1).Offer.Tasks[0].ID
	former := holder
	former.Incarnation = 9
	former.Leaving = true
	h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{former}})
	h.advance(2*time.Second, func() {
		for _, o := range h.offers() {
			for _, task := range o.Offer.Tasks {
				if task.ID != id {
					t.Fatalf("after %v: got offer %d, want none but %d", h.now.Sub(start), task.ID, id)
				}
			}
			if o.To.Incarnation == holder.Incarnation {
				h.answer(&o, medlargw.OfferStarted)
			}
		}
		h.c.SetFreeResources(h.now, former.Incarnation, freeResources(uint64(h.now.Sub(start)), 2))
	})
}

// TestReturnedTaskGoesToAnotherHolder guards against a home that offers a task to
// its own entry for ever, without any time passing: the only free target there is
// one that the task avoids, and another entry reports free resources.
func TestReturnedTaskGoesToAnotherHolder(t *testing.T) {
	h := newFixture(t)
	h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{home, holder}})
	h.c.SetFreeResources(h.now, home.Incarnation, freeResources(1, 1))
	h.c.Submit(h.now, job(1))
	for sequence := range uint64(20) {
		for _, o := range h.offers() {
			if len(o.Offer.Tasks) > 0 && o.To.Host == holder.Host {
				return
			}
			reply := medlargw.OfferReply{Incarnation: o.To.Incarnation, FreeResources: freeResources(sequence+2, 1)}
			for i := range o.Offer.Tasks {
				state := medlargw.OfferRefused
				if o.Offer.Tasks[i].MayQueue {
					state = medlargw.OfferQueued
				}
				reply.States = append(reply.States, medlargw.OfferedState{ID: o.Offer.Tasks[i].ID, State: state})
			}
			for _, id := range o.Offer.Recalls {
				reply.States = append(reply.States, medlargw.OfferedState{ID: id, State: medlargw.OfferRefused})
			}
			h.c.HandleOfferReply(h.now, h.now, &o, &reply, nil)
		}
	}
	t.Error("offers to the other entry after 20 rounds at one time: got none, want one")
}
