package lender

import (
	"time"

	"medlargw.example/medlargw"
)

// tuning holds the parameters that trade response time against messages.
type tuning struct {
	checkInterval         time.Duration // Between two checks for a shortage.
	partialReplyWait      time.Duration // How long a request is held while only a part of it can be met.
	emptyReplyWait        time.Duration // How long a request is held while no part of it can be met.
	requestsPerSecond     float64       // Rate of slot requests.
	requestBurst          float64       // Capacity of the token bucket for slot requests.
	overuseReportInterval time.Duration // Between two reports of use that no loan covers.
	idleRetention         time.Duration // How long an unused loan is kept; zero keeps it until its renewal.
	renewalsPerTerm       int           // Renewals of a loan per term.
	initialBackoff        time.Duration // After the first request that brought nothing.
}

// maxBackoff bounds the delay between two requests to a lender without slots.
const maxBackoff = time.Second

func tuningFor(f medlargw.Favour, loanTerm time.Duration) tuning {
	t := latencyTuning
	if f == medlargw.FavourMessages {
		t = messagesTuning
	}
	t.emptyReplyWait = min(t.emptyReplyWait, loanTerm/8)
	t.partialReplyWait = min(t.partialReplyWait, t.emptyReplyWait)
	return t
}

// The parameters for each value of the setting "favour".
var (
	latencyTuning = tuning{
		checkInterval:         5 * time.Millisecond,
		partialReplyWait:      5 * time.Millisecond,
		emptyReplyWait:        20 * time.Millisecond,
		requestsPerSecond:     15,
		requestBurst:          20,
		overuseReportInterval: 50 * time.Millisecond,
		idleRetention:         50 * time.Millisecond,
		renewalsPerTerm:       2,
		initialBackoff:        5 * time.Millisecond,
	}
	messagesTuning = tuning{
		checkInterval:         25 * time.Millisecond,
		partialReplyWait:      25 * time.Millisecond,
		emptyReplyWait:        25 * time.Millisecond,
		requestsPerSecond:     4,
		requestBurst:          8,
		overuseReportInterval: 200 * time.Millisecond,
		idleRetention:         50 * time.Millisecond,
		renewalsPerTerm:       2,
		initialBackoff:        200 * time.Millisecond,
	}
)

// renewalInterval returns the time between two renewals of a loan.
func (t *tuning) renewalInterval(term time.Duration) time.Duration {
	return term / time.Duration(t.renewalsPerTerm)
}
