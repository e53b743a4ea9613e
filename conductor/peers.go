package conductor

import (
	"context"
	"errors"
	"time"

	"medlargw.example/medlargw"
)

// errStopped is returned to peers once the control goroutine has ended.
var errStopped = errors.New("the entry has stopped")

// HandleOffer processes an offer of a coordinator.
func (c *Conductor) HandleOffer(ctx context.Context, o medlargw.Offer) (medlargw.OfferReply, error) {
	return query(ctx, c, func(now time.Time) medlargw.OfferReply {
		c.pacer.Add(now, medlargw.OfferBytes)
		reply := c.holder.HandleOffer(now, c.uptime(now), &o)
		c.coord.AddDemand(now, &reply.FreeResources)
		return reply
	})
}

// HandleReport processes a holder's task events.
func (c *Conductor) HandleReport(ctx context.Context, r medlargw.Report) error {
	return c.call(ctx, func(now time.Time) error {
		c.pacer.Add(now, medlargw.AckBytes)
		c.holder.SetPeerCrashes(now, r.From.Incarnation, r.FreeResources.Crashes)
		c.coord.HandleReport(now, &r)
		return nil
	})
}

// errLeaving is returned to a holder that transfers targets to an entry which
// is itself in a planned stop.
var errLeaving = errors.New("the entry is leaving")

// HandleTransfer takes over targets from their former holder.
func (c *Conductor) HandleTransfer(ctx context.Context, t medlargw.Transfer) error {
	return c.call(ctx, func(now time.Time) error {
		if c.leaving() {
			return errLeaving
		}
		return c.holder.HandleTransfer(now, &t)
	})
}

// leaving reports whether this entry is in a planned stop.
func (c *Conductor) leaving() bool {
	for _, p := range c.group.Entries {
		if p.Incarnation == c.self.Incarnation {
			return p.Leaving
		}
	}
	return false
}

// call runs a function on the control goroutine and returns its error.
func (c *Conductor) call(ctx context.Context, fn func(now time.Time) error) error {
	result, err := query(ctx, c, fn)
	if err != nil {
		return err
	}
	return result
}

// query runs a function on the control goroutine and returns its result. It
// returns an error if the context or the control goroutine has ended before.
func query[T any](ctx context.Context, c *Conductor, fn func(now time.Time) T) (T, error) {
	result := make(chan T, 1)
	c.post(func(now time.Time) { result <- fn(now) })
	var zero T
	select {
	case a := <-result:
		return a, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-c.ctx.Done():
		return zero, errStopped
	}
}
