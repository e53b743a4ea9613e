package apportioner

import "medlargw.example/medlargw"

// What the work of one core of the reference takes of the other resources.
const (
	// linkPerCore is the rate of the network link. A task takes about a millisecond
	// of processor time, and about 2,500 bytes in each direction: an offer, a start
	// order, reports, their share of heartbeats and a small payload.
	linkPerCore = 2_500_000 // Bytes per second.
	// baseMemory is the memory of an entry without work, and memoryPerCore that of
	// connections and jobs.
	baseMemory    = 32  // MiB.
	memoryPerCore = 128 // MiB.
)

// Capacity returns the capacity that an entry with the settings states, in
// thousandths of a core of the reference; zero if it states none. The processor
// limits how many targets an entry can serve, unless the link or the memory is too
// small for the work of that much processor.
func Capacity(s *medlargw.Settings) int64 {
	c := &s.Capacity
	if c.Shares != medlargw.SharesByCapacity || c.Cores <= 0 {
		return 0
	}
	cores := min(c.Cores, medlargw.MaxCores)
	if s.Lease.Link > 0 {
		cores = min(cores, float64(s.Lease.Link)/linkPerCore)
	}
	if c.Memory > 0 {
		cores = min(cores, float64(c.Memory-baseMemory)/memoryPerCore)
	}
	return max(1, int64(cores*1000))
}
