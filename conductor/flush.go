package conductor

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// flush executes the actions of the state machines until there are none left,
// and publishes the resulting state.
func (c *Conductor) flush(now time.Time) {
	c.retryReports(now)
	changed := false
	for {
		var fromCoord medlargw.CoordinatorActions
		if !now.Before(c.quietTo) {
			fromCoord = c.coord.TakeActions(now)
		}
		fromHolder := c.holder.TakeActions()
		if len(fromCoord.Offers)+len(fromCoord.Finished)+len(fromHolder.Starts)+len(fromHolder.Stops)+
			len(fromHolder.Renewals)+len(fromHolder.Reports)+len(fromHolder.Transfers)+len(fromHolder.Probes) == 0 {
			break
		}
		changed = true
		c.deliver(now, fromCoord.Finished)
		c.sendOrders(&fromHolder)
		c.sendReports(now, fromHolder.Reports)
		for i := range fromCoord.Offers {
			c.sendOffer(now, &fromCoord.Offers[i])
		}
	}
	c.ready.Store(c.coord.HasTargets())
	if changed {
		c.publishResources(now)
	}
}

// updateLink publishes the free resources if the network link has become busy or
// free since they were last published.
func (c *Conductor) updateLink(now time.Time) {
	if c.linkBusy != c.pacer.Busy(now) {
		c.publishResources(now)
	}
}

// publishResources passes the free resources of this entry's targets to its
// coordinator, and keeps them for heartbeats.
func (c *Conductor) publishResources(now time.Time) {
	c.linkBusy = c.pacer.Busy(now)
	resources := c.report(now)
	c.resources.Store(&resources)
	c.coord.SetFreeResources(now, c.self.Incarnation, resources)
	c.updateStatus(&resources)
}

// report returns the free resources of this entry's targets, with the demand at
// this home.
func (c *Conductor) report(now time.Time) medlargw.HolderResources {
	r := c.holder.FreeResources(now)
	c.coord.AddDemand(now, &r)
	return r
}

func (c *Conductor) updateStatus(resources *medlargw.HolderResources) {
	s := &medlargw.DispatchStatus{Jobs: c.coord.JobCount()}
	for _, p := range resources.Pools {
		s.Free += len(p.Free)
	}
	c.status.Store(s)
}

// sendOrders sends the orders to the targets, and the transfers to peers.
func (c *Conductor) sendOrders(a *medlargw.HolderActions) {
	for i := range a.Starts {
		c.sendStart(&a.Starts[i])
	}
	for i := range a.Stops {
		c.sendStop(&a.Stops[i])
	}
	for i := range a.Renewals {
		c.sendRenewal(&a.Renewals[i])
	}
	for i := range a.Transfers {
		c.sendTransfer(&a.Transfers[i])
	}
	for i := range a.Probes {
		c.sendProbe(&a.Probes[i])
	}
}

// send makes a call on another goroutine, and posts the event that it returns
// to the control goroutine; nil posts nothing. A call that has not returned
// within the limit is cancelled. If this process is late then, the answer may be
// there unread: the call gets that much more time, but at most extra.
func (c *Conductor) send(limit, extra time.Duration, call func(ctx context.Context) event) {
	c.senders.Go(func() {
		ctx, cancel := context.WithCancel(c.ctx)
		defer cancel()
		due := time.Now().Add(limit)
		timer := time.AfterFunc(limit, func() {
			late := min(max(c.Lag(), time.Since(due)), c.settings.Lag, extra)
			if late <= 0 {
				cancel()
				return
			}
			time.AfterFunc(late, cancel)
		})
		defer timer.Stop()
		if e := call(ctx); e != nil {
			c.post(e)
		}
	})
}

// peerLimit returns the timeout of a call to a peer. One that lags gets up to
// twice the usual time.
func (c *Conductor) peerLimit(to medlargw.Incarnation) time.Duration {
	return c.settings.Call + min(c.coord.PeerLag(to), c.settings.Call)
}

func (c *Conductor) sendStart(cmd *medlargw.StartCommand) {
	c.counters.starts.Inc(1)
	c.send(c.settings.Order, c.settings.Order, func(ctx context.Context) event {
		// The run may have been stopped since, and the target may have started again and
		// know nothing of that.
		if age := c.clock.Now().Sub(cmd.DecidedAt); age > c.settings.Order {
			c.counters.expiredStarts.Inc(1)
			err := fmt.Errorf("start order of %s is %v old: %w", cmd.Order.Run.Task, age, medlargw.ErrNotSent)
			return func(now time.Time) { c.holder.StartAnswered(now, cmd, medlargw.OrderReply{}, err) }
		}
		reply, err := c.runner.StartRun(ctx, &cmd.Target, cmd.Order)
		return func(now time.Time) { c.holder.StartAnswered(now, cmd, reply, err) }
	})
}

func (c *Conductor) sendStop(cmd *medlargw.StopCommand) {
	c.counters.stops.Inc(1)
	c.pacer.Add(c.lastWake, medlargw.OrderBytes)
	c.send(c.settings.Order, c.settings.Order, func(ctx context.Context) event {
		reply, err := c.runner.StopRun(ctx, &cmd.Target, cmd.Order)
		return func(now time.Time) { c.holder.StopAnswered(now, cmd, reply, err) }
	})
}

