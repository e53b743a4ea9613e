package conductor_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"medlargw.example/medlargw"
)

// Loads of TestFullLinks, as shares of what the links of all entries carry.
const (
	calmShare  = 0.4
	pressShare = 1.5
)

// phase is a part of a load on the links.
type phase struct {
	share float64 // Of what the links carry.
	span  time.Duration
}

// linkJob is one job of a load on the links.
type linkJob struct {
	at      time.Duration
	tasks   int
	bytes   int // Of the payload.
	outcome medlargw.Outcome
	age     time.Duration
}

// sentBytes returns the bytes that reach the targets if the job is completed:
// its payload once for each task.
func (j *linkJob) sentBytes() float64 { return float64(j.tasks * (j.bytes + headerBytes)) }

// linkLoad returns jobs whose start orders take the given shares of the links.
func linkLoad(seed uint64, rate float64, phases []phase) []linkJob {
	r := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // Must be reproducible.
	var jobs []linkJob
	var from time.Duration
	for _, p := range phases {
		for at := from; ; {
			j := linkJob{tasks: []int{8, 2, 2, 2}[r.IntN(4)], bytes: 1200 + r.IntN(2400)}
			at += time.Duration(r.ExpFloat64() * j.sentBytes() / (p.share * rate) * float64(time.Second))
			if at >= from+p.span {
				break
			}
			j.at = at
			jobs = append(jobs, j)
		}
		from += p.span
	}
	return jobs
}

// runLinkLoad submits the jobs and waits for their outcomes.
func (cl *cluster) runLinkLoad(jobs []linkJob) {
	var wg conc.WaitGroup
	defer wg.Wait()
	began := time.Now()
	for i := range jobs {
		j := &jobs[i]
		time.Sleep(time.Until(began.Add(j.at)))
		e := cl.entries[i%len(cl.entries)]
		m := &medlargw.Job{
			Idempotent: true, RequestID: fmt.Sprintf("l%d", i), Service: "check", Pool: "pool", MaxAttempts: 2, SlackFactor: slackFactor, Grace: graceTime,
			Resources: medlargw.Resources{Cores: 1000, Memory: 1}, EstimatedRuntime: 60 * time.Millisecond,
			Arrived: time.Now(), Deadline: time.Now().Add(1500 * time.Millisecond),
		}
		payload := bytes.Repeat([]byte{'p'}, j.bytes)
		cl.withLock(func() {
			for n := range j.tasks {
				id := fmt.Sprintf("l%d.%d", i, n)
				cl.sim.taskWork[id] = medlargw.SimulatedTask{RunTime: 60 * time.Millisecond, Resources: m.Resources}
				m.Tasks = append(m.Tasks, medlargw.Task{ID: id, Payload: payload})
			}
		})
		wg.Go(func() {
			j.outcome = e.conductor.Submit(context.Background(), m)
			j.age = time.Since(m.Arrived)
			cl.recordRefusal(m.Tasks, &j.outcome)
		})
	}
}

// completedRate returns the bytes per second to targets of the jobs that arrived
// in a span of time and were completed within the given response time.
func completedRate(jobs []linkJob, from, to, within time.Duration) float64 {
	sum := 0.0
	for i := range jobs {
		if j := &jobs[i]; j.at >= from && j.at < to && j.outcome.Complete && j.age <= within {
			sum += j.sentBytes()
		}
	}
	return sum / (to - from).Seconds()
}

// TestFullLinks drives the entries to half more than their links carry. The
// links must stay in use for jobs that are completed, and after the load has
// fallen the entries must serve as before within four seconds.
func TestFullLinks(t *testing.T) {
	const (
		rate       = 250e3 // Bytes per second of one host.
		calm       = 5 * time.Second
		press      = 10 * time.Second
		recovery   = 4 * time.Second
		payloads   = 0.85 // Share of a link that is left for payloads.
		minPressed = 0.8
		minAfter   = 0.9
		maxDelay   = 100 * time.Millisecond // Half of the time-out of an order.
	)
	for _, hosts := range []int{6, 30} {
		t.Run(fmt.Sprintf("%d entries", hosts), func(t *testing.T) {
			var names []string
			for i := range hosts {
				names = append(names, fmt.Sprintf("%c%02d", 'a'+i%3, i))
			}
			l := logs{}
			runClusterOnLinks(t, 1, names, rate, l, func(cl *cluster) {
				all := float64(hosts) * rate
				jobs := linkLoad(1, all, []phase{{calmShare, calm}, {pressShare, press}, {calmShare, recovery + calm}})
				cl.runLinkLoad(jobs)
				const deadline = 1500 * time.Millisecond
				before := completedRate(jobs, 0, calm, deadline)
				during := completedRate(jobs, calm, calm+press, deadline)
				after := completedRate(jobs, calm+press+recovery, calm+press+recovery+calm, deadline)
				t.Logf("share of the links before, during, after: %.2f, %.2f, %.2f", before/all, during/all, after/all)
				codes := map[medlargw.Code]int{}
				for i := range jobs {
					codes[jobs[i].outcome.Code]++
				}
				t.Logf("outcomes: %v", codes)
				delay := cl.sim.links(names[0]).out.longestDelay()
				t.Logf("longest delay of a message at the first entry: %v", delay)
				if delay > maxDelay {
					t.Errorf("longest delay of a message: got %v, want at most %v", delay, maxDelay)
				}
				if got := l.count(t, "holder lost"); got != 0 {
					t.Errorf("peers considered lost: got %d, want 0", got)
				}
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
				if got := during / (payloads * all); got < minPressed {
					t.Errorf("completed jobs under load: got %.2f of what the links can carry, want at least %.2f", got, minPressed)
				}
				if got := after / before; got < minAfter {
					t.Errorf("completed jobs after the load: got %.2f of those before, want at least %.2f", got, minAfter)
				}
			})
		})
	}
}

// TestFaultsOnFullLinks cuts links between entries and freezes entries at random
// while the load is more than the links carry, so that messages arrive late, more
// than once or not at all. No task may run twice, no refused job at all, and
// every job must have an outcome.
func TestFaultsOnFullLinks(t *testing.T) {
	const (
		rate  = 250e3 // Bytes per second of one host.
		share = 1.3
		span  = 8 * time.Second
	)
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runClusterOnLinks(t, seed, policyHosts, rate, nil, func(cl *cluster) {
				r := rand.New(rand.NewPCG(seed, 5)) //nolint:gosec // Must be reproducible.
				go func() {
					for began := time.Now(); time.Since(began) < span; {
						time.Sleep(time.Duration(50+r.IntN(300)) * time.Millisecond)
						a, b := cl.entries[r.IntN(len(cl.entries))], cl.entries[r.IntN(len(cl.entries))]
						until := time.Duration(100+r.IntN(900)) * time.Millisecond
						if a == b {
							a.clock.freeze(until)
							continue
						}
						cl.sim.setLinkDown(a.host, b.host, true)
						time.AfterFunc(until, func() { cl.sim.setLinkDown(a.host, b.host, false) })
					}
				}()
				jobs := linkLoad(seed, float64(len(policyHosts))*rate, []phase{{share, span}})
				cl.runLinkLoad(jobs)
				complete := 0
				for i := range jobs {
					if o := &jobs[i].outcome; !o.Complete && o.Code == "" {
						t.Errorf("job %d: got no outcome, want one", i)
					}
					if jobs[i].outcome.Complete {
						complete++
					}
				}
				t.Logf("%d of %d jobs completed", complete, len(jobs))
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}
