package conductor

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// readClock returns the current time, at which the event posted at the given time is
// handled; zero is no event. If the process was stalled for too long, it fails the
// jobs of this entry.
func (c *Conductor) readClock(posted time.Time) time.Time {
	now := c.clock.Now()
	gap := now.Sub(c.lastWake)
	late := gap - idleTick // A suspended process, which the ticker does not see.
	if !posted.IsZero() {
		late = max(late, now.Sub(posted))
	}
	c.recordLateness(now, late)
	if gap > stallThreshold {
		c.log.Warn("the process stood still", zap.Duration("gap", gap))
		c.coord.AbortAll(now, "the entry stood still")
		c.holder.Tick(now)
	}
	c.keepQuiet(now)
	c.lastWake = now
	return now
}

// keepQuiet holds back the messages of the home for a moment after a pause: each says
// that the jobs that it does not cancel go on.
func (c *Conductor) keepQuiet(now time.Time) {
	if now.Sub(c.lastWake) <= medlargw.NoticeTime || c.lastWake.Before(c.quietTo) {
		return // A loop that is always late must send something.
	}
	c.quietTo = now.Add(noticeDelay)
	time.AfterFunc(noticeDelay, func() { c.post(func(time.Time) {}) }) // Flushes.
}

// recordLateness records how late the control goroutine processes a timer or an
// event.
func (c *Conductor) recordLateness(now time.Time, late time.Duration) {
	c.gauger.Record(now, late)
	lag := c.gauger.Lag(now)
	c.lag.Store(int64(lag))
	c.coord.SetLag(lag)
	c.holder.SetLag(lag)
}

// Lag returns how late the control goroutine was in about the last second; zero
// while it is on time.
func (c *Conductor) Lag() time.Duration { return time.Duration(c.lag.Load()) }

// uptime returns the time since this entry started. It is the clock on which
// medlargw.Offer.ValidUntil is expressed.
func (c *Conductor) uptime(now time.Time) time.Duration { return now.Sub(c.startedAt) }
