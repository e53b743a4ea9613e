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

func (g *simGroup) after(d time.Duration, do func()) {
	g.lastOrder++
	heap.Push(&g.events, event{at: g.now + d, order: g.lastOrder, do: do})
}

func (g *simGroup) entryOn(host medlargw.HostName) *simEntry {
	for _, e := range g.entries {
		if e.peer.Host == host {
			return e
		}
	}
	return nil
}

// transmit delivers a message after a random delay, or drops or duplicates it.
func (g *simGroup) transmit(from, to medlargw.HostName, deliver func(e *simEntry)) {
	g.messages++
	times := 1
	if g.random.Float64() < g.duplicationRate {
		times = 2
	}
	if g.random.Float64() < g.lossRate || g.isCut != nil && g.isCut(from, to) {
		times = 0
	}
	for range times {
		delay := g.minDelay + time.Duration(g.random.Int64N(int64(g.maxDelay-g.minDelay)+1))
		var arrive func()
		arrive = func() {
			e := g.entryOn(to)
			switch {
			case e.crashed:
			case e.paused:
				g.after(10*time.Millisecond, arrive) // The kernel buffers messages to a paused process.
			default:
				deliver(e)
			}
		}
		g.after(delay, arrive)
	}
}

func (e *simEntry) send(c medlargw.BorrowCall) {
	l, from, sequence := e.l, e.peer.Host, c.Request.Sequence
	e.g.bytes += requestBytes(&c.Request)
	e.g.transmit(from, c.To, func(peer *simEntry) {
		peer.l.SetDemand(peer.clock(), peer.demand())
		peer.l.HandleRequest(peer.clock(), &c.Request)
		peer.step()
	})
	e.g.after(time.Second, func() {
		if e.l == l && !e.crashed && !e.paused {
			e.l.HandleFailure(e.clock(), c.To, sequence)
			e.step()
		}
	})
}

func (e *simEntry) reply(a medlargw.AddressedBorrowReply) {
	from := e.peer.Host
	e.g.bytes += replyBytes(&a.Reply)
	e.g.transmit(from, a.To, func(peer *simEntry) {
		peer.l.SetDemand(peer.clock(), peer.demand())
		peer.l.HandleReply(peer.clock(), from, &a.Reply)
		peer.step()
	})
}
