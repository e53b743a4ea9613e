package messenger

import (
	"context"
	"fmt"

	"github.com/twitchtv/twirp"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
	"medlargw.example/medlargw/registrar"
)

// handlers are the parts that answer peers. A part that is not there is nil.
type handlers struct {
	beat    medlargw.BeatHandler
	borrow  medlargw.BorrowHandler
	forward medlargw.ForwardHandler
	offers  medlargw.OfferHandler
	fetch   map[medlargw.FetchKind]medlargw.FetchHandler
}

func findHandlers(reg *registrar.Registrar) handlers {
	return handlers{
		beat:    find[medlargw.BeatHandler](reg, "tracker"),
		borrow:  find[medlargw.BorrowHandler](reg, "dispatcher"),
		forward: find[medlargw.ForwardHandler](reg, "keeper"),
		offers:  find[medlargw.OfferHandler](reg, "dispatcher"),
		fetch: map[medlargw.FetchKind]medlargw.FetchHandler{
			medlargw.FetchConfig:  find[medlargw.FetchHandler](reg, "watcher"),
			medlargw.FetchHosts:   find[medlargw.FetchHandler](reg, "assigner"),
			medlargw.FetchMembers: find[medlargw.FetchHandler](reg, "tracker"),
		},
	}
}

func find[T any](reg *registrar.Registrar, name string) T {
	part, _ := registrar.Find[T](reg, name)
	return part
}

// server answers the peers' requests.
type server struct{ handlers handlers }

var _ wire.Entry = (*server)(nil)

func absent(what string) error {
	return twirp.NewError(twirp.Unimplemented, fmt.Sprintf("no part answers %s", what))
}

// Beat answers a heartbeat.
func (s *server) Beat(ctx context.Context, r *wire.BeatRequest) (*wire.BeatReply, error) {
	if s.handlers.beat == nil {
		return nil, absent("heartbeats")
	}
	reply, err := s.handlers.beat.HandleBeat(ctx, decodeBeat(r))
	if err != nil {
		return nil, err
	}
	sent := encodeBeat(&reply)
	return &wire.BeatReply{From: sent.From, Digest: sent.Digest, Changed: sent.Changed, View: sent.View}, nil
}

// Borrow answers a wish for loans.
func (s *server) Borrow(ctx context.Context, r *wire.BorrowRequest) (*wire.BorrowReply, error) {
	if s.handlers.borrow == nil {
		return nil, absent("borrowers")
	}
	reply, err := s.handlers.borrow.HandleBorrow(ctx, decodeBorrowRequest(r))
	if err != nil {
		return nil, err
	}
	return encodeBorrowReply(&reply), nil
}

// Fetch answers with state that the peer lacks.
func (s *server) Fetch(ctx context.Context, r *wire.FetchRequest) (*wire.FetchReply, error) {
	handler := s.handlers.fetch[medlargw.FetchKind(r.Kind)]
	if handler == nil {
		return nil, absent("fetches of " + r.Kind)
	}
	reply, err := handler.HandleFetch(ctx, medlargw.FetchRequest{
		Kind:    medlargw.FetchKind(r.Kind),
		Version: r.Version,
	})
	if err != nil {
		return nil, err
	}
	return &wire.FetchReply{Version: reply.Version, Body: reply.Body}, nil
}

// Forward serves a ticketed request as its home.
func (s *server) Forward(ctx context.Context, r *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if s.handlers.forward == nil {
		return nil, absent("forwarded requests")
	}
	reply, err := s.handlers.forward.HandleForward(ctx, decodeForwardRequest(r))
	if err != nil {
		return nil, err
	}
	return encodeForwardReply(&reply), nil
}

// Handover takes the used tickets of a leaving entry.
func (s *server) Handover(ctx context.Context, r *wire.HandoverRequest) (*wire.HandoverReply, error) {
	if s.handlers.forward == nil {
		return nil, absent("handovers")
	}
	if err := s.handlers.forward.HandleHandover(ctx, decodeHandover(r)); err != nil {
		return nil, err
	}
	return &wire.HandoverReply{}, nil
}
