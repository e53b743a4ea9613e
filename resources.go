package medlargw

import (
	"slices"
	"time"
)

// Resources is an amount of cores, memory and accelerators.
type Resources struct {
	Cores        int64 // Thousandths of a core.
	Memory       int64 // MiB.
	Accelerators int64
}

// Covers reports whether r has at least the needed amount of each resource.
func (r Resources) Covers(need Resources) bool {
	return need.Cores <= r.Cores && need.Memory <= r.Memory && need.Accelerators <= r.Accelerators
}

// Add returns the sum of both.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		Cores:        r.Cores + other.Cores,
		Memory:       r.Memory + other.Memory,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Sub returns r less the other, which may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		Cores:        r.Cores - other.Cores,
		Memory:       r.Memory - other.Memory,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// MaxWork bounds the work of one rank at one entry, in thousandths of a core times
// milliseconds: that of 50,000 cores for some minutes. The sum of half a million of them
// doesn't wrap.
const MaxWork = 1 << 44

// Work returns the work of n tasks that take the resources for the duration, in thousandths
// of a core times milliseconds, at most MaxWork.
func (r Resources) Work(n int, d time.Duration) int64 {
	work := float64(n) * float64(r.Cores) * float64(d.Milliseconds())
	return int64(min(max(work, 0), MaxWork))
}

// PoolName names a set of targets that run the tasks of the same services.
type PoolName string

// PoolResources summarizes the free resources and the waiting work of one
// holder in one pool, and the demand at the same entry as a home.
type PoolResources struct {
	Pool       PoolName
	Free       []Resources   // Free resources of each target that takes new runs.
	TotalCores int64         // Total cores of those targets, free or not, in thousandths of a core.
	Waiting    []RankWork    // By rank.
	Started    int64         // Work started per second over about the last second, as RankWork.Work.
	NextEnd    time.Duration // Time until the next run is expected to end and to free resources; zero is unknown.

	// Of the targets that are set apart for confined services, which the figures above
	// leave out while there are any.
	Isolated      []Resources // Free resources of each target that takes new runs.
	IsolatedCores int64       // Total cores, free or not, in thousandths of a core.
}

// ForConfined returns the resources as a confined service sees them.
func (p *PoolResources) ForConfined() *PoolResources {
	c := *p
	c.Free, c.TotalCores = p.Isolated, p.IsolatedCores
	return &c
}

// RankWork is the work of one rank at one entry, in thousandths of a core times
// milliseconds.
type RankWork struct {
	Rank     int
	Work     int64 // That waits in the queue of the holder.
	Arriving int64 // Of new jobs at the home, per second. Callers who come back as they were told don't count.
	Invited  int64 // Of refused callers whom the home has told to come back at a later time.
}

// AddWaiting adds the work of a waiting task, which takes the resources for the
// duration.
func (p *PoolResources) AddWaiting(rank int, resources Resources, d time.Duration) {
	work := resources.Work(1, d)
	for i := range p.Waiting {
		if p.Waiting[i].Rank == rank {
			p.Waiting[i].Work = min(p.Waiting[i].Work+work, MaxWork)
			return
		}
	}
	p.Waiting = append(p.Waiting, RankWork{Rank: rank, Work: work})
}

// AddDemand adds the demand at the home.
func (p *PoolResources) AddDemand(demand []RankWork) {
	for _, d := range demand {
		i := slices.IndexFunc(p.Waiting, func(w RankWork) bool { return w.Rank == d.Rank })
		if i < 0 {
			p.Waiting = append(p.Waiting, d)
			continue
		}
		p.Waiting[i].Arriving = min(p.Waiting[i].Arriving+d.Arriving, MaxWork)
		p.Waiting[i].Invited = min(p.Waiting[i].Invited+d.Invited, MaxWork)
	}
}

// Pool returns the resources of the pool, and adds them if there are none yet.
func (r *HolderResources) Pool(name PoolName) *PoolResources {
	for i := range r.Pools {
		if r.Pools[i].Pool == name {
			return &r.Pools[i]
		}
	}
	r.Pools = append(r.Pools, PoolResources{Pool: name})
	return &r.Pools[len(r.Pools)-1]
}

// WorkAhead returns the waiting work that is served before a new task of the rank,
// in thousandths of a core times milliseconds.
func (p *PoolResources) WorkAhead(rank int) int64 {
	return p.sumAhead(rank, func(w *RankWork) int64 { return w.Work })
}

// ArrivingAhead returns the work of new jobs of the rank and of more urgent ones at the
// home, per second, in thousandths of a core times milliseconds.
func (p *PoolResources) ArrivingAhead(rank int) int64 {
	return p.sumAhead(rank, func(w *RankWork) int64 { return w.Arriving })
}

// sumAhead returns the sum of an amount over the rank and the more urgent ones.
func (p *PoolResources) sumAhead(rank int, amount func(w *RankWork) int64) int64 {
	var sum int64
	for i := range p.Waiting {
		if w := &p.Waiting[i]; w.Rank <= rank {
			sum += amount(w)
		}
	}
	return sum
}

// HolderResources summarizes the free resources and the waiting work of a
// holder. Of two from one incarnation of the holder, the one with the higher
// Sequence is newer.
type HolderResources struct {
	Sequence uint64
	Pools    []PoolResources
	Clock    time.Duration    // The holder's clock when the message was sent; zero is unknown.
	Protocol int              // Version of the messages between homes and holders that the holder reads.
	Crashes  []ServiceCrashes // What the holder has seen of crashes lately.
	Confined []ServiceName    // Services whose tasks the holder starts on isolated targets only.
}

// ProtocolSharedPayloads is the first version of the messages between homes and
// holders in which the tasks of an offer may share a payload.
const ProtocolSharedPayloads = 1

// Clone returns a deep copy.
func (r *HolderResources) Clone() HolderResources {
	c := *r
	c.Pools = slices.Clone(r.Pools)
	for i := range c.Pools {
		c.Pools[i].Free = slices.Clone(c.Pools[i].Free)
		c.Pools[i].Isolated = slices.Clone(c.Pools[i].Isolated)
		c.Pools[i].Waiting = slices.Clone(c.Pools[i].Waiting)
	}
	return c
}
