package conductor

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"medlargw.example/medlargw"
)

// Of the histograms: the size of the sample, and how much the newest of its
// values count; both are the customary ones of the library.
const (
	samples = 1028
	decay   = 0.015
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

// job counts the end of a job and its response time.
func (c *counters) job(f *medlargw.Finish, response time.Duration) {
	o := &f.Outcome
	histogram := c.registry.GetOrRegister("response_milliseconds."+string(f.Job.Class), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(samples, decay))
	})
	if h, ok := histogram.(metrics.Histogram); ok {
		h.Update(response.Milliseconds())
	}
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
