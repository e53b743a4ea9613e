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
				Rank: int64(work.Rank), Work: work.Work, Arriving: work.Arriving, Invited: work.Invited,
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
			Pool: medlargw.PoolName(p.GetPool()), TotalCores: validCores(p.GetCapacity()), Started: p.GetStarted(),
			Free: decodeFree(p.GetFree()), Isolated: decodeFree(p.GetIsolated()), IsolatedCores: validCores(p.GetIsolatedCapacity()),
		}
		if us := p.GetNextUs(); us > 0 && us <= medlargw.MaxTimeLeft.Microseconds() {
			pool.NextEnd = microsToDuration(us)
		}
		for _, work := range p.GetWaiting() {
			pool.Waiting = append(pool.Waiting, medlargw.RankWork{
				Rank: int(work.GetRank()), Work: validWork(work.GetWork()), Arriving: validWork(work.GetArriving()),
				Invited: validWork(work.GetInvited()),
			})
		}
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

// decodeFree returns the free resources of targets, without those that no machine has. A
// target that has shrunk has less than none.
func decodeFree(all []*wire.Room) []medlargw.Resources {
	var free []medlargw.Resources
	for _, w := range all {
		r := decodeResources(w)
		amount := medlargw.Resources{Cores: max(r.Cores, -r.Cores), Memory: max(r.Memory, -r.Memory), Accelerators: max(r.Accelerators, -r.Accelerators)}
		if amount.IsPossible() {
			free = append(free, r)
		}
	}
	return free
}

// maxPoolTargets is more than a holder has targets.
const maxPoolTargets = 1_000_000

// validCores returns the cores of all targets of a pool, or none if that is no such sum.
func validCores(cores int64) int64 {
	if cores < 0 || cores > maxPoolTargets*1000*medlargw.MaxTargetCores {
		return 0
	}
	return cores
}

// validWork returns the work, or none if that is no such sum. Older builds state sums that
// have wrapped.
func validWork(work int64) int64 {
	if work < 0 || work > medlargw.MaxWork {
		return 0
	}
	return work
}

// maxSinceMs bounds the time since the last crash in a message.
const maxSinceMs = int64(time.Hour / time.Millisecond)

// isAmount reports whether a value is a finite amount that is not negative.
func isAmount(v float64) bool { return v >= 0 && v <= math.MaxFloat32 }
