package messenger

import (
	"context"
	"fmt"

	"github.com/twitchtv/twirp"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
	"medlargw.example/medlargw/registrar"
)

// handlers are the components that handle the requests of peers; nil for a
// component that is not registered.
type handlers struct {
	heartbeat medlargw.HeartbeatHandler
	borrow    medlargw.BorrowHandler
	forward   medlargw.ForwardHandler
	offers    medlargw.OfferHandler
	relays    medlargw.RelayHandler
	fetch     map[medlargw.FetchKind]medlargw.FetchHandler
}

func findHandlers(reg *registrar.Registrar) handlers {
	return handlers{
		heartbeat: findHandler[medlargw.HeartbeatHandler](reg, "tracker"),
		borrow:    findHandler[medlargw.BorrowHandler](reg, "dispatcher"),
		forward:   findHandler[medlargw.ForwardHandler](reg, "keeper"),
		offers:    findHandler[medlargw.OfferHandler](reg, "dispatcher"),
		relays:    findHandler[medlargw.RelayHandler](reg, "dispatcher"),
		fetch: map[medlargw.FetchKind]medlargw.FetchHandler{
			medlargw.FetchConfig:  findHandler[medlargw.FetchHandler](reg, "watcher"),
			medlargw.FetchHosts:   findHandler[medlargw.FetchHandler](reg, "assigner"),
			medlargw.FetchReports: findHandler[medlargw.FetchHandler](reg, "assigner"),
			medlargw.FetchMembers: findHandler[medlargw.FetchHandler](reg, "tracker"),
		},
	}
}

func findHandler[T any](reg *registrar.Registrar, name string) T {
	handler, _ := registrar.Find[T](reg, name)
	return handler
}

// server implements the RPC service that peers call.
type server struct{ handlers handlers }

var _ wire.Entry = (*server)(nil)

func unimplemented(what string) error {
	return twirp.NewError(twirp.Unimplemented, fmt.Sprintf("no part answers %s", what))
}

// Beat answers a heartbeat.
func (s *server) Beat(ctx context.Context, r *wire.BeatRequest) (*wire.BeatReply, error) {
	if s.handlers.heartbeat == nil {
		return nil, unimplemented("heartbeats")
	}
	reply, err := s.handlers.heartbeat.HandleHeartbeat(ctx, decodeHeartbeat(r))
	if err != nil {
		return nil, err
	}
	sent := encodeHeartbeat(&reply)
	return &wire.BeatReply{From: sent.From, Digest: sent.Digest, Changed: sent.Changed, View: sent.View}, nil
}

// Borrow answers a request for loans.
func (s *server) Borrow(ctx context.Context, r *wire.BorrowRequest) (*wire.BorrowReply, error) {
	if s.handlers.borrow == nil {
		return nil, unimplemented("borrowers")
	}
	reply, err := s.handlers.borrow.HandleBorrow(ctx, decodeBorrowRequest(r))
	if err != nil {
		return nil, err
	}
	return encodeBorrowReply(&reply), nil
}

// Fetch returns the requested state.
func (s *server) Fetch(ctx context.Context, r *wire.FetchRequest) (*wire.FetchReply, error) {
	handler := s.handlers.fetch[medlargw.FetchKind(r.Kind)]
	if handler == nil {
		return nil, unimplemented("fetches of " + r.Kind)
	}
	reply, err := handler.HandleFetch(ctx, medlargw.FetchRequest{
		Kind:     medlargw.FetchKind(r.Kind),
		Version:  r.Version,
		Protocol: int(r.Protocol),
	})
	if err != nil {
		return nil, err
	}
	return encodeFetchReply(&reply, int(r.Protocol))
}

// Forward serves a request with a ticket as the home of the ticket.
func (s *server) Forward(ctx context.Context, r *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if s.handlers.forward == nil {
		return nil, unimplemented("forwarded requests")
	}
	reply, err := s.handlers.forward.HandleForward(ctx, decodeForwardRequest(r))
	if err != nil {
		return nil, err
	}
	return encodeForwardReply(&reply), nil
}

// Handover receives the used tickets of a leaving entry.
func (s *server) Handover(ctx context.Context, r *wire.HandoverRequest) (*wire.HandoverReply, error) {
	if s.handlers.forward == nil {
		return nil, unimplemented("handovers")
	}
	if err := s.handlers.forward.HandleHandover(ctx, decodeHandover(r)); err != nil {
		return nil, err
	}
	return &wire.HandoverReply{}, nil
}
