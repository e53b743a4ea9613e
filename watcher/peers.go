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

// errValueMissing is returned when a peer left out a value that is not cached
// here.
var errValueMissing = errors.New("value is neither cached nor in the peer's reply")

// wireConfig is the configuration in the body of a reply to a fetch.
type wireConfig struct {
	Head  []byte      `json:"head"`
	Teams []wireValue `json:"teams"`
}

type wireValue struct {
	Team  string `json:"team"`
	Hash  string `json:"hash"`
	Value []byte `json:"value"`
}

// HandleFetch returns the head and the values that are newer than the peer's
// generation.
func (w *Watcher) HandleFetch(_ context.Context, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	generation := w.currentGeneration()
	if generation <= r.Version {
		return medlargw.FetchReply{Version: generation}, nil
	}
	wire := wireConfig{Head: w.rawHead}
	for v, t := range w.teamValues {
		if t.generation > r.Version {
			wire.Teams = append(wire.Teams, wireValue{Team: string(v.Team), Hash: v.Hash, Value: t.raw})
		}
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return medlargw.FetchReply{}, fmt.Errorf("encode configuration: %w", err)
	}
	return medlargw.FetchReply{Version: generation, Body: body}, nil
}

// HeartbeatReceived fetches the configuration of a peer that has a higher
// generation.
func (w *Watcher) HeartbeatReceived(from medlargw.Member, d medlargw.Digest) {
	if d.Generation <= w.currentGeneration() || !w.fetches.Start(time.Now()) {
		return
	}
	w.spawner.Go(func(ctx context.Context) {
		defer w.fetches.End()
		changed, err := w.fetch(ctx, from.Addr, w.currentGeneration())
		if errors.Is(err, errValueMissing) {
			changed, err = w.fetch(ctx, from.Addr, 0)
		}
		if err != nil {
			w.log.Warn("fetching the configuration from a peer failed", zap.Stringer("peer", from.Addr), zap.Error(err))
		}
		if changed {
			w.gossiper.GossipNow()
		}
	})
}

// fetch requests a peer's configuration and applies it. The peer leaves out the
// values that it already had at the given generation.
func (w *Watcher) fetch(ctx context.Context, from netip.AddrPort, generation uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := w.messenger.Fetch(ctx, from, medlargw.FetchRequest{
		Kind:     medlargw.FetchConfig,
		Protocol: medlargw.ProtocolChanges,
		Version:  generation,
	})
	if err != nil || len(reply.Body) == 0 {
		return false, err
	}
	var wire wireConfig
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
		return nil, errValueMissing
	})
}
