package messenger

import (
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

func encodeResources(r medlargw.Resources) *wire.Room {
	return &wire.Room{Cores: r.Cores, Memory: r.Memory, Accelerators: r.Accelerators}
}

func decodeResources(r *wire.Room) medlargw.Resources {
	return medlargw.Resources{Cores: r.GetCores(), Memory: r.GetMemory(), Accelerators: r.GetAccelerators()}
}

// encodeHolderResources returns nil for an entry that holds no targets.
func encodeHolderResources(r *medlargw.HolderResources) *wire.HolderRoom {
	if r.Sequence == 0 {
		return nil
	}
	w := &wire.HolderRoom{Number: r.Sequence, ClockUs: r.Clock.Microseconds(), Protocol: int32(r.Protocol)}
	for i := range r.Pools {
		p := &r.Pools[i]
		pool := &wire.PoolRoom{Pool: string(p.Pool), Capacity: p.TotalCores, NextUs: p.NextEnd.Microseconds(), Started: p.Started}
		for _, free := range p.Free {
			pool.Free = append(pool.Free, encodeResources(free))
		}
		for _, work := range p.Waiting {
			pool.Waiting = append(pool.Waiting, &wire.RankWork{
				Rank: int32(work.Rank), Work: work.Work, Arriving: work.Arriving, Invited: work.Invited,
			})
		}
		w.Pools = append(w.Pools, pool)
	}
	return w
}

func decodeHolderResources(w *wire.HolderRoom) medlargw.HolderResources {
	r := medlargw.HolderResources{Sequence: w.GetNumber(), Clock: microsToDuration(w.GetClockUs()), Protocol: int(w.GetProtocol())}
	for _, p := range w.GetPools() {
		pool := medlargw.PoolResources{
			Pool: medlargw.PoolName(p.GetPool()), TotalCores: p.GetCapacity(),
			NextEnd: time.Duration(p.GetNextUs()) * time.Microsecond, Started: p.GetStarted(),
		}
		for _, free := range p.GetFree() {
			pool.Free = append(pool.Free, decodeResources(free))
		}
		for _, work := range p.GetWaiting() {
			pool.Waiting = append(pool.Waiting, medlargw.RankWork{
				Rank: int(work.GetRank()), Work: work.GetWork(), Arriving: work.GetArriving(), Invited: work.GetInvited(),
			})
		}
		r.Pools = append(r.Pools, pool)
	}
	return r
}
