package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// lendInterval is the shortest time between two runs of the lender because
// tasks wait.
const lendInterval = 2 * time.Millisecond

// errSuperseded is the result of a request for loans that a newer request of
// the same peer replaces.
var errSuperseded = errors.New("a newer request has come")

// lending is the state with which the control goroutine lends and borrows slots
// and shares of limits.
type lending struct {
	registry      *registrar.Registrar
	lender        medlargw.Lender
	messenger     medlargw.Messenger
	zone          medlargw.ZoneName
	term          time.Duration
	rankByClass   map[medlargw.ClassName]int
	rankByAttempt map[medlargw.AttemptID]int // Of the attempts that have not ended.
	runningByRank map[int]int                // Number of those attempts.
	waiters       map[medlargw.HostName][]borrowWaiter
	group         medlargw.Group      // As last received.
	evacuated     []medlargw.ZoneName // Zones that the configuration evacuates.
	lastTick      time.Time           // Time of the last run of the lender.
	due           bool                // The lender must run regardless of the time.
	nextTick      time.Time
}

// borrowWaiter is a peer's request that is not answered yet.
type borrowWaiter struct {
	ctx      context.Context //nolint:containedctx // Tells whether the peer still waits.
	sequence uint64
	reply    chan<- medlargw.BorrowReply
}

var (
	_ medlargw.BorrowHandler     = (*Dispatcher)(nil)
	_ medlargw.HeartbeatObserver = (*Dispatcher)(nil)
)

type groupMessage struct{ group medlargw.Group }

type digestMessage struct {
	from   medlargw.HostName
	digest medlargw.Digest
}

type borrowMessage struct {
	request medlargw.BorrowRequest
	waiter  borrowWaiter
}

type borrowReplyMessage struct {
	from  medlargw.HostName
	reply medlargw.BorrowReply
}

type borrowFailedMessage struct {
	from     medlargw.HostName
	sequence uint64
}

// UseLender makes the dispatcher share targets and limits with its peers. It
// must be called before Start.
func (d *Dispatcher) UseLender(reg *registrar.Registrar, l medlargw.Lender, s *medlargw.Settings) {
	d.lending = &lending{
		registry:      reg,
		lender:        l,
		zone:          s.Zone,
		term:          s.Group.Term,
		rankByClass:   map[medlargw.ClassName]int{},
		rankByAttempt: map[medlargw.AttemptID]int{},
		runningByRank: map[int]int{},
		waiters:       map[medlargw.HostName][]borrowWaiter{},
	}
}

// findMessenger looks up the messenger in the registry.
func (l *lending) findMessenger() error {
	if l == nil {
		return nil
	}
	var err error
	l.messenger, err = registrar.Find[medlargw.Messenger](l.registry, "messenger")
	return err
}

// currentTime returns the current time. If the lender has not run for more than
// half a term, as after a pause of the process, it runs the lender first, which
// removes the loans that have expired.
func (d *Dispatcher) currentTime() time.Time {
	now := time.Now()
	if d.lending != nil && now.Sub(d.lending.lastTick) > d.lending.term/2 {
		d.runLender(now)
	}
	return now
}

// earliestTick returns the earlier of the given time and the lender's next
// tick, where zero means never.
func (d *Dispatcher) earliestTick(nextTick time.Time) time.Time {
	if d.lending == nil || d.lending.nextTick.IsZero() {
		return nextTick
	}
	if nextTick.IsZero() || d.lending.nextTick.Before(nextTick) {
		return d.lending.nextTick
	}
	return nextTick
}

// SetGroup sets the group of targets and entries that act together.
func (d *Dispatcher) SetGroup(g medlargw.Group) { d.post(groupMessage{group: g}) }

// HeartbeatReceived handles the digest in a peer's heartbeat.
func (d *Dispatcher) HeartbeatReceived(from medlargw.Member, digest medlargw.Digest) {
	d.post(digestMessage{from: from.Host, digest: digest})
}

// HandleBorrow answers a peer's request for loans, at once or as soon as there
// is something to lend.
func (d *Dispatcher) HandleBorrow(ctx context.Context, r medlargw.BorrowRequest) (medlargw.BorrowReply, error) {
	reply := make(chan medlargw.BorrowReply, 1)
	waiter := borrowWaiter{ctx: ctx, sequence: r.Sequence, reply: reply}
	if !d.post(borrowMessage{request: r, waiter: waiter}) {
		return medlargw.BorrowReply{}, context.Canceled
	}
	select {
	case answer, ok := <-reply:
		if !ok {
			return medlargw.BorrowReply{}, errSuperseded
		}
		return answer, nil
	case <-ctx.Done():
		return medlargw.BorrowReply{}, ctx.Err()
	case <-d.done:
		return medlargw.BorrowReply{}, context.Canceled
	}
}

// runLenderIfDue runs the lender if it is due, and carries out its actions.
func (d *Dispatcher) runLenderIfDue(now time.Time) {
	l := d.lending
	if l == nil {
		return
	}
	if earliest := l.lastTick.Add(lendInterval); earliest.Before(l.nextTick) && d.decider.NeedsCapacity() {
		l.nextTick = earliest
	}
	if !l.due && now.Before(l.nextTick) {
		return
	}
	l.due = false
	l.lastTick = now
	d.updateDemand(now)
	l.lender.Tick(now)
	d.carryOutLoans(now)
}

// runLender runs the lender whether or not it is due.
func (d *Dispatcher) runLender(now time.Time) {
	d.lending.due = true
	d.runLenderIfDue(now)
}