func (c *Conductor) sendRenewal(cmd *medlargw.RenewCommand) {
	c.counters.renewals.Inc(1)
	c.pacer.Add(c.lastWake, medlargw.OrderBytes)
	limit := c.settings.Order + cmd.Renewal.MaxWait
	// The next renewal must arrive before the lease ends.
	extra := max(0, min(c.settings.Order, c.settings.Lease-c.settings.Order/2-limit))
	c.send(limit, extra, func(ctx context.Context) event {
		sent := c.clock.Now()
		report, err := c.runner.Renew(ctx, &cmd.Target, cmd.Renewal)
		return func(now time.Time) { c.holder.RenewAnswered(now, sent, cmd, &report, err) }
	})
}

// sendProbe looks whether a target accepts connections.
func (c *Conductor) sendProbe(t *medlargw.Target) {
	c.counters.probes.Inc(1)
	c.send(c.settings.Order, c.settings.Order, func(ctx context.Context) event {
		err := c.runner.Reach(ctx, t)
		return func(now time.Time) { c.holder.ProbeAnswered(now, t.Name, err) }
	})
}

func (c *Conductor) sendTransfer(t *medlargw.Transfer) {
	c.log.Info("transferring targets", zap.String("to", string(t.To.Host)), zap.Int("targets", len(t.Targets)))
	c.send(c.settings.Call, c.settings.Call, func(ctx context.Context) event {
		err := c.messenger.Transfer(ctx, t.To.Addr, *t)
		return func(now time.Time) { c.holder.TransferAnswered(now, t, err) }
	})
}

// sendOffer sends an offer. One to this entry is processed without a message.
func (c *Conductor) sendOffer(now time.Time, o *medlargw.OfferCommand) {
	if o.To.Incarnation == c.self.Incarnation {
		o.Offer.ValidUntil = c.uptime(now)
		reply := c.holder.HandleOffer(now, c.uptime(now), &o.Offer)
		c.coord.HandleOfferReply(now, now, o, &reply, nil)
		return
	}
	c.counters.offers.Inc(1)
	c.send(c.peerLimit(o.To.Incarnation), c.settings.Call, func(ctx context.Context) event {
		reply, err := c.messenger.Offer(ctx, o.To.Addr, o.Offer)
		if err != nil {
			c.counters.unansweredOffers.Inc(1)
		}
		return func(at time.Time) {
			if err == nil {
				c.holder.SetPeerCrashes(at, reply.Incarnation, reply.FreeResources.Crashes)
			}
			c.coord.HandleOfferReply(at, now, o, &reply, err)
		}
	})
}

// sendReports sends task events to the coordinators of their jobs, one message
// each.
func (c *Conductor) sendReports(now time.Time, events []medlargw.TaskReport) {
	if len(events) == 0 {
		return
	}
	resources := c.report(now)
	resources.Clock = c.uptime(now)
	byHome := map[medlargw.Incarnation]*medlargw.Report{}
	var homes []medlargw.Peer
	for i := range events {
		e := &events[i]
		c.counters.countEvent(e)
		r := byHome[e.Home.Incarnation]
		if r == nil {
			r = &medlargw.Report{From: c.self, FreeResources: resources}
			byHome[e.Home.Incarnation] = r
			homes = append(homes, e.Home)
		}
		r.Tasks = append(r.Tasks, *e)
	}
	for _, to := range homes {
		r := byHome[to.Incarnation]
		if to.Incarnation == c.self.Incarnation {
			c.coord.HandleReport(now, r)
			c.holder.ConfirmReports(now, r.Tasks)
			continue
		}
		c.sendReport(to, r)
	}
}

func (c *Conductor) sendReport(to medlargw.Peer, r *medlargw.Report) {
	c.counters.reports.Inc(1)
	c.pacer.Add(c.lastWake, medlargw.OfferBytes+medlargw.OfferedTaskBytes*len(r.Tasks))
	c.send(c.peerLimit(to.Incarnation), c.settings.Call, func(ctx context.Context) event {
		err := c.messenger.Report(ctx, to.Addr, *r)
		if err == nil {
			return func(now time.Time) { c.holder.ConfirmReports(now, r.Tasks) }
		}
		return func(time.Time) { c.keepUnacked(r, err) }
	})
}

// keepUnacked keeps the events of a report that was not acknowledged, if they
// must arrive and their coordinator has not left the group. The coordinator
// processes an event only once, so that it can safely be sent again.
func (c *Conductor) keepUnacked(r *medlargw.Report, err error) {
	to := r.Tasks[0].Home
	c.counters.unackedReports.Inc(1)
	inGroup := c.inGroup(to.Incarnation)
	ends, kept := 0, 0
	for i := range r.Tasks {
		e := &r.Tasks[i]
		if !e.MustArrive() {
			continue
		}
		ends++
		if inGroup && len(c.unacked) < eventQueueSize {
			c.unacked = append(c.unacked, *e)
			kept++
		}
	}
	if ends > 0 {
		c.log.Info("report not acknowledged", zap.String("home", string(to.Host)), zap.Int("ends", ends), zap.Int("kept", kept), zap.Error(err))
	}
}

// inGroup reports whether the incarnation is in the current group of entries.
func (c *Conductor) inGroup(incarnation medlargw.Incarnation) bool {
	return slices.ContainsFunc(c.group.Entries, func(p medlargw.Peer) bool { return p.Incarnation == incarnation })
}

// retryReports sends the events again whose reports were not acknowledged.
func (c *Conductor) retryReports(now time.Time) {
	if len(c.unacked) == 0 {
		return
	}
	events := c.unacked
	c.unacked = nil
	c.sendReports(now, events)
}
