package medlargw

import (
	"net/netip"
	"time"
)

// Settings are the settings of one entry process. In the file that package
// loader reads, a setting has the name of its field in lower case.
type Settings struct {
	Host     HostName
	Zone     ZoneName
	Listen   ListenSettings
	Store    netip.AddrPort   // Address of the platform's key-value service and host list.
	Peers    []netip.AddrPort // Entries to contact first, in any zone.
	Key      string           // Secret shared by all entries of the deployment, which signs their messages.
	Admin    string           // Secret of the administration interface.
	Favour   Favour
	Intake   IntakeSettings
	Task     TaskSettings
	Group    GroupSettings
	Lease    LeaseSettings
	Capacity CapacitySettings
	TLS      TLSSettings
}

// ListenSettings are the addresses on which the process listens.
type ListenSettings struct {
	Callers netip.AddrPort // Caller API.
	Peers   netip.AddrPort // Messages of other entries.
	Admin   netip.AddrPort // Administration interface.
}

// Favour is what a deployment optimizes for when both can't be had: low
// response times, or few messages between entries.
type Favour string

// The values of Favour.
const (
	FavourLatency  Favour = "latency"
	FavourMessages Favour = "messages"
)

// IntakeSettings are the admission limits of one entry.
type IntakeSettings struct {
	Tasks    int           // Most tasks of one job.
	Body     int64         // Largest body of a request, in bytes.
	Waiting  int           // Most waiting tasks of all teams.
	Team     int           // Most waiting tasks of one team.
	Bytes    int64         // Most memory for payloads and answers, in bytes.
	Read     time.Duration // Timeout for reading a request.
	Deadline time.Duration // Longest deadline that a caller may set.
	Kept     time.Duration // How long the answer of a job with a ticket is kept.
	Ticket   time.Duration // How long a ticket may be used after it was issued.
}

// TaskSettings are the limits of attempts.
type TaskSettings struct {
	Lease   time.Duration // Longest run time of a task.
	Answer  int64         // Largest answer of a task, in bytes.
	Tries   int           // A job fails when the attempts that did not start their task exceed Tries times its number of tasks.
	Connect time.Duration // Timeout for opening a connection to a target.
	Conns   int           // Most connections of all entries to one target.
}

// GroupSettings are the intervals and timeouts of the protocol between entries.
type GroupSettings struct {
	Beat    time.Duration // Interval of the heartbeats to each peer.
	Suspect time.Duration // Time without a heartbeat after which an entry is suspect.
	Gone    time.Duration // Time without a heartbeat after which a suspect entry is gone.
	Read    time.Duration // Interval at which the host list is read.
	Term    time.Duration // Length of a loan.
	Margin  time.Duration // How long before the end of a loan's term the borrower stops using it.
	Notice  time.Duration // How long requests are still accepted after a planned stop has begun.
	Drain   time.Duration // Longest time that a planned stop waits for running tasks.
	HTTP    int           // HTTP version of requests to peers, 1 or 2. Both are served.
}

// CapacitySettings describe the host of an entry, and whether its share of the
// targets under lease depends on that. The rate of the host's network link is
// LeaseSettings.Link.
type CapacitySettings struct {
	Shares Shares
	Cores  float64 // Processor of the host, in cores of one speed for all hosts; zero is not stated.
	Memory int64   // Memory of the process, in MiB; zero is unlimited.
	Files  int     // Descriptors of the process; zero is the limit of the operating system.
	// Relay is the lag of the control loop from which jobs are handed to peers of the
	// zone; zero hands none over and takes none.
	Relay time.Duration
}

// The most cores, and the most memory in MiB, that settings may give.
const (
	MaxCores  = 1000
	MaxMemory = 1 << 30
)

// MaxFiles is the most descriptors that settings may give.
const MaxFiles = 1 << 30

// MaxCapacity is the highest capacity of an entry, in thousandths of a core.
const MaxCapacity = 1000 * MaxCores

// Shares is what the shares of the entries in the targets under lease depend on.
type Shares string

// The values of Shares.
const (
	SharesByCapacity Shares = "capacity"
	SharesEqual      Shares = "equal"
)

// TLSSettings are the paths of the certificate and of its private key. If both
// are empty, the listener serves plain TCP.
type TLSSettings struct {
	Cert string
	Key  string
}
