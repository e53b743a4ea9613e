package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	rollTurns   = 14
	rollGap     = 1150 * time.Millisecond
	sendAt      = 1900 * time.Millisecond // After the SIGTERM; the balancer has yet to see the second miss.
	drainJobs   = 80
	routeTime   = 1500 * time.Millisecond
	graceTime   = 6 * time.Second
	drainWorkMs = 900
)

// playDrain stops the entries in turn, as planned, while each has jobs at work.
func playDrain(s *stage) []string {
	s.writeConfig()
	for _, zone := range []string{"detroit", "cleveland"} {
		s.addWorkers(zone, 8)
		for range 3 {
			s.addEntry(zone)
		}
	}
	s.await()
	var mu sync.Mutex
	var found []string
	var wg sync.WaitGroup
	began := time.Now()
	for i, e := range s.entries {
		wg.Go(func() {
			for turn := range rollTurns {
				time.Sleep(time.Until(began.Add(time.Duration(turn*len(s.entries)+i) * rollGap)))
				lost := s.drainOne(e)
				mu.Lock()
				found = append(found, lost...)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return found
}

// drainOne stops an entry and starts it again. The jobs are of the last requesters that
// the balancer has sent there.
func (s *stage) drainOne(e *entry) []string {
	began := time.Now()
	if s.trouble {
		s.signal(e, syscall.SIGTERM)
	}
	var mu sync.Mutex
	var found []string
	var wg sync.WaitGroup
	for range drainJobs {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(sendAt)))
			id := newID()
			r := s.call(e, http.MethodPost, "/build/"+id, routeTime, jobBody(1, 1000, drainWorkMs))
			s.record.say("%s: sent to %s %d ms after the SIGTERM, got after %d ms: %v", id, e.name, r.sent.Sub(began).Milliseconds(), r.at.Sub(r.sent).Milliseconds(), r)
			if r.status == 0 && s.isLost(id, &r) {
				mu.Lock()
				defer mu.Unlock()
				found = append(found, fmt.Sprintf("LOST: job %s, sent to %s %v after the SIGTERM, has no answer: its channel ended %v after it was sent", id, e.name, r.sent.Sub(began), r.at.Sub(r.sent)))
			}
		})
	}
	wg.Wait()
	if !s.trouble {
		return found
	}
	select {
	case <-e.exited:
	case <-time.After(time.Until(began.Add(graceTime))):
		s.signal(e, syscall.SIGKILL)
		<-e.exited
	}
	s.start(e)
	return found
}

// isLost reports whether a request without a complete answer counts: it was passed on to
// a worker, before its deadline and the route's timeout.
func (s *stage) isLost(id string, r *response) bool {
	return len(s.record.runsOf(id)) > 0 && r.at.Sub(r.sent) < routeTime
}
