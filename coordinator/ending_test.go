package coordinator_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/coordinator"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/pacer"
)

var successor = medlargw.Peer{Host: "successor", Zone: "z", Incarnation: 3}

// newResubmissionFixture returns a fixture with two holders and the usual settings.
func newResubmissionFixture(t *testing.T) *fixture {
	self := medlargw.Member{Host: "self", Zone: "z", Incarnation: 1}
	h := &fixture{t: t, now: start, c: coordinator.New(zap.NewNop(), medlargw.DefaultLeaseSettings(), self, estimator.New(), pacer.New(0))}
	h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder, successor}})
	h.c.SetFreeResources(h.now, holder.Incarnation, freeResources(1, 2))
	return h
}

// TestProofOfEndOfGivenUpJob guards against a run that goes on beside the next
// submission of its job: only what proves its end counts, from the holder that has it.
func TestProofOfEndOfGivenUpJob(t *testing.T) {
	tests := []struct {
		name   string
		events func(h *fixture, id medlargw.TaskID)
		want   bool // The job counts as ending still.
	}{
		{"nothing is known", func(*fixture, medlargw.TaskID) {}, true},
		{"run stopped", func(h *fixture, id medlargw.TaskID) { h.report(holder, id, medlargw.TaskStopped) }, false},
		{"run done", func(h *fixture, id medlargw.TaskID) { h.report(holder, id, medlargw.TaskSucceeded) }, false},
		{"start order not carried out", func(h *fixture, id medlargw.TaskID) { h.report(holder, id, medlargw.TaskReturned) }, false},
		{"may go on under another holder", func(h *fixture, id medlargw.TaskID) { h.report(holder, id, medlargw.TaskUnknown) }, true},
		{"cancel answered, run is being stopped", func(h *fixture, id medlargw.TaskID) { h.answerCancel(id, medlargw.OfferStarted) }, true},
		{"cancel answered, not started", func(h *fixture, id medlargw.TaskID) { h.answerCancel(id, medlargw.OfferRefused) }, false},
		{"stopped by a former holder", func(h *fixture, id medlargw.TaskID) {
			h.report(successor, id, medlargw.TaskStarted)
			h.report(holder, id, medlargw.TaskStopped)
		}, true},
		{"a former holder answers the cancel as not started", func(h *fixture, id medlargw.TaskID) {
			h.report(successor, id, medlargw.TaskStarted)
			h.answerCancel(id, medlargw.OfferRefused)
		}, true},
		{"cancel answered, offer came too late", func(h *fixture, id medlargw.TaskID) { h.answerCancel(id, medlargw.OfferExpired) }, false},
		{"handed back and stopped", func(h *fixture, id medlargw.TaskID) {
			h.report(successor, id, medlargw.TaskStarted)
			h.reportHandover(holder, id)
			h.report(holder, id, medlargw.TaskStopped)
		}, false},
		{"late report of the start, and stopped by that holder", func(h *fixture, id medlargw.TaskID) {
			h.report(successor, id, medlargw.TaskStarted)
			h.report(holder, id, medlargw.TaskStarted)
			h.report(holder, id, medlargw.TaskStopped)
		}, true},
		{"stopped by the new holder", func(h *fixture, id medlargw.TaskID) {
			h.report(successor, id, medlargw.TaskStarted)
			h.report(successor, id, medlargw.TaskStopped)
		}, false},
		{"all runs have ended by time", func(h *fixture, _ medlargw.TaskID) {
			h.advance(medlargw.DefaultLeaseSettings().Resubmit, func() {})
		}, false},
		{"the holder lives and has not reported the end", func(h *fixture, id medlargw.TaskID) {
			h.answerCancel(id, medlargw.OfferStarted)
			h.advance(3*time.Second, func() { h.c.HandleHeartbeat(h.now, holder.Incarnation, 0, nil) })
		}, true},
		{"the report of a holder that lives was lost", func(h *fixture, id medlargw.TaskID) {
			h.answerCancel(id, medlargw.OfferStarted)
			h.advance(15*time.Second, func() { h.c.HandleHeartbeat(h.now, holder.Incarnation, 0, nil) })
		}, false},
		{"the holder has not reported the end and is silent", func(h *fixture, id medlargw.TaskID) {
			h.answerCancel(id, medlargw.OfferStarted)
			h.advance(1800*time.Millisecond, func() {
				if h.now.Sub(start) < time.Second {
					h.c.HandleHeartbeat(h.now, holder.Incarnation, 0, nil)
				}
			})
		}, false},
		{"the holder lives and has lost the target before the cancel", func(h *fixture, id medlargw.TaskID) {
			h.report(holder, id, medlargw.TaskUnknown)
			h.answerCancel(id, medlargw.OfferStarted)
			h.advance(medlargw.DefaultLeaseSettings().Resubmit, func() { h.c.HandleHeartbeat(h.now, holder.Incarnation, 0, nil) })
		}, false},
		{"the holder lives and has lost the target", func(h *fixture, id medlargw.TaskID) {
			h.answerCancel(id, medlargw.OfferStarted)
			h.report(holder, id, medlargw.TaskUnknown)
			h.advance(medlargw.DefaultLeaseSettings().Resubmit, func() { h.c.HandleHeartbeat(h.now, holder.Incarnation, 0, nil) })
		}, false},
		{"some runs may not have ended yet", func(h *fixture, _ medlargw.TaskID) {
			h.advance(medlargw.DefaultLeaseSettings().Resubmit-100*time.Millisecond, func() {})
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newResubmissionFixture(t)
			m := job(1)
			h.c.Submit(h.now, m)
			o := h.offers()[0]
			h.answer(&o, medlargw.OfferStarted)
			h.c.Cancel(h.now, m)
			test.events(h, o.Offer.Tasks[0].ID)
			if got := h.c.EndingJobs() > 0; got != test.want {
				t.Errorf("job is ending: got %v, want %v", got, test.want)
			}
		})
	}
}

