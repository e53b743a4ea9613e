package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type sent struct {
	id      string
	count   int
	tries   []response
	started int
}

func soakBody(id string, count int, cores, ms int64) []byte {
	text, err := json.Marshal(spec{Ms: ms, Cores: cores, Note: id})
	check(err)
	body, err := json.Marshal(map[string]any{
		"Spec":       string(text),
		"JobSteps":   []map[string]any{{"Count": count, "Cpu": cores, "MemMb": 64, "EstimatedMs": ms}},
		"BestEffort": true,
	})
	check(err)
	return body
}

func playSoak(s *stage) []string {
	s.writeConfig(7)
	for _, zone := range []string{"detroit", "cleveland"} {
		s.addWorkers(zone, 8)
		for range 3 {
			s.addEntry(zone)
		}
	}
	s.await()
	seed := uint64(envInt("SEED", 1))
	length := time.Duration(envInt("SECONDS", 80)) * time.Second
	end := time.Now().Add(length)
	var mu sync.Mutex
	var found []string
	var jobs []*sent
	var wg sync.WaitGroup
	terms := map[*entry]time.Time{}
	disturbed := map[*entry]time.Time{}
	for i := range envInt("CLIENTS", 40) {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(100+i)))
			for time.Now().Before(end) {
				count := 1 + r.IntN(4)
				ms := []int64{60, 200, 900, 900, 2000, 3600}[r.IntN(6)]
				cores := int64(4000 + r.IntN(10000))
				j := &sent{id: newID(), count: count}
				for try := range 3 {
					e := s.entries[r.IntN(len(s.entries))]
					if try == 0 && !s.isReady(e) {
						continue
					}
					resp := s.call(e, http.MethodPost, "/build/"+j.id, 1500*time.Millisecond+time.Duration(ms)*time.Millisecond, soakBody(j.id, count, cores, ms))
					s.record.say("%s try %d at %s sent %.3f: %v", j.id, try, e.name, resp.sent.Sub(s.record.began).Seconds(), resp)
					j.tries = append(j.tries, resp)
					if resp.status != 0 && resp.status != 502 && resp.status != 504 {
						break
					}
					if resp.status == 0 {
						mu.Lock()
						if t := terms[e]; resp.err != nil && !t.IsZero() && resp.sent.After(disturbed[e].Add(3*time.Second)) && time.Since(t) < 7*time.Second && resp.at.Sub(resp.sent) < 1500*time.Millisecond && resp.at.Sub(t) < 5*time.Second {
							if n := len(s.record.runsOf(j.id)); n > 0 {
								found = append(found, fmt.Sprintf("LOST? %s at %s: %v after %v, %v after SIGTERM, runs %d", j.id, e.name, resp, resp.at.Sub(resp.sent), resp.at.Sub(t), n))
							}
						}
						mu.Unlock()
					}
					time.Sleep(1300 * time.Millisecond)
				}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
			}
		})
	}
	var version atomic.Int64
	version.Store(8)
	locks := make([]sync.Mutex, len(s.entries))
	for c := range envInt("CHAOSN", 2) {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			for time.Now().Before(end.Add(-5 * time.Second)) {
				time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
				i := rng.IntN(len(s.entries))
				e := s.entries[i]
				kinds := os.Getenv("CHAOS")
				if kinds == "" {
					kinds = "tksshcw"
				}
				k := kinds[rng.IntN(len(kinds))]
				if !locks[i].TryLock() {
					continue
				}
				switch k {
				case 't':
					mu.Lock()
					terms[e] = time.Now()
					mu.Unlock()
					s.signal(e, syscall.SIGTERM)
					select {
					case <-e.exited:
					case <-time.After(6 * time.Second):
						s.signal(e, syscall.SIGKILL)
						<-e.exited
					}
					s.start(e)
				case 'k':
					mu.Lock()
					disturbed[e] = time.Now()
					mu.Unlock()
					s.signal(e, syscall.SIGKILL)
					<-e.exited
					time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
					s.start(e)
				case 's':
					s.signal(e, syscall.SIGSTOP)
					time.Sleep(time.Duration(200+rng.IntN(3500)) * time.Millisecond)
					mu.Lock()
					disturbed[e] = time.Now()
					mu.Unlock()
					s.signal(e, syscall.SIGCONT)
				case 'h':
					s.signal(e, syscall.SIGHUP)
				case 'c':
					s.writeConfig(int(version.Add(1)))
				case 'w':
					w := s.workers[rng.IntN(len(s.workers))]
					s.record.say("crash of %s", w.id)
					w.crash()
				case 'l':
					w := s.workers[rng.IntN(len(s.workers))]
					s.record.say("%s carries orders out late", w.id)
					w.late.Store(true)
					time.AfterFunc(4*time.Second, func() { w.late.Store(false) })
				}
				locks[i].Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	return append(found, s.checkSoak(jobs)...)
}

// crash ends all runs of the worker, which starts again under its id.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.end(r, "lost")
	}
	w.born = time.Now()
	w.fence, w.until, w.ends, w.lastEnd = 0, 0, nil, 0
	w.highest = map[string]int{}
}

func (s *stage) checkSoak(jobs []*sent) []string {
	var found []string
	counts := map[string]int{}
	for _, j := range jobs {
		if len(j.tries) == 0 {
			continue
		}
		runs := s.record.runsOf(j.id)
		last := j.tries[len(j.tries)-1]
		counts[fmt.Sprint(last.status)]++
		rejected := true
		for _, r := range j.tries {
			if r.status != 503 && r.status != 429 && r.status != 404 {
				rejected = false
			}
		}
		if rejected && len(runs) > 0 {
			found = append(found, fmt.Sprintf("REFUSED %s: %d runs", j.id, len(runs)))
		}
		done := map[string]bool{}
		for i, a := range runs {
			if a.how == "done" {
				done[a.task] = true
			}
			for _, b := range runs[i+1:] {
				if a.task != b.task {
					continue
				}
				if a.ended.IsZero() || b.ended.IsZero() || a.began.Before(b.ended) && b.began.Before(a.ended) {
					found = append(found, fmt.Sprintf("TWICE %s: run %d on %s and run %d on %s", a.task, a.attempt, a.worker, b.attempt, b.worker))
				}
			}
		}
		if last.status == 200 && last.body == `{"State":"completed"}` && len(done) != j.count {
			found = append(found, fmt.Sprintf("MIXED %s: completed, %d of %d tasks done", j.id, len(done), j.count))
		}
	}
	// LIMIT.
	type ev struct {
		at time.Time
		d  int64
	}
	s.record.say("answers: %v", counts)
	fmt.Println("answers", counts)
	return found
}
