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
	favourSeed = 19
	lendPause  = 2 * time.Millisecond // Of the dispatcher.
	beatPause  = 500 * time.Millisecond
)

// node is an entry with a real decider and a real lender.
type node struct {
	*bench
	host   medlargw.HostName
	lender *lender.Lender
	last   time.Time
	next   time.Time // When the lender must act.
	timer  time.Time // When an event for that is due.
}

// cluster is the entries of one zone on one virtual clock.
type cluster struct {
	nodes []*node
	calls int
}

func newCluster(t testing.TB, favour medlargw.Favour, entries, targets int) *cluster {
	t.Helper()
	c := &cluster{}
	fakes := map[medlargw.TargetName]*fake{}
	g := medlargw.Group{}
	for i := range targets {
		fakes[targetName(i)] = &fake{slots: 8, factor: 1}
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
			bench:  newBench(t, favourSeed+uint64(i), s, tools(medlargw.OrderLeast)),
			host:   s.Host,
			lender: lender.New(&s, 1),
		}
		n.targets = fakes
		n.shared = true
		n.decider.Configure(n.now, config(12))
		n.decider.SetReach(8 * targets / entries)
		n.lender.Configure(n.now, config(12))
		n.lender.SetGroup(n.now, &g)
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		c.step(n)
		c.beat(n)
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

// beat tells the other entries what this one has, from time to time.
func (c *cluster) beat(n *node) {
	for _, other := range c.nodes {
		if other != n {
			other.lender.Heard(n.now, n.host, medlargw.Digest{Free: n.decider.Free(), Waiting: n.decider.Waiting()})
		}
	}
	n.at(n.now.Add(beatPause), func() { c.beat(n) })
}

// step lets the lender act, as the dispatcher does.
func (c *cluster) step(n *node) {
	n.last = n.now
	c.tell(n)
	n.lender.Tick(n.now)
	actions := n.lender.Actions()
	for _, call := range actions.Calls {
		c.calls++
		peer := c.node(call.To)
		peer.at(n.now.Add(roundTrip/2), func() {
			c.tell(peer)
			peer.lender.Handle(peer.now, &call.Request)
			c.step(peer)
		})
	}
	for _, answer := range actions.Answers {
		peer := c.node(answer.To)
		peer.at(n.now.Add(roundTrip/2), func() {
			c.tell(peer)
			peer.lender.Replied(peer.now, n.host, &answer.Reply)
			c.step(peer)
		})
	}
	if actions.Moved {
		n.decider.SetCapacity(n.now, actions.Capacities)
	}
	n.next = actions.Wake
	actions.Reset()
	n.act()
}

func (c *cluster) tell(n *node) {
	demand := n.decider.Demand()
	for rank := range demand.Classes {
		demand.Classes[rank].Running = n.active[rank]
	}
	n.lender.SetDemand(n.now, &demand)
}

// turn lets the lender act when it is time to.
func (c *cluster) turn(n *node) {
	next := n.next
	if soon := n.last.Add(lendPause); soon.Before(next) && n.decider.Short() {
		next = soon
	}
	if !n.now.Before(next) {
		c.step(n)
		next = n.next
	}
	if !n.timer.After(n.now) || next.Before(n.timer) {
		n.timer = next
		n.at(next, func() {})
	}
}

// run lets the events happen until that time.
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
		first.act()
		c.turn(first)
	}
}

// zoneRun offers the load to each of 8 entries that share 48 targets. It
// returns the mean response divided by the ideal of each class, the messages
// per task and the wasted messages.
func zoneRun(t testing.TB, favour medlargw.Favour, total float64, last time.Duration) ([3]float64, float64, int) {
	t.Helper()
	c := newCluster(t, favour, 8, 48)
	for _, n := range c.nodes {
		n.offer(load{teams: 12, shares: at(total), last: last}, 48)
	}
	c.run(epoch.Add(last + 20*time.Second))
	var means [3]float64
	started, messages, wasted := 0, 2*c.calls, 0
	for class := range means {
		jobs := 0
		for _, n := range c.nodes {
			s := n.summarise(class, warmUp)
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

// BenchmarkFavour prints the figures of docs/design/favour.md.
func BenchmarkFavour(b *testing.B) {
	for _, total := range []float64{0.3, 0.6, 0.8, 0.9} {
		for _, favour := range []medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages} {
			means, messages, wasted := zoneRun(b, favour, total, 40*time.Second)
			b.Logf("load %.1f, favour %-8s: mean of the classes %.3f, messages per task %.2f, wasted %d", total, favour, means, messages, wasted)
		}
	}
}

func TestResponseTargetsOfAZone(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ load, want float64 }{{0.6, 1.05}, {0.9, 1.15}} {
		means, messages, _ := zoneRun(t, medlargw.FavourLatency, test.load, 40*time.Second)
		t.Logf("load %.1f: mean of the classes %.3f, messages per task %.2f", test.load, means, messages)
		if means[0] > test.want {
			t.Errorf("load %.1f: got a mean of %.3f in the highest class, want at most %.2f", test.load, means[0], test.want)
		}
	}
}
