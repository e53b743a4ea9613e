package lender

import (
	"cmp"
	"container/heap"
	"time"

	"medlargw.example/medlargw"
)

type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) } //nolint:errcheck // Only events.

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (g *group) after(d time.Duration, do func()) {
	g.order++
	heap.Push(&g.queue, event{at: g.now + d, order: g.order, do: do})
}

func (g *group) find(host medlargw.HostName) *entry {
	for _, e := range g.entries {
		if e.peer.Host == host {
			return e
		}
	}
	return nil
}

// carry delivers a message, perhaps late, twice or never.
func (g *group) carry(from, to medlargw.HostName, deliver func(e *entry)) {
	g.calls++
	times := 1
	if g.random.Float64() < g.double {
		times = 2
	}
	if g.random.Float64() < g.loss || g.cut != nil && g.cut(from, to) {
		times = 0
	}
	for range times {
		delay := g.least + time.Duration(g.random.Int64N(int64(g.most-g.least)+1))
		var arrive func()
		arrive = func() {
			e := g.find(to)
			switch {
			case e.dead:
			case e.paused:
				g.after(10*time.Millisecond, arrive) // The kernel keeps it.
			default:
				deliver(e)
			}
		}
		g.after(delay, arrive)
	}
}

func (e *entry) send(c medlargw.BorrowCall) {
	l, from, number := e.l, e.peer.Host, c.Request.Number
	e.g.bytes += requestBytes(&c.Request)
	e.g.carry(from, c.To, func(peer *entry) {
		peer.l.SetDemand(peer.clock(), peer.demand())
		peer.l.Handle(peer.clock(), &c.Request)
		peer.step()
	})
	e.g.after(time.Second, func() {
		if e.l == l && !e.dead && !e.paused {
			e.l.Failed(e.clock(), c.To, number)
			e.step()
		}
	})
}

func (e *entry) answer(a medlargw.BorrowAnswer) {
	from := e.peer.Host
	e.g.bytes += replyBytes(&a.Reply)
	e.g.carry(from, a.To, func(peer *entry) {
		peer.l.SetDemand(peer.clock(), peer.demand())
		peer.l.Replied(peer.clock(), from, &a.Reply)
		peer.step()
	})
}
