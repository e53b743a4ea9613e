package publisher

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
)

// seeds is the number of random histories.
const seeds = 100

// history checks random publishes against the weights that may be in force.
type history struct {
	t        *testing.T
	store    *fakeStore
	random   *rand.Rand
	next     int                         // Weight of the next publish; each is used once.
	possible map[medlargw.TeamName][]int // Weights that may be in force.
	highest  uint64
}

// faulty draws a fault for one of the next calls.
func (h *history) faulty() {
	faults := []fault{faultNone, faultDown, faultLost, faultLate, faultCrash, faultAfter}
	h.store.fault = faults[h.random.IntN(len(faults))]
	h.store.at = h.store.calls + 1 + h.random.IntN(8)
	h.store.lasting = 1 + h.random.IntN(3)
	if h.store.fault == faultNone {
		h.store.at = 0
	}
}

// publish publishes one team and notes what may be in force afterwards. It
// reports whether the publish was accepted.
func (h *history) publish(name medlargw.TeamName) bool {
	w := h.next
	h.next++
	_, err, crashed := publish(h.t, h.store, string(name), team(name, w, "slip-"+string(name)))
	if err == nil && !crashed {
		h.possible[name] = []int{w}
		return true
	}
	var refused *medlargw.PublishError
	if !errors.As(err, &refused) {
		h.possible[name] = append(h.possible[name], w) // It may or may not be in force.
	}
	return false
}

// nested has another publisher publish in the middle of the next one.
func (h *history) nested(outer, inner medlargw.TeamName) {
	accepted := false
	after := []int(nil)
	h.store.before = func() {
		h.store.at = 0
		accepted = h.publish(inner)
		after = slices.Clone(h.possible[inner])
		h.faulty()
	}
	h.publish(outer)
	h.store.before = nil
	if accepted && outer == inner {
		// The outer one had read before; it may not undo the inner one.
		h.possible[inner] = after
	}
}

// check compares what is in force with what may be.
func (h *history) check(seed uint64) {
	h.t.Helper()
	h.store.at = 0
	checkWhole(h.t, h.store)
	for _, name := range []medlargw.TeamName{"desk", "ice"} {
		got := weight(h.t, h.store, name)
		if !slices.Contains(h.possible[name], got) {
			h.t.Fatalf("seed %d: weight of %s: got %d, want one of %v", seed, name, got, h.possible[name])
		}
		if h.store.late == nil {
			h.possible[name] = []int{got}
		}
	}
	if got := head(h.t, h.store).Generation; got < h.highest {
		h.t.Fatalf("seed %d: generation: got %d, want at least %d", seed, got, h.highest)
	}
	h.highest = head(h.t, h.store).Generation
}

func TestRandomHistories(t *testing.T) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			h := &history{
				t: t, store: newFakeStore(), random: rand.New(rand.NewPCG(seed, 0)), next: 10,
				possible: map[medlargw.TeamName][]int{"desk": {1}, "ice": {1}},
			}
			mustPublish(t, h.store, 1, operators("desk", "ice"), team("desk", 1), team("ice", 1))
			names := []medlargw.TeamName{"desk", "ice"}
			for range 12 {
				h.faulty()
				if h.random.IntN(2) == 0 {
					h.publish(names[h.random.IntN(2)])
				} else {
					h.nested(names[h.random.IntN(2)], names[h.random.IntN(2)])
				}
				h.check(seed)
				if h.random.IntN(4) == 0 {
					<-time.After(retiredFor) // Virtual time, so that values are collected.
				}
			}
		})
	}
}
