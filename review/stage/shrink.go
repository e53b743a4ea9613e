package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	contactTime = 3 * time.Second
	outageTime  = 7 * time.Second // As long as the store is silent in the day of the site file.
	fullCores   = 32000
	shrunkCores = 16000
	taskCores   = 14000
)

// playShrink has workers tell a smaller capacity while the store is silent, and looks
// whether tasks are started beyond it once the shrunk room counts.
func playShrink(s *stage) []string {
	s.writeConfig()
	s.addWorkers("detroit", 4)
	s.addEntry("detroit")
	s.addEntry("detroit")
	s.await()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 8 {
		e := s.entries[i%2]
		wg.Go(func() { s.request(e, stop) })
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.record.say("the store is silent")
		s.store.setSilent(true)
	}
	time.Sleep(300 * time.Millisecond)
	for _, w := range s.workers[:2] {
		w.resize(shrunkCores)
	}
	time.Sleep(outageTime - 300*time.Millisecond)
	s.record.say("the store answers")
	s.store.setSilent(false)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	return s.record.violations()
}

// request hands in jobs of one task of 200 ms, one after the other.
func (s *stage) request(e *entry, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := newID()
		r := s.call(e, http.MethodPost, "/cure/"+id, 1500*time.Millisecond, jobBody(1, taskCores, 200))
		s.record.say("answer of %s to %s: %v", e.name, id, r)
		if r.status != http.StatusOK {
			time.Sleep(time.Second)
		}
	}
}

// resize changes the capacity of a worker, which its next report shows.
func (w *worker) resize(cores int64) {
	w.mu.Lock()
	w.cores = cores
	w.resizedAt = time.Now()
	w.mu.Unlock()
	w.stage.record.say("the capacity of %s is %d now", w.id, cores)
}

// checkRoom records a start that brings the worker over its capacity, once that counts.
func (w *worker) checkRoom(r *run) {
	used := int64(0)
	for _, x := range w.runs {
		used += x.cores
	}
	counts := !w.resizedAt.IsZero() && time.Since(w.resizedAt) > contactTime+heartbeat+measureSlack
	if used > w.cores && (counts || w.resizedAt.IsZero()) {
		w.stage.record.violate(fmt.Sprintf("LIMIT: the start of %s brings %s to %d of its %d, %v after that room has shrunk", r.task, w.id, used, w.cores, time.Since(w.resizedAt)))
	}
}
