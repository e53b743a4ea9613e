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

// Holds reports whether r has at least the needed amount of each resource.
func (r Room) Holds(need Room) bool {
	return need.Cores <= r.Cores && need.Memory <= r.Memory && need.Accelerators <= r.Accelerators
}

// Plus returns the sum of both.
func (r Room) Plus(other Room) Room {
	return Room{
		Cores:        r.Cores + other.Cores,
		Memory:       r.Memory + other.Memory,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Minus returns r less the other, which may be negative.
func (r Room) Minus(other Room) Room {
	return Room{
		Cores:        r.Cores - other.Cores,
		Memory:       r.Memory - other.Memory,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// PoolName names a set of targets that run the tasks of the same services.
type PoolName string

// PoolRoom is what one holder has free in one pool.
type PoolRoom struct {
	Pool     PoolName
	Free     []Room        // Free resources of each target that takes new runs.
	Capacity int64         // Total cores of those targets, free or not, in thousandths of a core.
	Waiting  []RankWork    // By rank.
	Next     time.Duration // Time until the next run is expected to end and to free resources; zero is unknown.
}

// RankWork is the work of one rank that waits in the queue of a holder.
type RankWork struct {
	Rank int
	Work int64 // Thousandths of a core times milliseconds.
}

// AddWaiting adds the work of a waiting task, which takes the resources for the
// duration.
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

// HolderRoom summarizes the free resources and the waiting work of a holder. Of
// two from one incarnation of the holder, the one with the higher Number is
// newer.
type HolderRoom struct {
	Number uint64
	Pools  []PoolRoom
}

// Clone returns a deep copy.
func (r *HolderRoom) Clone() HolderRoom {
	c := HolderRoom{Number: r.Number, Pools: slices.Clone(r.Pools)}
	for i := range c.Pools {
		c.Pools[i].Free = slices.Clone(c.Pools[i].Free)
		c.Pools[i].Waiting = slices.Clone(c.Pools[i].Waiting)
	}
	return c
}
