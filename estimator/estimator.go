// Package estimator predicts the run time of tasks.
//
// For each service it keeps a decayed mean of the measured run times, and how
// far two predictions have been off lately: the caller's declaration scaled by
// what was learned of it, and the mean itself. The better one is used. The
// number of services is bounded; the one unused for longest makes room.
package estimator

import (
	"container/list"
	"math"
	"time"

	"medlargw.example/medlargw"
)

const (
	maxServices = 4096 // Services that are remembered.
	minSamples  = 8    // Measurements before a declaration is doubted.
	decay       = 1.0 / 32
	tolerance   = 0.05 // By how much, in e-folds, a declaration may be worse than the mean.
)

// Estimator implements medlargw.Estimator.
type Estimator struct {
	services map[medlargw.ServiceName]*record
	recent   *list.List // Of *record, the latest used first.
	any      average    // Of all services, for those without a measurement.
}

var _ medlargw.Estimator = (*Estimator)(nil)

// record is what was learned of one service.
type record struct {
	name     medlargw.ServiceName
	element  *list.Element
	run      average // Seconds.
	bias     average // Logarithm of measured by declared run time.
	declared average // Error of the scaled declaration, as a logarithm.
	learned  average // Error of the mean, as a logarithm.
}

// average is a decayed mean; the first samples weigh equally.
type average struct {
	value float64
	n     int
}

func (a *average) add(x float64) {
	a.n++
	a.value += (x - a.value) * max(decay, 1/float64(a.n))
}

// New returns an estimator that has learned nothing.
func New() *Estimator {
	return &Estimator{services: map[medlargw.ServiceName]*record{}, recent: list.New()}
}

// Estimate returns the expected run time of one task of the job.
func (e *Estimator) Estimate(job *medlargw.Job) time.Duration {
	r := e.services[job.Service]
	if r == nil || r.run.n < minSamples {
		if job.Runtime > 0 {
			return job.Runtime
		}
		if r == nil || r.run.n == 0 {
			return seconds(e.any.value)
		}
		return seconds(r.run.value)
	}
	if job.Runtime > 0 && r.trusted() {
		return r.scaled(job.Runtime)
	}
	return seconds(r.run.value)
}

// trusted reports whether declarations tell more than the mean does.
func (r *record) trusted() bool {
	return r.declared.n >= minSamples-1 && r.declared.value <= r.learned.value+tolerance
}

func (r *record) scaled(declared time.Duration) time.Duration {
	return seconds(declared.Seconds() * math.Exp(r.bias.value))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Learn takes the measured run time of one task of the job.
func (e *Estimator) Learn(job *medlargw.Job, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	r := e.record(job.Service)
	x := elapsed.Seconds()
	if r.run.n > 0 {
		r.learned.add(math.Abs(math.Log(x / r.run.value)))
	}
	if job.Runtime > 0 {
		off := math.Log(x / job.Runtime.Seconds())
		if r.bias.n > 0 {
			r.declared.add(math.Abs(off - r.bias.value))
		}
		r.bias.add(off)
	}
	r.run.add(x)
	e.any.add(x)
}

// record finds what is known of the service, and makes room for a new one.
func (e *Estimator) record(name medlargw.ServiceName) *record {
	if r := e.services[name]; r != nil {
		e.recent.MoveToFront(r.element)
		return r
	}
	if len(e.services) >= maxServices {
		last := e.recent.Back()
		if old, ok := e.recent.Remove(last).(*record); ok {
			delete(e.services, old.name)
		}
	}
	r := &record{name: name}
	r.element = e.recent.PushFront(r)
	e.services[name] = r
	return r
}
