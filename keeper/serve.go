package keeper

import (
	"context"
	"crypto/sha256"
	"time"

	"medlargw.example/medlargw"
)

// serve answers for a ticket that this entry minted or took over.
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
		return k.doubt(medlargw.CodeUnknownJob, "the ticket has not been used so far", 0)
	case rec == nil:
		return k.unusable(t, now)
	case r.Verb == medlargw.ForwardCancel:
		rec.cancel()
	}
	return k.await(ctx, rec)
}

// usable reports whether a submission with the ticket could run here.
func (k *Keeper) usable(t *medlargw.Ticket, now time.Time) bool {
	return k.minter.Own(t) && now.Before(k.minter.Expiry(t))
}

// unusable answers for a ticket that is not remembered and can't be used. The
// time must be from before the look at the records, so that no submission has
// slipped in between.
func (k *Keeper) unusable(t *medlargw.Ticket, now time.Time) medlargw.ForwardReply {
	switch {
	case !k.minter.Own(t):
		return k.foreign(t)
	case now.Before(k.minter.Expiry(t).Add(k.minter.Term())):
		return k.refusal(&medlargw.Refused{Code: medlargw.CodeTicketExpired, Message: "the ticket has expired unused"})
	}
	return k.doubt(medlargw.CodeTicketExpired, "the ticket has expired; nothing more runs, what ran is not known any more", 0)
}

// foreign answers for a ticket of another home that is not remembered here.
func (k *Keeper) foreign(t *medlargw.Ticket) medlargw.ForwardReply {
	k.mu.Lock()
	_, departed := k.departed[t.Incarnation]
	k.mu.Unlock()
	if departed || t.Home == k.settings.Host {
		return k.doubt(medlargw.CodeHomeGone, "the ticket's home has ended; nothing more runs, what ran is unknown", 0)
	}
	return k.doubt(medlargw.CodeHomeCutOff, "the ticket's home can't be reached", time.Second)
}

// voidTicket makes an unused ticket unusable, so that "not run" stays true for
// a submission that is still on its way. The mutex is held.
func (k *Keeper) voidTicket(t *medlargw.Ticket, now time.Time) *record {
	rec := k.newRecord(t, closed())
	message := "the ticket was cancelled before it was used"
	k.keep(rec, k.refusal(&medlargw.Refused{Code: medlargw.CodeCancelled, Message: message}), now)
	return rec
}

// submit runs the job, or joins the one that the ticket was used for.
func (k *Keeper) submit(ctx context.Context, t *medlargw.Ticket, r *medlargw.ForwardRequest) medlargw.ForwardReply {
	digest := sha256.Sum256(r.Body)
	k.mu.Lock()
	now := time.Now()
	rec := k.records[t.Random]
	k.mu.Unlock()
	if rec == nil {
		if !k.usable(t, now) {
			return k.unusable(t, now)
		}
		job, refused := k.job(r)
		if refused != nil {
			return k.refusal(refused)
		}
		if rec, refused = k.begin(t, job, digest); refused != nil {
			return k.refusal(refused)
		}
	}
	if rec.digest != digest && rec.digest != ([sha256.Size]byte{}) {
		return k.doubt(medlargw.CodeTicketUsed, "the ticket was used for another submission", 0)
	}
	return k.await(ctx, rec)
}

func (k *Keeper) job(r *medlargw.ForwardRequest) (*medlargw.Job, *medlargw.Refused) {
	cfg := k.configured.Config()
	if cfg == nil {
		return nil, &medlargw.Refused{Code: medlargw.CodeNotReady, Message: "no configuration yet", RetryAfter: time.Second}
	}
	s, refused := k.encoder.DecodeSubmission(r.Body)
	if refused != nil {
		return nil, refused
	}
	if r.Left > 0 {
		s.Deadline = min(s.Deadline, r.Left)
	}
	return s.Job(cfg, r.Team, time.Now())
}

// begin runs the job, or returns the record of the one that the ticket was
// used for meanwhile.
func (k *Keeper) begin(t *medlargw.Ticket, job *medlargw.Job, digest [sha256.Size]byte) (*record, *medlargw.Refused) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if rec := k.records[t.Random]; rec != nil {
		return rec, nil
	}
	if k.stopping {
		return nil, &medlargw.Refused{Code: medlargw.CodeStopping, Message: "the entry is stopping", RetryAfter: time.Second}
	}
	if !k.usable(t, time.Now()) {
		return nil, &medlargw.Refused{Code: medlargw.CodeTicketExpired, Message: "the ticket has expired unused"}
	}
	rec := k.newRecord(t, make(chan struct{}))
	rec.digest = digest
	ctx, cancel := context.WithCancel(context.Background())
	rec.cancel = cancel
	k.jobs.Go(func() {
		defer cancel()
		k.run(ctx, rec, job)
	})
	return rec, nil
}

// run outlives the caller, who may come back with the ticket.
func (k *Keeper) run(ctx context.Context, rec *record, job *medlargw.Job) {
	outcome := k.submitter.Submit(ctx, job)
	status, body := k.encoder.EncodeOutcome(&outcome)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keep(rec, medlargw.ForwardReply{Status: status, Body: body, RetryAfter: outcome.RetryAfter}, time.Now())
	close(rec.done)
}

// await returns the end of the record's job.
func (k *Keeper) await(ctx context.Context, rec *record) medlargw.ForwardReply {
	select {
	case <-rec.done:
	case <-ctx.Done():
		return k.doubt(medlargw.CodeCancelled, "the caller is gone; the job goes on", 0)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropKept(time.Now())
	if !rec.kept {
		return k.doubt(medlargw.CodeTicketUsed, "the job has ended and its answer is not kept any more", 0)
	}
	return rec.reply
}
