package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"medlargw.example/medlargw"
)

// report reports an event of a task from the holder.
func (h *fixture) report(from medlargw.Peer, id medlargw.TaskID, event medlargw.TaskEvent) {
	h.c.HandleReport(h.now, &medlargw.Report{
		From:  medlargw.Member{Host: from.Host, Incarnation: from.Incarnation},
		Tasks: []medlargw.TaskReport{{Home: home, ID: id, Event: event, Target: "t"}},
	})
}

// TestLogOfSecondRuns guards against a task that is run twice while the log at
// level info of its home does not tell why it was offered again.
func TestLogOfSecondRuns(t *testing.T) {
	other := medlargw.Peer{Host: "other", Zone: "z", Incarnation: 3}
	refused := func(h *fixture, o *medlargw.OfferCommand) {
		h.c.HandleOfferReply(h.now, h.now, o, &medlargw.OfferReply{}, errLost)
		h.now = h.now.Add(50 * time.Millisecond)
		for _, o := range h.offers() {
			reply := medlargw.OfferReply{Incarnation: holder.Incarnation}
			for _, id := range o.Offer.Recalls {
				reply.States = append(reply.States, medlargw.OfferedState{ID: id, State: medlargw.OfferRefused})
			}
			h.c.HandleOfferReply(h.now, h.now, &o, &reply, nil)
		}
	}
	tests := []struct {
		name  string
		event func(h *fixture)
		want  []string // Messages, with the fields that tell the cases apart.
	}{
		{"calm", func(h *fixture) {
			id := h.submitStarted(1).Offer.Tasks[0].ID
			h.report(holder, id, medlargw.TaskSucceeded)
		}, []string{"job complete"}},
		{"refused offer", func(h *fixture) {
			h.c.Submit(h.now, job(1))
			o := h.offers()[0]
			h.answer(&o, medlargw.OfferRefused)
		}, nil},
		{"refused after a lost answer, and started", func(h *fixture) {
			h.c.Submit(h.now, job(1))
			o := h.offers()[0]
			refused(h, &o)
			h.report(holder, o.Offer.Tasks[0].ID, medlargw.TaskStarted)
		}, []string{
			"task returned after an unanswered offer task=a attempt=1 holder=h to=h answer=refused",
			"report on a former offer task=a attempt=1 holder=h to=h event=started",
		}},
		{"late offer", func(h *fixture) {
			h.c.Submit(h.now, job(1))
			o := h.offers()[0]
			h.answer(&o, medlargw.OfferExpired)
		}, []string{"task returned after an unanswered offer task=a attempt=1 holder=h to=h answer=expired"}},
		{"refused after a report of its start", func(h *fixture) {
			h.c.Submit(h.now, job(1))
			o := h.offers()[0]
			h.report(holder, o.Offer.Tasks[0].ID, medlargw.TaskStarted)
			h.answer(&o, medlargw.OfferRefused)
		}, []string{"task refused after its start task=a attempt=1 holder=h answer=refused"}},
		{"done after it was reported as stopped", func(h *fixture) {
			id := h.submitStarted(1).Offer.Tasks[0].ID
			h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder, other}})
			h.report(other, id, medlargw.TaskStopped)
			h.report(holder, id, medlargw.TaskSucceeded)
		}, []string{
			"task moved to another holder task=a attempt=1 holder=h to=other event=stopped",
			"attempt ended task=a attempt=1 holder=other event=stopped",
			"report on a former offer task=a attempt=2 holder=h to=h event=done",
		}},
		{"report of a holder that is not known", func(h *fixture) {
			id := h.submitStarted(1).Offer.Tasks[0].ID
			h.report(other, id, medlargw.TaskSucceeded)
		}, []string{
			"report from an unknown holder holder=other", "task moved to another holder task=a attempt=1 holder=h to=other event=done",
			"job complete",
		}},
		{"lost holder goes on", func(h *fixture) {
			id := h.submitStarted(1).Offer.Tasks[0].ID
			h.advance(3*time.Second, func() { h.offers() })
			h.report(holder, id, medlargw.TaskSucceeded)
		}, []string{
			"holder lost holder=h", "attempt counted as ended task=a attempt=1 holder=h reason=holder lost",
			"report on a former offer task=a attempt=2 holder=h to=h event=done",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core, records := observer.New(zapcore.InfoLevel)
			test.event(newLoggedFixture(t, zap.New(core)))
			var got []string
			for _, rec := range records.All() {
				fields := rec.ContextMap()
				line := rec.Message
				for _, name := range []string{"task", "attempt", "holder", "to", "answer", "event", "reason"} {
					if value, ok := fields[name]; ok && value != "" {
						line += fmt.Sprintf(" %s=%v", name, value)
					}
				}
				got = append(got, line)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("log:\n got %q\nwant %q", got, test.want)
			}
		})
	}
}
