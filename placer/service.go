package placer

import (
	"container/list"
	"time"

	"medlargw.example/medlargw"
)

const (
	maxServices  = 4096 // Services that are remembered.
	ringLength   = 16   // Targets whose last word on a service is kept.
	breakTargets = 4    // Targets that must agree that a service fails.
	breakFirst   = time.Second
	breakMax     = 30 * time.Second
)

// services is what is known of the services, the latest used first.
type services struct {
	byName   map[medlargw.ServiceName]*service
	recent   *list.List // Of *service.
	failures int        // In a row, that open the breaker.
}

// service is what is known of one service.
type service struct {
	name    medlargw.ServiceName
	element *list.Element
	ring    [ringLength]word // The last words of distinct targets, the oldest first.
	words   int
	run     int // Failures since the last success.
	open    time.Time
	wait    time.Duration  // Zero while the breaker is closed.
	probe   medlargw.JobID // The job that may start while the breaker is open.
}

// word is the last that a target said of a service.
type word struct {
	target *target
	failed bool
}

func newServices(failures int) services {
	return services{byName: map[medlargw.ServiceName]*service{}, recent: list.New(), failures: failures}
}

func (s *services) find(name medlargw.ServiceName) *service {
	if v := s.byName[name]; v != nil {
		s.recent.MoveToFront(v.element)
		return v
	}
	if len(s.byName) >= maxServices {
		if old, ok := s.recent.Remove(s.recent.Back()).(*service); ok {
			delete(s.byName, old.name)
		}
	}
	v := &service{name: name}
	v.element = s.recent.PushFront(v)
	s.byName[name] = v
	return v
}

// failureRate returns the rate at which the service fails on other targets,
// with one failure and one success assumed beforehand.
func (s *services) failureRate(name medlargw.ServiceName, t *target) float64 {
	v := s.byName[name]
	if v == nil {
		return 1
	}
	failed, all := 0, 0
	for _, w := range v.ring[:v.words] {
		if w.target == t {
			continue
		}
		all++
		if w.failed {
			failed++
		}
	}
	return float64(failed+1) / float64(all+2)
}

// ended notes the end of a task on a target.
func (s *services) ended(now time.Time, job *medlargw.Job, t *target, failed bool, targets int) {
	v := s.find(job.Service)
	v.note(word{target: t, failed: failed})
	if !failed {
		v.run = 0
		v.wait = 0
		return
	}
	v.run++
	switch {
	case v.wait > 0 && job.ID == v.probe:
		v.probe = 0
		v.wait = min(2*v.wait, breakMax)
		v.open = now.Add(v.wait)
	case v.wait == 0 && v.run >= s.failures && v.failsOn(min(breakTargets, targets)):
		v.wait = breakFirst
		v.open = now.Add(v.wait)
	}
}

// note keeps the last word of each target, and of the targets heard last.
func (v *service) note(w word) {
	at := -1
	for i := range v.ring[:v.words] {
		if v.ring[i].target == w.target {
			at = i
			break
		}
	}
	switch {
	case at < 0 && v.words < ringLength:
		v.words++
		at = v.words - 1
	case at < 0:
		at = 0
	}
	copy(v.ring[at:v.words-1], v.ring[at+1:v.words])
	v.ring[v.words-1] = w
}

// failsOn reports whether the last words of that many targets are all bad.
func (v *service) failsOn(targets int) bool {
	if v.words < targets {
		return false
	}
	for _, w := range v.ring[v.words-targets : v.words] {
		if !w.failed {
			return false
		}
	}
	return true
}

// failing returns how long jobs of the service are refused.
func (s *services) failing(now time.Time, job *medlargw.Job) time.Duration {
	v := s.byName[job.Service]
	if v == nil || v.wait == 0 || (v.probe == job.ID && job.ID != 0) || !now.Before(v.open) {
		return 0
	}
	return v.open.Sub(now)
}

// started notes the start of a task. The first after the breaker's wait makes
// its job the probe, and others wait for its end.
func (s *services) started(now time.Time, job *medlargw.Job) {
	v := s.byName[job.Service]
	if v == nil || v.wait == 0 || v.probe == job.ID || now.Before(v.open) {
		return
	}
	v.probe = job.ID
	v.open = now.Add(v.wait)
}
