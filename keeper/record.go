package keeper

import (
	"context"
	"crypto/sha256"
	"time"

	"medlargw.example/medlargw"
)

// record is what is remembered of one used ticket.
type record struct {
	random  [16]byte
	digest  [sha256.Size]byte // Of the submission; zero when it was cancelled before any came.
	expires time.Time         // When the ticket can't be used any more.
	forget  time.Time
	cancel  context.CancelFunc
	done    chan struct{} // Closed when the job has ended; guards what follows.

	// Guarded by the keeper's mutex once done is closed.
	ended time.Time
	kept  bool
	reply medlargw.ForwardReply
}

// closed returns the channel of a record that begins with its end.
func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (r *record) running() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// queue holds records in the order in which they were added.
type queue struct {
	records []*record
	head    int
}

func (q *queue) add(r *record) { q.records = append(q.records, r) }

func (q *queue) first() *record {
	if q.head == len(q.records) {
		return nil
	}
	return q.records[q.head]
}

// drop removes the first record. The memory before the head is given back when
// it is more than half.
func (q *queue) drop() {
	q.records[q.head] = nil
	q.head++
	if q.head > len(q.records)/2 {
		q.records = append([]*record(nil), q.records[q.head:]...)
		q.head = 0
	}
}

// newRecord adds the record of an own ticket. The mutex is held.
func (k *Keeper) newRecord(t *medlargw.Ticket, done chan struct{}) *record {
	expires := k.minter.Expiry(t)
	r := &record{
		random:  t.Random,
		expires: expires,
		forget:  expires.Add(k.minter.Term()),
		cancel:  func() {},
		done:    done,
	}
	k.records[r.random] = r
	k.byUse.add(r)
	return r
}

// keep takes the end of a record's job, and drops the oldest kept answers
// while there are too many bytes. The mutex is held.
func (k *Keeper) keep(r *record, reply medlargw.ForwardReply, now time.Time) {
	r.reply = reply
	r.ended = now
	r.kept = true
	k.bytes += int64(len(reply.Body))
	k.byEnd.add(r)
	k.dropKept(now)
}

func (k *Keeper) dropKept(now time.Time) {
	limit := k.settings.Intake.Bytes / keptShare
	for r := k.byEnd.first(); r != nil; r = k.byEnd.first() {
		if k.bytes <= limit && now.Before(r.ended.Add(k.settings.Intake.Kept)) {
			return
		}
		k.byEnd.drop()
		k.bytes -= int64(len(r.reply.Body))
		r.kept = false
		r.reply.Body = nil
	}
}

// forget removes what is out of date. The mutex is held.
func (k *Keeper) forget(now time.Time) {
	k.dropKept(now)
	for r := k.byUse.first(); r != nil && !r.running() && now.After(r.forget); r = k.byUse.first() {
		k.byUse.drop()
		if k.records[r.random] == r {
			delete(k.records, r.random)
		}
	}
	for incarnation, until := range k.departed {
		if now.After(until) {
			delete(k.departed, incarnation)
		}
	}
}
