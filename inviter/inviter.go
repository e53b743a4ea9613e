// Package inviter tells refused callers when to come back.
//
// A caller is to come back once the targets can have drained what goes before it:
// the work that waits, and the work of callers of its rank and of more urgent ones
// who were refused earlier. They come back at the rate that new jobs of these
// ranks leave unused, so that returning callers never add to an overload by
// more than minReturnShare.
//
// Each home reports the work that it has invited and the rate of its new jobs, so
// that all homes give the same answers, up to what happened since the reports.
package inviter

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/averager"
)

const (
	// usableShare is the share of the drain that new and returning jobs together
	// may take, so that queues don't stand.
	usableShare = 0.9
	// minReturnShare is the share of the drain that is left for returning callers
	// in any case.
	minReturnShare = 0.2
	// minDrainShare is the least share of the cores that is assumed to drain work.
	// Before an overload the targets start less than they could.
	minDrainShare = 0.5
	// minDelay and maxDelay bound the answers.
	minDelay = time.Second
	maxDelay = 30 * time.Second
	// slot is the time within which invitations are kept as one.
	slot = 50 * time.Millisecond
)

// Inviter keeps the invitations of one home. It is not safe for concurrent use.
type Inviter struct {
	queues map[queue]*state
}

// queue identifies the jobs of a pool that have the same rank.
type queue struct {
	pool medlargw.PoolName
	rank int
}

// state is what is known of one queue. Work is in thousandths of a core times
// milliseconds.
type state struct {
	arrived  averager.Averager // Work of all jobs.
	returned averager.Averager // Work of invited callers, at the times that they were told.
	booked   []booking         // Invitations that are not due yet, in order of time.
}

// booking is the work of the callers who were invited for about the same time.
type booking struct {
	at   time.Time
	work int64
}

// New returns an inviter without invitations.
func New() *Inviter { return &Inviter{queues: map[queue]*state{}} }

// RecordArrival counts a job that has arrived at this home.
func (v *Inviter) RecordArrival(now time.Time, pool medlargw.PoolName, rank int, work int64) {
	v.state(pool, rank).arrived.Add(now, float64(work))
}

// Invite returns how long a refused caller is to wait before it comes back.
func (v *Inviter) Invite(now time.Time, r *medlargw.InvitationRequest) time.Duration {
	var ahead, drain, fresh, cores float64
	for _, p := range r.Holders {
		ahead += float64(p.WorkAhead(r.Rank))
		drain += float64(p.Started)
		cores += float64(p.TotalCores)
	}
	for _, p := range r.Peers {
		for _, w := range p.Waiting {
			if w.Rank <= r.Rank {
				ahead += float64(w.Invited)
				fresh += float64(w.Arriving)
			}
		}
	}
	for _, w := range v.demand(now, r.Pool) {
		if w.Rank <= r.Rank {
			ahead += float64(w.Invited)
			fresh += float64(w.Arriving)
		}
	}
	drain = max(drain, minDrainShare*cores*1000)
	s := v.state(r.Pool, r.Rank)
	if r.Learning {
		return minDelay // The work ahead and the drain are not known.
	}
	delay := maxDelay
	if drain > 0 {
		rate := max(usableShare*drain-fresh, minReturnShare*drain)
		delay = time.Duration(min(ahead/rate, maxDelay.Seconds()) * float64(time.Second))
	}
	at := now.Add(min(max(delay, minDelay, r.Wait), maxDelay))
	if n := len(s.booked); n > 0 && s.booked[n-1].at.After(at) {
		at = s.booked[n-1].at // Who was refused first may come back first.
	}
	s.book(at, r.Work)
	return at.Sub(now)
}

// AddDemand adds the invitations and the new jobs of this home to its report.
func (v *Inviter) AddDemand(now time.Time, r *medlargw.HolderResources) {
	for q := range v.queues {
		r.Pool(q.pool) // A home without targets reports its demand too.
	}
	for i := range r.Pools {
		r.Pools[i].AddDemand(v.demand(now, r.Pools[i].Pool))
	}
}

// demand returns the invitations and the new jobs of this home in a pool, by rank, and
// forgets the ranks without any.
func (v *Inviter) demand(now time.Time, pool medlargw.PoolName) []medlargw.RankWork {
	var all []medlargw.RankWork
	for q, s := range v.queues {
		if q.pool != pool {
			continue
		}
		s.expire(now)
		arrived, returned := s.arrived.Rate(now), s.returned.Rate(now)
		if len(s.booked) == 0 && arrived < 1 && returned < 1 {
			delete(v.queues, q)
			continue
		}
		w := medlargw.RankWork{Rank: q.rank, Arriving: int64(min(max(0, arrived-returned), medlargw.MaxWork))}
		for i := range s.booked {
			w.Invited = min(w.Invited+s.booked[i].work, medlargw.MaxWork)
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b medlargw.RankWork) int { return cmp.Compare(a.Rank, b.Rank) })
	return all
}

func (v *Inviter) state(pool medlargw.PoolName, rank int) *state {
	s := v.queues[queue{pool, rank}]
	if s == nil {
		s = &state{}
		v.queues[queue{pool, rank}] = s
	}
	return s
}

// book keeps an invitation.
func (s *state) book(at time.Time, work int64) {
	if n := len(s.booked); n > 0 && at.Sub(s.booked[n-1].at) < slot {
		s.booked[n-1].work += work
		return
	}
	s.booked = append(s.booked, booking{at: at, work: work})
}

// expire removes the invitations that are due.
func (s *state) expire(now time.Time) {
	for len(s.booked) > 0 && !s.booked[0].at.After(now) {
		s.returned.Add(s.booked[0].at, float64(s.booked[0].work))
		s.booked = s.booked[1:]
	}
}
