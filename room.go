package medlargw

import (
	"slices"
	"time"
)

// Room is an amount of a target's resources.
type Room struct {
	Cores        int64 // Thousandths of a core.
	Memory       int64 // MiB.
	Accelerators int64
}

// Holds reports whether the need fits into the room.
func (r Room) Holds(need Room) bool {
	return need.Cores <= r.Cores && need.Memory <= r.Memory && need.Accelerators <= r.Accelerators
}

// Plus returns the sum.
func (r Room) Plus(other Room) Room {
	return Room{
		Cores:        r.Cores + other.Cores,
		Memory:       r.Memory + other.Memory,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference, which may be negative.
func (r Room) Minus(other Room) Room {
	return Room{
		Cores:        r.Cores - other.Cores,
		Memory:       r.Memory - other.Memory,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// PoolName names a set of targets that serve the same services.
type PoolName string

// PoolRoom is what one holder has free in one pool.
type PoolRoom struct {
	Pool     PoolName
	Free     []Room // One for each target that takes new runs.
	Capacity int64  // Of those targets, in thousandths of a core.
	Waiting  []RankWork
	Next     time.Duration // Until a run is expected to end and to leave room; zero is unknown.
}

// RankWork is the work that waits in the queue of a holder, by rank.
type RankWork struct {
	Rank int
	Work int64 // Thousandths of a core times milliseconds.
}

// AddWaiting counts a waiting task of a rank that takes so much for so long.
func (p *PoolRoom) AddWaiting(rank int, room Room, d time.Duration) {
	work := room.Cores * d.Milliseconds()
	for i := range p.Waiting {
		if p.Waiting[i].Rank == rank {
			p.Waiting[i].Work += work
			return
		}
	}
	p.Waiting = append(p.Waiting, RankWork{Rank: rank, Work: work})
}

// HolderRoom sums up what a holder has free. A higher Number of one incarnation
// is newer.
type HolderRoom struct {
	Number uint64
	Pools  []PoolRoom
}

// Clone returns a copy that shares nothing.
func (r *HolderRoom) Clone() HolderRoom {
	c := HolderRoom{Number: r.Number, Pools: slices.Clone(r.Pools)}
	for i := range c.Pools {
		c.Pools[i].Free = slices.Clone(c.Pools[i].Free)
		c.Pools[i].Waiting = slices.Clone(c.Pools[i].Waiting)
	}
	return c
}
