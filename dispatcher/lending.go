package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// lendPause is the shortest time between two looks at the loans for the sake
// of waiting tasks.
const lendPause = 2 * time.Millisecond

// errSuperseded says that a request for loans came after a newer one.
var errSuperseded = errors.New("a newer request has come")

// lending is what the control goroutine needs to lend and borrow.
type lending struct {
	registry  *registrar.Registrar
	lender    medlargw.Lender
	messenger medlargw.Messenger
	zone      medlargw.ZoneName
	term      time.Duration
	ranks     map[medlargw.ClassName]int
	started   map[medlargw.Tag]int // Ranks of the attempts that have not ended.
	running   []int                // Their number by rank.
	waiters   map[medlargw.HostName][]borrowWaiter
	last      time.Time // Of the last tick.
	due       bool      // Something has happened that the lender must act on.
	wake      time.Time
}

// borrowWaiter is a peer's request without an answer yet.
type borrowWaiter struct {
	ctx    context.Context //nolint:containedctx // Tells whether the peer still waits.
	number uint64
	reply  chan<- medlargw.BorrowReply
}

var (
	_ medlargw.BorrowHandler = (*Dispatcher)(nil)
	_ medlargw.BeatObserver  = (*Dispatcher)(nil)
)

type groupMessage struct{ group medlargw.Group }

type heardMessage struct {
	from   medlargw.HostName
	digest medlargw.Digest
}

type borrowMessage struct {
	request medlargw.BorrowRequest
	waiter  borrowWaiter
}

type repliedMessage struct {
	from  medlargw.HostName
	reply medlargw.BorrowReply
}

type failedMessage struct {
	from   medlargw.HostName
	number uint64
}

// UseLender makes the dispatcher share targets and limits with its peers. It
// must precede Start.
func (d *Dispatcher) UseLender(reg *registrar.Registrar, l medlargw.Lender, s *medlargw.Settings) {
	d.lending = &lending{
		registry: reg,
		lender:   l,
		zone:     s.Zone,
		term:     s.Group.Term,
		ranks:    map[medlargw.ClassName]int{},
		started:  map[medlargw.Tag]int{},
		waiters:  map[medlargw.HostName][]borrowWaiter{},
	}
}

// find finds the parts that lending needs.
func (l *lending) find() error {
	if l == nil {
		return nil
	}
	var err error
	l.messenger, err = registrar.Find[medlargw.Messenger](l.registry, "messenger")
	return err
}

// clock returns the time, after it gave up what ended while this process was
// paused.
func (d *Dispatcher) clock() time.Time {
	now := time.Now()
	if d.lending != nil && now.Sub(d.lending.last) > d.lending.term/2 {
		d.lendNow(now)
	}
	return now
}

// nextWake returns the earlier of the given time and that of the lender.
func (d *Dispatcher) nextWake(wake time.Time) time.Time {
	if d.lending == nil || d.lending.wake.IsZero() {
		return wake
	}
	if wake.IsZero() || d.lending.wake.Before(wake) {
		return d.lending.wake
	}
	return wake
}

// SetGroup tells which hosts act together.
func (d *Dispatcher) SetGroup(g medlargw.Group) { d.post(groupMessage{group: g}) }

// HeardBeat takes what a peer said of itself.
func (d *Dispatcher) HeardBeat(from medlargw.Member, digest medlargw.Digest) {
	d.post(heardMessage{from: from.Host, digest: digest})
}

// HandleBorrow answers a peer's wish for loans, at once or when there is
// something to lend.
func (d *Dispatcher) HandleBorrow(ctx context.Context, r medlargw.BorrowRequest) (medlargw.BorrowReply, error) {
	reply := make(chan medlargw.BorrowReply, 1)
	waiter := borrowWaiter{ctx: ctx, number: r.Number, reply: reply}
	if !d.post(borrowMessage{request: r, waiter: waiter}) {
		return medlargw.BorrowReply{}, context.Canceled
	}
	select {
	case got, ok := <-reply:
		if !ok {
			return medlargw.BorrowReply{}, errSuperseded
		}
		return got, nil
	case <-ctx.Done():
		return medlargw.BorrowReply{}, ctx.Err()
	case <-d.done:
		return medlargw.BorrowReply{}, context.Canceled
	}
}

// lend lets the lender act if it is time to, and carries out what it says.
func (d *Dispatcher) lend(now time.Time) {
	l := d.lending
	if l == nil {
		return
	}
	if soon := l.last.Add(lendPause); soon.Before(l.wake) && d.decider.Short() {
		l.wake = soon
	}
	if !l.due && now.Before(l.wake) {
		return
	}
	l.due = false
	l.last = now
	d.tellDemand(now)
	l.lender.Tick(now)
	d.actOnLoans(now)
}

