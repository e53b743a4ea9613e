package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestRelay brings about one failure at a time while an entry without processor time
// has a peer coordinate a job. The caller submits the job again 1.3 s after an
// outcome that leaves open whether it ran: no task may run twice at a time then, and
// none that was reported as not run may run.
func TestRelay(t *testing.T) {
	const lag = 120 * time.Millisecond
	tests := []struct {
		name    string
		fail    func(cl *cluster, late, peer *entry) // 100 ms after the job was submitted.
		atOnce  func(cl *cluster, late, peer *entry) // Before the job is submitted.
		want    string                               // Code of the outcome of the first submission; "" is complete.
		wantRun bool                                 // The peer has received the job.
	}{
		{name: "no failure", wantRun: true},
		{name: "peer is late too", atOnce: func(_ *cluster, _, peer *entry) {
			peer.clock.freeze(lag)
			time.Sleep(lag + 30*time.Millisecond)
		}},
		{name: "peer's process is gone", atOnce: func(cl *cluster, _, peer *entry) { cl.stop(peer) }},
		{
			name: "answers are lost", want: "attempt-lost", wantRun: true,
			atOnce: func(cl *cluster, late, peer *entry) { cl.sim.setLinkDown(peer.host, late.host, true) },
		},
		{
			name: "messages are lost", want: "attempt-lost",
			atOnce: func(cl *cluster, late, peer *entry) { cl.sim.setLinkDown(late.host, peer.host, true) },
		},
		{
			name: "peer dies", want: "attempt-lost", wantRun: true,
			fail: func(cl *cluster, _, peer *entry) { cl.stop(peer) },
		},
		{
			name: "peer is cut off for a while", wantRun: true,
			fail: func(cl *cluster, late, peer *entry) {
				cl.setHostDown(late.host, peer.host, true)
				time.AfterFunc(200*time.Millisecond, func() { cl.setHostDown(late.host, peer.host, false) })
			},
		},
		{
			name: "the last answer is lost", wantRun: true,
			fail: func(cl *cluster, late, peer *entry) {
				time.Sleep(450 * time.Millisecond)
				cl.sim.setLinkDown(peer.host, late.host, true)
				time.Sleep(250 * time.Millisecond)
				cl.sim.setLinkDown(peer.host, late.host, false)
			},
		},
		{
			name: "peer is cut off", want: "attempt-lost", wantRun: true,
			fail: func(cl *cluster, late, peer *entry) { cl.setHostDown(late.host, peer.host, true) },
		},
	}
	for _, test := range tests {
		for seed := range seeds() {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				runClusterWith(t, seed, []string{"a1", "a2", "b1"}, func(cl *cluster) { cl.relay = 50 * time.Millisecond }, func(cl *cluster) {
					late, peer := cl.entries[0], cl.entries[1]
					late.clock.freeze(lag)
					time.Sleep(lag + 30*time.Millisecond)
					if test.atOnce != nil {
						test.atOnce(cl, late, peer)
					}
					if test.fail != nil {
						time.AfterFunc(100*time.Millisecond, func() { test.fail(cl, late, peer) })
					}
					outcome := cl.submitOnce(late, "job", 4, 700*time.Millisecond, 14000)
					if got := string(outcome.Code); got != test.want {
						t.Errorf("outcome: got %q (%s), want %q", got, outcome.Message, test.want)
					}
					if outcome.NotRun() {
						t.Error("the outcome says that nothing was run")
					}
					if got := peer.counter("relays.received") == 1; got != test.wantRun {
						t.Errorf("received by the peer: got %v, want %v", got, test.wantRun)
					}
					if test.want == "" {
						time.Sleep(time.Second)
						if got := peer.counter("relays.silent"); got != 0 {
							t.Errorf("jobs ended for a silent sender: got %d, want 0", got)
						}
					}
					if outcome.Code == medlargw.CodeAttemptLost {
						time.Sleep(resendAfter)
						cl.submit(cl.entries[2], "job", 4, 700*time.Millisecond, 14000)
					}
					time.Sleep(4 * time.Second)
					for _, violation := range cl.sim.targets.Violations() {
						t.Error(violation)
					}
				})
			})
		}
	}
}

// TestSenderOfRelayIsLost guards against a job that runs twice at a time: the entry
// that handed it over dies, or its caller goes, and the caller submits it again.
func TestSenderOfRelayIsLost(t *testing.T) {
	tests := []struct {
		name string
		lose func(cl *cluster, late *entry, callerGone context.CancelFunc)
	}{
		{"sender dies", func(cl *cluster, late *entry, _ context.CancelFunc) { cl.stop(late) }},
		{"sender is cut off", func(cl *cluster, late *entry, _ context.CancelFunc) {
			for _, other := range cl.entries[1:] {
				cl.setHostDown(late.host, other.host, true)
			}
		}},
		{"caller is gone", func(_ *cluster, _ *entry, callerGone context.CancelFunc) { callerGone() }},
	}
	for _, test := range tests {
		for seed := range seeds() {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				runClusterWith(t, seed, []string{"a1", "a2", "b1"}, func(cl *cluster) { cl.relay = 50 * time.Millisecond }, func(cl *cluster) {
					late, peer := cl.entries[0], cl.entries[1]
					late.clock.freeze(120 * time.Millisecond)
					time.Sleep(150 * time.Millisecond)
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					go late.conductor.Submit(ctx, cl.newJob("job", 4, 1800*time.Millisecond, 14000))
					time.Sleep(100 * time.Millisecond)
					if got := peer.counter("relays.received"); got != 1 {
						t.Fatalf("received by the peer: got %d, want 1", got)
					}
					test.lose(cl, late, cancel)
					time.Sleep(resendAfter)
					cl.submit(cl.entries[2], "job", 4, 1800*time.Millisecond, 14000)
					time.Sleep(4 * time.Second)
					for _, violation := range cl.sim.targets.Violations() {
						t.Error(violation)
					}
				})
			})
		}
	}
}

// TestLateRelayStartsNothing has the first message of a relay arrive when a broken
// link has held it up. Its sender has given the job up, and the caller may have
// submitted it again.
func TestLateRelayStartsNothing(t *testing.T) {
	runClusterWith(t, 0, []string{"a1", "a2", "b1"}, func(cl *cluster) { cl.relay = 50 * time.Millisecond }, func(cl *cluster) {
		sender, peer := cl.entries[0], cl.entries[1]
		r := medlargw.Relay{
			ID: medlargw.RelayID{From: sender.peer.Incarnation, Number: 1}, Host: "a1", Job: cl.newJob("job", 2, 100*time.Millisecond, 14000),
			TimeToDeadline: time.Second, Wait: time.Second,
		}
		tests := []struct {
			name       string
			validUntil time.Duration // From now on.
			want       medlargw.RelayState
		}{
			{"after its validity", -time.Millisecond, medlargw.RelayRefused},
			{"in time", 10 * time.Millisecond, medlargw.RelayEnded},
		}
		for i, test := range tests {
			r.ID.Number = uint64(i + 1)
			r.ValidUntil = peer.conductor.FreeResources().Clock + test.validUntil
			reply, err := peer.conductor.HandleRelay(context.Background(), r)
			if err != nil {
				t.Fatal(err)
			}
			if got := reply.State; got != test.want {
				t.Errorf("message %s: got state %v, want %v", test.name, got, test.want)
			}
			if got, want := peer.counter("relays.received"), int64(i); got != want {
				t.Errorf("message %s: got %d jobs received, want %d", test.name, got, want)
			}
		}
	})
}
