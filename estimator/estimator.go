// Package estimator predicts the run time of tasks.
//
// For each service it keeps an exponentially decayed mean of the measured run
// times, and the recent errors of two predictions: the run time declared by the
// caller, scaled by the measured bias of such declarations, and the mean itself.
// The prediction with the smaller error is used. The number of services is
// bounded; the least recently used one is evicted.
package estimator

import (
	"container/list"
	"math"
	"time"

	"medlargw.example/medlargw"
)

const (
	maxServices    = 4096     // Number of services that are kept.
	minSamples     = 8        // Measurements of a service before its declared run times are corrected or replaced.
	minWeight      = 1.0 / 32 // Weight of a new sample in a decayed mean, once there are 32.
	maxExcessError = 0.05     // By how much the error of declarations, as a natural logarithm, may exceed that of the mean.
)

// Estimator implements medlargw.Estimator.
type Estimator struct {
	services map[medlargw.ServiceName]*serviceStats
	recent   *list.List // Of *serviceStats, most recently used first.
	overall  average    // Run time over all services in seconds, for services without measurements.
}

var _ medlargw.Estimator = (*Estimator)(nil)

// serviceStats are the measurements of one service.
type serviceStats struct {
	name          medlargw.ServiceName
	element       *list.Element
	meanSeconds   average // Run time in seconds.
	logBias       average // Logarithm of the ratio of measured to declared run time.
	declaredError average // Absolute logarithmic error of the scaled declarations.
	meanError     average // Absolute logarithmic error of the mean.
}

// average is an exponentially decayed mean. The first samples have equal weights.
type average struct {
	value float64
	n     int
}

func (a *average) add(x float64) {
	a.n++
	a.value += (x - a.value) * max(minWeight, 1/float64(a.n))
}

// New returns an estimator without measurements.
func New() *Estimator {
	return &Estimator{services: map[medlargw.ServiceName]*serviceStats{}, recent: list.New()}
}

// Estimate returns the expected run time of one task of the job.
func (e *Estimator) Estimate(job *medlargw.Job) time.Duration {
	r := e.services[job.Service]
	if r == nil || r.meanSeconds.n < minSamples {
		if job.EstimatedRuntime > 0 {
			return job.EstimatedRuntime
		}
		if r == nil || r.meanSeconds.n == 0 {
			return seconds(e.overall.value)
		}
		return seconds(r.meanSeconds.value)
	}
	if job.EstimatedRuntime > 0 && r.prefersDeclared() {
		return r.scaled(job.EstimatedRuntime)
	}
	return seconds(r.meanSeconds.value)
}

// prefersDeclared reports whether the scaled declarations predict the run time
// about as well as the mean, or better.
func (r *serviceStats) prefersDeclared() bool {
	return r.declaredError.n >= minSamples-1 && r.declaredError.value <= r.meanError.value+maxExcessError
}

func (r *serviceStats) scaled(declared time.Duration) time.Duration {
	return seconds(declared.Seconds() * math.Exp(r.logBias.value))
}

func seconds(s float64) time.Duration { return medlargw.Duration(s * float64(time.Second)) }

// Observe records the measured run time of one task of the job.
func (e *Estimator) Observe(job *medlargw.Job, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	r := e.lookup(job.Service)
	x := elapsed.Seconds()
	if r.meanSeconds.n > 0 {
		r.meanError.add(math.Abs(math.Log(x / r.meanSeconds.value)))
	}
	if job.EstimatedRuntime > 0 {
		off := math.Log(x / job.EstimatedRuntime.Seconds())
		if r.logBias.n > 0 {
			r.declaredError.add(math.Abs(off - r.logBias.value))
		}
		r.logBias.add(off)
	}
	r.meanSeconds.add(x)
	e.overall.add(x)
}

// lookup returns the measurements of the service, which it adds if it is unknown.
// It evicts the least recently used service if there are too many.
func (e *Estimator) lookup(name medlargw.ServiceName) *serviceStats {
	if r := e.services[name]; r != nil {
		e.recent.MoveToFront(r.element)
		return r
	}
	if len(e.services) >= maxServices {
		last := e.recent.Back()
		if old, ok := e.recent.Remove(last).(*serviceStats); ok {
			delete(e.services, old.name)
		}
	}
	r := &serviceStats{name: name}
	r.element = e.recent.PushFront(r)
	e.services[name] = r
	return r
}
