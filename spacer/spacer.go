// Package spacer spaces requests that any of several peers can answer, and of which one
// answer is enough.
//
// One request is outstanding as long as answers come quickly. After a pause another may
// be sent, to the peer that is heard next, while those before stay outstanding: a peer
// that is slow for lack of processor time is still heard, and one that hangs does not
// keep the others from answering.
package spacer

import (
	"sync"
	"time"
)

const (
	// minPause is the time after which a second request may be sent. It doubles with each
	// request that is outstanding.
	minPause       = 700 * time.Millisecond
	maxOutstanding = 4
)

// Spacer counts the outstanding requests. It is safe for concurrent use. The zero value
// is ready.
type Spacer struct {
	mu          sync.Mutex
	outstanding int
	next        time.Time // Earliest time of another request.
}

// Start reports whether a request may be sent. The caller must call End when it has
// ended.
func (s *Spacer) Start(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outstanding > 0 && (s.outstanding == maxOutstanding || now.Before(s.next)) {
		return false
	}
	s.next = now.Add(minPause << s.outstanding)
	s.outstanding++
	return true
}

// End records that a request has ended.
func (s *Spacer) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
}
