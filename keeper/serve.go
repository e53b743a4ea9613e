package keeper

import (
	"context"
	"crypto/sha256"
	"time"

	"medlargw.example/medlargw"
)

// serve handles a request here, without forwarding it.
func (k *Keeper) serve(ctx context.Context, t *medlargw.Ticket, r *medlargw.ForwardRequest) medlargw.ForwardReply {
	if r.Verb == medlargw.ForwardSubmit {
		return k.submit(ctx, t, r)
	}
	k.mu.Lock()
	now := time.Now()
	rec := k.records[t.Random]
	if rec == nil && r.Verb == medlargw.ForwardCancel && k.usable(t, now) {
		rec = k.voidTicket(t, now)
	}
	k.mu.Unlock()
	switch {
	case rec == nil && r.Verb == medlargw.ForwardGet && k.usable(t, now):
		return k.uncertainReply(medlargw.CodeUnknownJob, "the ticket has not been used so far", 0)
	case rec == nil:
		return k.unusableReply(t, now)
	case r.Verb == medlargw.ForwardCancel:
		rec.cancel()
	}
	return k.awaitEnd(ctx, rec)
}

// usable reports whether the ticket can be used to start a job here.
func (k *Keeper) usable(t *medlargw.Ticket, now time.Time) bool {
	return k.minter.IsHome(t) && now.Before(k.minter.Expiry(t))
}

// unusableReply returns the reply for a ticket that has no record and can't be
// used. The time now must have been read before the lookup of the record, so
// that no submission can have been recorded in between.
func (k *Keeper) unusableReply(t *medlargw.Ticket, now time.Time) medlargw.ForwardReply {
	switch {
	case !k.minter.IsHome(t):
		return k.foreignTicketReply(t)
	case now.Before(k.minter.Expiry(t).Add(k.minter.TicketLifetime())):
		return k.refusedReply(&medlargw.RefusedError{Code: medlargw.CodeTicketExpired, Message: "the ticket has expired unused"})
	}
	return k.uncertainReply(medlargw.CodeTicketExpired, "the ticket has expired; nothing more runs, what ran is not known any more", 0)
}

// foreignTicketReply returns the reply for a ticket of another home without a
// record here.
func (k *Keeper) foreignTicketReply(t *medlargw.Ticket) medlargw.ForwardReply {
	k.mu.Lock()
	_, departed := k.departed[t.Incarnation]
	k.mu.Unlock()
	if departed || t.Home == k.settings.Host {
		return k.uncertainReply(medlargw.CodeHomeGone, "the ticket's home has ended; nothing more runs, what ran is unknown", 0)
	}
	return k.uncertainReply(medlargw.CodeHomeUnreachable, "the ticket's home can't be reached", time.Second)
}

// voidTicket makes an unused ticket unusable, so that a submission that arrives
// later does not run either and the answer "not run" stays true. The caller must
// hold k.mu.
func (k *Keeper) voidTicket(t *medlargw.Ticket, now time.Time) *record {
	rec := k.addRecord(t, closedChan())
	message := "the ticket was cancelled before it was used"
	k.keepAnswer(rec, k.refusedReply(&medlargw.RefusedError{Code: medlargw.CodeCancelled, Message: message}), now)
	return rec
}

// submit starts the job, or joins the job that the ticket was used for, and
// waits for its end.
func (k *Keeper) submit(ctx context.Context, t *medlargw.Ticket, r *medlargw.ForwardRequest) medlargw.ForwardReply {
	digest := sha256.Sum256(r.Body)
	k.mu.Lock()
	now := time.Now()
	rec := k.records[t.Random]
	k.mu.Unlock()
	if rec == nil {
		if !k.usable(t, now) {
			return k.unusableReply(t, now)
		}
		job, refused := k.decodeJob(r)
		if refused != nil {
			return k.refusedReply(refused)
		}
		if rec, refused = k.startJob(t, job, digest); refused != nil {
			return k.refusedReply(refused)
		}
	}
	if rec.digest != digest && rec.digest != ([sha256.Size]byte{}) {
		return k.uncertainReply(medlargw.CodeTicketUsed, "the ticket was used for another submission", 0)
	}
	return k.awaitEnd(ctx, rec)
}

func (k *Keeper) decodeJob(r *medlargw.ForwardRequest) (*medlargw.Job, *medlargw.RefusedError) {
	cfg := k.configSource.Config()
	if cfg == nil {
		return nil, &medlargw.RefusedError{Code: medlargw.CodeNotReady, Message: "no configuration yet", RetryAfter: time.Second}
	}
	s, refused := k.encoder.DecodeSubmission(r.Body)
	if refused != nil {
		return nil, refused
	}
	if r.TimeLeft > 0 {
		s.Deadline = min(s.Deadline, r.TimeLeft)
	}
	return s.Job(cfg, r.Team, time.Now())
}

// startJob starts the job and returns its record. If the ticket was used in the
// meantime, it returns the record of that use and starts nothing.
func (k *Keeper) startJob(t *medlargw.Ticket, job *medlargw.Job, digest [sha256.Size]byte) (*record, *medlargw.RefusedError) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if rec := k.records[t.Random]; rec != nil {
		return rec, nil
	}
	if k.stopping {
		return nil, &medlargw.RefusedError{Code: medlargw.CodeStopping, Message: "the entry is stopping", RetryAfter: time.Second}
	}
	if !k.usable(t, time.Now()) {
		return nil, &medlargw.RefusedError{Code: medlargw.CodeTicketExpired, Message: "the ticket has expired unused"}
	}
	rec := k.addRecord(t, make(chan struct{}))
	rec.digest = digest
	ctx, cancel := context.WithCancel(context.Background())
	rec.cancel = cancel
	k.jobs.Go(func() {
		defer cancel()
		k.runJob(ctx, rec, job)
	})
	return rec, nil
}

// runJob runs the job to its end, also when the caller disconnects, as the
// caller may fetch the answer later by its ticket.
func (k *Keeper) runJob(ctx context.Context, rec *record, job *medlargw.Job) {
	outcome := k.submitter.Submit(ctx, job)
	status, body := k.encoder.EncodeOutcome(&outcome)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keepAnswer(rec, medlargw.ForwardReply{Status: status, Body: body, RetryAfter: outcome.RetryAfter}, time.Now())
	close(rec.done)
}

// awaitEnd waits for the end of the record's job and returns its answer.
func (k *Keeper) awaitEnd(ctx context.Context, rec *record) medlargw.ForwardReply {
	select {
	case <-rec.done:
	case <-ctx.Done():
		return k.uncertainReply(medlargw.CodeCancelled, "the caller is gone; the job goes on", 0)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evictAnswers(time.Now())
	if !rec.hasAnswer {
		return k.uncertainReply(medlargw.CodeTicketUsed, "the job has ended and its answer is not kept any more", 0)
	}
	return rec.reply
}
