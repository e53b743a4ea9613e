package messenger

import (
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

func encodeRoom(r medlargw.Room) *wire.Room {
	return &wire.Room{Cores: r.Cores, Memory: r.Memory, Accelerators: r.Accelerators}
}

func decodeRoom(r *wire.Room) medlargw.Room {
	return medlargw.Room{Cores: r.GetCores(), Memory: r.GetMemory(), Accelerators: r.GetAccelerators()}
}

// encodeHolderRoom returns nil for an entry that holds no targets.
func encodeHolderRoom(r *medlargw.HolderRoom) *wire.HolderRoom {
	if r.Number == 0 {
		return nil
	}
	w := &wire.HolderRoom{Number: r.Number}
	for i := range r.Pools {
		p := &r.Pools[i]
		pool := &wire.PoolRoom{Pool: string(p.Pool), Capacity: p.Capacity, NextUs: p.Next.Microseconds()}
		for _, free := range p.Free {
			pool.Free = append(pool.Free, encodeRoom(free))
		}
		for _, work := range p.Waiting {
			pool.Waiting = append(pool.Waiting, &wire.RankWork{Rank: int32(work.Rank), Work: work.Work})
		}
		w.Pools = append(w.Pools, pool)
	}
	return w
}

func decodeHolderRoom(w *wire.HolderRoom) medlargw.HolderRoom {
	r := medlargw.HolderRoom{Number: w.GetNumber()}
	for _, p := range w.GetPools() {
		pool := medlargw.PoolRoom{
			Pool: medlargw.PoolName(p.GetPool()), Capacity: p.GetCapacity(),
			Next: time.Duration(p.GetNextUs()) * time.Microsecond,
		}
		for _, free := range p.GetFree() {
			pool.Free = append(pool.Free, decodeRoom(free))
		}
		for _, work := range p.GetWaiting() {
			pool.Waiting = append(pool.Waiting, medlargw.RankWork{Rank: int(work.GetRank()), Work: work.GetWork()})
		}
		r.Pools = append(r.Pools, pool)
	}
	return r
}
