// Package admitter decides whether a home admits a job.
//
// A home that has just started, and knows few of the holders' resources, admits all
// jobs that can end before their deadlines.
//
// A job for which a holder reports free resources is admitted. Otherwise it has
// to wait, and is refused for one of these reasons:
//
//   - it is not expected to start in time, by the work that waits at the holders;
//   - a job that goes before it has waited for a share of its objective, although
//     the holders were asked: the queues stand, whatever the reports say;
//   - a more urgent job was refused a moment ago. The resources that a less urgent
//     one would take are those that the next urgent job lacks.
//
// In the first seconds after the start of the home, when the callers of before come all at
// once, the last two apply only while the jobs of its rank and of more urgent ones ask for
// more than the holders can serve.
package admitter

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/guarantor"
)

const (
	// packingEfficiency is the share of the cores that can be used by tasks that
	// each take a third to a half of a target.
	packingEfficiency = 0.8
	// startDecisionShare is the share of the time to the objective of a job after
	// which a job that has not started is refused, unless it is expected to start
	// in time.
	startDecisionShare = 0.2
	// minStartDecisionTime is the least age at which an admitted job is refused for
	// not having started, unless its latest start has passed. It gives holders time
	// to answer with their free resources, which heartbeats report too late.
	minStartDecisionTime = 40 * time.Millisecond
	// congestionShare is the share of the time to the objective after which a job
	// that has not started shows that there is no capacity for others of its
	// rank. Half of startDecisionShare lets enough work queue to keep the targets
	// busy.
	congestionShare = startDecisionShare / 2
	// precedenceTime is the time for which the refusal of a job holds back less
	// urgent ones. Within it, every holder reports several times.
	precedenceTime = 300 * time.Millisecond
	// maxCredit is the number of tasks that a class with a minimum share may be owed:
	// those of a few jobs.
	maxCredit = 16
	// minEstimateShare is the share of the estimated run time of a task that must
	// fit into the time until the deadline. Run times are seldom below that share
	// of the estimate.
	minEstimateShare = 0.5
)

// Admitter decides on the jobs of one home. It is not safe for concurrent use.
type Admitter struct {
	refusedAt map[queue]time.Time // When a job was last refused for lack of resources.
	shares    map[int]float64     // Minimum share of the admitted tasks, by rank.
	admitted  map[medlargw.PoolName]*guarantor.Guarantor
}

// queue identifies the jobs of a pool that have the same rank.
type queue struct {
	pool medlargw.PoolName
	rank int
}

// New returns an admitter that has refused nothing.
func New() *Admitter {
	return &Admitter{refusedAt: map[queue]time.Time{}, admitted: map[medlargw.PoolName]*guarantor.Guarantor{}}
}

// SetMinShares replaces the minimum shares of the starts, by rank.
func (a *Admitter) SetMinShares(shares map[int]float64) {
	a.shares = shares
	for _, p := range a.admitted {
		p.SetShares(shares)
	}
}

// account returns the account of the minimum shares in a pool.
func (a *Admitter) account(pool medlargw.PoolName) *guarantor.Guarantor {
	p := a.admitted[pool]
	if p == nil {
		p = guarantor.New(maxCredit)
		p.SetShares(a.shares)
		a.admitted[pool] = p
	}
	return p
}

// Admit decides on a job that has just arrived.
func (a *Admitter) Admit(now time.Time, r *medlargw.AdmissionRequest) medlargw.Admission {
	reason := targetsMissing(r)
	if isHopeless(now, r) {
		reason = medlargw.RefusalHopeless
	}
	if reason != medlargw.RefusalNone { // None of them is a lack of resources.
		return medlargw.Admission{Prospect: medlargw.ProspectUseless, Refusal: reason}
	}
	adm, known := assess(now, r)
	switch {
	case !known || adm.Wait == 0 || r.Learning:
	case adm.Prospect != medlargw.ProspectOnTime:
		adm.Refusal = medlargw.RefusalWait
	case r.Starting && !isOverloaded(r): // The callers of before the start come at once; the targets drain that.
	case isCongested(now, r):
		adm.Refusal = medlargw.RefusalCongestion
	case a.urgentRefused(now, r):
		adm.Refusal = medlargw.RefusalPrecedence
	}
	account := a.account(r.Pool)
	if adm.Refusal != medlargw.RefusalNone && account.Owed(r.Rank) && adm.Prospect != medlargw.ProspectUseless {
		adm.Refusal, adm.Owed = medlargw.RefusalNone, true
	}
	if adm.Refusal == medlargw.RefusalNone {
		account.Charge(r.Rank, r.Tasks)
	}
	a.record(now, r, adm.Refusal)
	return adm
}

