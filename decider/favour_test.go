package decider_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/lender"
)

const (
	favourSeed        = 19
	lendInterval      = 2 * time.Millisecond // As in the dispatcher.
	heartbeatInterval = 500 * time.Millisecond
)

// node is an entry with a real decider and a real lender.
type node struct {
	*testBench
	host    medlargw.HostName
	lender  *lender.Lender
	lastRun time.Time
	nextRun time.Time // When the lender must run.
	timer   time.Time // When the event scheduled for that is due.
}

// cluster is the set of entries of one zone on one virtual clock.
type cluster struct {
	nodes []*node
	calls int
}

func newCluster(t testing.TB, favour medlargw.Favour, entries, targets int) *cluster {
	t.Helper()
	c := &cluster{}
	fakes := map[medlargw.TargetName]*fakeTarget{}
	g := medlargw.Group{}
	for i := range targets {
		fakes[targetName(i)] = &fakeTarget{slots: 8, runTimeFactor: 1}
		g.Targets = append(g.Targets, medlargw.Target{Name: targetName(i), Zone: "z", Slots: 8})
	}
	for i := range entries {
		host := medlargw.HostName(fmt.Sprint("entry", i))
		g.Entries = append(g.Entries, medlargw.Peer{Host: host, Zone: "z", Incarnation: 1})
	}
	for i := range g.Entries {
		s := settings()
		s.Host, s.Zone, s.Favour = g.Entries[i].Host, "z", favour
		s.Group = medlargw.GroupSettings{Term: 2 * time.Second, Margin: 200 * time.Millisecond}
		n := &node{
			testBench: newTestBench(t, favourSeed+uint64(i), s, deps(medlargw.PolicyLeastWork)),
			host:      s.Host,
			lender:    lender.New(&s, 1),
		}
		n.targets = fakes
		n.shared = true
		n.decider.Configure(n.now, config(12))
		n.decider.SetExpectedSlots(8 * targets / entries)
		n.lender.Configure(n.now, config(12))
		n.lender.SetGroup(n.now, &g)
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		c.runLender(n)
		c.heartbeat(n)
	}
	return c
}

func (c *cluster) node(host medlargw.HostName) *node {
	for _, n := range c.nodes {
		if n.host == host {
			return n
		}
	}
	panic("no such entry")
}

// heartbeat sends the node's digest to the other entries and schedules the next
// heartbeat.
func (c *cluster) heartbeat(n *node) {
	for _, other := range c.nodes {
		if other != n {
			other.lender.SetDigest(n.now, n.host, medlargw.Digest{FreeSlots: n.decider.Free(), Waiting: n.decider.Waiting()})
		}
	}
	n.at(n.now.Add(heartbeatInterval), func() { c.heartbeat(n) })
}

// runLender runs the lender and carries out its actions, as the dispatcher
// does.
func (c *cluster) runLender(n *node) {
	n.lastRun = n.now
	c.updateDemand(n)
	n.lender.Tick(n.now)
	actions := n.lender.Actions()
	for _, call := range actions.Calls {
		c.calls++
		peer := c.node(call.To)
		peer.at(n.now.Add(roundTrip/2), func() {
			c.updateDemand(peer)
			peer.lender.HandleRequest(peer.now, &call.Request)
			c.runLender(peer)
		})
	}
	for _, answer := range actions.Replies {
		peer := c.node(answer.To)
		peer.at(n.now.Add(roundTrip/2), func() {
			c.updateDemand(peer)
			peer.lender.HandleReply(peer.now, n.host, &answer.Reply)
			c.runLender(peer)
		})
	}
	if actions.AllocationsChanged {
		n.decider.SetAllocations(n.now, actions.Allocations)
	}
	n.nextRun = actions.NextTick
	actions.Reset()
	n.carryOut()
}

func (c *cluster) updateDemand(n *node) {
	demand := n.decider.Demand()
	for rank := range demand.Classes {
		demand.Classes[rank].Running = n.runningByClass[rank]
	}
	n.lender.SetDemand(n.now, &demand)
}

// runLenderIfDue runs the lender if it is due, and schedules an event for the
// next time.
func (c *cluster) runLenderIfDue(n *node) {
	next := n.nextRun
	if earliest := n.lastRun.Add(lendInterval); earliest.Before(next) && n.decider.NeedsCapacity() {
		next = earliest
	}
	if !n.now.Before(next) {
		c.runLender(n)
		next = n.nextRun
	}
	if !n.timer.After(n.now) || next.Before(n.timer) {
		n.timer = next
		n.at(next, func() {})
	}
}

// run processes events up to the given time.
func (c *cluster) run(until time.Time) {
	for {
		first := c.nodes[0]
		for _, n := range c.nodes[1:] {
			if n.events[0].at.Before(first.events[0].at) {
				first = n
			}
		}
		e, _ := heap.Pop(&first.events).(*event)
		if e.at.After(until) {
			return
		}
		for _, n := range c.nodes {
			n.now = e.at
		}
		e.do()
		first.carryOut()
		c.runLenderIfDue(first)
	}
}

// runZone offers the load to each of 8 entries that share 48 targets. It
// returns the mean response time divided by the ideal one for each class, the
// number of messages per task and the number of wasted messages.
func runZone(t testing.TB, favour medlargw.Favour, total float64, duration time.Duration) ([3]float64, float64, int) {
	t.Helper()
	c := newCluster(t, favour, 8, 48)
	for _, n := range c.nodes {
		n.offerLoad(load{teams: 12, shares: loadShares(total), duration: duration}, 48)
	}
	c.run(epoch.Add(duration + 20*time.Second))
	var means [3]float64
	started, messages, wasted := 0, 2*c.calls, 0
	for class := range means {
		jobs := 0
		for _, n := range c.nodes {
			s := n.summarize(class, warmUp)
			means[class] += s.mean * float64(s.n)
			jobs += s.n
		}
		means[class] /= float64(jobs)
	}
	for _, n := range c.nodes {
		started += n.messages / 2
		messages += n.messages
		wasted += n.wasted
	}
	return means, float64(messages) / float64(started), wasted
}

// BenchmarkFavour logs the figures of docs/design/favour.md.
func BenchmarkFavour(b *testing.B) {
	for _, total := range []float64{0.3, 0.6, 0.8, 0.9} {
		for _, favour := range []medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages} {
			means, messages, wasted := runZone(b, favour, total, 40*time.Second)
			b.Logf("load %.1f, favour %-8s: mean of the classes %.3f, messages per task %.2f, wasted %d", total, favour, means, messages, wasted)
		}
	}
}

func TestResponseTargetsOfAZone(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ load, want float64 }{{0.6, 1.05}, {0.9, 1.15}} {
		means, messages, _ := runZone(t, medlargw.FavourLatency, test.load, 40*time.Second)
		t.Logf("load %.1f: mean of the classes %.3f, messages per task %.2f", test.load, means, messages)
		if means[0] > test.want {
			t.Errorf("load %.1f: got a mean of %.3f in the highest class, want at most %.2f", test.load, means[0], test.want)
		}
	}
}
