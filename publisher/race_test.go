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

// seedCount is the number of random histories, one per seed.
const seedCount = 100

// history makes random publishes with random faults and tracks which weights
// they may have left as current.
type history struct {
	t                 *testing.T
	store             *fakeStore
	rng               *rand.Rand
	nextWeight        int                         // Weight of the next publish; no weight is used twice.
	possibleWeights   map[medlargw.TeamName][]int // Weights that may be current.
	highestGeneration uint64
}

// setRandomFault chooses a fault for one of the next calls.
func (h *history) setRandomFault() {
	faults := []fault{faultNone, faultUnavailable, faultLostReply, faultDelayedWrite, faultCrashBefore, faultCrashAfter}
	h.store.fault = faults[h.rng.IntN(len(faults))]
	h.store.faultCall = h.store.calls + 1 + h.rng.IntN(8)
	h.store.faultCount = 1 + h.rng.IntN(3)
	if h.store.fault == faultNone {
		h.store.faultCall = 0
	}
}

// publish publishes one team and records which weights may be current
// afterwards. It reports whether the publish succeeded.
func (h *history) publish(name medlargw.TeamName) bool {
	w := h.nextWeight
	h.nextWeight++
	_, err, crashed := publish(h.t, h.store, string(name), team(name, w, "slip-"+string(name)))
	if err == nil && !crashed {
		h.possibleWeights[name] = []int{w}
		return true
	}
	var refused *medlargw.PublishError
	if !errors.As(err, &refused) {
		h.possibleWeights[name] = append(h.possibleWeights[name], w) // The outcome is unknown.
	}
	return false
}

// publishConcurrently publishes outer, and has another publisher publish inner
// just before the head is written for outer.
func (h *history) publishConcurrently(outer, inner medlargw.TeamName) {
	accepted := false
	possible := []int(nil)
	h.store.beforeHeadWrite = func() {
		h.store.faultCall = 0
		accepted = h.publish(inner)
		possible = slices.Clone(h.possibleWeights[inner])
		h.setRandomFault()
	}
	h.publish(outer)
	h.store.beforeHeadWrite = nil
	if accepted && outer == inner {
		// The outer publish read the head before the inner one wrote it, and
		// must not undo the inner one.
		h.possibleWeights[inner] = possible
	}
}

// check compares the current weights with the possible ones, and checks that
// the generation has not decreased.
func (h *history) check(seed uint64) {
	h.t.Helper()
	h.store.faultCall = 0
	checkReferences(h.t, h.store)
	for _, name := range []medlargw.TeamName{"desk", "ice"} {
		got := weight(h.t, h.store, name)
		if !slices.Contains(h.possibleWeights[name], got) {
			h.t.Fatalf("seed %d: weight of %s: got %d, want one of %v", seed, name, got, h.possibleWeights[name])
		}
		if h.store.delayedWrite == nil {
			h.possibleWeights[name] = []int{got}
		}
	}
	if got := head(h.t, h.store).Generation; got < h.highestGeneration {
		h.t.Fatalf("seed %d: generation: got %d, want at least %d", seed, got, h.highestGeneration)
	}
	h.highestGeneration = head(h.t, h.store).Generation
}

func TestRandomFaultHistories(t *testing.T) {
	for seed := range uint64(seedCount) {
		synctest.Test(t, func(t *testing.T) {
			h := &history{
				t: t, store: newFakeStore(), rng: rand.New(rand.NewPCG(seed, 0)), nextWeight: 10,
				possibleWeights: map[medlargw.TeamName][]int{"desk": {1}, "ice": {1}},
			}
			mustPublish(t, h.store, 1, operatorsTeam("desk", "ice"), team("desk", 1), team("ice", 1))
			names := []medlargw.TeamName{"desk", "ice"}
			for range 12 {
				h.setRandomFault()
				if h.rng.IntN(2) == 0 {
					h.publish(names[h.rng.IntN(2)])
				} else {
					h.publishConcurrently(names[h.rng.IntN(2)], names[h.rng.IntN(2)])
				}
				h.check(seed)
				if h.rng.IntN(4) == 0 {
					<-time.After(retentionPeriod) // Virtual time, so that values are collected.
				}
			}
		})
	}
}