// Review decides on an admitted job of which no task has started. A job whose
// chance is lost is refused as soon as that is certain.
func (a *Admitter) Review(now time.Time, r *medlargw.AdmissionRequest) medlargw.Admission {
	if reason := targetsMissing(r); reason != medlargw.RefusalNone {
		return medlargw.Admission{Prospect: medlargw.ProspectUseless, Refusal: reason}
	}
	adm, known := assess(now, r)
	objective := r.LatestStart.Add(r.Estimate).Sub(r.Arrived)
	switch {
	case now.After(r.LatestStart):
		adm.Refusal = medlargw.RefusalTooLate
	case r.Owed: // What waits before it does not tell when it starts.
	case r.Learning: // What the few known holders report does not tell either.
	case now.Sub(r.Arrived) < max(minStartDecisionTime, time.Duration(startDecisionShare*float64(objective))):
	case !known || adm.Prospect != medlargw.ProspectOnTime:
		adm.Refusal = medlargw.RefusalWait
	}
	a.record(now, r, adm.Refusal)
	return adm
}

// targetsMissing returns the reason for which no target takes a task of the job, or
// RefusalNone.
func targetsMissing(r *medlargw.AdmissionRequest) medlargw.RefusalReason {
	switch {
	case r.Evacuated:
		return medlargw.RefusalEvacuated
	case r.TooLarge && !fitsNow(r): // A holder may know of a larger target before the host list does.
		return medlargw.RefusalTooLarge
	case !r.Unreported || r.Learning:
		return medlargw.RefusalNone
	}
	for _, p := range r.Holders {
		if p.TotalCores > 0 {
			return medlargw.RefusalNone
		}
	}
	return medlargw.RefusalUnreported
}

// record keeps the time of a refusal for lack of resources.
func (a *Admitter) record(now time.Time, r *medlargw.AdmissionRequest, reason medlargw.RefusalReason) {
	if reason != medlargw.RefusalNone {
		a.refusedAt[queue{r.Pool, r.Rank}] = now
	}
}

// urgentRefused reports whether a more urgent job was refused within
// precedenceTime. It forgets the refusals of before.
func (a *Admitter) urgentRefused(now time.Time, r *medlargw.AdmissionRequest) bool {
	for q, at := range a.refusedAt {
		switch {
		case now.Sub(at) >= precedenceTime:
			delete(a.refusedAt, q)
		case q.pool == r.Pool && q.rank < r.Rank:
			return true
		}
	}
	return false
}

// isCongested reports whether a job of the same or a more urgent rank has waited
// so long for its first start that the given job could hardly start in time.
func isCongested(now time.Time, r *medlargw.AdmissionRequest) bool {
	for i := range r.Waiting {
		w := &r.Waiting[i]
		if w.Rank <= r.Rank && now.Sub(w.Since) > time.Duration(congestionShare*float64(w.TimeToObjective)) {
			return true
		}
	}
	return false
}

// isOverloaded reports whether the jobs of the rank and of more urgent ones have asked
// for more than the holders can serve, over about the last second.
func isOverloaded(r *medlargw.AdmissionRequest) bool {
	var arriving, cores int64
	for _, p := range r.Holders {
		arriving += p.ArrivingAhead(r.Rank)
		cores += p.TotalCores
	}
	const perSecond = int64(time.Second / time.Millisecond)
	return float64(arriving) >= packingEfficiency*float64(cores*perSecond)
}

// isHopeless reports whether a job that starts at the given time can hardly end
// by its deadline.
func isHopeless(start time.Time, r *medlargw.AdmissionRequest) bool {
	return start.Add(time.Duration(minEstimateShare * float64(r.Estimate))).After(r.Deadline)
}

// assess returns what a job can expect, and whether any targets are known.
func assess(now time.Time, r *medlargw.AdmissionRequest) (medlargw.Admission, bool) {
	wait, known := resourceWait(r)
	adm := medlargw.Admission{Wait: max(wait, r.LinkWait)}
	start := now.Add(adm.Wait)
	switch {
	case isHopeless(start, r):
		adm.Prospect = medlargw.ProspectUseless
	case start.After(r.LatestStart):
		adm.Prospect = medlargw.ProspectLate
	}
	return adm, known
}

// fitsNow reports whether a holder has free resources for one task.
func fitsNow(r *medlargw.AdmissionRequest) bool {
	covers := func(free medlargw.Resources) bool { return free.Covers(r.Resources) }
	return slices.ContainsFunc(r.Holders, func(p *medlargw.PoolResources) bool { return slices.ContainsFunc(p.Free, covers) })
}

// resourceWait returns how long a job is expected to wait for resources, over all
// holders; it is zero while one task fits. It returns false if no target is known.
func resourceWait(r *medlargw.AdmissionRequest) (time.Duration, bool) {
	if fitsNow(r) {
		return 0, true
	}
	var work, capacity int64
	for _, p := range r.Holders {
		work += p.WorkAhead(r.Rank)
		capacity += p.TotalCores
	}
	if capacity == 0 {
		return 0, false
	}
	return medlargw.Milliseconds(float64(work) / (float64(capacity) * packingEfficiency)), true
}
