// Package reporter counts the ends of jobs against the objectives of their
// classes.
//
// A series per class and team holds a ring of counts for each window, some 2 KB
// in all. The number of series is bounded; a series without a job for three
// days makes room for a new one. Nothing is kept across a restart: the history
// of an entry begins with its start, and the report says so.
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

// Bounds of the memory.
const (
	maxSeries     = 2048
	maxFailures   = 256   // Ends that wait to be logged.
	sampleSize    = 1028  // Response times kept per class.
	sampleRecency = 0.015 // Weight of recent samples; about the last five minutes.
)

// responseMetric starts the names of the histograms of response times.
const responseMetric = "response_milliseconds."

// Reporter is the part that observes the ends of jobs.
type Reporter struct {
	log        *zap.Logger
	registry   *registrar.Registrar
	metrics    metrics.Registry
	configured medlargw.Configured // Set by Start.
	since      time.Time
	failures   chan medlargw.JobEnd // To be logged.
	running    conc.WaitGroup
	done       chan struct{}

	mu     sync.Mutex
	series map[key]*series
	other  uint64
}

// key names a series.
type key struct {
	class medlargw.ClassName
	team  medlargw.TeamName
}

var (
	_ medlargw.Part     = (*Reporter)(nil)
	_ medlargw.Observer = (*Reporter)(nil)
	_ medlargw.Burner   = (*Reporter)(nil)
)

// New returns a reporter whose history begins at the given time.
func New(log *zap.Logger, reg *registrar.Registrar, registry metrics.Registry, now time.Time) *Reporter {
	return &Reporter{
		log:      log.Named("reporter"),
		registry: reg,
		metrics:  registry,
		since:    now,
		failures: make(chan medlargw.JobEnd, maxFailures),
		done:     make(chan struct{}),
		series:   map[key]*series{},
	}
}

// Name returns "reporter".
func (*Reporter) Name() string { return "reporter" }

// Start finds the configuration and begins to log.
func (r *Reporter) Start(context.Context) error {
	configured, err := registrar.Find[medlargw.Configured](r.registry, "watcher")
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configured = configured
	r.running.Go(r.logFailures)
	return nil
}

// Stop ends the part. The control goroutine must have ended before.
func (r *Reporter) Stop(context.Context) error {
	close(r.done)
	r.running.Wait()
	return nil
}

// logFailures logs the jobs that were not answered, so that the control
// goroutine never waits for the log.
func (r *Reporter) logFailures() {
	for {
		select {
		case end := <-r.failures:
			// The log is sampled by message.
			r.log.Info("job ended: "+string(end.Code),
				zap.String("team", string(end.Team)),
				zap.String("service", string(end.Service)),
				zap.String("class", string(end.Class)),
				zap.Duration("response", end.Response))
		case <-r.done:
			return
		}
	}
}

// note has a failure logged, unless too many wait already.
func (r *Reporter) note(end medlargw.JobEnd) {
	select {
	case r.failures <- end:
	default:
		metrics.GetOrRegisterCounter("log.dropped", r.metrics).Inc(1)
	}
}

// Done is closed when the part has ended.
func (r *Reporter) Done() <-chan struct{} { return r.done }

// JobEnded counts the end of a job. A job that its caller cancelled is no
// promise missed and isn't counted.
func (r *Reporter) JobEnded(end medlargw.JobEnd) {
	if !end.Complete {
		r.note(end)
	}
	if end.Code == medlargw.CodeCancelled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	class, _ := r.class(end.Class)
	late := class.Objective.Response > 0 && end.Response > class.Objective.Response
	if s := r.find(key{class: end.Class, team: end.Team}, end.Ended); s != nil {
		s.add(end.Ended, !end.Complete || late)
	} else {
		r.other++
	}
	if end.Complete && class.Name != "" {
		name := responseMetric + string(end.Class)
		sample := func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleRecency))
		}
		r.metrics.GetOrRegister(name, sample).(metrics.Histogram).Update(end.Response.Milliseconds())
	}
}

// class returns a class of the configuration in force.
func (r *Reporter) class(name medlargw.ClassName) (medlargw.Class, bool) {
	for _, c := range r.classes() {
		if c.Name == name {
			return c, true
		}
	}
	return medlargw.Class{}, false
}

func (r *Reporter) classes() []medlargw.Class {
	if r.configured == nil {
		return nil
	}
	if cfg := r.configured.Config(); cfg != nil {
		return cfg.Classes
	}
	return nil
}

// find returns the series, or nil when there is no room for it.
func (r *Reporter) find(k key, now time.Time) *series {
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

// evict forgets a series without a job in the longest window.
func (r *Reporter) evict(now time.Time) bool {
	for k, s := range r.series {
		if now.Sub(s.last) > medlargw.BurnThreeDays.Length() {
			delete(r.series, k)
			return true
		}
	}
	return false
}

// Burn returns what is known of the jobs. It holds the lock for one series at a
// time, so that the control goroutine never waits long.
func (r *Reporter) Burn(now time.Time) medlargw.BurnStatus {
	r.mu.Lock()
	b := medlargw.BurnStatus{
		Since:   r.since,
		Taken:   now,
		Step:    newRing(medlargw.BurnSixHours).step,
		Classes: slices.Clone(r.classes()),
		Other:   r.other,
	}
	keys := make([]key, 0, len(r.series))
	for k := range r.series {
		keys = append(keys, k)
	}
	r.mu.Unlock()
	slices.SortFunc(keys, func(a, b key) int {
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

func (r *Reporter) addSeries(
	b *medlargw.BurnStatus,
	points map[medlargw.BurnPoint]medlargw.JobCounts,
	k key,
	now time.Time,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.series[k]
	if s == nil {
		return // Evicted since.
	}
	sums := medlargw.BurnSeries{Class: k.class, Team: k.team}
	for w := range s.rings {
		sums.Windows[w] = s.rings[w].sum(now)
	}
	b.Series = append(b.Series, sums)
	six := &s.rings[medlargw.BurnSixHours]
	for back := range int64(len(six.cells)) {
		number := six.last - back
		c := six.at(number)
		if c.jobs == 0 {
			continue
		}
		p := medlargw.BurnPoint{Class: k.class, Start: time.Unix(0, number*int64(six.step)).UTC()}
		sum := points[p]
		sum.Add(medlargw.JobCounts{Jobs: uint64(c.jobs), Missed: uint64(c.missed)})
		points[p] = sum
	}
}
