package watcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// fetchTimeout bounds one fetch from a peer.
const fetchTimeout = 5 * time.Second

// errMissing says that a peer left a value out that is not known here.
var errMissing = errors.New("not among the peer's values")

// configWire is the configuration as one entry gives it to another.
type configWire struct {
	Head  []byte      `json:"head"`
	Teams []valueWire `json:"teams"`
}

type valueWire struct {
	Team  string `json:"team"`
	Hash  string `json:"hash"`
	Value []byte `json:"value"`
}

// HandleFetch gives the head and the values that are newer than the peer's
// generation.
func (w *Watcher) HandleFetch(_ context.Context, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	generation := w.generation()
	if generation <= r.Version {
		return medlargw.FetchReply{Version: generation}, nil
	}
	wire := configWire{Head: w.head}
	for v, t := range w.teams {
		if t.since > r.Version {
			wire.Teams = append(wire.Teams, valueWire{Team: string(v.Team), Hash: v.Hash, Value: t.raw})
		}
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return medlargw.FetchReply{}, fmt.Errorf("encode configuration: %w", err)
	}
	return medlargw.FetchReply{Version: generation, Body: body}, nil
}

// HeardBeat fetches the configuration of a peer that is ahead.
func (w *Watcher) HeardBeat(from medlargw.Member, d medlargw.Digest) {
	if d.Generation <= w.generation() || !w.fetching.CompareAndSwap(false, true) {
		return
	}
	w.running.Go(func() {
		defer w.fetching.Store(false)
		changed, err := w.fetch(from.Addr, w.generation())
		if errors.Is(err, errMissing) {
			changed, err = w.fetch(from.Addr, 0)
		}
		if err != nil {
			w.log.Warn("configuration not fetched", zap.Stringer("peer", from.Addr), zap.Error(err))
		}
		if changed {
			w.spreader.Spread()
		}
	})
}

// fetch puts a peer's configuration into force. The peer leaves out what it
// had at the given generation.
func (w *Watcher) fetch(from netip.AddrPort, generation uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(w.ctx, fetchTimeout)
	defer cancel()
	reply, err := w.messenger.Fetch(ctx, from, medlargw.FetchRequest{
		Kind:    medlargw.FetchConfig,
		Version: generation,
	})
	if err != nil || len(reply.Body) == 0 {
		return false, err
	}
	var wire configWire
	if err := json.Unmarshal(reply.Body, &wire); err != nil {
		return false, fmt.Errorf("decode configuration: %w", err)
	}
	values := make(map[medlargw.TeamVersion][]byte, len(wire.Teams))
	for _, t := range wire.Teams {
		values[medlargw.TeamVersion{Team: medlargw.TeamName(t.Team), Hash: t.Hash}] = t.Value
	}
	return w.apply(wire.Head, func(v medlargw.TeamVersion) ([]byte, error) {
		if raw, ok := values[v]; ok {
			return raw, nil
		}
		return nil, errMissing
	})
}
