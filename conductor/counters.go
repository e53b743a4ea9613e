package conductor

import (
	"github.com/rcrowley/go-metrics"

	"medlargw.example/medlargw"
)

// counters count what the conductor sends and what became of it.
type counters struct {
	registry metrics.Registry
	starts   metrics.Counter
	stops    metrics.Counter
	renewals metrics.Counter
	offers   metrics.Counter
	reports  metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		registry: r,
		starts:   metrics.GetOrRegisterCounter("orders.start", r),
		stops:    metrics.GetOrRegisterCounter("orders.stop", r),
		renewals: metrics.GetOrRegisterCounter("orders.renew", r),
		offers:   metrics.GetOrRegisterCounter("peers.offers", r),
		reports:  metrics.GetOrRegisterCounter("peers.reports", r),
	}
}

// job counts the end of a job.
func (c *counters) job(o *medlargw.Outcome) {
	name := "complete"
	if !o.Complete {
		name = string(o.Code)
	}
	metrics.GetOrRegisterCounter("jobs."+name, c.registry).Inc(1)
}

// event counts an event of a task.
func (c *counters) event(e *medlargw.TaskReport) {
	metrics.GetOrRegisterCounter("tasks."+e.Event.String(), c.registry).Inc(1)
}
