package messenger

import (
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

func encodeForwardRequest(r *medlargw.ForwardRequest) *wire.ForwardRequest {
	return &wire.ForwardRequest{
		Ticket: r.Ticket,
		Verb:   string(r.Verb),
		Team:   string(r.Team),
		Body:   r.Body,
		LeftMs: r.TimeLeft.Milliseconds(),
	}
}

func decodeForwardRequest(r *wire.ForwardRequest) medlargw.ForwardRequest {
	return medlargw.ForwardRequest{
		Ticket:   r.GetTicket(),
		Verb:     medlargw.ForwardVerb(r.GetVerb()),
		Team:     medlargw.TeamName(r.GetTeam()),
		Body:     r.GetBody(),
		TimeLeft: time.Duration(r.GetLeftMs()) * time.Millisecond,
	}
}

func encodeForwardReply(r *medlargw.ForwardReply) *wire.ForwardReply {
	return &wire.ForwardReply{
		Status:       int32(r.Status),
		Body:         r.Body,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

func decodeForwardReply(r *wire.ForwardReply) medlargw.ForwardReply {
	return medlargw.ForwardReply{
		Status:     int(r.GetStatus()),
		Body:       r.GetBody(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}

func encodeHandover(h *medlargw.Handover) *wire.HandoverRequest {
	r := &wire.HandoverRequest{Host: string(h.Host), Incarnation: uint64(h.Incarnation)}
	for i := range h.UsedTickets {
		u := &h.UsedTickets[i]
		r.Used = append(r.Used, &wire.Used{
			Ticket:    []byte(u.Ticket),
			ExpiresMs: u.Expires.UnixMilli(),
			Ended:     u.JobEnded,
			Status:    int32(u.Status),
			Body:      u.Body,
		})
	}
	return r
}

func decodeHandover(r *wire.HandoverRequest) medlargw.Handover {
	h := medlargw.Handover{
		Host:        medlargw.HostName(r.GetHost()),
		Incarnation: medlargw.Incarnation(r.GetIncarnation()),
	}
	for _, u := range r.GetUsed() {
		h.UsedTickets = append(h.UsedTickets, medlargw.UsedTicket{
			Ticket:   string(u.GetTicket()),
			Expires:  time.UnixMilli(u.GetExpiresMs()),
			JobEnded: u.GetEnded(),
			Status:   int(u.GetStatus()),
			Body:     u.GetBody(),
		})
	}
	return h
}
