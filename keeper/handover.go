package keeper

import (
	"context"
	"crypto/sha256"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// UsedTickets returns the used tickets for a successor, in the reverse order of
// their first use. A ticket is identified by its random part and the digest of
// its submission.
func (k *Keeper) UsedTickets() []medlargw.UsedTicket {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]medlargw.UsedTicket, 0, len(k.records))
	bytesLeft := maxHandoverBytes
	for _, rec := range slices.Backward(k.byFirstUse.records[k.byFirstUse.head:]) {
		u := medlargw.UsedTicket{
			Ticket:   string(rec.random[:]) + string(rec.digest[:]),
			Expires:  rec.expires,
			JobEnded: !rec.running(),
		}
		if u.JobEnded && rec.hasAnswer && len(rec.reply.Body) <= bytesLeft {
			bytesLeft -= len(rec.reply.Body)
			u.Status = rec.reply.Status
			u.Body = rec.reply.Body
		}
		all = append(all, u)
	}
	return all
}

// HandleHandover records the used tickets of a leaving entry. No job is ever
// started here for a ticket of that entry.
func (k *Keeper) HandleHandover(_ context.Context, h medlargw.Handover) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.departed[h.Incarnation] = now.Add(2 * k.minter.TicketLifetime())
	for i := range h.UsedTickets {
		k.importTicket(&h.UsedTickets[i], now)
	}
	return nil
}

// importTicket records one used ticket of another home. The caller must hold
// k.mu.
func (k *Keeper) importTicket(u *medlargw.UsedTicket, now time.Time) {
	var rec record
	if len(u.Ticket) != len(rec.random)+sha256.Size {
		return
	}
	copy(rec.random[:], u.Ticket)
	copy(rec.digest[:], u.Ticket[len(rec.random):])
	if k.records[rec.random] != nil {
		return
	}
	rec.expires = u.Expires
	rec.forgetAt = u.Expires.Add(k.minter.TicketLifetime())
	rec.cancel = func() {}
	rec.done = closedChan()
	k.records[rec.random] = &rec
	k.byFirstUse.push(&rec)
	reply := medlargw.ForwardReply{Status: u.Status, Body: u.Body}
	if u.Status == 0 {
		reply = k.uncertainReply(medlargw.CodeHomeGone, "the ticket's home has ended; nothing more runs, its answer was not passed on", 0)
	}
	k.keepAnswer(&rec, reply, now)
}
