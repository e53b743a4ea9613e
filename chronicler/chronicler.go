// Package chronicler derives from successive reads of the host list when each target has
// last told its state.
package chronicler

import (
	"encoding/binary"
	"errors"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlargw.example/medlargw"
)

// Chronicler knows a lower bound of the time at which each target last reported to the
// platform. A report that a read shows, and the read before it did not, was written after
// that read was sent. What a target reports holds from then on until it changes, but not
// from the time of a read on: the store may have been away, or the target cut off from it.
// It is not safe for concurrent use.
type Chronicler struct {
	interval time.Duration // Of the reports of a target.
	lastRead time.Time     // When the last read was sent; zero is never.
	reports  map[medlargw.TargetName]uint64
	told     map[medlargw.TargetName]time.Time
}

// New returns a chronicler without any read. The interval is that of the reports of a
// target.
func New(interval time.Duration) *Chronicler {
	return &Chronicler{interval: interval, reports: map[medlargw.TargetName]uint64{}, told: map[medlargw.TargetName]time.Time{}}
}

// Record records the reports that a read of the list has shown, as numbers that change with
// each report, and when the read was sent. Before the first read, a target is taken to have
// reported within the interval.
func (c *Chronicler) Record(sentAt time.Time, reports map[medlargw.TargetName]uint64) {
	if sentAt.Before(c.lastRead) {
		return
	}
	since := c.lastRead
	if since.IsZero() {
		since = sentAt.Add(-c.interval)
	}
	for name, n := range reports {
		if before, known := c.reports[name]; known && before == n {
			continue
		}
		c.reports[name] = n
		c.raise(name, since)
	}
	c.lastRead = sentAt
	gone := func(name medlargw.TargetName) bool { _, listed := reports[name]; return !listed }
	maps.DeleteFunc(c.reports, func(name medlargw.TargetName, _ uint64) bool { return gone(name) })
	maps.DeleteFunc(c.told, func(name medlargw.TargetName, _ time.Time) bool { return gone(name) })
}

func (c *Chronicler) raise(name medlargw.TargetName, at time.Time) {
	if at.After(c.told[name]) {
		c.told[name] = at
	}
}

// Raise takes a lower bound for the listed targets that another source vouches for.
func (c *Chronicler) Raise(names []medlargw.TargetName, at time.Time) {
	for _, name := range names {
		c.raise(name, at)
	}
}

// Told returns a copy of the times.
func (c *Chronicler) Told() map[medlargw.TargetName]time.Time { return maps.Clone(c.told) }

// Oldest returns the earliest of the times, zero if there is none.
func (c *Chronicler) Oldest() time.Time {
	var oldest time.Time
	for _, at := range c.told {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// Sizes of the encoding: the start of the hash of a name, and an age in milliseconds.
const (
	hashBytes = 4
	ageBytes  = 2
	maxAge    = 1<<16 - 1
)

// errLength is returned for an encoding that is cut off.
var errLength = errors.New("ages of reports: the length is not that of whole rows")

func hashOf(name medlargw.TargetName) uint32 { return uint32(xxhash.Sum64String(string(name))) } //nolint:gosec // Truncated on purpose.

// Encode returns the ages of the reports for a peer. Those that are too old are left out.
func (c *Chronicler) Encode(now time.Time) []byte {
	body := make([]byte, 0, len(c.told)*(hashBytes+ageBytes))
	for name, at := range c.told {
		age := (now.Sub(at) + time.Millisecond - 1) / time.Millisecond
		if age < 0 || age > maxAge {
			continue
		}
		body = binary.BigEndian.AppendUint32(body, hashOf(name))
		body = binary.BigEndian.AppendUint16(body, uint16(age)) //nolint:gosec // Bounded above.
	}
	return body
}

// Merge takes the ages of a peer's encoding for the given targets, counted from the time at
// which it was requested. Of two targets with the same hash the older age counts.
func (c *Chronicler) Merge(body []byte, requestedAt time.Time, names []medlargw.TargetName) error {
	if len(body)%(hashBytes+ageBytes) != 0 {
		return errLength
	}
	ages := make(map[uint32]time.Duration, len(body)/(hashBytes+ageBytes))
	for ; len(body) > 0; body = body[hashBytes+ageBytes:] {
		hash := binary.BigEndian.Uint32(body)
		age := time.Duration(binary.BigEndian.Uint16(body[hashBytes:])) * time.Millisecond
		ages[hash] = max(ages[hash], age)
	}
	for _, name := range names {
		if age, ok := ages[hashOf(name)]; ok {
			c.raise(name, requestedAt.Add(-age))
		}
	}
	return nil
}
