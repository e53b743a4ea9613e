package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	retransmitTime = 1300 * time.Millisecond
	darkTime       = 3500 * time.Millisecond // How long a killed machine stays away.
	lateStartTime  = 2100 * time.Millisecond // After which the start order is carried out.
	lateOrders     = 3                       // The start order and the next two orders to its worker.
)

// playLost kills an entry that has just ordered a worker to start a task. The worker
// leaves that order and the next ones unanswered and carries them out late.
func playLost(s *stage) []string {
	s.writeConfig()
	s.addWorkers("detroit", 6)
	s.addWorkers("buffalo", 3)
	other := s.addEntry("detroit")
	s.addEntry("detroit")
	e := s.addEntry("buffalo")
	s.await()
	var found []string
	for range 3 {
		found = append(found, s.loseOne(e, other)...)
	}
	return found
}

func (s *stage) loseOne(e, other *entry) []string {
	if s.trouble {
		s.onStart = func(w *worker, o *order) {
			s.signal(e, syscall.SIGKILL)
			w.lateLeft = lateOrders - 1
			w.carryOutLate(o, lateStartTime)
		}
	}
	id := newID()
	s.record.say("POST /build/%s to %s: 1 task of 3600 ms", id, e.name)
	r := s.call(e, http.MethodPost, "/build/"+id, 8*time.Second, jobBody(1, 14000, 3600))
	s.record.say("answer to POST /build/%s: %v", id, r)
	back := make(chan struct{})
	go func() {
		defer close(back)
		if s.trouble {
			<-e.exited
			time.Sleep(darkTime)
			s.start(e)
		}
	}()
	if r.status == 0 {
		time.Sleep(retransmitTime)
		s.record.say("POST /build/%s to %s", id, other.name)
		r = s.call(other, http.MethodPost, "/build/"+id, 8*time.Second, jobBody(1, 14000, 3600))
		s.record.say("answer to POST /build/%s: %v", id, r)
	}
	<-back
	if !s.isReadyWithin(e, 20*time.Second) {
		fail(fmt.Errorf("%s is not ready", e.name))
	}
	time.Sleep(4 * time.Second)
	return twice(s.record.runsOf(id))
}
