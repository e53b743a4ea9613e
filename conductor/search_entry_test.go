package conductor_test

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/coordinator"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/gauger"
	"medlargw.example/medlargw/holder"
	"medlargw.example/medlargw/pacer"
)

// Intervals of the conductor and of the membership.
const (
	searchBusyTick  = 20 * time.Millisecond
	searchIdleTick  = 50 * time.Millisecond
	searchStall     = time.Second
	searchQuiet     = 10 * time.Millisecond
	searchHeartbeat = 100 * time.Millisecond
	searchMaxUnsent = 1024
	searchMaxRounds = 100
)

var errNoAnswer = errors.New("no answer")

// searchHandler handles an event at an entry.
type searchHandler func(now time.Time)

// heardEntry is what an entry knows of a peer.
type heardEntry struct {
	peer medlargw.Peer
	at   time.Time // When it was heard; zero if it has left.
}

// searchEntry does what package conductor does around the coordinator and the
// holder of an entry, without goroutines.
type searchEntry struct {
	w         *searchWorld
	host      string
	peer      medlargw.Peer
	self      medlargw.Member
	settings  medlargw.LeaseSettings
	startedAt time.Time

	coord     *coordinator.Coordinator
	holder    *holder.Holder
	unacked   []medlargw.TaskReport
	group     medlargw.Group
	groupKey  string
	resources medlargw.HolderResources
	lastWake  time.Time
	quietTo   time.Time
	gauger    *gauger.Gauger

	heard       []heardEntry // In the order of first hearing.
	listLag     time.Duration
	stopped     bool
	frozenUntil time.Time
	inbox       []searchHandler // Events during a freeze.
}

// addEntry starts an entry at a host, in place of its former incarnation.
func (w *searchWorld) addEntry(host, zone string, number int, log *zap.Logger) {
	w.lastIncarnation++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 7000)
	e := &searchEntry{
		w: w, host: host, settings: leaseSettings(), startedAt: w.now, lastWake: w.now, gauger: gauger.New(),
		peer: medlargw.Peer{Host: medlargw.HostName(host), Zone: medlargw.ZoneName(zone), Addr: addr, Incarnation: w.lastIncarnation},
		// The list of targets is read each second.
		listLag: w.upTo(time.Second),
	}
	if w.reports {
		e.settings.Reported = searchReported
	}
	e.self = medlargw.Member{Host: e.peer.Host, Zone: e.peer.Zone, Addr: addr, Incarnation: e.peer.Incarnation}
	log = log.Named(fmt.Sprintf("%s/%d", host, w.lastIncarnation))
	link := pacer.New(0)
	e.coord = coordinator.New(log, e.settings, e.self, estimator.New(), link)
	e.holder = holder.New(log, e.settings, e.self, link)
	if number < len(w.entries) {
		w.entries[number] = e
	} else {
		w.entries = append(w.entries, e)
	}
	w.log("%s starts as incarnation %d", host, w.lastIncarnation)
	e.updateGroup()
	w.after(w.upTo(searchBusyTick), e.tick)
	w.after(w.upTo(searchHeartbeat), e.beat)
}

func (e *searchEntry) frozen() bool { return e.frozenUntil.After(e.w.now) }

// post handles an event, after the end of a freeze.
func (e *searchEntry) post(h searchHandler) {
	switch {
	case e.stopped:
	case e.frozen():
		e.inbox = append(e.inbox, h)
	default:
		e.handle(h)
	}
}

func (e *searchEntry) handle(all ...searchHandler) {
	now := e.readClock()
	for _, h := range all {
		h(now)
	}
	e.flush(now)
}

func (e *searchEntry) freeze(d time.Duration) {
	e.frozenUntil = e.w.now.Add(d)
	e.w.at(e.frozenUntil, func() {
		all := e.inbox
		e.inbox = nil
		if e.stopped {
			return
		}
		e.w.log("%s goes on", e.host)
		if e.w.chance(0.5) {
			e.handle(e.timeouts)
		}
		e.handle(all...)
	})
}

func (e *searchEntry) uptime(now time.Time) time.Duration { return now.Sub(e.startedAt) }

