// Package gatekeeper decides which requests an entry without enough processor time
// takes in: those of the most urgent ranks, as many as it can serve. The decision
// needs only the rank, which the route tells, so that a refused request costs no
// decoding.
//
// The intake is limited while goroutines wait so long for a processor that callers
// lose more than their objective allows. The limit falls by a share with each
// measurement above that, and rises again with each one below, as in the overload
// control of WeChat (Zhou et al., "Overload Control for Scaling WeChat Microservices",
// SoCC 2018).
package gatekeeper

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// waits is the number of messages of a job, one after the other, whose goroutines
	// wait for a processor: the request, the offer to a holder, the answer of the
	// target to the start and its report of the end.
	waits = 4
	// minCut and maxCut bound the factor by which the limit falls with each
	// measurement of an overload, and riseShare is the share of the arrivals by which
	// it rises with each other one, up to four times that if there was no wait.
	minCut    = 0.9
	maxCut    = 0.25
	riseShare = 0.035
	// minOverloads is the number of consecutive measurements of an overload from which
	// the intake is limited.
	minOverloads = 2
	// rateWeight is the weight of the last measurement in the arrival rates.
	rateWeight = 0.4
	// maxIdle is the time without requests after which a rank is forgotten.
	maxIdle = time.Minute
	// minRetryAfter is the least delay that a refused caller is told to wait.
	minRetryAfter = time.Second
)

// rankState is the intake of one rank.
type rankState struct {
	rank        int
	lastArrival time.Time // Of its last request.
	arrived     int       // Requests since the last measurement.
	rate        float64   // Requests per second.
	share       float64   // Of the requests to admit while the intake is limited.
	credit      float64   // A request is admitted for each whole one.
}

// Gatekeeper holds the limit on the intake of one entry. It is safe for concurrent
// use.
type Gatekeeper struct {
	mu           sync.Mutex
	ranks        []rankState   // Of the ranks that have sent requests lately, the most urgent first.
	grace        time.Duration // The least of the services whose requests have arrived; zero if none declares one.
	overloads    int           // Consecutive measurements of an overload.
	measured     time.Time     // Of the last measurement; zero before the first.
	limited      bool
	limitedSince time.Time
	limit        float64 // Requests per second.
}

// New returns a gatekeeper that admits all requests.
func New() *Gatekeeper { return &Gatekeeper{} }

// Admit reports whether a request is taken in, or else after what time its caller
// may return. The grace is the part of the objective that doesn't depend on the run
// time (medlargw.Service.Grace).
func (g *Gatekeeper) Admit(now time.Time, rank int, grace time.Duration) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if grace > 0 && (g.grace == 0 || grace < g.grace) {
		g.grace = grace
	}
	r := g.rank(max(rank, 0))
	r.arrived++
	r.lastArrival = now
	if !g.limited {
		return 0, true
	}
	r.credit += r.share
	if r.credit >= 1 {
		r.credit--
		return 0, true
	}
	// An overload that has lasted for a while is likely to last as long again.
	return max(minRetryAfter, now.Sub(g.limitedSince)), false
}

// rank returns the state of a rank, and adds it if there is none yet. Ranks are chosen by
// operators and may be any numbers, so that no index can be made of them.
func (g *Gatekeeper) rank(rank int) *rankState {
	i, ok := slices.BinarySearchFunc(g.ranks, rank, func(r rankState, rank int) int { return cmp.Compare(r.rank, rank) })
	if !ok {
		g.ranks = slices.Insert(g.ranks, i, rankState{rank: rank, share: 1})
	}
	return &g.ranks[i]
}

// forgetIdle removes the ranks that have sent no requests for a while, such as those of
// queues that were removed.
func (g *Gatekeeper) forgetIdle(now time.Time) {
	g.ranks = slices.DeleteFunc(g.ranks, func(r rankState) bool { return now.Sub(r.lastArrival) > maxIdle })
}

// Measure records how long the goroutines that messages wake have waited for a
// processor since the last call, and adjusts the limit. It is to be called several times per
// second. It reports whether the intake is limited.
func (g *Gatekeeper) Measure(now time.Time, wait time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	elapsed := now.Sub(g.measured).Seconds()
	first := g.measured.IsZero()
	g.measured = now
	if first || elapsed <= 0 {
		return g.limited
	}
	g.forgetIdle(now)
	total := g.updateRates(elapsed)
	overloads := g.overloads
	g.overloads = 0
	switch {
	case g.grace > 0 && wait*waits > g.grace:
		g.overloads = overloads + 1
		if !g.limited && g.overloads < minOverloads {
			break // A pause that is over.
		}
		cut := float64(g.grace) / float64(wait*waits)
		if !g.limited {
			g.limited, g.limitedSince, g.limit = true, now, total
		}
		g.limit *= min(max(cut, maxCut), minCut)
		if len(g.ranks) > 0 {
			g.limit = max(g.limit, g.ranks[g.firstRank()].rate)
		}
	case g.limited:
		g.limit += total * riseShare * (1 + 3*(1-min(1, float64(wait*waits)/float64(g.grace))))
		g.limited = g.limit < total
	}
	g.updateShares()
	return g.limited
}

// updateRates updates the arrival rates of the ranks and returns their sum.
func (g *Gatekeeper) updateRates(elapsed float64) float64 {
	total := 0.0
	for i := range g.ranks {
		r := &g.ranks[i]
		now := float64(r.arrived) / elapsed
		if r.rate == 0 {
			r.rate = now
		}
		r.rate += rateWeight * (now - r.rate)
		r.arrived = 0
		total += r.rate
	}
	return total
}

// firstRank returns the most urgent rank that has requests. They are never refused:
// if they alone are too many, no rank gives way.
func (g *Gatekeeper) firstRank() int {
	return max(0, slices.IndexFunc(g.ranks, func(r rankState) bool { return r.rate > 0 }))
}

// updateShares divides the limit among the ranks, the most urgent first.
func (g *Gatekeeper) updateShares() {
	left := g.limit
	first := g.firstRank()
	for i := range g.ranks {
		r := &g.ranks[i]
		if !g.limited || i <= first || r.rate <= left {
			r.share = 1
		} else {
			r.share = left / r.rate
		}
		left = max(0, left-r.rate)
	}
}
