package relayer_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/relayer"
)

const threshold = 50 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// peer is a peer as the entry sees it.
type peer struct {
	capacity int64
	lag      time.Duration
	zone     medlargw.ZoneName
	leaving  bool
	heard    time.Duration // Before now; below zero is never.
}

// newRelayer returns the relayer of a small entry. The random numbers go round.
func newRelayer(threshold time.Duration, peers []peer) *relayer.Relayer {
	var n int64
	r := relayer.New(medlargw.Member{Incarnation: 1, Zone: "z"}, threshold, func(limit int64) int64 {
		n = (n*7 + 331) % limit
		return n
	})
	g := medlargw.Group{Entries: []medlargw.Peer{{Incarnation: 1, Zone: "z", Capacity: 144}}}
	for i, p := range peers {
		g.Entries = append(g.Entries, medlargw.Peer{
			Incarnation: medlargw.Incarnation(2 + i), Zone: "z" + p.zone, Capacity: p.capacity, Leaving: p.leaving,
		})
	}
	r.SetGroup(&g)
	for i, p := range peers {
		if p.heard >= 0 {
			r.SetLag(start.Add(-p.heard), medlargw.Incarnation(2+i), p.lag)
		}
	}
	return r
}

// TestChoose answers a burst on hosts of 0.144 to 0.8 core that get the same share
// of callers: the small ones have no processor left while the large ones are on time.
func TestChoose(t *testing.T) {
	large := peer{capacity: 800}
	tests := []struct {
		name  string
		lag   time.Duration
		peers []peer
		want  medlargw.Incarnation // Zero is none.
	}{
		{"on time", ms(10), []peer{large}, 0},
		{"late", ms(60), []peer{large}, 2},
		{"no peer", ms(60), nil, 0},
		{"peer is late too", ms(60), []peer{{capacity: 800, lag: ms(30)}}, 0},
		{"one of two is late", ms(60), []peer{{capacity: 800, lag: ms(30)}, {capacity: 480}}, 3},
		{"peer of another zone", ms(60), []peer{{capacity: 800, zone: "2"}}, 0},
		{"peer that leaves", ms(60), []peer{{capacity: 800, leaving: true}}, 0},
		{"peer of an older build", ms(60), []peer{{}}, 0},
		{"peer never heard", ms(60), []peer{{capacity: 800, heard: -1}}, 0},
		{"peer not heard for long", ms(60), []peer{{capacity: 800, heard: 2 * time.Second}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, ok := newRelayer(threshold, test.peers).Choose(start, test.lag)
			if p.Incarnation != test.want || ok != (test.want != 0) {
				t.Errorf("got peer %d, %v, want %d", p.Incarnation, ok, test.want)
			}
		})
	}
	if _, ok := newRelayer(0, []peer{large}).Choose(start, time.Second); ok {
		t.Error("turned off: got a peer, want none")
	}
}

// TestHysteresis checks that jobs are handed over from the threshold on until the
// entry is well on time again.
func TestHysteresis(t *testing.T) {
	r := newRelayer(threshold, []peer{{capacity: 800}})
	for i, step := range []struct {
		lag  time.Duration
		want bool
	}{{ms(30), false}, {ms(49), false}, {ms(50), true}, {ms(30), true}, {ms(20), true}, {ms(19), false}, {ms(30), false}} {
		if _, got := r.Choose(start, step.lag); got != step.want {
			t.Errorf("step %d, lag %s: got %v, want %v", i, step.lag, got, step.want)
		}
	}
}

// TestChoiceByCapacityAndLag checks that the peers get jobs in proportion to their
// capacities, and that those that are later get fewer.
func TestChoiceByCapacityAndLag(t *testing.T) {
	tests := []struct {
		name         string
		peers        []peer
		least, most  float64 // Share of the first one.
		pausedSecond bool
	}{
		{"by capacity", []peer{{capacity: 800}, {capacity: 200}}, 0.7, 0.9, false},
		{"the larger one is later", []peer{{capacity: 800, lag: ms(15)}, {capacity: 200}}, 0.5, 0.75, false},
		{"the other one has refused", []peer{{capacity: 100}, {capacity: 800}}, 1, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRelayer(threshold, test.peers)
			if test.pausedSecond {
				r.Pause(start, 3)
			}
			const n = 1000
			first := 0.0
			for range n {
				if p, _ := r.Choose(start, ms(60)); p.Incarnation == 2 {
					first++
				}
			}
			if got := first / n; got < test.least || got > test.most {
				t.Errorf("share of the first: got %.2f, want %.2f to %.2f", got, test.least, test.most)
			}
		})
	}
}

// TestAccepts checks that an entry which hands jobs over takes none, so that no two
// entries swap jobs.
func TestAccepts(t *testing.T) {
	r := newRelayer(threshold, nil)
	for _, test := range []struct {
		lag  time.Duration
		want bool
	}{{0, true}, {ms(29), true}, {ms(30), false}, {ms(50), false}} {
		if got := r.Accepts(test.lag); got != test.want {
			t.Errorf("lag %s: got %v, want %v", test.lag, got, test.want)
		}
	}
	if newRelayer(0, nil).Accepts(0) {
		t.Error("turned off: got true, want false")
	}
}
