package placer

import (
	"math"
	"time"

	"medlargw.example/medlargw"
)

const (
	// brokenFailureRate is the failure rate that a broken target is assumed to
	// have.
	brokenFailureRate = 0.9
	// inconclusiveFailureRate is the least failure rate of a service on other
	// targets at which its failures are no evidence against a target.
	inconclusiveFailureRate = 0.5
	// healthyUnreachableRate is the rate of failed connections that a healthy
	// target is assumed to have.
	healthyUnreachableRate = 0.05
	// maxQuarantinedShare is the share of the targets that may be quarantined.
	maxQuarantinedShare = 0.5

	// maxSlowShare is the share of the targets beyond which none is quarantined
	// for being slow. Together with the slowness threshold it bounds the
	// throughput that quarantine gives up.
	maxSlowShare = 0.1

	initialProbeDelay  = time.Second
	maxProbeDelay      = time.Minute
	shortProbeDelay    = 100 * time.Millisecond // After a successful or inconclusive probe.
	requiredGoodProbes = 2                      // Successful probes in a row that end a quarantine.

	busyPause        = 20 * time.Millisecond
	unreachablePause = 200 * time.Millisecond
	drainingPause    = 30 * time.Second
)

// quarantine is the evidence against a target and the state of its quarantine.
type quarantine struct {
	evidence    float64        // Log likelihood ratio of broken to healthy.
	lastJob     medlargw.JobID // The last that counted as a failure, or the probe.
	quarantined bool           // The target is out of use.
	slow        bool           // The only reason is that the target is slow.
	probing     bool
	goodProbes  int // Successful probes in a row.
	probeDelay  time.Duration
	nextProbe   time.Time // Earliest time of the next probe.
	since       time.Time
	reason      string
}

// probe is the element of a quarantined target in the heap of due probes.
type probe struct {
	target *target
	index  int
}

// Before orders probes by the time they are due.
func (p *probe) Before(other *probe) bool {
	return p.target.quarantine.nextProbe.Before(other.target.quarantine.nextProbe)
}

// Position returns where the ranker keeps the element's index.
func (p *probe) Position() *int { return &p.index }

// probeDue reports whether a probe may be sent now.
func (t *target) probeDue(now time.Time) bool {
	q := &t.quarantine
	return q.quarantined && !q.probing && !now.Before(q.nextProbe) && t.used < t.allocation.Slots &&
		!t.setAside && !t.draining(now) && !t.expired(now)
}

// learn updates the state of the target and of the service from the end of an
// attempt.
func (p *Placer) learn(now time.Time, t *target, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	switch end.Reason {
	case medlargw.ReasonBusy:
		t.pausedUntil = now.Add(busyPause)
		p.probeEnded(now, t, a, probeInconclusive)
		return
	case medlargw.ReasonDraining:
		t.drainingUntil = now.Add(drainingPause)
		p.probeEnded(now, t, a, probeInconclusive)
		return
	case medlargw.ReasonUnreachable:
		t.pausedUntil = now.Add(unreachablePause)
		p.recordFailure(now, t, a, healthyUnreachableRate, "can't be reached")
		return
	case medlargw.ReasonCancelled, medlargw.ReasonLoanExpired, medlargw.ReasonTooLarge:
		p.probeEnded(now, t, a, probeInconclusive)
		return
	}
	switch end.Kind {
	case medlargw.EndSucceeded:
		p.recordSuccess(now, t, a, end)
	case medlargw.EndFailed, medlargw.EndLost:
		rate := p.services.failureRate(a.Job.Service, t)
		p.services.recordEnd(now, a.Job, t, true, p.targetCount)
		p.recordFailure(now, t, a, rate, "fails tasks that succeed on other targets")
	case medlargw.EndNotStarted:
		p.probeEnded(now, t, a, probeInconclusive)
	}
}

func (p *Placer) recordSuccess(now time.Time, t *target, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	rate := p.services.failureRate(a.Job.Service, t)
	p.services.recordEnd(now, a.Job, t, false, p.targetCount)
	expected := p.estimator.Estimate(a.Job)
	t.learnSlowdown(end.Elapsed, expected)
	t.quarantine.evidence = max(0, t.quarantine.evidence-math.Log((1-min(rate, inconclusiveFailureRate))/(1-brokenFailureRate)))
	if t.quarantine.slow && float64(end.Elapsed) > p.rules.SlowFactor/2*float64(expected) {
		p.probeEnded(now, t, a, probeFailed)
		return
	}
	p.probeEnded(now, t, a, probeSucceeded)
	p.quarantineIfSlow(now, t)
}

// quarantineIfSlow quarantines a target that is far slower than the others.
func (p *Placer) quarantineIfSlow(now time.Time, t *target) {
	slow := t.slowdown.n >= minSlowdownSamples && t.slowdown.value >= p.rules.SlowFactor
	if t.quarantine.quarantined || !slow || float64(p.quarantined+1) > maxSlowShare*float64(p.targetCount) {
		return
	}
	t.quarantine = quarantine{quarantined: true, slow: true, since: now, reason: "is far slower than others", probeDelay: initialProbeDelay, nextProbe: now.Add(initialProbeDelay)}
}

// recordFailure adds a failure to the evidence against the target; the rarer
// such failures are on healthy targets, the more it weighs. Consecutive
// failures of one job count once, since the tasks of a job tend to fail
// together.
func (p *Placer) recordFailure(now time.Time, t *target, a *medlargw.Attempt, rate float64, reason string) {
	q := &t.quarantine
	if q.quarantined {
		p.probeEnded(now, t, a, probeFailed)
		return
	}
	if rate >= inconclusiveFailureRate || q.lastJob == a.Job.ID {
		return
	}
	q.lastJob = a.Job.ID
	q.evidence += math.Log(brokenFailureRate / rate)
	if q.evidence < p.rules.EvidenceThreshold || float64(p.quarantined+1) > maxQuarantinedShare*float64(p.targetCount) {
		return
	}
	*q = quarantine{quarantined: true, since: now, reason: reason, probeDelay: initialProbeDelay, nextProbe: now.Add(initialProbeDelay)}
}

// probeResult is what the end of a probe tells about the target.
type probeResult int

const (
	probeInconclusive probeResult = iota
	probeSucceeded
	probeFailed
)

// probeEnded handles the end of an attempt if it was the target's probe.
func (p *Placer) probeEnded(now time.Time, t *target, a *medlargw.Attempt, result probeResult) {
	q := &t.quarantine
	if !q.quarantined || !q.probing || q.lastJob != a.Job.ID {
		return
	}
	q.probing = false
	switch result {
	case probeInconclusive:
		q.nextProbe = now.Add(shortProbeDelay)
	case probeFailed:
		q.goodProbes = 0
		q.probeDelay = min(2*q.probeDelay, maxProbeDelay)
		q.nextProbe = now.Add(q.probeDelay)
	case probeSucceeded:
		q.goodProbes++
		q.nextProbe = now.Add(shortProbeDelay)
		if q.goodProbes >= requiredGoodProbes {
			*q = quarantine{}
			t.slowdown = average{}
			t.slowdownStep = 0
		}
	}
}
