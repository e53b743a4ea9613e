package keeper

import (
	"context"
	"crypto/sha256"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Used returns the remembered tickets, those whose jobs ended last first, for a
// successor. A ticket is named by its random part and the digest of its
// submission.
func (k *Keeper) Used() []medlargw.UsedTicket {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]medlargw.UsedTicket, 0, len(k.records))
	left := handoverBytes
	for _, rec := range slices.Backward(k.byUse.records[k.byUse.head:]) {
		u := medlargw.UsedTicket{
			Ticket:  string(rec.random[:]) + string(rec.digest[:]),
			Expires: rec.expires,
			Ended:   !rec.running(),
		}
		if u.Ended && rec.kept && len(rec.reply.Body) <= left {
			left -= len(rec.reply.Body)
			u.Status = rec.reply.Status
			u.Body = rec.reply.Body
		}
		all = append(all, u)
	}
	return all
}

// HandleHandover remembers the used tickets of an entry that has left. None of
// its tickets is ever run here.
func (k *Keeper) HandleHandover(_ context.Context, h medlargw.Handover) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.departed[h.Incarnation] = now.Add(2 * k.minter.Term())
	for i := range h.Used {
		k.inherit(&h.Used[i], now)
	}
	return nil
}

// inherit remembers one ticket of another home. The mutex is held.
func (k *Keeper) inherit(u *medlargw.UsedTicket, now time.Time) {
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
	rec.forget = u.Expires.Add(k.minter.Term())
	rec.cancel = func() {}
	rec.done = closed()
	k.records[rec.random] = &rec
	k.byUse.add(&rec)
	reply := medlargw.ForwardReply{Status: u.Status, Body: u.Body}
	if u.Status == 0 {
		reply = k.doubt(medlargw.CodeHomeGone, "the ticket's home has ended; nothing more runs, its answer was not passed on", 0)
	}
	k.keep(&rec, reply, now)
}