// lendNow lets the lender act, whether or not it is time to.
func (d *Dispatcher) lendNow(now time.Time) {
	d.lending.due = true
	d.lend(now)
}

// tellDemand tells the lender what this entry uses and what waits.
func (d *Dispatcher) tellDemand(now time.Time) {
	demand := d.decider.Demand()
	for rank, n := range d.lending.running {
		if rank < len(demand.Classes) {
			demand.Classes[rank].Running = n
		}
	}
	d.lending.lender.SetDemand(now, &demand)
}

func (d *Dispatcher) actOnLoans(now time.Time) {
	actions := d.lending.lender.Actions()
	for i := range actions.Answers {
		d.answerBorrow(&actions.Answers[i])
	}
	for i := range actions.Calls {
		d.callBorrow(actions.Calls[i])
	}
	for _, s := range actions.Shares {
		d.decider.SetShare(now, s.Team, s.Limit)
	}
	if actions.Moved {
		d.decider.SetCapacity(now, actions.Capacities)
	}
	d.lending.wake = actions.Wake
	actions.Reset()
}

func (d *Dispatcher) answerBorrow(a *medlargw.BorrowAnswer) {
	for _, w := range d.lending.waiters[a.To] {
		if w.number == a.Reply.Number {
			w.reply <- a.Reply
		} else {
			close(w.reply)
		}
	}
	delete(d.lending.waiters, a.To)
}

// callBorrow has a traffic goroutine carry the request.
func (d *Dispatcher) callBorrow(c medlargw.BorrowCall) {
	metrics.GetOrRegisterCounter("borrow.calls", d.registry).Inc(1)
	d.traffic.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.lending.term/2)
		defer cancel()
		reply, err := d.lending.messenger.Borrow(ctx, c.Addr, c.Request)
		if err != nil || reply.Number != c.Request.Number {
			d.post(failedMessage{from: c.To, number: c.Request.Number})
			return
		}
		d.post(repliedMessage{from: c.To, reply: reply})
	})
}

func (m groupMessage) apply(d *Dispatcher, now time.Time) {
	d.lending.lender.SetGroup(now, &m.group)
	d.decider.SetReach(m.reach(d.lending.zone))
	d.lendNow(now)
}

// reach returns the slots that an entry of the zone can expect when all of them
// are busy.
func (m groupMessage) reach(zone medlargw.ZoneName) int {
	slots, entries := 0, 0
	for i := range m.group.Targets {
		if m.group.Targets[i].Zone == zone {
			slots += m.group.Targets[i].Slots
		}
	}
	for _, e := range m.group.Entries {
		if e.Zone == zone && !e.Leaving {
			entries++
		}
	}
	return slots / max(1, entries)
}

func (m heardMessage) apply(d *Dispatcher, now time.Time) {
	d.lending.lender.Heard(now, m.from, m.digest)
}

func (m borrowMessage) apply(d *Dispatcher, now time.Time) {
	l := d.lending
	waiting := l.waiters[m.request.Host][:0]
	for _, w := range l.waiters[m.request.Host] {
		if w.ctx.Err() == nil {
			waiting = append(waiting, w)
		}
	}
	l.waiters[m.request.Host] = append(waiting, m.waiter)
	d.tellDemand(now)
	l.lender.Handle(now, &m.request)
	d.lendNow(now) // Before a job takes a slot that was lent just now.
}

func (m repliedMessage) apply(d *Dispatcher, now time.Time) {
	d.lending.lender.Replied(now, m.from, &m.reply)
	d.lending.due = true
}

func (m failedMessage) apply(d *Dispatcher, now time.Time) {
	metrics.GetOrRegisterCounter("borrow.failed", d.registry).Inc(1)
	d.lending.lender.Failed(now, m.from, m.number)
	d.lending.due = true
}

// noteStart counts a start in its class.
func (l *lending) noteStart(a *medlargw.Attempt) {
	if l == nil {
		return
	}
	rank := l.ranks[a.Job.Class]
	for len(l.running) <= rank {
		l.running = append(l.running, 0)
	}
	l.running[rank]++
	l.started[a.Tag] = rank
}

func (l *lending) noteEnd(tag medlargw.Tag) {
	if l == nil {
		return
	}
	l.running[l.started[tag]]--
	delete(l.started, tag)
}

// configure takes the ranks of the classes over.
func (l *lending) configure(now time.Time, cfg *medlargw.Config) {
	clear(l.ranks)
	for _, c := range cfg.Classes {
		l.ranks[c.Name] = c.Rank
	}
	l.lender.Configure(now, cfg)
}