func (e *searchEntry) readClock() time.Time {
	now := e.w.now
	e.gauger.Record(now, now.Sub(e.lastWake)-searchIdleTick)
	if now.Sub(e.lastWake) > searchStall {
		e.coord.AbortAll(now, "the entry stood still")
		e.holder.Tick(now)
	}
	if now.Sub(e.lastWake) > medlargw.NoticeTime && !e.lastWake.Before(e.quietTo) {
		e.quietTo = now.Add(searchQuiet)
		e.w.at(e.quietTo, func() { e.post(func(time.Time) {}) })
	}
	e.lastWake = now
	return now
}

func (e *searchEntry) tick() {
	if e.stopped {
		return
	}
	if e.frozen() {
		e.w.at(e.frozenUntil, e.tick)
		return
	}
	e.handle(e.timeouts)
	if e.coord.AnyWaiting() || e.holder.HasPending() {
		e.w.after(searchBusyTick, e.tick)
		return
	}
	e.w.after(searchIdleTick, e.tick)
}

func (e *searchEntry) timeouts(now time.Time) {
	e.coord.SetLag(e.gauger.Lag(now))
	e.holder.SetLag(e.gauger.Lag(now))
	e.holder.Tick(now)
	e.coord.Tick(now)
}

// flush carries out the actions of both state machines until there are none.
func (e *searchEntry) flush(now time.Time) {
	if len(e.unacked) > 0 {
		events := e.unacked
		e.unacked = nil
		e.sendReports(now, events)
	}
	changed := false
	for round := 0; ; round++ {
		if round == searchMaxRounds {
			e.w.endless = append(e.w.endless, fmt.Sprintf("%s: got actions in each of %d rounds at one time, want an end", e.host, round))
			break // The conductor would go on.
		}
		var a medlargw.CoordinatorActions
		if !now.Before(e.quietTo) {
			a = e.coord.TakeActions(now)
		}
		b := e.holder.TakeActions()
		if len(a.Offers)+len(a.Finished)+len(b.Starts)+len(b.Stops)+len(b.Renewals)+len(b.Reports)+len(b.Transfers)+len(b.Probes) == 0 {
			break
		}
		changed = true
		for i := range a.Finished {
			e.w.jobEnded(a.Finished[i].Job, &a.Finished[i].Outcome)
		}
		e.sendOrders(&b)
		e.sendReports(now, b.Reports)
		for i := range a.Offers {
			e.sendOffer(now, &a.Offers[i])
		}
	}
	if changed {
		e.resources = e.holder.FreeResources(now)
		e.coord.SetFreeResources(now, e.self.Incarnation, e.resources)
	}
}

// peerCall sends a request to the entry at an address, whatever its incarnation.
func (e *searchEntry) peerCall(k messageKind, to medlargw.HostName, serve func(receiver *searchEntry, now time.Time, respond func(searchHandler)), failed searchHandler) {
	e.w.call(e, k, string(to), e.settings.Call, func(respond func(searchHandler)) {
		receiver := e.w.entry(string(to))
		if receiver == nil {
			if e.w.chance(0.7) {
				respond(failed) // The connection is refused.
			}
			return
		}
		receiver.post(func(now time.Time) { serve(receiver, now, respond) })
	}, failed, nil)
}

func (e *searchEntry) sendTransfer(t *medlargw.Transfer) {
	w := e.w
	w.log("%s sends transfer to %s: %s", e.host, t.To.Host, lazyString(func() string { return describeTransfer(t) }))
	e.peerCall(transferMessage, t.To.Host, func(receiver *searchEntry, now time.Time, respond func(searchHandler)) {
		if receiver.leaving() {
			respond(func(now time.Time) { e.holder.TransferAnswered(now, t, errNoAnswer) })
			return
		}
		w.log("%s takes transfer of %s: %s", receiver.host, e.host, lazyString(func() string { return describeTransfer(t) }))
		err := receiver.holder.HandleTransfer(now, t)
		respond(func(now time.Time) { e.holder.TransferAnswered(now, t, err) })
	}, func(now time.Time) { e.holder.TransferAnswered(now, t, errNoAnswer) })
}

