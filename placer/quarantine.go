package placer

import (
	"math"
	"time"

	"medlargw.example/medlargw"
)

const (
	// brokenRate is the assumed failure rate of a broken target.
	brokenRate = 0.9
	// clearRate is the failure rate of a service elsewhere above which its
	// failures say nothing about a target.
	clearRate = 0.5
	// unreachableRate is the assumed rate of failed connections to a target
	// that is well.
	unreachableRate = 0.05
	// shutShare is the share of the known targets that may be shut out.
	shutShare = 0.5

	// slowShare is the share of the known targets that may be held back for
	// their speed. With the ratio it bounds the throughput that is given up.
	slowShare = 0.1

	probeFirst = time.Second
	probeMax   = time.Minute
	probeAgain = 100 * time.Millisecond // After a probe that went well.
	probesGood = 2                      // Good probes that end a quarantine.

	busyPause        = 20 * time.Millisecond
	unreachablePause = 200 * time.Millisecond
	leavingHold      = 30 * time.Second
)

// quarantine is what speaks against one target.
type quarantine struct {
	evidence float64
	job      medlargw.JobID // The last that failed here, or the probe.
	shut     bool
	slow     bool // It is shut out for its speed only.
	probing  bool
	good     int // Probes that went well in a row.
	wait     time.Duration
	next     time.Time // Of the next probe.
	since    time.Time
	reason   string
}

// probe is the place of a quarantined target among those due.
type probe struct {
	target *target
	index  int
}

// Before is part of a ranker's element.
func (p *probe) Before(other *probe) bool {
	return p.target.quarantine.next.Before(other.target.quarantine.next)
}

// Position is part of a ranker's element.
func (p *probe) Position() *int { return &p.index }

// probeDue reports whether a probe may be sent now.
func (t *target) probeDue(now time.Time) bool {
	q := &t.quarantine
	return q.shut && !q.probing && !now.Before(q.next) && t.used < t.capacity.Slots &&
		!t.aside && !t.leaving(now) && !t.expired(now)
}

// learn takes the end of an attempt into what is known of target and service.
func (p *Placer) learn(now time.Time, t *target, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	switch end.Reason {
	case medlargw.ReasonBusy:
		t.paused = now.Add(busyPause)
		p.probed(now, t, a, probeSilent)
		return
	case medlargw.ReasonLeaving:
		t.saidLeaving = now.Add(leavingHold)
		p.probed(now, t, a, probeSilent)
		return
	case medlargw.ReasonUnreachable:
		t.paused = now.Add(unreachablePause)
		p.blame(now, t, a, unreachableRate, "can't be reached")
		return
	case medlargw.ReasonCancelled, medlargw.ReasonLoanOver, medlargw.ReasonTooLarge:
		p.probed(now, t, a, probeSilent)
		return
	}
	switch end.Kind {
	case medlargw.EndSucceeded:
		p.succeeded(now, t, a, end)
	case medlargw.EndFailed, medlargw.EndLost:
		rate := p.services.failureRate(a.Job.Service, t)
		p.services.ended(now, a.Job, t, true, p.known)
		p.blame(now, t, a, rate, "fails tasks that succeed on other targets")
	case medlargw.EndNotStarted:
		p.probed(now, t, a, probeSilent)
	}
}

func (p *Placer) succeeded(now time.Time, t *target, a *medlargw.Attempt, end *medlargw.AttemptEnd) {
	rate := p.services.failureRate(a.Job.Service, t)
	p.services.ended(now, a.Job, t, false, p.known)
	expected := p.estimator.Estimate(a.Job)
	t.learnSpeed(end.Elapsed, expected)
	t.quarantine.evidence = max(0, t.quarantine.evidence-math.Log((1-min(rate, clearRate))/(1-brokenRate)))
	if t.quarantine.slow && float64(end.Elapsed) > p.rules.Slow/2*float64(expected) {
		p.probed(now, t, a, probeBad)
		return
	}
	p.probed(now, t, a, probeGood)
	p.holdBack(now, t)
}

// holdBack takes a target that is far slower than others out of use.
func (p *Placer) holdBack(now time.Time, t *target) {
	slow := t.slowdown.n >= speedSamples && t.slowdown.value >= p.rules.Slow
	if t.quarantine.shut || !slow || float64(p.shut+1) > slowShare*float64(p.known) {
		return
	}
	t.quarantine = quarantine{shut: true, slow: true, since: now, reason: "is far slower than others", wait: probeFirst, next: now.Add(probeFirst)}
}

// blame counts a failure against the target by how rare it is elsewhere. Only
// one failure of each job counts, since the tasks of a job fail alike.
func (p *Placer) blame(now time.Time, t *target, a *medlargw.Attempt, rate float64, reason string) {
	q := &t.quarantine
	if q.shut {
		p.probed(now, t, a, probeBad)
		return
	}
	if rate >= clearRate || q.job == a.Job.ID {
		return
	}
	q.job = a.Job.ID
	q.evidence += math.Log(brokenRate / rate)
	if q.evidence < p.rules.Evidence || float64(p.shut+1) > shutShare*float64(p.known) {
		return
	}
	*q = quarantine{shut: true, since: now, reason: reason, wait: probeFirst, next: now.Add(probeFirst)}
}

// probeResult is what the end of a probe says.
type probeResult int

const (
	probeSilent probeResult = iota
	probeGood
	probeBad
)

// probed takes the end of an attempt that may be a probe.
func (p *Placer) probed(now time.Time, t *target, a *medlargw.Attempt, result probeResult) {
	q := &t.quarantine
	if !q.shut || !q.probing || q.job != a.Job.ID {
		return
	}
	q.probing = false
	switch result {
	case probeSilent:
		q.next = now.Add(probeAgain)
	case probeBad:
		q.good = 0
		q.wait = min(2*q.wait, probeMax)
		q.next = now.Add(q.wait)
	case probeGood:
		q.good++
		q.next = now.Add(probeAgain)
		if q.good >= probesGood {
			*q = quarantine{}
			t.slowdown = average{}
			t.speed = 0
		}
	}
}
