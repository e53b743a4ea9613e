// Package reporter counts ended jobs, and those that missed the objective of
// their class.
//
// A series per class and team holds a ring of counts for each window, about 2 KB
// per series. The number of series is bounded; at the bound, a new series evicts
// one that had no job for three days, or is not added. Counts are not kept across
// a restart: the history of an entry begins at its start, which the report shows.
package reporter

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// Bounds of the memory use.
const (
	maxSeries           = 2048
	maxQueuedFailures   = 256   // Incomplete jobs waiting to be logged: failed, refused or cancelled ones.
	responseSampleSize  = 1028  // Response times kept per class.
	responseSampleAlpha = 0.015 // Bias toward recent samples, about those of the last five minutes.
)

// responseMetricPrefix is the prefix of the names of the response time
// histograms. TestEveryFamilyHasHelp of package exporter finds it by its name.
const responseMetricPrefix = "response_milliseconds."

// Reporter is the component that counts ended jobs and logs those that did not
// complete.
type Reporter struct {
	log          *zap.Logger
	registry     *registrar.Registrar
	metrics      metrics.Registry
	configSource medlargw.ConfigSource // Set by Start.
	historyStart time.Time
	failures     chan medlargw.JobSummary // Incomplete jobs waiting to be logged.
	running      conc.WaitGroup
	done         chan struct{}

	mu        sync.Mutex
	series    map[seriesKey]*series
	uncounted uint64 // Jobs without a series because maxSeries was reached.
}

// seriesKey identifies a series.
type seriesKey struct {
	class medlargw.ClassName
	team  medlargw.TeamName
}

var (
	_ medlargw.Component     = (*Reporter)(nil)
	_ medlargw.JobObserver   = (*Reporter)(nil)
	_ medlargw.BurnInspector = (*Reporter)(nil)
)

// New returns a reporter whose history begins at the given time.
func New(log *zap.Logger, reg *registrar.Registrar, registry metrics.Registry, now time.Time) *Reporter {
	return &Reporter{
		log:          log.Named("reporter"),
		registry:     reg,
		metrics:      registry,
		historyStart: now,
		failures:     make(chan medlargw.JobSummary, maxQueuedFailures),
		done:         make(chan struct{}),
		series:       map[seriesKey]*series{},
	}
}

// Name returns "reporter".
func (*Reporter) Name() string { return "reporter" }

// Start finds the source of the configuration and starts to log incomplete
// jobs.
func (r *Reporter) Start(context.Context) error {
	configSource, err := registrar.Find[medlargw.ConfigSource](r.registry, "watcher")
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configSource = configSource
	r.running.Go(r.logFailures)
	return nil
}

// Stop stops the logging. It must be called after the control goroutine has
// ended.
func (r *Reporter) Stop(context.Context) error {
	close(r.done)
	r.running.Wait()
	return nil
}

// logFailures logs the queued incomplete jobs until Stop. It has its own
// goroutine, so that the control goroutine never waits for the log.
func (r *Reporter) logFailures() {
	for {
		select {
		case end := <-r.failures:
			// The log is sampled by message, so the message contains the code.
			r.log.Info("job ended: "+string(end.Code),
				zap.String("team", string(end.Team)),
				zap.String("service", string(end.Service)),
				zap.String("class", string(end.Class)),
				zap.Duration("response", end.ResponseTime))
		case <-r.done:
			return
		}
	}
}

// queueFailure queues an incomplete job to be logged. If the queue is full, the
// job is counted as dropped.
func (r *Reporter) queueFailure(end medlargw.JobSummary) {
	select {
	case r.failures <- end:
	default:
		metrics.GetOrRegisterCounter("log.dropped", r.metrics).Inc(1)
	}
}

// Done is closed when the component has ended.
func (r *Reporter) Done() <-chan struct{} { return r.done }

