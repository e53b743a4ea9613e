package shedder

import (
	"runtime"
	"runtime/metrics"
	"sync"
)

// garbage counts the memory that requests have held and that may not be collected. The
// lock of the shedder guards it.
type garbage struct {
	bytes      int64
	cycles     uint64 // Collections until the count began.
	collecting bool
}

// collect forgets what was collected since the count began, and else collects. It unlocks
// the lock, which must be held, while it collects.
func (g *garbage) collect(mu *sync.Mutex) {
	cycles := collections()
	// A collection that was under way when the count began has freed nothing of it.
	if cycles < g.cycles+2 {
		old := g.bytes
		g.collecting = true
		mu.Unlock()
		runtime.GC()
		cycles = collections()
		mu.Lock()
		g.collecting = false
		g.bytes -= old
	} else {
		g.bytes = 0
	}
	g.cycles = cycles
}

// collections returns the number of collections that have ended.
func collections() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
