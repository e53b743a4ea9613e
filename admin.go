package medlargw

import (
	"net/netip"
	"time"
)

// EntryStatus is the state of one entry as its administration interface reports
// it to operators.
type EntryStatus struct {
	Self         Member
	Version      string
	Started      time.Time // When the process started.
	TakenAt      time.Time // When the entry took this snapshot.
	LogLevel     string
	Generation   uint64    // Of the configuration in use; zero is none yet.
	ConfiguredAt time.Time // When that configuration came into use; zero is not yet.
	Teams        int
	Services     int
	Classes      []Class
	Evacuated    []ZoneName // Zones whose targets get no new tasks.
	Members      []Member   // As this entry sees them.
	Dispatch     DispatchStatus
}

// EntryResponse is the response of one entry to an administration request, or
// the error that prevented it.
type EntryResponse struct {
	Host   HostName // Empty if neither the entry nor a peer has reported its name.
	Zone   ZoneName
	Addr   netip.AddrPort
	Status EntryStatus
	Burn   BurnStatus
	Err    error
}
