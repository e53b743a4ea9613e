package messenger

import (
	"math"
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
		for _, free := range p.Isolated {
			pool.Isolated = append(pool.Isolated, encodeResources(free))
		}
		pool.IsolatedCapacity = p.IsolatedCores
		w.Pools = append(w.Pools, pool)
	}
	for i := range r.Crashes {
		c := &r.Crashes[i]
		w.Crashes = append(w.Crashes, &wire.ServiceCrashes{
			Service: string(c.Service), Blame: c.Blame, Exposure: c.Exposure, SinceMs: c.SinceLast.Milliseconds(),
		})
	}
	for _, service := range r.Confined {
		w.Confined = append(w.Confined, string(service))
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
		for _, free := range p.GetIsolated() {
			pool.Isolated = append(pool.Isolated, decodeResources(free))
		}
		pool.IsolatedCores = p.GetIsolatedCapacity()
		r.Pools = append(r.Pools, pool)
	}
	for _, c := range w.GetCrashes() {
		if !isAmount(c.GetBlame()) || !isAmount(c.GetExposure()) {
			continue
		}
		r.Crashes = append(r.Crashes, medlargw.ServiceCrashes{
			Service: medlargw.ServiceName(c.GetService()), Blame: c.GetBlame(), Exposure: c.GetExposure(),
			SinceLast: time.Duration(min(max(0, c.GetSinceMs()), maxSinceMs)) * time.Millisecond,
		})
	}
	for _, service := range w.GetConfined() {
		r.Confined = append(r.Confined, medlargw.ServiceName(service))
	}
	return r
}

// maxSinceMs bounds the time since the last crash in a message.
const maxSinceMs = int64(time.Hour / time.Millisecond)

// isAmount reports whether a value is a finite amount that is not negative.
func isAmount(v float64) bool { return v >= 0 && v <= math.MaxFloat32 }
