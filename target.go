package medlargw

import (
	"net/netip"
	"time"
)

// Target is a host of the platform that runs tasks.
type Target struct {
	Name    TargetName
	Zone    ZoneName
	Addr    netip.AddrPort
	Slots   int   // Tasks that it runs side by side.
	Memory  int64 // Largest task that it can hold, in bytes; zero is unlimited.
	Leaving bool  // It gets no new task.

	// Of targets under lease.
	Pool PoolName
	Room Room
	Born time.Time // Start of its incarnation; zero is unknown.
}

// EntryHost is one entry host as the platform lists it.
type EntryHost struct {
	Name  HostName
	Zone  ZoneName
	Addr  netip.AddrPort // Where it serves the other entries.
	Admin netip.AddrPort // Where it serves operators.
}

// HostList is the platform's list of hosts. It lags behind the truth.
type HostList struct {
	Version uint64 // Rises with each change.
	Taken   time.Time
	Targets []Target
	Entries []EntryHost
}
