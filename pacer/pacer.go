// Package pacer accounts for the bytes that an entry sends over its network link,
// so that payloads wait in the entry, in the order of their precedence, and not
// in the link, where they would delay heartbeats and renewals. Messages without
// a payload are accounted for too, but never wait.
package pacer

import "time"

const (
	// usableShare is the share of the link that messages may take. The rest is for
	// the overhead of TCP and IP, and for messages that are not accounted for.
	usableShare = 0.9
	// maxDelay is the longest time that accepted bytes may take to be sent before
	// further payloads must wait. Orders time out after some 200 ms.
	maxDelay = 40 * time.Millisecond
)

// Pacer is the account of one link. The time is an argument of each call. The
// zero value is a link without a limit.
type Pacer struct {
	rate   float64   // Bytes per second; zero is unlimited.
	freeAt time.Time // When the bytes accepted so far have been sent.
}

// New returns the account of a link with the given rate in bytes per second;
// zero is unlimited.
func New(rate int64) *Pacer { return &Pacer{rate: usableShare * float64(rate)} }

// Add accounts for bytes that are sent now.
func (p *Pacer) Add(now time.Time, bytes int) {
	if p.rate == 0 {
		return
	}
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(p.Duration(bytes))
}

// Duration returns how long the link takes to send the bytes.
func (p *Pacer) Duration(bytes int) time.Duration {
	if p.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / p.rate * float64(time.Second))
}

// Delay returns how long the link takes to send the bytes accepted so far.
func (p *Pacer) Delay(now time.Time) time.Duration { return max(0, p.freeAt.Sub(now)) }

// Busy reports whether payloads must wait.
func (p *Pacer) Busy(now time.Time) bool { return p.Delay(now) > maxDelay }
