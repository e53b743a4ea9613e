package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"medlargw.example/medlargw"
)

// submit serves POST /v1/jobs.
func (rc *Receiver) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	arrived := time.Now()
	cfg, team, body, refused := rc.authenticateAndRead(w, r)
	if refused != nil {
		rc.refuse(w, refused)
		return
	}
	s, refused := rc.decode(r.Context(), body)
	if refused != nil {
		rc.refuse(w, refused)
		return
	}
	job, refused := s.Job(cfg, team, arrived)
	if refused != nil {
		rc.refuse(w, refused)
		return
	}
	if s.Ticket != "" {
		rc.redeem(w, r, &medlargw.ForwardRequest{
			Ticket:   s.Ticket,
			Verb:     medlargw.ForwardSubmit,
			Team:     team,
			Body:     body,
			TimeLeft: time.Until(job.Deadline),
		})
		return
	}
	rc.shedder.Release(r)
	outcome := rc.submitter.Submit(r.Context(), job)
	status, answer := rc.encoder.EncodeOutcome(&outcome)
	rc.write(w, status, answer, outcome.RetryAfter)
}

// decode decodes a submission when few other bytes are being decoded.
func (rc *Receiver) decode(ctx context.Context, body []byte) (*medlargw.Submission, *medlargw.RefusedError) {
	weight := min(int64(len(body)), rc.settings.Capacity.DecodeLimit())
	if err := rc.decoding.Acquire(ctx, weight); err != nil {
		return nil, &medlargw.RefusedError{Code: medlargw.CodeCancelled, Message: "the caller has left"}
	}
	defer rc.decoding.Release(weight)
	return rc.encoder.DecodeSubmission(body)
}

// authenticateCaller returns the current configuration and the team of the
// request. It does not wait for the body of a request that it refuses.
func (rc *Receiver) authenticateCaller(w http.ResponseWriter, r *http.Request) (*medlargw.Config, medlargw.TeamName, *medlargw.RefusedError) {
	cfg := rc.configSource.Config()
	if cfg == nil {
		return nil, "", noConfigRefused()
	}
	team, refused := authenticate(cfg, r)
	if refused != nil && r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rc.settings.Intake.Read))
	}
	return cfg, team, refused
}

// authenticateAndRead authenticates the request and reads its complete body.
func (rc *Receiver) authenticateAndRead(
	w http.ResponseWriter,
	r *http.Request,
) (*medlargw.Config, medlargw.TeamName, []byte, *medlargw.RefusedError) {
	cfg, team, refused := rc.authenticateCaller(w, r)
	if refused != nil {
		return nil, "", nil, refused
	}
	body, refused := rc.readBody(w, r)
	return cfg, team, body, refused
}

// redeem serves a request with a ticket.
func (rc *Receiver) redeem(w http.ResponseWriter, r *http.Request, request *medlargw.ForwardRequest) {
	reply := rc.redeemer.Redeem(r.Context(), *request)
	rc.write(w, reply.Status, reply.Body, reply.RetryAfter)
}

// fetch serves GET /v1/jobs/TICKET. It waits for the end of the job.
func (rc *Receiver) fetch(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	rc.serveTicketed(w, r, params, medlargw.ForwardGet)
}

// cancel serves DELETE /v1/jobs/TICKET.
func (rc *Receiver) cancel(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	rc.serveTicketed(w, r, params, medlargw.ForwardCancel)
}

func (rc *Receiver) serveTicketed(w http.ResponseWriter, r *http.Request, params httprouter.Params, verb medlargw.ForwardVerb) {
	_, team, refused := rc.authenticateCaller(w, r)
	if refused != nil {
		rc.refuse(w, refused)
		return
	}
	rc.redeem(w, r, &medlargw.ForwardRequest{Ticket: params.ByName("ticket"), Verb: verb, Team: team})
}

// mint serves POST /v1/tickets.
func (rc *Receiver) mint(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	_, team, body, refused := rc.authenticateAndRead(w, r)
	if refused != nil {
		rc.refuse(w, refused)
		return
	}
	count, refused := rc.encoder.DecodeTicketRequest(body)
	if refused != nil {
		rc.refuse(w, refused)
		return
	}
	tickets, lifetime := rc.redeemer.Mint(team, count)
	rc.write(w, http.StatusOK, rc.encoder.EncodeTickets(tickets, lifetime), 0)
}
