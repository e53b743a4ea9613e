package keeper

import (
	"context"
	"crypto/sha256"
	"time"

	"medlargw.example/medlargw"
)

// record is the state of one used ticket.
type record struct {
	random   [16]byte
	digest   [sha256.Size]byte // Of the submission; zero if the ticket was cancelled unused.
	expires  time.Time         // When the ticket becomes unusable.
	forgetAt time.Time         // When the record is removed.
	cancel   context.CancelFunc
	done     chan struct{} // Closed when the job has ended.

	// Valid once done is closed. Guarded by the keeper's mutex.
	endedAt   time.Time
	hasAnswer bool
	reply     medlargw.ForwardReply
}

// closedChan returns a closed channel, for a record without a running job.
func closedChan() chan struct{} {
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

// queue is a FIFO queue of records.
type queue struct {
	records []*record
	head    int
}

func (q *queue) push(r *record) { q.records = append(q.records, r) }

func (q *queue) peek() *record {
	if q.head == len(q.records) {
		return nil
	}
	return q.records[q.head]
}

// pop removes the first record. The remaining records are copied to a new slice
// when more than half of the old one is unused.
func (q *queue) pop() {
	q.records[q.head] = nil
	q.head++
	if q.head > len(q.records)/2 {
		q.records = append([]*record(nil), q.records[q.head:]...)
		q.head = 0
	}
}

// addRecord adds a record for a ticket of this home. The caller must hold k.mu.
func (k *Keeper) addRecord(t *medlargw.Ticket, done chan struct{}) *record {
	expires := k.minter.Expiry(t)
	r := &record{
		random:   t.Random,
		expires:  expires,
		forgetAt: expires.Add(k.minter.TicketLifetime()),
		cancel:   func() {},
		done:     done,
	}
	k.records[r.random] = r
	k.byFirstUse.push(r)
	return r
}

// keepAnswer stores the answer of an ended job, and evicts the oldest answers
// while the kept ones take too many bytes. The caller must hold k.mu.
func (k *Keeper) keepAnswer(r *record, reply medlargw.ForwardReply, now time.Time) {
	r.reply = reply
	r.endedAt = now
	r.hasAnswer = true
	k.keptBytes += int64(len(reply.Body))
	k.byJobEnd.push(r)
	k.evictAnswers(now)
}

func (k *Keeper) evictAnswers(now time.Time) {
	limit := k.settings.Intake.Bytes / keptBytesDivisor
	for r := k.byJobEnd.peek(); r != nil; r = k.byJobEnd.peek() {
		if k.keptBytes <= limit && now.Before(r.endedAt.Add(k.settings.Intake.Kept)) {
			return
		}
		k.byJobEnd.pop()
		k.keptBytes -= int64(len(r.reply.Body))
		r.hasAnswer = false
		r.reply.Body = nil
	}
}

// removeExpired removes expired answers, records and departed incarnations. The
// caller must hold k.mu.
func (k *Keeper) removeExpired(now time.Time) {
	k.evictAnswers(now)
	for r := k.byFirstUse.peek(); r != nil && !r.running() && now.After(r.forgetAt); r = k.byFirstUse.peek() {
		k.byFirstUse.pop()
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
