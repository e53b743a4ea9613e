// Package relayer decides when an entry that is short of processor time hands the
// jobs that it accepts to a peer of its zone, and to which one.
//
// The load balancer in front of the entries gives each the same share of callers,
// whatever the size of its host. An entry that acts late thus has the peers that
// act on time coordinate its jobs. A job is handed over at most once, before
// anything was done for it.
package relayer

import (
	"time"

	"medlargw.example/medlargw"
)

const (
	// stopShare is the share of the threshold below which jobs are no longer handed
	// over, and below which a peer counts as one with time to spare.
	stopShare = 0.4
	// acceptShare is the share of the threshold below which this entry takes the
	// jobs of others. It is above stopShare, since what peers know is older.
	acceptShare = 0.6
	// maxLagAge is the age up to which the lag of a peer counts as known.
	maxLagAge = time.Second
	// pauseTime is the time for which a peer gets no job after it has refused one or
	// has not answered.
	pauseTime = 250 * time.Millisecond
)

// candidate is a peer of the zone.
type candidate struct {
	peer     medlargw.Peer
	lag      time.Duration
	lagAt    time.Time // When the lag was heard; zero is never.
	pausedTo time.Time
}

// Relayer is the state machine. The time is an argument of each call. It is not safe
// for concurrent use.
type Relayer struct {
	self       medlargw.Member
	threshold  time.Duration // Zero hands no job over.
	random     func(n int64) int64
	candidates map[medlargw.Incarnation]*candidate
	order      []*candidate // As in the group.
	relaying   bool
}

// New returns a relayer without peers. The threshold is the lag from which jobs are
// handed over; zero hands none over. The function random returns a number from zero
// to less than n.
func New(self medlargw.Member, threshold time.Duration, random func(n int64) int64) *Relayer {
	return &Relayer{self: self, threshold: threshold, random: random, candidates: map[medlargw.Incarnation]*candidate{}}
}

// SetGroup sets the peers. Those that state no capacity are of an older build, or
// take no part.
func (r *Relayer) SetGroup(g *medlargw.Group) {
	before := r.candidates
	r.candidates = map[medlargw.Incarnation]*candidate{}
	r.order = nil
	for _, p := range g.Entries {
		if p.Incarnation == r.self.Incarnation || p.Zone != r.self.Zone || p.Leaving || p.Capacity <= 0 {
			continue
		}
		c := before[p.Incarnation]
		if c == nil {
			c = &candidate{}
		}
		c.peer = p
		r.candidates[p.Incarnation] = c
		r.order = append(r.order, c)
	}
}

// SetLag records the lag that a peer states of itself.
func (r *Relayer) SetLag(now time.Time, peer medlargw.Incarnation, lag time.Duration) {
	if c := r.candidates[peer]; c != nil {
		c.lag, c.lagAt = lag, now
	}
}

// Choose returns the peer to hand a job to, given this entry's lag, and whether to
// hand it over. Of two random peers with time to spare, chosen in proportion to their
// capacities, it is the one with the smaller lag.
func (r *Relayer) Choose(now time.Time, lag time.Duration) (medlargw.Peer, bool) {
	switch {
	case r.threshold == 0:
		return medlargw.Peer{}, false
	case lag >= r.threshold:
		r.relaying = true
	case lag < r.share(stopShare):
		r.relaying = false
	}
	if !r.relaying {
		return medlargw.Peer{}, false
	}
	var free []*candidate
	var capacity int64
	for _, c := range r.order {
		known := !c.lagAt.IsZero() && now.Sub(c.lagAt) <= maxLagAge
		if known && c.lag < r.share(stopShare) && !now.Before(c.pausedTo) {
			free = append(free, c)
			capacity += c.peer.Capacity
		}
	}
	if len(free) == 0 {
		return medlargw.Peer{}, false
	}
	first, second := r.pick(free, capacity), r.pick(free, capacity)
	if second.lag < first.lag {
		first = second
	}
	return first.peer, true
}

// pick returns a random candidate, in proportion to its capacity.
func (r *Relayer) pick(all []*candidate, capacity int64) *candidate {
	n := r.random(capacity)
	for _, c := range all {
		if n -= c.peer.Capacity; n < 0 {
			return c
		}
	}
	return all[len(all)-1]
}

func (r *Relayer) share(of float64) time.Duration {
	return time.Duration(of * float64(r.threshold))
}

// Pause keeps jobs from a peer that has refused one or has not answered.
func (r *Relayer) Pause(now time.Time, peer medlargw.Incarnation) {
	if c := r.candidates[peer]; c != nil {
		c.pausedTo = now.Add(pauseTime)
	}
}

// Accepts reports whether this entry takes a job of a peer, given its own lag.
func (r *Relayer) Accepts(lag time.Duration) bool {
	return r.threshold > 0 && lag < r.share(acceptShare)
}
