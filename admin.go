package medlargw

import (
	"net/netip"
	"time"
)

// EntryStatus is what one entry shows to operators.
type EntryStatus struct {
	Self       Member
	Version    string
	Started    time.Time
	Taken      time.Time // When the entry answered.
	Level      string    // Of its log.
	Generation uint64    // Of the configuration in force; zero is none yet.
	InForce    time.Time // Since when; zero is not yet.
	Teams      int
	Services   int
	Classes    []Class
	Members    []Member // As this entry sees them.
	Core       CoreStatus
}

// EntryAnswer is the answer of one entry, or why there is none.
type EntryAnswer struct {
	Host   HostName // Empty when neither it nor a peer has told its name.
	Zone   ZoneName
	Addr   netip.AddrPort
	Status EntryStatus
	Burn   BurnStatus
	Err    error
}
