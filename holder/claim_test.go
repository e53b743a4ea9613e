package holder_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/holder"
	"medlargw.example/medlargw/pacer"
)

// losing is a target beside its holder that gives no answer to some of its start orders,
// in steps of a millisecond. A message takes one.
type losing struct {
	*fixture
	each    int           // One start order in so many gets no answer.
	err     error         // Of these.
	after   time.Duration // When the holder knows.
	rand    *rand.Rand
	events  map[time.Time][]func()
	seen    uint64 // The highest token.
	runs    map[medlargw.RunID]bool
	ends    []medlargw.RunEnd
	lastEnd uint64
	polls   []*losingPoll
	last    medlargw.TaskID

	starts, fenced, calls, done int
	claims                      []time.Time // When the token was raised.
}

// losingPoll is a renewal that waits at the target.
type losingPoll struct {
	c     medlargw.RenewCommand
	sent  time.Time
	until time.Time
}

func newLosing(t *testing.T, each int, err error, after time.Duration) *losing {
	w := &losing{fixture: newFixture(t), each: each, err: err, after: after, rand: rand.New(rand.NewPCG(1, 1)), events: map[time.Time][]func(){}, runs: map[medlargw.RunID]bool{}}
	w.seen = w.renewal.Renewal.FenceToken
	w.poll(w.renewal, w.now)
	return w
}

func (w *losing) at(d time.Duration, f func()) {
	w.events[w.now.Add(d)] = append(w.events[w.now.Add(d)], f)
}

func (w *losing) clock() time.Duration { return w.now.Sub(start) }

// pass lets time pass in which the home offers a task each interval.
func (w *losing) pass(d, interval time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(time.Millisecond)
		for len(w.events[w.now]) > 0 {
			all := w.events[w.now]
			delete(w.events, w.now)
			for _, f := range all {
				f()
			}
		}
		if w.rand.Int64N(int64(interval)) < int64(time.Millisecond) {
			w.last++
			w.h.HandleOffer(w.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Tasks: []medlargw.OfferedTask{{
				ID: w.last, Run: medlargw.RunID{Task: fmt.Sprintf("task%d", w.last), Attempt: 1}, Pool: "pool", MayQueue: true,
				Resources: medlargw.Resources{Cores: 1000}, Estimate: 20 * time.Millisecond, TimeToObjective: time.Second, TimeToDeadline: 2 * time.Second,
			}}})
		}
		if w.now.Sub(start)%(5*time.Millisecond) == 0 {
			w.h.Tick(w.now)
		}
		w.carry(w.h.TakeActions())
		w.answerPolls()
	}
}

// carry sends the messages of the holder.
func (w *losing) carry(a medlargw.HolderActions) {
	for i := range a.Starts {
		w.starts++
		w.calls++
		c := &a.Starts[i]
		if w.starts%w.each == 0 {
			w.at(w.after, func() { w.h.StartAnswered(w.now, c, medlargw.OrderReply{}, w.err) })
			continue
		}
		w.at(time.Duration(1+w.rand.IntN(5))*time.Millisecond, func() { w.startRun(c) })
	}
	for i := range a.Stops {
		w.calls++
		c := &a.Stops[i]
		w.at(time.Millisecond, func() {
			reply := w.reply(c.Order.FenceToken)
			w.at(time.Millisecond, func() { w.h.StopAnswered(w.now, c, reply, nil) })
		})
	}
	for i := range a.Renewals {
		w.calls++
		c, sent := a.Renewals[i], w.now
		if c.Renewal.FenceToken > w.renewal.Renewal.FenceToken {
			w.renewal = c
			w.claims = append(w.claims, w.now)
		}
		w.at(time.Millisecond, func() { w.poll(c, sent) })
	}
	if reports := a.Reports; len(reports) > 0 {
		w.at(2*time.Millisecond, func() { w.h.ConfirmReports(w.now, reports) })
	}
}

// reply records a token and returns the reply to an order with it.
func (w *losing) reply(token uint64) medlargw.OrderReply {
	reply := medlargw.OrderReply{Clock: w.clock()}
	if token < w.seen {
		reply.Status = medlargw.OrderFenced
	}
	w.seen = max(w.seen, token)
	return reply
}

