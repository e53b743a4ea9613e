package conductor

import (
	"context"
	"errors"
	"time"

	"medlargw.example/medlargw"
)

// errStopped is the answer to peers when the control goroutine has ended.
var errStopped = errors.New("the entry has stopped")

// HandleOffer answers a home.
func (c *Conductor) HandleOffer(ctx context.Context, o medlargw.Offer) (medlargw.OfferReply, error) {
	answer := make(chan medlargw.OfferReply, 1)
	c.post(func(now time.Time) { answer <- c.holder.Offer(now, c.elapsed(now), &o) })
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return medlargw.OfferReply{}, ctx.Err()
	case <-c.ctx.Done():
		return medlargw.OfferReply{}, errStopped
	}
}

// HandleReport takes a holder's events.
func (c *Conductor) HandleReport(ctx context.Context, r medlargw.Report) error {
	return c.await(ctx, func(now time.Time) error {
		c.home.Report(now, &r)
		return nil
	})
}

// errLeaving is the answer to a holder that hands targets to an entry which is
// itself leaving.
var errLeaving = errors.New("the entry is leaving")

// HandleTransfer takes targets over from their former holder.
func (c *Conductor) HandleTransfer(ctx context.Context, t medlargw.Transfer) error {
	return c.await(ctx, func(now time.Time) error {
		if c.leaving() {
			return errLeaving
		}
		c.holder.Transfer(now, &t)
		return nil
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

// await lets the control goroutine carry out an event and returns its error.
func (c *Conductor) await(ctx context.Context, e func(now time.Time) error) error {
	answer := make(chan error, 1)
	c.post(func(now time.Time) { answer <- e(now) })
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ctx.Done():
		return errStopped
	}
}
