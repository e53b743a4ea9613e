package conductor_test

import (
	"time"

	"medlargw.example/medlargw"
)

func (e *searchEntry) sendOrders(a *medlargw.HolderActions) {
	for i := range a.Starts {
		e.sendStart(&a.Starts[i])
	}
	for i := range a.Stops {
		e.sendStop(&a.Stops[i])
	}
	for i := range a.Renewals {
		e.sendRenewal(&a.Renewals[i])
	}
	for i := range a.Transfers {
		e.sendTransfer(&a.Transfers[i])
	}
	for _, t := range a.Probes {
		probed := func(err error) searchHandler {
			return func(now time.Time) { e.holder.ProbeAnswered(now, t.Name, err) }
		}
		e.w.order(e, renewMessage, t.Name, e.settings.Order, func(_ time.Duration, respond func(searchHandler)) { respond(probed(nil)) }, probed)
	}
}

func (e *searchEntry) sendStart(c *medlargw.StartCommand) {
	w, name := e.w, c.Target.Name
	w.log("%s sends start of %v with token %d to %s", e.host, c.Order.Run, c.Order.FenceToken>>40, name)
	failed := func(err error) searchHandler {
		return func(now time.Time) { e.holder.StartAnswered(now, c, medlargw.OrderReply{}, err) }
	}
	w.order(e, startMessage, name, e.settings.Order, func(late time.Duration, respond func(searchHandler)) {
		reply := medlargw.OrderReply{Status: w.rejection(name)}
		if reply.Status == medlargw.OrderDone {
			order := c.Order
			order.LeaseEnd += late
			reply = w.targets.Start(name, order)
		}
		w.log("%s: start of %v with token %d: %v", name, c.Order.Run, c.Order.FenceToken>>40, reply.Status)
		if reply.Status != medlargw.OrderDone {
			w.refusals.rejected[c.Order.Run.Task] = true
		}
		if w.targets.IsDown(name) {
			w.log("%s: crashed by %v", name, c.Order.Run)
			w.breakConnections(name)
			respond(failed(medlargw.ErrConnectionClosed))
			return
		}
		w.targetChanged(name)
		respond(func(now time.Time) { e.holder.StartAnswered(now, c, reply, nil) })
	}, failed)
}

// rejection returns the status with which a target rejects the next start order, or that
// of an order that is carried out.
func (w *searchWorld) rejection(name medlargw.TargetName) medlargw.OrderStatus {
	switch {
	case w.shedding[name].After(w.now) && w.chance(0.7):
		return []medlargw.OrderStatus{
			medlargw.OrderUnhealthy, medlargw.OrderUnhealthy, medlargw.OrderNoResources, medlargw.OrderExpired, medlargw.OrderInvalid,
		}[w.rand.IntN(5)]
	case w.chance(w.unused):
		return medlargw.OrderUnhealthy
	}
	return medlargw.OrderDone
}

func (e *searchEntry) sendStop(c *medlargw.StopCommand) {
	w, name := e.w, c.Target.Name
	w.log("%s sends stop of %v with token %d to %s", e.host, c.Order.Run, c.Order.FenceToken>>40, name)
	w.order(e, stopMessage, name, e.settings.Order, func(_ time.Duration, respond func(searchHandler)) {
		reply := w.targets.Stop(name, c.Order)
		w.log("%s: stop of %v with token %d: %v", name, c.Order.Run, c.Order.FenceToken>>40, reply.Status)
		w.targetChanged(name)
		respond(func(now time.Time) { e.holder.StopAnswered(now, c, reply, nil) })
	}, func(err error) searchHandler {
		return func(now time.Time) { e.holder.StopAnswered(now, c, medlargw.OrderReply{}, err) }
	})
}

func (e *searchEntry) sendRenewal(c *medlargw.RenewCommand) {
	w, name, sent := e.w, c.Target.Name, e.w.now
	failed := func(err error) searchHandler {
		return func(now time.Time) { e.holder.RenewAnswered(now, sent, c, &medlargw.RunReport{}, err) }
	}
	w.order(e, renewMessage, name, e.settings.Order+c.Renewal.MaxWait, func(late time.Duration, respond func(searchHandler)) {
		renewal := c.Renewal
		if renewal.LeaseEnd > 0 {
			renewal.LeaseEnd += late
		}
		w.poll(&searchPoll{
			name: name, renewal: renewal, until: w.now.Add(c.Renewal.MaxWait),
			broken: func() { respond(failed(medlargw.ErrConnectionClosed)) },
			respond: func(report medlargw.RunReport) {
				if len(report.Active)+len(report.Ended) > 0 || report.Status != medlargw.OrderDone {
					w.log("%s: renewal of %s with token %d and acked %d: %v, active %v, ended %v",
						name, e.host, c.Renewal.FenceToken>>40, c.Renewal.AckedSequence, report.Status, report.Active, report.Ended)
				}
				respond(func(now time.Time) { e.holder.RenewAnswered(now, sent, c, &report, nil) })
			},
		})
	}, failed)
}

// order sends an order or a renewal to a target. The function serve gets how late the
// target carries it out if the time of the lease in it counts from then.
func (w *searchWorld) order(
	e *searchEntry, k messageKind, name medlargw.TargetName, limit time.Duration, serve func(late time.Duration, respond func(searchHandler)), failed func(error) searchHandler,
) {
	w.call(e, k, string(name), limit, func(respond func(searchHandler)) {
		if w.refusing[name].After(w.now) {
			respond(failed(medlargw.ErrConnectionRefused))
			return
		}
		if w.targets.IsDown(name) {
			if !w.silentCrashes {
				respond(failed(medlargw.ErrConnectionRefused))
			}
			return
		}
		process := w.processes[string(name)]
		carryOut := func(late time.Duration) {
			if process == w.processes[string(name)] {
				serve(late, func(searchHandler) {})
			}
		}
		switch {
		case w.delayed[name].After(w.now):
			w.after(w.upTo(maxLateness), func() { carryOut(0) })
		case w.lateGrants[name].After(w.now) && k != stopMessage && w.chance(0.5):
			late := w.upTo(maxGrantLateness)
			w.log("%s from %s to %s is carried out %v late, with its time from then on", k, e.host, name, late)
			w.after(late, func() { carryOut(late) })
		default:
			serve(0, respond)
		}
	}, failed(errNoAnswer), failed(medlargw.ErrNotSent))
}