func (e *searchEntry) sendOffer(now time.Time, o *medlargw.OfferCommand) {
	if o.To.Incarnation == e.self.Incarnation {
		o.Offer.ValidUntil = e.uptime(now)
		reply := e.holder.HandleOffer(now, e.uptime(now), &o.Offer)
		e.logOffer("offers to itself", o, &reply)
		e.coord.HandleOfferReply(now, now, o, &reply, nil)
		return
	}
	e.logOffer("sends offer to "+string(o.To.Host), o, nil)
	e.peerCall(offerMessage, o.To.Host, func(receiver *searchEntry, at time.Time, respond func(searchHandler)) {
		reply := receiver.holder.HandleOffer(at, receiver.uptime(at), &o.Offer)
		e.logOffer("has offer handled by "+receiver.host, o, &reply)
		respond(func(at time.Time) { e.coord.HandleOfferReply(at, now, o, &reply, nil) })
	}, func(at time.Time) { e.coord.HandleOfferReply(at, now, o, &medlargw.OfferReply{}, errNoAnswer) })
}

func (e *searchEntry) logOffer(what string, o *medlargw.OfferCommand, reply *medlargw.OfferReply) {
	if len(o.Offer.Tasks)+len(o.Offer.Recalls)+len(o.Offer.Cancels) == 0 {
		return
	}
	e.w.log("%s %s: %s", e.host, what, lazyString(func() string { return describeOffer(o, reply) }))
}

func describeOffer(o *medlargw.OfferCommand, reply *medlargw.OfferReply) string {
	s := "tasks"
	for i := range o.Offer.Tasks {
		s += fmt.Sprintf(" %d=%v", o.Offer.Tasks[i].ID, o.Offer.Tasks[i].Run)
	}
	s += fmt.Sprintf(", recalls %v, cancels %v", o.Offer.Recalls, o.Offer.Cancels)
	if reply != nil {
		s += fmt.Sprintf(", states %v", reply.States)
	}
	return s
}

// sendReports sends task events to the coordinators of their jobs.
func (e *searchEntry) sendReports(now time.Time, events []medlargw.TaskReport) {
	if len(events) == 0 {
		return
	}
	resources := e.holder.FreeResources(now)
	resources.Clock = e.uptime(now)
	var reports []*medlargw.Report
	for i := range events {
		at := slices.IndexFunc(reports, func(r *medlargw.Report) bool { return r.Tasks[0].Home.Incarnation == events[i].Home.Incarnation })
		if at < 0 {
			at = len(reports)
			reports = append(reports, &medlargw.Report{From: e.self, FreeResources: resources})
		}
		reports[at].Tasks = append(reports[at].Tasks, events[i])
	}
	for _, r := range reports {
		if r.Tasks[0].Home.Incarnation == e.self.Incarnation {
			e.w.log("%s reports to itself: %s", e.host, lazyString(func() string { return describeReport(r) }))
			e.coord.HandleReport(now, r)
			e.holder.ConfirmReports(now, r.Tasks)
			continue
		}
		e.sendReport(r)
	}
}

func (e *searchEntry) sendReport(r *medlargw.Report) {
	to := r.Tasks[0].Home.Host
	e.w.log("%s sends report to %s: %s", e.host, to, lazyString(func() string { return describeReport(r) }))
	e.peerCall(reportMessage, to, func(receiver *searchEntry, now time.Time, respond func(searchHandler)) {
		e.w.log("%s gets report of %s: %s", receiver.host, e.host, lazyString(func() string { return describeReport(r) }))
		receiver.coord.HandleReport(now, r)
		respond(func(now time.Time) { e.holder.ConfirmReports(now, r.Tasks) })
	}, func(time.Time) { e.keepUnacked(r) })
}

func describeReport(r *medlargw.Report) string {
	var s string
	for i := range r.Tasks {
		t := &r.Tasks[i]
		s += fmt.Sprintf("%d %v on %s (%s); ", t.ID, t.Event, t.Target, t.Reason)
	}
	return s
}

// keepUnacked keeps the events of a report without an answer that must arrive, as
// long as the home is in the group.
func (e *searchEntry) keepUnacked(r *medlargw.Report) {
	home := r.Tasks[0].Home.Incarnation
	if !slices.ContainsFunc(e.group.Entries, func(p medlargw.Peer) bool { return p.Incarnation == home }) {
		return
	}
	for i := range r.Tasks {
		if r.Tasks[i].MustArrive() && len(e.unacked) < searchMaxUnsent {
			e.unacked = append(e.unacked, r.Tasks[i])
		}
	}
}
