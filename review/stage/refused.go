package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	lateTime = 2500 * time.Millisecond // After which an order is carried out; 2 to 12 s in the bench.
	cutTime  = 5500 * time.Millisecond
)

// playRefused cuts workers off that have left a start order unanswered: they run on, carry
// the order out late, and connections to them are refused meanwhile.
func playRefused(s *stage) []string {
	s.writeConfig()
	s.addWorkers("detroit", 6)
	e := s.addEntry("detroit")
	s.addEntry("detroit")
	s.await()
	var found []string
	for range 3 {
		found = append(found, s.refuseOne(e)...)
	}
	return found
}

func (s *stage) refuseOne(e *entry) []string {
	if s.trouble {
		s.trap.Store(true)
	}
	id := newID()
	s.record.say("POST /build/%s to %s: 1 task of 3600 ms", id, e.name)
	r := s.call(e, http.MethodPost, "/build/"+id, 8*time.Second, jobBody(1, 14000, 3600))
	s.record.say("answer to POST /build/%s: %v", id, r)
	s.trap.Store(false)
	time.Sleep(cutTime)
	if !s.trouble && r.status != http.StatusOK {
		return []string{fmt.Sprintf("job %s: got %v, want 200", id, r)}
	}
	return twice(s.record.runsOf(id))
}

// twice returns the pairs of runs of one task that went on at the same time.
func twice(runs []runRecord) []string {
	var found []string
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task == b.task && a.began.Before(b.ended) && b.began.Before(a.ended) {
				found = append(found, fmt.Sprintf("TWICE: run %d of %s on %s and run %d on %s go on at the same time", a.attempt, a.task, a.worker, b.attempt, b.worker))
			}
		}
	}
	return found
}

// isTrapped reports whether the worker leaves this order unanswered, as the first one
// that gets a start order. It carries the order out late and is cut off until then and
// for some time more.
func (w *worker) isTrapped(path string, o *order) bool {
	if path != "/run-start" || !w.stage.trap.CompareAndSwap(true, false) {
		return false
	}
	w.carryOutLate(o, lateTime)
	go w.cutOff()
	return true
}

// cutOff refuses connections to the worker for a while. What runs there goes on.
func (w *worker) cutOff() {
	_ = w.server.Close()
	time.Sleep(cutTime)
	w.server = w.stage.listenAt(w.addr, w)
	w.stage.record.say("%s is reached again", w.id)
}