// reportHandover reports that a holder has taken the run of a task over.
func (h *fixture) reportHandover(from medlargw.Peer, id medlargw.TaskID) {
	h.c.HandleReport(h.now, &medlargw.Report{
		From:  medlargw.Member{Host: from.Host, Incarnation: from.Incarnation},
		Tasks: []medlargw.TaskReport{{Home: home, ID: id, Event: medlargw.TaskStarted, Reason: medlargw.ReasonHandedOver}},
	})
}

// answerCancel answers the cancel of a task.
func (h *fixture) answerCancel(id medlargw.TaskID, state medlargw.OfferState) {
	for _, o := range h.offers() {
		if len(o.Offer.Cancels) > 0 && o.To.Incarnation == holder.Incarnation {
			reply := medlargw.OfferReply{Incarnation: o.To.Incarnation, States: []medlargw.OfferedState{{ID: id, State: state}}}
			h.c.HandleOfferReply(h.now, h.now, &o, &reply, nil)
		}
	}
}

// TestResubmissionWithoutTimeIsNotReportedAsNotRun guards against an untrue refusal: the
// runs of a job's former submission may go on, and there is no time to wait for their
// ends.
func TestResubmissionWithoutTimeIsNotReportedAsNotRun(t *testing.T) {
	h := newResubmissionFixture(t)
	first, second := job(1), job(1)
	second.Deadline = start.Add(time.Second)
	h.c.Submit(h.now, first)
	o := h.offers()[0]
	h.answer(&o, medlargw.OfferStarted)
	h.c.Cancel(h.now, first)
	h.c.TakeActions(h.now)
	h.c.Submit(h.now, second)
	var got []medlargw.FinishedJob
	h.advance(200*time.Millisecond, func() {
		a := h.c.TakeActions(h.now)
		for i := range a.Offers {
			if n := len(a.Offers[i].Offer.Tasks); n > 0 {
				t.Errorf("tasks offered beside the former runs: got %d, want none", n)
			}
		}
		got = append(got, a.Finished...)
	})
	if len(got) != 1 || got[0].Job != second || got[0].Outcome.NotRun() {
		t.Errorf("outcomes: got %+v, want one of tasks that may have run", got)
	}
}

// TestHeldJobAsksNobody guards against messages to all holders in turn for as long as a
// job waits for the ends of its former runs.
func TestHeldJobAsksNobody(t *testing.T) {
	h := newResubmissionFixture(t)
	first := job(1)
	h.c.Submit(h.now, first)
	o := h.offers()[0]
	h.answer(&o, medlargw.OfferStarted)
	id := o.Offer.Tasks[0].ID
	h.c.Cancel(h.now, first)
	h.answerCancel(id, medlargw.OfferStarted)
	h.c.Submit(h.now, job(1))
	h.advance(time.Second, func() {
		h.c.HandleHeartbeat(h.now, holder.Incarnation, 0, nil)
		if got := len(h.offers()); got > 0 || h.c.AnyWaiting() {
			t.Fatalf("messages while the job is held: got %d, tasks wait %v, want none", got, h.c.AnyWaiting())
		}
	})
	h.report(holder, id, medlargw.TaskStopped)
	if got := h.offers(); len(got) != 1 || len(got[0].Offer.Tasks) != 1 {
		t.Errorf("messages after the end of the former run: got %v, want an offer", got)
	}
	if h.c.AnyWaiting() {
		t.Error("tasks wait after the offer: got some, want none")
	}
}
