// Package chronicler keeps what the targets have last reported of themselves to the
// platform, and passes it on to peers.
package chronicler

import (
	"encoding/binary"
	"errors"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlargw.example/medlargw"
)

// Chronicler keeps the latest report of each target. A report is dated by the target's own
// clock: neither a read of the host list nor its way through peers makes it younger. It is
// not safe for concurrent use.
type Chronicler struct {
	reports map[medlargw.TargetName]medlargw.TargetReport
	seen    map[medlargw.TargetName]time.Time // When each of the reports was first seen here.
}

// New returns a chronicler without reports.
func New() *Chronicler {
	return &Chronicler{reports: map[medlargw.TargetName]medlargw.TargetReport{}, seen: map[medlargw.TargetName]time.Time{}}
}

// Record records the reports in a host list that was read. Targets that it lacks are
// forgotten.
func (c *Chronicler) Record(now time.Time, reports map[medlargw.TargetName]medlargw.TargetReport) {
	for name, r := range reports {
		c.raise(now, name, r)
	}
	c.retain(func(name medlargw.TargetName) bool {
		_, listed := reports[name]
		return listed
	})
}

// retain forgets the reports of all other targets.
func (c *Chronicler) retain(listed func(name medlargw.TargetName) bool) {
	maps.DeleteFunc(c.reports, func(name medlargw.TargetName, _ medlargw.TargetReport) bool { return !listed(name) })
	maps.DeleteFunc(c.seen, func(name medlargw.TargetName, _ time.Time) bool { return !listed(name) })
}

// raise takes a report that is later than the known one.
func (c *Chronicler) raise(now time.Time, name medlargw.TargetName, r medlargw.TargetReport) {
	known, ok := c.reports[name]
	if ok && (known.IncarnationStart.After(r.IncarnationStart) || known.IncarnationStart.Equal(r.IncarnationStart) && known.Clock >= r.Clock) {
		return
	}
	c.reports[name] = r
	c.seen[name] = now
}

// Reports returns a copy of the reports.
func (c *Chronicler) Reports() map[medlargw.TargetName]medlargw.TargetReport {
	return maps.Clone(c.reports)
}

// AllSince reports whether each target's latest report was first seen after the given time.
func (c *Chronicler) AllSince(since time.Time) bool {
	for _, at := range c.seen {
		if !at.After(since) {
			return false
		}
	}
	return true
}

// Sizes of the encoding: the start of a hash of the name and the incarnation of a target,
// and the clock in its report in milliseconds.
const (
	hashBytes  = 4
	clockBytes = 4
	maxClock   = 1<<32 - 1
)

// errLength is returned for an encoding that is cut off.
var errLength = errors.New("reports of targets: the length is not that of whole rows")

func hashOf(name medlargw.TargetName, born time.Time) uint32 {
	key := binary.BigEndian.AppendUint64([]byte(name), uint64(born.UnixMilli())) //nolint:gosec // Only hashed.
	return uint32(xxhash.Sum64(key))                                             //nolint:gosec // Truncated on purpose.
}

// Encode returns the reports for a peer.
func (c *Chronicler) Encode() []byte {
	body := make([]byte, 0, len(c.reports)*(hashBytes+clockBytes))
	for name, r := range c.reports {
		ms := r.Clock.Milliseconds()
		if ms < 0 || ms > maxClock {
			continue
		}
		body = binary.BigEndian.AppendUint32(body, hashOf(name, r.IncarnationStart))
		body = binary.BigEndian.AppendUint32(body, uint32(ms)) //nolint:gosec // Bounded above.
	}
	return body
}

// Merge takes the reports of a peer's encoding for the given targets, which are those of
// the host list; others are forgotten. Of two targets with the same hash the earlier clock
// counts for both.
func (c *Chronicler) Merge(now time.Time, body []byte, targets []medlargw.Target) error {
	if len(body)%(hashBytes+clockBytes) != 0 {
		return errLength
	}
	clocks := make(map[uint32]time.Duration, len(body)/(hashBytes+clockBytes))
	for ; len(body) > 0; body = body[hashBytes+clockBytes:] {
		hash := binary.BigEndian.Uint32(body)
		clock := time.Duration(binary.BigEndian.Uint32(body[hashBytes:])) * time.Millisecond
		if known, ok := clocks[hash]; !ok || clock < known {
			clocks[hash] = clock
		}
	}
	listed := make(map[medlargw.TargetName]bool, len(targets))
	for i := range targets {
		t := &targets[i]
		listed[t.Name] = true
		if clock, ok := clocks[hashOf(t.Name, t.IncarnationStart)]; ok {
			c.raise(now, t.Name, medlargw.TargetReport{Clock: clock, IncarnationStart: t.IncarnationStart})
		}
	}
	c.retain(func(name medlargw.TargetName) bool { return listed[name] })
	return nil
}
