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
	return ask(ctx, c, func(now time.Time) medlargw.OfferReply { return c.holder.Offer(now, c.elapsed(now), &o) })
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
	result, err := ask(ctx, c, e)
	if err != nil {
		return err
	}
	return result
}

// ask lets the control goroutine answer a question. The error says that nobody
// waits for the answer any more, or that the control goroutine has ended.
func ask[T any](ctx context.Context, c *Conductor, question func(now time.Time) T) (T, error) {
	answer := make(chan T, 1)
	c.post(func(now time.Time) { answer <- question(now) })
	var none T
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-c.ctx.Done():
		return none, errStopped
	}
}
