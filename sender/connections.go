package sender

import (
	"net"
	"net/http"
	"time"

	"medlargw.example/medlargw"
)

// idleTimeout is how long an unused connection to a target is kept.
const idleTimeout = 30 * time.Second

// newTransport returns a transport with at most conns connections to each
// target.
func newTransport(task *medlargw.TaskSettings, conns int) *http.Transport {
	dialer := &net.Dialer{Timeout: task.Connect}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		MaxConnsPerHost:       conns,
		MaxIdleConnsPerHost:   conns,
		IdleConnTimeout:       idleTimeout,
		DisableCompression:    true,
		ResponseHeaderTimeout: task.Lease + task.Connect,
	}
}

// MembersChanged divides the connections to a target among the entries of the
// zone, except for those that are gone. When the share of this entry changes,
// idle connections are closed at once and busy ones at the end of their attempt.
func (s *Sender) MembersChanged(all []medlargw.Member) {
	entries := 0
	for i := range all {
		if all[i].Zone == s.zone && all[i].State != medlargw.MemberGone {
			entries++
		}
	}
	share := max(s.task.Conns/max(entries, 1), 1)
	old := s.transport.Load()
	if old.MaxConnsPerHost == share {
		return
	}
	s.transport.Store(newTransport(&s.task, share))
	old.CloseIdleConnections()
}
