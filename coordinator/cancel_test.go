package coordinator_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestEachMessageBringsCancels guards against a run that goes on after its caller has
// submitted the job again: the message that cancels it is lost, while others keep its
// home alive for the holder.
func TestEachMessageBringsCancels(t *testing.T) {
	h := newFixture(t)
	given, kept := job(1), job(1)
	kept.RequestID = "kept"
	h.c.Submit(h.now, given)
	h.c.Submit(h.now, kept)
	all := h.offers()
	h.answer(&all[0], medlargw.OfferStarted)
	id := all[0].Offer.Tasks[0].ID
	h.now = h.now.Add(200 * time.Millisecond)
	before := h.offers() // Was sent before, and its answer comes after the cancel.
	h.c.Cancel(h.now, given)
	h.offers() // Is lost, which is not known yet.
	if len(before) != 1 {
		t.Fatalf("keepalives: got %v, want one", before)
	}
	h.answer(&before[0], medlargw.OfferStarted)
	var last *medlargw.OfferCommand
	h.advance(130*time.Millisecond, func() {
		for _, o := range h.offers() {
			last = &o
		}
	})
	if last == nil || !slices.Equal(last.Offer.Cancels, []medlargw.TaskID{id}) {
		t.Fatalf("next message: got %+v, want one that cancels task %d", last, id)
	}
	h.answer(last, medlargw.OfferStarted)
	h.advance(130*time.Millisecond, func() {
		for _, o := range h.offers() {
			if len(o.Offer.Cancels) > 0 {
				t.Errorf("cancels after an answer: got %v, want none", o.Offer.Cancels)
			}
		}
	})
}

// TestCancelBesideOlderOnes guards against a cancel that is not sent again because the
// holder has not answered others for a while: it comes with messages that are hardly
// longer apart than keepalives, for 1.8 s.
func TestCancelBesideOlderOnes(t *testing.T) {
	h := newFixture(t)
	first, second := job(1), job(1)
	second.RequestID = "second"
	h.c.Submit(h.now, first)
	h.c.Submit(h.now, second)
	all := h.offers()
	h.answer(&all[0], medlargw.OfferStarted)
	id := all[0].Offer.Tasks[1].ID
	h.c.Cancel(h.now, first)
	begin := h.now
	var cancelled bool
	var sent time.Time
	h.advance(3700*time.Millisecond, func() {
		// Another entry hears the holder, so that it does not count as lost.
		h.c.HandleHeartbeat(h.now, holder.Incarnation, 0, nil)
		if !cancelled && h.now.Sub(begin) >= 1900*time.Millisecond {
			cancelled, sent = true, h.now
			h.c.Cancel(h.now, second)
		}
		for _, o := range h.offers() {
			if slices.Contains(o.Offer.Cancels, id) {
				sent = h.now
			}
			h.c.HandleOfferReply(h.now, h.now, &o, &medlargw.OfferReply{}, errors.New("no answer"))
		}
		if cancelled && h.now.Sub(sent) > 140*time.Millisecond {
			t.Fatalf("%v: got no cancel of task %d for %v, want one", h.now.Sub(begin), id, h.now.Sub(sent))
		}
	})
}

// TestHomeAsksForRunThatWasTakenOver guards against the end of a run that was handed
// over: its new holder renews the lease once the home shows that it knows.
func TestHomeAsksForRunThatWasTakenOver(t *testing.T) {
	h := newFixture(t)
	next := medlargw.Peer{Host: "next", Zone: "z", Incarnation: 3}
	h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder, next}})
	id := h.submitStarted(1).Offer.Tasks[0].ID
	h.c.HandleReport(h.now, &medlargw.Report{
		From:  medlargw.Member{Host: "next", Incarnation: next.Incarnation},
		Tasks: []medlargw.TaskReport{{Home: home, ID: id, Event: medlargw.TaskStarted}},
	})
	for _, o := range h.offers() {
		if o.To.Incarnation == next.Incarnation && slices.Contains(o.Offer.Recalls, id) {
			h.answer(&o, medlargw.OfferStarted)
			return
		}
	}
	t.Error("messages to the new holder: got none that asks for the run, want one")
}

// TestCancelIsSentAgain checks that the cancel of a task whose job has ended is
// resent until a message to its holder is answered, also if messages were lost
// earlier.
func TestCancelIsSentAgain(t *testing.T) {
	h := newFixture(t)
	lose := func(o *medlargw.OfferCommand) { h.c.HandleOfferReply(h.now, h.now, o, &medlargw.OfferReply{}, errLost) }
	cancel := func() medlargw.TaskID {
		first := h.submitStarted(1)
		id := first.Offer.Tasks[0].ID
		h.c.HandleReport(h.now, &medlargw.Report{
			From:  medlargw.Member{Host: "h", Incarnation: holder.Incarnation},
			Tasks: []medlargw.TaskReport{{Home: home, ID: id, Event: medlargw.TaskUnknown}},
		})
		return id
	}
	sent := func() []medlargw.TaskID {
		h.now = h.now.Add(120 * time.Millisecond) // The longest pause after a lost message.
		for _, o := range h.offers() {
			if len(o.Offer.Cancels) > 0 {
				lose(&o)
				return o.Offer.Cancels
			}
		}
		return nil
	}
	cancel()
	if got := sent(); len(got) != 1 {
		t.Fatalf("cancels: got %v, want one", got)
	}
	// The next message is answered and lists no task.
	h.now = h.now.Add(120 * time.Millisecond)
	for _, o := range h.offers() {
		h.answer(&o, medlargw.OfferStarted)
	}
	h.now = h.now.Add(3 * time.Second)
	id := cancel()
	for range 3 {
		if got := sent(); len(got) != 1 || got[0] != id {
			t.Fatalf("cancels after a lost message: got %v, want %d again", got, id)
		}
	}
}

// TestRecoveredHolderGetsCancels checks that a lost holder that answers again
// is told to stop the tasks of jobs that were aborted in the meantime.
func TestRecoveredHolderGetsCancels(t *testing.T) {
	h := newFixture(t)
	first := h.submitStarted(1)
	var last medlargw.OfferCommand
	h.advance(700*time.Millisecond, func() {
		for _, o := range h.offers() {
			last = o
		}
	})
	h.c.HandleReport(h.now, &medlargw.Report{ // A late report aborts the job.
		From:  medlargw.Member{Host: "h", Incarnation: holder.Incarnation},
		Tasks: []medlargw.TaskReport{{Home: home, ID: first.Offer.Tasks[0].ID, Event: medlargw.TaskUnknown}},
	})
	h.answer(&last, medlargw.OfferStarted)
	for _, o := range h.offers() {
		for _, id := range o.Offer.Cancels {
			if id == first.Offer.Tasks[0].ID {
				return
			}
		}
	}
	t.Error("cancels to a holder that answers again: got none, want one of the task whose job was aborted")
}