func (w *losing) startRun(c *medlargw.StartCommand) {
	reply := w.reply(c.Order.FenceToken)
	if reply.Status == medlargw.OrderFenced {
		w.fenced++
	} else {
		id := c.Order.Run
		w.runs[id] = true
		w.at(20*time.Millisecond, func() {
			delete(w.runs, id)
			w.lastEnd++
			w.done++
			w.ends = append(w.ends, medlargw.RunEnd{Sequence: w.lastEnd, Run: id})
		})
	}
	w.at(time.Millisecond, func() { w.h.StartAnswered(w.now, c, reply, nil) })
}

func (w *losing) poll(c medlargw.RenewCommand, sent time.Time) {
	w.reply(c.Renewal.FenceToken)
	w.ends = slices.DeleteFunc(w.ends, func(e medlargw.RunEnd) bool { return e.Sequence <= c.Renewal.AckedSequence })
	w.polls = append(w.polls, &losingPoll{c: c, sent: sent, until: w.now.Add(c.Renewal.MaxWait)})
}

// answerPolls answers the renewals that have waited for long enough or for an end.
func (w *losing) answerPolls() {
	w.polls = slices.DeleteFunc(w.polls, func(p *losingPoll) bool {
		if len(w.ends) == 0 && w.now.Before(p.until) {
			return false
		}
		report := medlargw.RunReport{Clock: w.clock(), IncarnationStart: start, Ended: slices.Clone(w.ends)}
		if p.c.Renewal.FenceToken < w.seen {
			report.Status = medlargw.OrderFenced
		}
		for id := range w.runs {
			report.Active = append(report.Active, medlargw.ActiveRun{Run: id, Percent: 50})
		}
		w.at(time.Millisecond, func() { w.h.RenewAnswered(w.now, p.sent, &p.c, &report, nil) })
		return true
	})
}

// TestPauseBetweenClaimsAnew guards against a target that is claimed anew again and again:
// each claim costs a call and refuses the orders that are under way.
func TestPauseBetweenClaimsAnew(t *testing.T) {
	const order, length = 200 * time.Millisecond, 10 * time.Second
	lost := errors.New("no answer")
	tests := []struct {
		name  string
		each  int // One start order in so many gets no answer.
		err   error
		after time.Duration
		least int // Number of claims.
	}{
		{"all are answered", math.MaxInt, nil, 0, 0},
		{"a tenth is not answered", 10, lost, order, 20},
		{"half are not answered", 2, lost, order, 20},
		{"none is answered", 1, lost, order, 20},
		{"a tenth of the connections is reset", 10, medlargw.ErrConnectionClosed, 2 * time.Millisecond, 20},
		{"half of the connections are reset", 2, medlargw.ErrConnectionClosed, 2 * time.Millisecond, 20},
		{"all connections are reset", 1, medlargw.ErrConnectionClosed, 2 * time.Millisecond, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newLosing(t, test.each, test.err, test.after)
			w.pass(length, 5*time.Millisecond)
			t.Logf("%d starts, %d runs, %d calls, %d claims anew, %d orders refused by them", w.starts, w.done, w.calls, len(w.claims), w.fenced)
			if got, most := len(w.claims), int(length/order); got < test.least || got > most {
				t.Errorf("claims anew in %v: got %d, want %d to %d", length, got, test.least, most)
			}
			for i := 1; i < len(w.claims); i++ {
				if got := w.claims[i].Sub(w.claims[i-1]); got < order {
					t.Fatalf("pause between two claims anew: got %v, want at least %v", got, order)
				}
			}
		})
	}
}

// TestManyRejectedTokens guards against tokens that overflow, and are rejected from then
// on, when another entry has claimed many targets at once.
func TestManyRejectedTokens(t *testing.T) {
	const targets = 70
	x := &fixture{t: t, now: start, h: holder.New(zap.NewNop(), medlargw.DefaultLeaseSettings(), self, pacer.New(0))}
	g := medlargw.Group{Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}}}
	for i := range targets {
		g.Targets = append(g.Targets, medlargw.Target{
			Name: medlargw.TargetName(fmt.Sprintf("t%d", i)), Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000},
		})
	}
	x.h.SetGroup(x.now, g)
	x.now = x.now.Add(time.Second)
	x.h.Tick(x.now)
	highest := uint64(0)
	for _, c := range x.takeActions().Renewals {
		highest = max(highest, c.Renewal.FenceToken)
		x.h.RenewAnswered(x.now, x.now, &c, &medlargw.RunReport{Clock: time.Second, IncarnationStart: start}, nil)
	}
	renewals := x.takeActions().Renewals
	if len(renewals) != targets {
		t.Fatalf("renewals: got %d, want %d", len(renewals), targets)
	}
	for _, c := range renewals {
		x.h.RenewAnswered(x.now, x.now, &c, &medlargw.RunReport{Status: medlargw.OrderFenced}, nil)
	}
	x.now = x.now.Add(3 * time.Second)
	x.h.Tick(x.now)
	claims := x.takeActions().Renewals
	if len(claims) != targets {
		t.Fatalf("claims: got %d, want %d", len(claims), targets)
	}
	for _, c := range claims {
		if got := c.Renewal.FenceToken; got <= highest || got > highest<<8 {
			t.Fatalf("token after %d rejections: got %d, want above the former %d and below %d", targets, got, highest, highest<<8)
		}
	}
}

