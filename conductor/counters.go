package conductor

import (
	"slices"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/labeler"
)

// Size and decay factor of the samples of the histograms. Both are the values
// recommended by the metrics library.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// counters count the messages sent and their results.
type counters struct {
	registry metrics.Registry
	ranks    *labeler.Labeler
	classes  *labeler.Labeler
	starts   metrics.Counter
	stops    metrics.Counter

	probes        metrics.Counter // Of targets whose claims were not answered.
	expiredStarts metrics.Counter // Start orders that were too old to be sent.

	renewals metrics.Counter
	offers   metrics.Counter
	reports  metrics.Counter

	unansweredOffers metrics.Counter
	unackedReports   metrics.Counter
	slowHolders      metrics.Counter
	lostHolders      metrics.Counter
	revisedHolders   metrics.Counter

	endingJobs metrics.Gauge // Ended jobs with runs that may go on.

	targetsOwned      metrics.Gauge
	targetsDue        metrics.GaugeFloat64
	capacity          metrics.Gauge
	unreportedTargets metrics.Gauge   // Targets of this entry that get no new runs since their last reports are too old.
	evacuatedZones    metrics.Gauge   // Zones that this entry knows to be evacuated.
	ignoredShares     metrics.Counter // Minimum shares of classes that are invalid.
	evacuatedTasks    metrics.Counter // Waiting tasks that were returned because of an evacuation.
}

func newCounters(r metrics.Registry) counters {
	return counters{
		registry: r,
		ranks:    labeler.New(r),
		classes:  labeler.New(r),
		starts:   metrics.GetOrRegisterCounter("orders.start", r),
		stops:    metrics.GetOrRegisterCounter("orders.stop", r),

		probes:        metrics.GetOrRegisterCounter("orders.probe", r),
		expiredStarts: metrics.GetOrRegisterCounter("orders.expired", r),

		renewals: metrics.GetOrRegisterCounter("orders.renew", r),
		offers:   metrics.GetOrRegisterCounter("peers.offers", r),
		reports:  metrics.GetOrRegisterCounter("peers.reports", r),

		unansweredOffers: metrics.GetOrRegisterCounter("peers.unanswered-offers", r),
		unackedReports:   metrics.GetOrRegisterCounter("peers.unacknowledged-reports", r),
		slowHolders:      metrics.GetOrRegisterCounter("peers.slow-holders", r),
		lostHolders:      metrics.GetOrRegisterCounter("peers.lost-holders", r),
		revisedHolders:   metrics.GetOrRegisterCounter("peers.revised-holders", r),

		endingJobs: metrics.GetOrRegisterGauge("ending.jobs", r),

		targetsOwned:      metrics.GetOrRegisterGauge("share.owned", r),
		targetsDue:        metrics.GetOrRegisterGaugeFloat64("share.due", r),
		capacity:          metrics.GetOrRegisterGauge("share.capacity", r),
		unreportedTargets: metrics.GetOrRegisterGauge("reports.missing", r),
		evacuatedZones:    metrics.GetOrRegisterGauge("zones.evacuated", r),
		ignoredShares:     metrics.GetOrRegisterCounter("config.ignored-shares", r),
		evacuatedTasks:    metrics.GetOrRegisterCounter("evacuations.returned-tasks", r),
	}
}

// countVerdicts counts changed verdicts on holders.
func (c *counters) countVerdicts(v medlargw.VerdictCounts) {
	c.slowHolders.Inc(int64(v.Slow))
	c.lostHolders.Inc(int64(v.Lost))
	c.revisedHolders.Inc(int64(v.Revised))
}

// setShare records the targets that this entry owns in its zone, those that are
// due to it, and its capacity in thousandths of a core.
func (c *counters) setShare(s *medlargw.TargetShare) {
	c.targetsOwned.Update(int64(s.Owned))
	c.targetsDue.Update(s.Due)
	c.capacity.Update(s.Capacity)
}

// configure keeps the metrics of the classes in the configuration, the most urgent first.
func (c *counters) configure(cfg *medlargw.Config) {
	var ranks, classes []string
	for i := range cfg.Classes {
		ranks = append(ranks, strconv.Itoa(cfg.Classes[i].Rank))
		classes = append(classes, string(cfg.Classes[i].Name))
	}
	c.ranks.SetLabels(slices.Compact(ranks))
	c.classes.SetLabels(classes)
}

// countJob records the end of a job and its response time.
func (c *counters) countJob(f *medlargw.FinishedJob, response time.Duration) {
	o := &f.Outcome
	update(c.classes.GetOrRegister("response_milliseconds.", string(f.Job.Class), newHistogram), response)
	if f.FirstStart > 0 {
		update(c.registry.GetOrRegister("start_milliseconds.expected", newHistogram), f.ExpectedStart)
		update(c.registry.GetOrRegister("start_milliseconds.actual", newHistogram), f.FirstStart)
	}
	name := "complete"
	if !o.Complete {
		name = string(o.Code)
	}
	metrics.GetOrRegisterCounter("jobs."+name, c.registry).Inc(1)
	if f.Refusal != medlargw.RefusalNone {
		rank := strconv.Itoa(f.Job.Rank)
		if refused, ok := c.ranks.GetOrRegister("refused."+string(f.Refusal)+"-rank-", rank, metrics.NewCounter).(metrics.Counter); ok {
			refused.Inc(1)
		}
		update(c.ranks.GetOrRegister("retry_milliseconds.", rank, newHistogram), o.RetryAfter)
	}
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// update adds a time to a histogram.
func update(histogram any, d time.Duration) {
	if h, ok := histogram.(metrics.Histogram); ok {
		h.Update(d.Milliseconds())
	}
}

// countRelay counts a job that is handed to a peer, or one of a peer.
func (c *counters) countRelay(what string) {
	metrics.GetOrRegisterCounter("relays."+what, c.registry).Inc(1)
}

// countEvent counts a task event.
func (c *counters) countEvent(e *medlargw.TaskReport) {
	if e.Event == medlargw.TaskStarted && e.Crash == medlargw.CrashProven {
		metrics.GetOrRegisterCounter("tasks.on-crashed-targets", c.registry).Inc(1)
		return
	}
	metrics.GetOrRegisterCounter("tasks."+e.Event.String(), c.registry).Inc(1)
	if e.Reason == medlargw.ReasonEvacuated {
		c.evacuatedTasks.Inc(1)
	}
}
