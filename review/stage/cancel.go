package main

import (
	"fmt"
	"net/http"
	"time"
)

// measureSlack is what the stage adds to each bound for its own timers.
const measureSlack = 150 * time.Millisecond

// playCancel cancels jobs whose tasks are at work, and looks how long the tasks go on.
func playCancel(s *stage) []string {
	s.writeConfig()
	s.addWorkers("detroit", 4)
	e, other := s.addEntry("detroit"), s.addEntry("detroit")
	s.await()
	var found []string
	for _, at := range []*entry{e, e, other} {
		found = append(found, s.cancelOne(e, at)...)
	}
	return found
}

// cancelOne hands in a job of tasks of 7 s, as long as in the example of the pages, and
// cancels it at the same or at another entry after half a second.
func (s *stage) cancelOne(e, at *entry) []string {
	id := newID()
	s.record.say("POST /build/%s to %s: 2 tasks of 7000 ms", id, e.name)
	answered := make(chan response, 1)
	go func() { answered <- s.call(e, http.MethodPost, "/build/"+id, 12*time.Second, jobBody(2, 14000, 7000)) }()
	time.Sleep(500 * time.Millisecond)
	if len(s.record.runsOf(id)) == 0 {
		fail(fmt.Errorf("no task of job %s was started within 500 ms", id))
	}
	var ack response
	if s.trouble {
		ack = s.call(at, http.MethodDelete, "/build/"+id, 2*time.Second, nil)
		s.record.say("DELETE /build/%s to %s: %v", id, at.name, ack)
	}
	r := <-answered
	s.record.say("answer to POST /build/%s: %v", id, r)
	time.Sleep(time.Second)
	if !s.trouble {
		if r.status != http.StatusOK {
			return []string{fmt.Sprintf("job %s: got %v, want 200", id, r)}
		}
		return nil
	}
	if ack.status/100 != 2 && ack.status != http.StatusGone {
		return nil // Not acknowledged.
	}
	var found []string
	bound := ack.at.Add(cancelTime + stopBound + measureSlack)
	for _, x := range s.record.runsOf(id) {
		if x.began.After(ack.at.Add(cancelTime + measureSlack)) {
			found = append(found, fmt.Sprintf("UNASKED: %s was started %v after its cancelling was acknowledged", x.task, x.began.Sub(ack.at)))
		}
		if x.ended.IsZero() || x.ended.After(bound) {
			found = append(found, fmt.Sprintf("UNASKED: %s ran until %v (%s) after its cancelling was acknowledged with %d", x.task, x.ended.Sub(ack.at), x.how, ack.status))
		}
	}
	return found
}