// TestClaimAnewTakesNoTargetBack guards against a holder that takes a target from another
// entry: that one claims it after a renewal was carried out and before the holder, which
// has an order without an answer, raises its token.
func TestClaimAnewTakesNoTargetBack(t *testing.T) {
	tests := []struct {
		name   string
		addr   string // Of the other entry.
		raised int    // How often the target was claimed anew before.
	}{
		{"the other entry has a higher address", "10.1.0.3:7000", 0},
		{"the other entry has a lower address", "10.1.0.1:7000", 0},
		{"after other claims", "10.1.0.3:7000", 3},
		{"after more claims than a token counts", "10.1.0.3:7000", 300},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			for range test.raised + 1 {
				x.now = x.now.Add(250 * time.Millisecond)
				x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, noAnswerError{})
				x.now = x.now.Add(50 * time.Millisecond)
				x.h.Tick(x.now)
				x.takeActions()
				if former := x.renewal.Renewal.FenceToken; test.raised > 0 {
					x.report(medlargw.RunReport{Clock: x.now.Sub(start), IncarnationStart: start})
					if got := x.renewal.Renewal.FenceToken; got <= former {
						t.Fatalf("token after an order without an answer: got %d, want above %d", got, former)
					}
				}
			}
			seen, sent := x.renewal.Renewal.FenceToken, x.now
			token := claimAsOther(t, x.now, netip.MustParseAddrPort(test.addr), seen)
			x.now = x.now.Add(100 * time.Millisecond)
			x.h.RenewAnswered(x.now, sent, &x.renewal, &medlargw.RunReport{Clock: x.now.Sub(start), IncarnationStart: start}, nil)
			x.takeActions()
			if got := x.renewal.Renewal.FenceToken; got >= token {
				t.Errorf("token after the claim of the other entry: got %d, want below %d", got, token)
			}
		})
	}
}

// claimAsOther returns the token with which another entry claims the target, given the
// highest one that the target has seen.
func claimAsOther(t *testing.T, now time.Time, addr netip.AddrPort, seen uint64) uint64 {
	t.Helper()
	other := medlargw.Member{Host: "other", Zone: "z", Incarnation: 2, Addr: addr}
	h := holder.New(zap.NewNop(), medlargw.DefaultLeaseSettings(), other, pacer.New(0))
	h.SetGroup(now, medlargw.Group{
		Entries: []medlargw.Peer{{Host: other.Host, Zone: other.Zone, Incarnation: other.Incarnation}},
		Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}}},
	})
	now = now.Add(time.Second)
	h.Tick(now)
	for range 64 {
		claim := h.TakeActions().Renewals[0]
		if claim.Renewal.FenceToken > seen {
			return claim.Renewal.FenceToken
		}
		h.RenewAnswered(now, now, &claim, &medlargw.RunReport{Status: medlargw.OrderFenced}, nil)
	}
	t.Fatal("claim of the other entry: got none that the target accepts")
	return 0
}

// TestTokenRisesWithEachRejection guards against tokens that overflow, and are rejected
// from then on, while a target rejects one claim after the other.
func TestTokenRisesWithEachRejection(t *testing.T) {
	x := &fixture{t: t, now: start, h: holder.New(zap.NewNop(), medlargw.DefaultLeaseSettings(), self, pacer.New(0))}
	x.h.SetGroup(x.now, medlargw.Group{
		Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}},
		Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}}},
	})
	x.now = x.now.Add(time.Second)
	x.h.Tick(x.now)
	x.takeActions()
	for i := range 200 {
		former := x.renewal.Renewal.FenceToken
		x.report(medlargw.RunReport{Status: medlargw.OrderFenced})
		if got := x.renewal.Renewal.FenceToken; got <= former {
			t.Fatalf("token after %d rejections: got %d, want above %d", i+1, got, former)
		}
	}
}
