package lender

import (
	"time"

	"medlargw.example/medlargw"
)

// pace is how eagerly an entry borrows.
type pace struct {
	turn     time.Duration // Between two looks at what is short.
	patience time.Duration // That a request waits for more than a part of its wish.
	park     time.Duration // That a request waits for anything.
	rate     float64       // Requests per second.
	burst    float64       // Requests at once.
	drain    time.Duration // Between two reports of what is in use without a right.
	linger   time.Duration // That a loan is kept for without use; zero waits for its renewal.
	renewals int           // Of a loan in a term.
	backoff  time.Duration // After a first request in vain.
}

// maxBackoff bounds the time between two requests to a lender without slots.
const maxBackoff = time.Second

func paceOf(f medlargw.Favour, term time.Duration) pace {
	p := latencyPace
	if f == medlargw.FavourMessages {
		p = messagesPace
	}
	p.park = min(p.park, term/8)
	p.patience = min(p.patience, p.park)
	return p
}

// The paces at the ends of the setting "favour".
var (
	latencyPace = pace{
		turn:     5 * time.Millisecond,
		patience: 5 * time.Millisecond,
		park:     20 * time.Millisecond,
		rate:     15,
		burst:    20,
		drain:    50 * time.Millisecond,
		linger:   50 * time.Millisecond,
		renewals: 2,
		backoff:  5 * time.Millisecond,
	}
	messagesPace = pace{
		turn:     25 * time.Millisecond,
		patience: 25 * time.Millisecond,
		park:     25 * time.Millisecond,
		rate:     4,
		burst:    8,
		drain:    200 * time.Millisecond,
		linger:   50 * time.Millisecond,
		renewals: 2,
		backoff:  200 * time.Millisecond,
	}
)

// renew returns the time between two renewals of a loan.
func (p *pace) renew(term time.Duration) time.Duration { return term / time.Duration(p.renewals) }
