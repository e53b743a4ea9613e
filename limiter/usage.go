package limiter

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"medlargw.example/medlargw"
)

// startSlack is added to the wait for a start, so that the bucket surely has a
// token then.
const startSlack = time.Millisecond

// usage is the limit of one scope and the part of it that is in use.
type usage struct {
	configured  medlargw.Limit
	share       medlargw.Limit
	hasShare    bool // The share replaces the configured limit.
	limit       medlargw.Limit
	running     int
	startBucket *rate.Limiter // Nil is no limit of starts.
}

func (u *usage) configure(limit medlargw.Limit) {
	u.configured = limit
	u.derive()
}

// derive computes the limit in force. A share replaces only the parts of the
// limit that are configured; a share of zero then allows nothing.
func (u *usage) derive() {
	before := u.limit.Starts
	u.limit = u.configured
	if u.hasShare && u.configured.Running > 0 {
		u.limit.Running = u.share.Running
	}
	if u.hasShare && u.configured.Starts > 0 {
		u.limit.Starts = u.share.Starts
	}
	if u.configured.Starts == 0 {
		u.startBucket = nil
		return
	}
	burst := max(1, int(math.Ceil(u.limit.Starts))) // One second of starts.
	switch {
	case u.startBucket == nil:
		u.startBucket = rate.NewLimiter(rate.Limit(u.limit.Starts), burst)
	case before != u.limit.Starts:
		u.startBucket.SetLimit(rate.Limit(u.limit.Starts))
		u.startBucket.SetBurst(burst)
	}
}

// allows reports whether the limit allows one more start. If the rate of starts
// does not, it returns the time at which to try again.
func (u *usage) allows(now time.Time) (bool, time.Time) {
	if u.full() {
		return false, time.Time{}
	}
	if u.startBucket == nil {
		return true, time.Time{}
	}
	if u.limit.Starts == 0 {
		return false, time.Time{}
	}
	tokens := u.startBucket.TokensAt(now)
	if tokens >= 1 {
		return true, time.Time{}
	}
	wait := time.Duration((1 - tokens) / u.limit.Starts * float64(time.Second))
	return false, now.Add(wait + startSlack)
}

func (u *usage) full() bool { return u.configured.Running > 0 && u.running >= u.limit.Running }

func (u *usage) reserve(now time.Time) {
	u.running++
	if u.startBucket != nil {
		u.startBucket.AllowN(now, 1)
	}
}
