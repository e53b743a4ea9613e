package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestRelayedJobIsSubmittedAgain guards against a task alive twice: the caller of a job
// that its entry had a peer coordinate submits it again to one of the two, while the peer
// has not been told that the caller has left, or stops the runs.
func TestRelayedJobIsSubmittedAgain(t *testing.T) {
	const (
		lag   = 120 * time.Millisecond
		tasks = 4
		work  = 900 * time.Millisecond
	)
	tests := []struct {
		name         string
		cancelIsLost bool
		stopsAreLost bool
		toPeer       bool          // The job is submitted again to the peer.
		after        time.Duration // From the end of the caller's connection.
		lose         func(cl *cluster, late, peer *entry)
		want         medlargw.Code // Of the second submission; empty is complete.
	}{
		{name: "to the sender, nothing is lost", after: 25 * time.Millisecond},
		{name: "to the sender, stops are lost", stopsAreLost: true, after: 25 * time.Millisecond},
		{name: "to the sender, the cancel is lost", cancelIsLost: true, after: 25 * time.Millisecond},
		{name: "to the sender, which hands it to the peer again", cancelIsLost: true, after: 300 * time.Millisecond},
		{
			name: "to the sender, the peer has stopped", after: 25 * time.Millisecond,
			lose: func(cl *cluster, _, peer *entry) { cl.stop(peer) },
		},
		{
			name: "to the sender, the peer is cut off", after: 25 * time.Millisecond, want: medlargw.CodeAttemptLost,
			lose: func(cl *cluster, late, peer *entry) { cl.setHostDown(late.host, peer.host, true) },
		},
		{name: "to the peer, nothing is lost", toPeer: true, after: 25 * time.Millisecond},
		{name: "to the peer, the cancel is lost", cancelIsLost: true, toPeer: true, after: 25 * time.Millisecond},
	}
	for _, test := range tests {
		for seed := range seeds() {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				runClusterWith(t, seed, []string{"a1", "a2", "b1"}, func(cl *cluster) { cl.relay = 50 * time.Millisecond }, func(cl *cluster) {
					late, peer := cl.entries[0], cl.entries[1]
					late.clock.freeze(lag)
					time.Sleep(lag + 30*time.Millisecond)
					ctx, leave := context.WithCancel(context.Background())
					time.AfterFunc(200*time.Millisecond, func() {
						cl.sim.setLinkDown(late.host, peer.host, test.cancelIsLost)
						cl.setStopsLost(test.stopsAreLost)
					})
					time.AfterFunc(201*time.Millisecond, leave)
					time.AfterFunc(203*time.Millisecond, func() { cl.sim.setLinkDown(late.host, peer.host, false) })
					time.AfterFunc(500*time.Millisecond, func() { cl.setStopsLost(false) })
					late.conductor.Submit(ctx, cl.newJob("job", tasks, work, 14000))
					if got := peer.counter("relays.received"); got != 1 {
						t.Fatalf("received by the peer: got %d, want 1", got)
					}
					if test.lose != nil {
						test.lose(cl, late, peer)
					}
					time.Sleep(test.after)
					next := late
					if test.toPeer {
						next = peer
					}
					job := cl.newJob("job", tasks, work, 14000)
					job.Deadline = job.Deadline.Add(time.Second)
					if got := next.conductor.Submit(context.Background(), job); got.Code != test.want || got.NotRun() {
						t.Errorf("second submission: got %+v, want code %q of tasks that may have run", got, test.want)
					}
					time.Sleep(2 * time.Second)
					for _, violation := range cl.sim.targets.Violations() {
						t.Error(violation)
					}
				})
			})
		}
	}
}

// TestLostCancelOfRelayIsRepeated guards against runs that go on at a peer until it counts
// the sender of a relay as silent, since the one message that tells it of the end of the
// caller's connection is lost.
func TestLostCancelOfRelayIsRepeated(t *testing.T) {
	const lag = 120 * time.Millisecond
	runClusterWith(t, 1, []string{"a1", "a2", "b1"}, func(cl *cluster) { cl.relay = 50 * time.Millisecond }, func(cl *cluster) {
		late, peer := cl.entries[0], cl.entries[1]
		late.clock.freeze(lag)
		time.Sleep(lag + 30*time.Millisecond)
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, func() { cl.sim.setLinkDown(late.host, peer.host, true) })
		time.AfterFunc(201*time.Millisecond, leave)
		time.AfterFunc(203*time.Millisecond, func() { cl.sim.setLinkDown(late.host, peer.host, false) })
		late.conductor.Submit(ctx, cl.newJob("job", 4, 2*time.Second, 14000))
		time.Sleep(2 * time.Second)
		if got, want := peer.counter("relays.silent"), int64(0); got != want {
			t.Errorf("jobs ended for a silent sender: got %d, want %d", got, want)
		}
	})
}

// setStopsLost takes the links from the entries to the targets down, or back up.
func (cl *cluster) setStopsLost(lost bool) {
	for _, target := range cl.sim.targets.Targets() {
		for _, e := range cl.entries {
			cl.sim.setLinkDown(e.host, string(target.Name), lost)
		}
	}
}
