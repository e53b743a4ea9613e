package coordinator_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

const ms = time.Millisecond

// TestSlowHolderKeepsJob answers the load of the first seconds of a heavy day, in
// which entries without processor time don't answer, or don't read the answers.
// The job has no time for another run, and was given up after 620 ms of silence
// although its holder lived.
func TestSlowHolderKeepsJob(t *testing.T) {
	other := medlargw.Peer{Host: "other", Zone: "z", Incarnation: 3}
	lags := func(own, peer time.Duration) func(h *fixture) {
		return func(h *fixture) {
			h.c.SetLag(own)
			if peer > 0 && h.now.Sub(start) < 300*ms {
				h.c.HandleHeartbeat(h.now, holder.Incarnation, peer, nil)
			}
		}
	}
	heartbeats := func(h *fixture) { h.c.HandleHeartbeat(h.now, holder.Incarnation, 0, nil) }
	sightings := func(h *fixture) {
		h.c.HandleHeartbeat(h.now, other.Incarnation, 0, []medlargw.Sighting{{Incarnation: holder.Incarnation, Age: 40 * ms}})
	}
	tests := []struct {
		name     string
		pause    time.Duration // Of this entry, at the beginning.
		before   func(h *fixture)
		endsAt   time.Duration // When the end of the run is reported; zero is never.
		complete bool
		endedBy  time.Duration // When the job must have ended.
	}{
		{"this entry pauses", 900 * ms, lags(850*ms, 0), 950 * ms, true, 960 * ms},
		{"this entry lags", 0, lags(400*ms, 0), 950 * ms, true, 960 * ms},
		{"the holder lags", 0, lags(0, 400*ms), 1200 * ms, true, 1220 * ms},
		{"the answers of the holder are lost", 0, heartbeats, 2000 * ms, true, 2020 * ms},
		{"only another entry hears the holder", 0, sightings, 2000 * ms, true, 2020 * ms},
		{"both lag", 0, lags(300*ms, 400*ms), 1250 * ms, true, 1260 * ms},
		{"this entry lags and the answers are lost", 0, func(h *fixture) { h.c.SetLag(300 * ms); heartbeats(h) }, 2000 * ms, true, 2020 * ms},
		{"the end comes after the verdict", 0, lags(0, 0), 1000 * ms, true, 1020 * ms},
		{"the holder is lost", 0, lags(0, 0), 0, false, 1600 * ms},
		{"the holder is lost, having lagged until 0.28 s", 0, lags(0, 400*ms), 0, false, 2260 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newFixture(t)
			j := job(1)
			j.Deadline = start.Add(2300 * ms)
			h.c.Submit(h.now, j)
			first := h.offers()[0]
			h.answer(&first, medlargw.OfferStarted)
			h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder, other}})
			h.now = h.now.Add(tt.pause)
			var finished []medlargw.FinishedJob
			for h.now.Sub(start) < tt.endedBy {
				h.now = h.now.Add(20 * ms)
				tt.before(h)
				h.c.Tick(h.now)
				if tt.endsAt > 0 && h.now.Sub(start) >= tt.endsAt {
					h.c.HandleReport(h.now, &medlargw.Report{
						From:  medlargw.Member{Host: holder.Host, Incarnation: holder.Incarnation},
						Tasks: []medlargw.TaskReport{{Home: home, ID: first.Offer.Tasks[0].ID, Event: medlargw.TaskSucceeded}},
					})
				}
				finished = append(finished, h.c.TakeActions(h.now).Finished...)
			}
			if len(finished) != 1 {
				t.Fatalf("outcomes by %v: got %d, want 1", tt.endedBy, len(finished))
			}
			if got := finished[0].Outcome; got.Complete != tt.complete {
				t.Errorf("outcome: got complete %t (%s), want %t", got.Complete, got.Message, tt.complete)
			}
		})
	}
}

// TestSlowHolderGetsNoNewTasks checks that a slow holder gets keepalives, which its
// runs need, and no new tasks.
func TestSlowHolderGetsNoNewTasks(t *testing.T) {
	h := newFixture(t)
	h.submitStarted(1)
	h.c.SetLag(0)
	keepalives := 0
	h.advance(1500*ms, func() {
		h.c.HandleHeartbeat(h.now, holder.Incarnation, 0, nil)
		slow := h.now.Sub(start) > 700*ms
		if slow && h.now.Sub(start) <= 720*ms {
			j := job(1)
			j.Arrived, j.Deadline = h.now, h.now.Add(5*time.Second)
			h.c.Submit(h.now, j)
		}
		for _, o := range h.offers() {
			if slow {
				keepalives++
			}
			if len(o.Offer.Tasks) > 0 {
				t.Errorf("offer to a slow holder at %v: got %d tasks, want 0", h.now.Sub(start), len(o.Offer.Tasks))
			}
		}
	})
	if want := 5; keepalives < want {
		t.Errorf("keepalives to a slow holder: got %d, want at least %d", keepalives, want)
	}
}

// TestLostHolderIsHeardAgain checks that a holder that counted as lost gets its
// tasks back with the first sign of life, and that the proof of their ends stands
// for one that was only heard before the verdict.
func TestLostHolderIsHeardAgain(t *testing.T) {
	tests := []struct {
		name     string
		age      time.Duration // Of the message that another entry tells of.
		messages bool          // Whether the holder gets messages again.
	}{
		{"heard after the verdict", 0, true},
		{"heard before the verdict", 200 * ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newFixture(t)
			h.submitStarted(1)
			h.advance(700*ms, func() { h.offers() })
			h.c.HandleHeartbeat(h.now, 3, 0, []medlargw.Sighting{{Incarnation: holder.Incarnation, Age: tt.age}})
			messages := false
			h.advance(40*ms, func() { messages = messages || len(h.offers()) > 0 })
			if messages != tt.messages {
				t.Errorf("messages to the holder: got %t, want %t", messages, tt.messages)
			}
		})
	}
}
