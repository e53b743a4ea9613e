package conductor

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// flush carries out what the state machines decided, until they are at rest.
func (c *Conductor) flush(now time.Time) {
	c.resend()
	changed := false
	for {
		home := c.home.TakeActions(now)
		held := c.holder.TakeActions()
		if len(home.Offers)+len(home.Finishes)+len(held.Starts)+len(held.Stops)+
			len(held.Renewals)+len(held.Reports)+len(held.Transfers) == 0 {
			break
		}
		changed = true
		c.finish(now, home.Finishes)
		c.order(&held)
		c.report(now, held.Reports)
		for i := range home.Offers {
			c.offer(now, &home.Offers[i])
		}
	}
	c.ready.Store(c.home.HasTargets())
	if changed {
		room := c.holder.Room(now)
		c.room.Store(&room)
		c.home.See(now, c.self.Incarnation, room)
		c.summarize(&room)
	}
}

func (c *Conductor) summarize(room *medlargw.HolderRoom) {
	s := &medlargw.CoreStatus{Jobs: c.home.Jobs()}
	for _, p := range room.Pools {
		s.Free += len(p.Free)
	}
	c.status.Store(s)
}

// order sends the orders to the targets.
func (c *Conductor) order(a *medlargw.HolderActions) {
	for i := range a.Starts {
		c.start(&a.Starts[i])
	}
	for i := range a.Stops {
		c.stop(&a.Stops[i])
	}
	for i := range a.Renewals {
		c.renew(&a.Renewals[i])
	}
	for i := range a.Transfers {
		c.transfer(&a.Transfers[i])
	}
}

// send makes a call on another goroutine, and hands what it returns to the
// control goroutine; nil is nothing.
func (c *Conductor) send(limit time.Duration, call func(ctx context.Context) event) {
	c.sending.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		if e := call(ctx); e != nil {
			c.post(e)
		}
	})
}

func (c *Conductor) start(cmd *medlargw.StartCommand) {
	c.counters.starts.Inc(1)
	c.send(c.settings.Order, func(ctx context.Context) event {
		reply, err := c.runner.StartRun(ctx, &cmd.Target, cmd.Order)
		return func(now time.Time) { c.holder.StartAnswered(now, cmd, reply, err) }
	})
}

func (c *Conductor) stop(cmd *medlargw.StopCommand) {
	c.counters.stops.Inc(1)
	c.send(c.settings.Order, func(ctx context.Context) event {
		reply, err := c.runner.StopRun(ctx, &cmd.Target, cmd.Order)
		return func(now time.Time) { c.holder.StopAnswered(now, cmd, reply, err) }
	})
}

func (c *Conductor) renew(cmd *medlargw.RenewCommand) {
	c.counters.renewals.Inc(1)
	c.send(c.settings.Order+cmd.Renewal.Wait, func(ctx context.Context) event {
		sent := c.clock.Now()
		report, err := c.runner.Renew(ctx, &cmd.Target, cmd.Renewal)
		return func(now time.Time) { c.holder.Reported(now, sent, cmd, &report, err) }
	})
}

func (c *Conductor) transfer(t *medlargw.Transfer) {
	c.log.Info("targets handed over", zap.String("to", string(t.To.Host)), zap.Int("targets", len(t.Targets)))
	c.send(c.settings.Call, func(ctx context.Context) event {
		err := c.offerer.Transfer(ctx, t.To.Addr, *t)
		return func(now time.Time) { c.holder.TransferAnswered(now, t, err) }
	})
}

// offer sends an offer; one to this entry needs no message.
func (c *Conductor) offer(now time.Time, o *medlargw.HomeOffer) {
	if o.To.Incarnation == c.self.Incarnation {
		o.Offer.Valid = c.elapsed(now)
		reply := c.holder.Offer(now, c.elapsed(now), &o.Offer)
		c.home.OfferAnswered(now, now, o, &reply, nil)
		return
	}
	c.counters.offers.Inc(1)
	c.send(c.settings.Call, func(ctx context.Context) event {
		reply, err := c.offerer.Offer(ctx, o.To.Addr, o.Offer)
		return func(at time.Time) { c.home.OfferAnswered(at, now, o, &reply, err) }
	})
}

// report sends events to their homes, one message each.
func (c *Conductor) report(now time.Time, all []medlargw.TaskReport) {
	if len(all) == 0 {
		return
	}
	room := c.holder.Room(now)
	byHome := map[medlargw.Incarnation]*medlargw.Report{}
	var order []medlargw.Peer
	for i := range all {
		e := &all[i]
		c.counters.event(e)
		r := byHome[e.Home.Incarnation]
		if r == nil {
			r = &medlargw.Report{From: c.self, Room: room}
			byHome[e.Home.Incarnation] = r
			order = append(order, e.Home)
		}
		r.Tasks = append(r.Tasks, *e)
	}
	for _, to := range order {
		r := byHome[to.Incarnation]
		if to.Incarnation == c.self.Incarnation {
			c.home.Report(now, r)
			continue
		}
		c.sendReport(to, r)
	}
}

func (c *Conductor) sendReport(to medlargw.Peer, r *medlargw.Report) {
	c.counters.reports.Inc(1)
	c.send(c.settings.Call, func(ctx context.Context) event {
		err := c.offerer.Report(ctx, to.Addr, *r)
		if err == nil {
			return nil
		}
		return func(time.Time) { c.keepReport(r, err) }
	})
}

// keepReport keeps the ends of a report that was not answered. The home takes
// an event once, so that it may be sent again.
func (c *Conductor) keepReport(r *medlargw.Report, err error) {
	to := r.Tasks[0].Home
	if !c.present(to.Incarnation) {
		c.log.Debug("report to an ended home dropped", zap.String("home", string(to.Host)), zap.Error(err))
		return
	}
	for _, e := range r.Tasks {
		if e.Event.Ends() && len(c.outbox) < eventRoom {
			c.outbox = append(c.outbox, e)
		}
	}
}

func (c *Conductor) present(incarnation medlargw.Incarnation) bool {
	return slices.ContainsFunc(c.group.Entries, func(p medlargw.Peer) bool { return p.Incarnation == incarnation })
}

// resend sends the reports again that were not answered.
func (c *Conductor) resend() {
	if len(c.outbox) == 0 {
		return
	}
	all := c.outbox
	c.outbox = nil
	c.report(c.clock.Now(), all)
}
