package placer

import (
	"container/list"
	"time"

	"medlargw.example/medlargw"
)

const (
	maxServices         = 4096 // Services with a record; the least recently used is evicted.
	maxOutcomes         = 16   // Targets whose latest result is kept, per service.
	breakerTargets      = 4    // Targets that must all report failures to open the breaker.
	initialBreakerDelay = time.Second
	maxBreakerDelay     = 30 * time.Second
)

// services holds the failure records of the services in an LRU cache.
type services struct {
	byName           map[medlargw.ServiceName]*service
	lru              *list.List // Of *service, the most recently used first.
	failureThreshold int        // Failures in a row that open a breaker.
}

// service is the failure record and the circuit breaker of one service.
type service struct {
	name                medlargw.ServiceName
	lruElement          *list.Element
	outcomes            [maxOutcomes]outcome // Latest results of distinct targets, oldest first.
	outcomeCount        int
	consecutiveFailures int // Since the last success.
	openUntil           time.Time
	breakerDelay        time.Duration  // Zero while the breaker is closed.
	probeJob            medlargw.JobID // The job that may start while the breaker is open.
}

// outcome is the latest result of a service on one target.
type outcome struct {
	target *target
	failed bool
}

func newServices(failures int) services {
	return services{byName: map[medlargw.ServiceName]*service{}, lru: list.New(), failureThreshold: failures}
}

func (s *services) findOrAdd(name medlargw.ServiceName) *service {
	if v := s.byName[name]; v != nil {
		s.lru.MoveToFront(v.lruElement)
		return v
	}
	if len(s.byName) >= maxServices {
		if old, ok := s.lru.Remove(s.lru.Back()).(*service); ok {
			delete(s.byName, old.name)
		}
	}
	v := &service{name: name}
	v.lruElement = s.lru.PushFront(v)
	s.byName[name] = v
	return v
}

// failureRate returns the rate at which the service fails on targets other than
// t. It is smoothed by one assumed failure and one assumed success. An unknown
// service has the rate 1.
func (s *services) failureRate(name medlargw.ServiceName, t *target) float64 {
	v := s.byName[name]
	if v == nil {
		return 1
	}
	failed, all := 0, 0
	for _, w := range v.outcomes[:v.outcomeCount] {
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

// recordEnd records the result of a task on a target, and opens or closes the
// service's breaker.
func (s *services) recordEnd(now time.Time, job *medlargw.Job, t *target, failed bool, targets int) {
	v := s.findOrAdd(job.Service)
	v.record(outcome{target: t, failed: failed})
	if !failed {
		v.consecutiveFailures = 0
		v.breakerDelay = 0
		return
	}
	v.consecutiveFailures++
	switch {
	case v.breakerDelay > 0 && job.ID == v.probeJob:
		v.probeJob = 0
		v.breakerDelay = min(2*v.breakerDelay, maxBreakerDelay)
		v.openUntil = now.Add(v.breakerDelay)
	case v.breakerDelay == 0 && v.consecutiveFailures >= s.failureThreshold && v.failedOnLast(min(breakerTargets, targets)):
		v.breakerDelay = initialBreakerDelay
		v.openUntil = now.Add(v.breakerDelay)
	}
}

// record stores the latest outcome of a target. When the record is full, it
// replaces the oldest outcome.
func (v *service) record(w outcome) {
	at := -1
	for i := range v.outcomes[:v.outcomeCount] {
		if v.outcomes[i].target == w.target {
			at = i
			break
		}
	}
	switch {
	case at < 0 && v.outcomeCount < maxOutcomes:
		v.outcomeCount++
		at = v.outcomeCount - 1
	case at < 0:
		at = 0
	}
	copy(v.outcomes[at:v.outcomeCount-1], v.outcomes[at+1:v.outcomeCount])
	v.outcomes[v.outcomeCount-1] = w
}

// failedOnLast reports whether the latest outcomes of that many targets are all
// failures.
func (v *service) failedOnLast(targets int) bool {
	if v.outcomeCount < targets {
		return false
	}
	for _, w := range v.outcomes[v.outcomeCount-targets : v.outcomeCount] {
		if !w.failed {
			return false
		}
	}
	return true
}

// refusedFor returns how long the job is refused because the breaker of its
// service is open; zero admits it.
func (s *services) refusedFor(now time.Time, job *medlargw.Job) time.Duration {
	v := s.byName[job.Service]
	if v == nil || v.breakerDelay == 0 || (v.probeJob == job.ID && job.ID != 0) || !now.Before(v.openUntil) {
		return 0
	}
	return v.openUntil.Sub(now)
}

// recordStart handles the start of a task. If the delay of an open breaker has
// passed, the job becomes the probe, and other jobs are refused until the probe
// ends or the delay passes again.
func (s *services) recordStart(now time.Time, job *medlargw.Job) {
	v := s.byName[job.Service]
	if v == nil || v.breakerDelay == 0 || v.probeJob == job.ID || now.Before(v.openUntil) {
		return
	}
	v.probeJob = job.ID
	v.openUntil = now.Add(v.breakerDelay)
}