// JobEnded counts an ended job. A job that its caller cancelled does not miss
// the objective and is not counted.
func (r *Reporter) JobEnded(end medlargw.JobSummary) {
	if !end.Complete {
		r.queueFailure(end)
	}
	if end.Code == medlargw.CodeCancelled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	class, _ := r.findClass(end.Class)
	late := class.Objective.ResponseTime > 0 && end.ResponseTime > class.Objective.ResponseTime
	if s := r.findOrAdd(seriesKey{class: end.Class, team: end.Team}, end.Ended); s != nil {
		s.add(end.Ended, !end.Complete || late)
	} else {
		r.uncounted++
	}
	if end.Complete && class.Name != "" {
		name := responseMetricPrefix + string(end.Class)
		sample := func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(responseSampleSize, responseSampleAlpha))
		}
		r.metrics.GetOrRegister(name, sample).(metrics.Histogram).Update(end.ResponseTime.Milliseconds())
	}
}

// findClass returns the class from the configuration in force, and whether it
// exists.
func (r *Reporter) findClass(name medlargw.ClassName) (medlargw.Class, bool) {
	for _, c := range r.classes() {
		if c.Name == name {
			return c, true
		}
	}
	return medlargw.Class{}, false
}

func (r *Reporter) classes() []medlargw.Class {
	if r.configSource == nil {
		return nil
	}
	if cfg := r.configSource.Config(); cfg != nil {
		return cfg.Classes
	}
	return nil
}

// findOrAdd returns the series, which it adds if necessary. It returns nil if the
// number of series has reached its bound and none can be evicted.
func (r *Reporter) findOrAdd(k seriesKey, now time.Time) *series {
	if s := r.series[k]; s != nil {
		return s
	}
	if len(r.series) >= maxSeries && !r.evict(now) {
		return nil
	}
	s := newSeries()
	r.series[k] = s
	return s
}

// evict deletes a series without a job in the longest window and reports whether
// there was one.
func (r *Reporter) evict(now time.Time) bool {
	for k, s := range r.series {
		if now.Sub(s.lastJob) > medlargw.BurnThreeDays.Length() {
			delete(r.series, k)
			return true
		}
	}
	return false
}

// BurnStatus returns the counts of all series. It holds the lock for one series
// at a time, so that the control goroutine never waits long.
func (r *Reporter) BurnStatus(now time.Time) medlargw.BurnStatus {
	r.mu.Lock()
	b := medlargw.BurnStatus{
		Since:     r.historyStart,
		TakenAt:   now,
		Step:      newRing(medlargw.BurnSixHours).step,
		Classes:   slices.Clone(r.classes()),
		Uncounted: r.uncounted,
	}
	keys := make([]seriesKey, 0, len(r.series))
	for k := range r.series {
		keys = append(keys, k)
	}
	r.mu.Unlock()
	slices.SortFunc(keys, func(a, b seriesKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.team, b.team))
	})
	points := map[medlargw.BurnPoint]medlargw.JobCounts{} // By class and start.
	for _, k := range keys {
		r.addSeries(&b, points, k, now)
	}
	for p, counts := range points {
		p.Counts = counts
		b.Points = append(b.Points, p)
	}
	slices.SortFunc(b.Points, func(a, b medlargw.BurnPoint) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), a.Start.Compare(b.Start))
	})
	return b
}

// addSeries adds the counts of one series to the status, and those of its steps
// in the last six hours to the points.
func (r *Reporter) addSeries(
	b *medlargw.BurnStatus,
	points map[medlargw.BurnPoint]medlargw.JobCounts,
	k seriesKey,
	now time.Time,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.series[k]
	if s == nil {
		return // Evicted after the keys were listed.
	}
	sums := medlargw.BurnSeries{Class: k.class, Team: k.team}
	for w := range s.rings {
		sums.Windows[w] = s.rings[w].sum(now)
	}
	b.Series = append(b.Series, sums)
	sixHours := &s.rings[medlargw.BurnSixHours]
	for back := range int64(len(sixHours.buckets)) {
		number := sixHours.newest - back
		c := sixHours.at(number)
		if c.jobs == 0 {
			continue
		}
		p := medlargw.BurnPoint{Class: k.class, Start: time.Unix(0, number*int64(sixHours.step)).UTC()}
		sum := points[p]
		sum.Add(medlargw.JobCounts{Jobs: uint64(c.jobs), Missed: uint64(c.missed)})
		points[p] = sum
	}
}