// updateDemand passes the entry's current use and demand to the lender.
func (d *Dispatcher) updateDemand(now time.Time) {
	demand := d.decider.Demand()
	for i := range demand.Classes {
		c := &demand.Classes[i]
		c.Running = d.lending.runningByRank[c.Rank]
	}
	d.lending.lender.SetDemand(now, &demand)
}

func (d *Dispatcher) carryOutLoans(now time.Time) {
	actions := d.lending.lender.Actions()
	for i := range actions.Replies {
		d.answerBorrow(&actions.Replies[i])
	}
	for i := range actions.Calls {
		d.sendBorrow(actions.Calls[i])
	}
	for _, s := range actions.Shares {
		d.decider.SetShare(now, s.Team, s.Limit)
	}
	if actions.AllocationsChanged {
		d.decider.SetAllocations(now, actions.Allocations)
	}
	d.lending.nextTick = actions.NextTick
	actions.Reset()
}

// answerBorrow sends the answer to the peer's request of the same sequence
// number, and ends the peer's other waiting requests with errSuperseded.
func (d *Dispatcher) answerBorrow(a *medlargw.AddressedBorrowReply) {
	for _, w := range d.lending.waiters[a.To] {
		if w.sequence == a.Reply.Sequence {
			w.reply <- a.Reply
		} else {
			close(w.reply)
		}
	}
	delete(d.lending.waiters, a.To)
}

// sendBorrow sends the request from a goroutine of its own.
func (d *Dispatcher) sendBorrow(c medlargw.BorrowCall) {
	metrics.GetOrRegisterCounter("borrow.calls", d.registry).Inc(1)
	d.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.lending.term/2)
		defer cancel()
		reply, err := d.lending.messenger.Borrow(ctx, c.Addr, c.Request)
		if err != nil || reply.Sequence != c.Request.Sequence {
			d.post(borrowFailedMessage{from: c.To, sequence: c.Request.Sequence})
			return
		}
		d.post(borrowReplyMessage{from: c.To, reply: reply})
	})
}

func (m groupMessage) apply(d *Dispatcher, now time.Time) {
	d.lending.group = m.group
	d.decider.SetExpectedSlots(m.expectedSlots(d.lending.zone))
	d.applyGroup(now)
}

// applyGroup passes the group to the lender, with the targets of evacuated zones
// as draining.
func (d *Dispatcher) applyGroup(now time.Time) {
	l := d.lending
	g := l.group
	if zones := slices.Concat(g.Evacuated, l.evacuated); len(zones) > 0 {
		g.Targets = slices.Clone(g.Targets)
		for i := range g.Targets {
			if t := &g.Targets[i]; slices.Contains(zones, t.Zone) {
				t.Draining, t.Evacuated = true, true
			}
		}
	}
	l.lender.SetGroup(now, &g)
	d.runLender(now)
}

// setEvacuated puts the zones that a configuration evacuates into force.
func (d *Dispatcher) setEvacuated(now time.Time, cfg *medlargw.Config) {
	before := d.lending.evacuated
	if slices.Equal(before, cfg.Evacuated) {
		return
	}
	for _, zone := range cfg.Evacuated {
		if !slices.Contains(before, zone) {
			d.log.Info("zone evacuated", zap.String("zone", string(zone)), zap.Uint64("generation", cfg.Generation))
		}
	}
	for _, zone := range before {
		if !slices.Contains(cfg.Evacuated, zone) {
			d.log.Info("evacuation of a zone taken back", zap.String("zone", string(zone)), zap.Uint64("generation", cfg.Generation))
		}
	}
	d.lending.evacuated = cfg.Evacuated
	if len(d.lending.group.Entries) > 0 {
		d.applyGroup(now)
	}
}

// expectedSlots returns the number of slots that an entry of the zone can
// expect when all entries of the zone are busy.
func (m groupMessage) expectedSlots(zone medlargw.ZoneName) int {
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

func (m digestMessage) apply(d *Dispatcher, now time.Time) {
	d.lending.lender.SetDigest(now, m.from, m.digest)
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
	d.updateDemand(now)
	l.lender.HandleRequest(now, &m.request)
	d.runLender(now) // At once, so that no job takes a slot that was just lent.
}

func (m borrowReplyMessage) apply(d *Dispatcher, now time.Time) {
	d.lending.lender.HandleReply(now, m.from, &m.reply)
	d.lending.due = true
}

func (m borrowFailedMessage) apply(d *Dispatcher, now time.Time) {
	metrics.GetOrRegisterCounter("borrow.failed", d.registry).Inc(1)
	d.lending.lender.HandleFailure(now, m.from, m.sequence)
	d.lending.due = true
}

// recordStart counts a started attempt in its class.
func (l *lending) recordStart(a *medlargw.Attempt) {
	if l == nil {
		return
	}
	rank := l.rankByClass[a.Job.Class]
	l.runningByRank[rank]++
	l.rankByAttempt[a.ID] = rank
}

func (l *lending) recordEnd(id medlargw.AttemptID) {
	if l == nil {
		return
	}
	rank := l.rankByAttempt[id]
	delete(l.rankByAttempt, id)
	if l.runningByRank[rank]--; l.runningByRank[rank] <= 0 {
		delete(l.runningByRank, rank)
	}
}

// configure passes a configuration to the lender and keeps the ranks of the
// classes.
func (l *lending) configure(now time.Time, cfg *medlargw.Config) {
	clear(l.rankByClass)
	for _, c := range cfg.Classes {
		l.rankByClass[c.Name] = c.Rank
	}
	l.lender.Configure(now, cfg)
}
