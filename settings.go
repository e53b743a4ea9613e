package medlargw

import (
	"net/netip"
	"time"
)

// Settings are what one process is told at its start.
type Settings struct {
	Host   HostName
	Zone   ZoneName
	Listen ListenSettings
	Store  netip.AddrPort   // The platform's key-value service and host list.
	Peers  []netip.AddrPort // Entries to greet first, in any zone.
	Key    string           // Shared by all entries of the deployment.
	Admin  string           // Key of the administration interface.
	Favour Favour
	Intake IntakeSettings
	Task   TaskSettings
	Group  GroupSettings
	Lease  LeaseSettings
	TLS    TLSSettings
}

// ListenSettings are the addresses that the process serves.
type ListenSettings struct {
	Callers netip.AddrPort
	Peers   netip.AddrPort
	Admin   netip.AddrPort
}

// Favour is what a deployment weighs more.
type Favour string

// The values of Favour.
const (
	FavourLatency  Favour = "latency"
	FavourMessages Favour = "messages"
)

// IntakeSettings bound what one entry accepts.
type IntakeSettings struct {
	Tasks    int           // Tasks of one job.
	Body     int64         // Bytes of one request.
	Waiting  int           // Tasks waiting at a time, over all teams.
	Team     int           // Tasks waiting at a time of one team.
	Bytes    int64         // Payload and answer bytes held at a time.
	Read     time.Duration // Longest time in which a request must have arrived.
	Deadline time.Duration // Longest deadline that a caller may ask for.
	Kept     time.Duration // How long an answer can be fetched again by its ticket.
	Ticket   time.Duration // How long a ticket may be used after it was minted.
}

// TaskSettings bound one attempt.
type TaskSettings struct {
	Lease   time.Duration // Longest run time of a task.
	Answer  int64         // Bytes of one task's answer.
	Tries   int           // Attempts that may be proven not started before the job fails.
	Connect time.Duration // Time to open a connection to a target.
	Conns   int           // Connections to one target over all entries.
}

// GroupSettings are the times of the entries' dealings with each other.
type GroupSettings struct {
	Beat    time.Duration // Between two heartbeats to one peer.
	Suspect time.Duration // Silence after which an entry is suspect.
	Gone    time.Duration // Silence after which a suspect entry is gone.
	Read    time.Duration // Between two readings of the list of hosts.
	Term    time.Duration // Length of a loan.
	Margin  time.Duration // Time before the term's end at which a borrower stops.
	Notice  time.Duration // Time in which a planned stop still accepts requests.
	Drain   time.Duration // Longest time that a planned stop waits for running tasks.
	HTTP    int           // Version of HTTP to peers, 1 or 2; both are served.
}

// TLSSettings name the certificate of each listener; empty is plain TCP.
type TLSSettings struct {
	Cert string
	Key  string
}
