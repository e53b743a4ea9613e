package conductor_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// claims records which hosts have claimed each target, and when first.
type claims struct {
	mu    sync.Mutex
	first map[medlargw.TargetName]time.Time
	hosts map[medlargw.TargetName][]string
}

func (c *claims) add(target medlargw.TargetName, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first == nil {
		c.first, c.hosts = map[medlargw.TargetName]time.Time{}, map[medlargw.TargetName][]string{}
	}
	if _, claimed := c.first[target]; !claimed {
		c.first[target] = time.Now()
	}
	if !slices.Contains(c.hosts[target], host) {
		c.hosts[target] = append(c.hosts[target], host)
	}
}

// TestFirstSecondAfterStartOfAll loses all entries at once and starts them again, each
// at another moment. They know from the platform who was there before. Each target must
// be claimed soon, by one entry only, and no run be lost to another holder.
func TestFirstSecondAfterStartOfAll(t *testing.T) {
	const (
		maxWait    = 100 * time.Millisecond // From the owner's first group to its claims.
		maxStagger = 200 * time.Millisecond // Between the first and the last start.
	)
	tests := []struct {
		name     string
		off      time.Duration
		enrolled bool   // The enrolments of the former processes have not ended.
		replaced string // A host that does not come back, and another one in its place.
		deaf     string // A host that hears its peers late.
	}{
		{"enrolments not ended", 500 * time.Millisecond, true, "", ""},
		{"enrolments ended", 1600 * time.Millisecond, false, "", ""},
		{"one host replaced", 1600 * time.Millisecond, false, "b2", ""},
		{"one host hears late", 1600 * time.Millisecond, false, "", "b1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 11, policyHosts, func(cl *cluster) {
				before := cl.stopAll()
				recent := cl.recent
				time.Sleep(test.off)
				cl.sim.claims = &claims{}
				owner := map[string]time.Time{} // First group of each host.
				random := rand.New(rand.NewPCG(3, 5))
				for i := range before {
					host := before[i].host
					if host == test.replaced {
						host += "-new"
					}
					if host == test.deaf {
						for _, other := range cl.alive() {
							cl.sim.setLinkDown(other.host, host, true)
							time.AfterFunc(maxStagger, func() { cl.sim.setLinkDown(other.host, host, false) })
						}
					}
					e := cl.add(host)
					owner[host] = time.Now()
					g := medlargw.Group{Entries: []medlargw.Peer{e.peer}, RecentEntries: recent, Targets: cl.sim.targets.Targets(), HasFormerEnrolment: test.enrolled}
					if test.enrolled {
						g.ListedEntries = recent
					}
					e.conductor.SetGroup(g)
					for j := range 3 {
						cl.submit(e, fmt.Sprintf("first-%s-%d", host, j), 2, 200*time.Millisecond, 14000)
					}
					time.Sleep(time.Duration(random.Int64N(int64(maxStagger) / int64(len(before)))))
				}
				time.Sleep(maxStagger)
				cl.setGroups()
				time.Sleep(3 * time.Second)
				for _, target := range cl.sim.targets.Targets() {
					by := cl.sim.claims.hosts[target.Name]
					if len(by) == 0 {
						t.Errorf("%s: got no claim, want one", target.Name)
						continue
					}
					if len(by) > 1 {
						t.Errorf("%s: got claims of %v, want one entry's", target.Name, by)
					}
					wait := cl.sim.claims.first[target.Name].Sub(owner[by[0]])
					if wait > maxWait && test.replaced == "" {
						t.Errorf("%s: got the claim of %s after %v, want at most %v", target.Name, by[0], wait, maxWait)
					}
				}
				for _, e := range cl.alive() {
					if got := e.counter("tasks.unknown"); got != 0 {
						t.Errorf("runs lost by %s: got %d, want 0", e.host, got)
					}
				}
			})
		})
	}
}

// stopAll stops all entries at once and returns them. Their hosts keep the addresses, and
// are the recent entries of the groups from then on.
func (cl *cluster) stopAll() []*entry {
	lost := cl.alive()
	for _, e := range lost {
		p := e.peer
		p.Incarnation = 0
		cl.recent = append(cl.recent, p)
		cl.addrs[e.host] = p.Addr
		cl.stop(e)
	}
	return lost
}

// restartEach stops all entries at once and starts them again after a while, one after
// the other. They know from the platform who was there before, and look for them at
// once.
func (cl *cluster) restartEach(off, stagger time.Duration) {
	lost := cl.stopAll()
	time.Sleep(off)
	for _, e := range lost {
		again := cl.add(e.host)
		again.conductor.SetGroup(medlargw.Group{
			Entries: []medlargw.Peer{again.peer}, RecentEntries: cl.recent, Targets: cl.sim.targets.Targets(),
		})
		time.Sleep(5 * time.Millisecond)
		cl.setGroups()
		for _, other := range cl.alive() {
			if other != again {
				cl.heartbeat(again, other)
				cl.heartbeat(other, again)
			}
		}
		time.Sleep(max(0, stagger/time.Duration(len(lost))-10*time.Millisecond))
	}
}

// TestCallersAfterLossOfAll loses all entries for more than a second. The callers of
// the last half second before their return are there when the first entry is back, and
// the others as usual. What the targets can serve from then on must be served.
func TestCallersAfterLossOfAll(t *testing.T) {
	const (
		lost      = 2 * time.Second
		off       = 1200 * time.Millisecond
		stagger   = 130 * time.Millisecond
		back      = lost + off
		held      = 550 * time.Millisecond // Callers from before the return that come then.
		within    = 200 * time.Millisecond // Within which they come.
		until     = back + 3*time.Second
		minPayoff = 0.85 // Of the ideal, of the callers in the first second, as at other loads above the capacity.
	)
	var earned, possible, available float64
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, seed, policyHosts, func(cl *cluster) {
				targets := cl.sim.targets.Targets()
				g := newGenerator(seed, until, cl.totalCores())
				g.add(0, lost, 0.7)
				g.add(back-held, until, 0.7)
				for i := range g.jobs {
					if at := g.jobs[i].at; at >= lost && at < back {
						g.jobs[i].at = back + (at-back+held)*within/held
					}
				}
				slices.SortStableFunc(g.jobs, func(a, b loadJob) int { return cmp.Compare(a.at, b.at) })
				go func() {
					time.Sleep(lost)
					cl.restartEach(off, stagger)
				}()
				late := slices.IndexFunc(g.jobs, func(j loadJob) bool { return j.at >= back })
				best := ideal(g.jobs[late:], func() []*baselineTarget { return baselineTargets(&scenario{}, targets) })
				for i, r := range cl.runLoad(g.jobs)[late:] {
					if r.job.at >= back+time.Second {
						break
					}
					if r.outcome.Complete {
						earned += r.job.payoffAt(r.age)
					}
					available += r.job.payoffAt(0)
					if best[i].end > 0 {
						possible += best[i].payoffAt(best[i].end - best[i].at)
					}
				}
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
		})
	}
	t.Logf("earned %.3f of what was asked for, ideal %.3f", earned/available, possible/available)
	if got := earned / possible; got < minPayoff {
		t.Errorf("payoff of the first second: got %.3f of the ideal, want at least %.2f", got, minPayoff)
	}
}
