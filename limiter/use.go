package limiter

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"medlargw.example/medlargw"
)

// startSlack is added to the wait for a start, so that the token is there.
const startSlack = time.Millisecond

// use is what one lane uses of its limit.
type use struct {
	configured medlargw.Limit
	share      medlargw.Limit
	shared     bool // The share replaces the configured limit.
	limit      medlargw.Limit
	running    int
	starts     *rate.Limiter // Nil is no bound.
}

func (u *use) configure(limit medlargw.Limit) {
	u.configured = limit
	u.derive()
}

// derive finds the limit in force. A share of zero allows nothing, but only
// where the configured limit is a bound.
func (u *use) derive() {
	before := u.limit.Starts
	u.limit = u.configured
	if u.shared && u.configured.Running > 0 {
		u.limit.Running = u.share.Running
	}
	if u.shared && u.configured.Starts > 0 {
		u.limit.Starts = u.share.Starts
	}
	if u.configured.Starts == 0 {
		u.starts = nil
		return
	}
	burst := max(1, int(math.Ceil(u.limit.Starts))) // One second of starts.
	switch {
	case u.starts == nil:
		u.starts = rate.NewLimiter(rate.Limit(u.limit.Starts), burst)
	case before != u.limit.Starts:
		u.starts.SetLimit(rate.Limit(u.limit.Starts))
		u.starts.SetBurst(burst)
	}
}

// allows says whether one more start keeps the limit, or when it may.
func (u *use) allows(now time.Time) (bool, time.Time) {
	if u.full() {
		return false, time.Time{}
	}
	if u.starts == nil {
		return true, time.Time{}
	}
	if u.limit.Starts == 0 {
		return false, time.Time{}
	}
	tokens := u.starts.TokensAt(now)
	if tokens >= 1 {
		return true, time.Time{}
	}
	wait := time.Duration((1 - tokens) / u.limit.Starts * float64(time.Second))
	return false, now.Add(wait + startSlack)
}

func (u *use) full() bool { return u.configured.Running > 0 && u.running >= u.limit.Running }

func (u *use) take(now time.Time) {
	u.running++
	if u.starts != nil {
		u.starts.AllowN(now, 1)
	}
}
