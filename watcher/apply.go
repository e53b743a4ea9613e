package watcher

import (
	"cmp"
	"fmt"
	"slices"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// apply decodes a head and puts its generation into force if that is higher than
// the current one. It returns whether it did. It calls read for the team values
// that are not cached.
func (w *Watcher) apply(raw []byte, read func(v medlargw.TeamVersion) ([]byte, error)) (bool, error) {
	head, err := w.conv.DecodeHead(raw)
	if err != nil {
		return false, err
	}
	if !w.isNewer(&head) {
		return false, nil
	}
	teams, err := w.resolveTeamValues(&head, read)
	if err != nil {
		return false, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isNewer(&head) {
		return false, nil // Another goroutine has applied it meanwhile.
	}
	w.teamValues = teams
	w.rawHead = raw
	cfg := mergeConfig(&head, teams)
	w.current.Store(cfg)
	w.configReceiver.Configure(cfg)
	w.log.Info("configuration in force", zap.Uint64("generation", cfg.Generation))
	return true, nil
}

// isNewer reports whether the head's generation is higher than the one in force.
// It logs an error if it is lower.
func (w *Watcher) isNewer(head *medlargw.ConfigHead) bool {
	now := w.currentGeneration()
	if head.Generation < now {
		w.log.Error("configuration head with a lower generation ignored", zap.Uint64("got", head.Generation), zap.Uint64("kept", now))
	}
	return head.Generation > now
}

// resolveTeamValues returns the team values that a head names. It doesn't hold
// the lock while it reads, since the store may be slow and peers must be answered
// meanwhile.
func (w *Watcher) resolveTeamValues(
	head *medlargw.ConfigHead,
	read func(v medlargw.TeamVersion) ([]byte, error),
) (map[medlargw.TeamVersion]teamValue, error) {
	w.mu.Lock()
	cachedValues := w.teamValues // The map is never changed, only replaced.
	w.mu.Unlock()
	teams := make(map[medlargw.TeamVersion]teamValue, len(head.Teams))
	for _, v := range head.Teams {
		if cached, ok := cachedValues[v]; ok {
			teams[v] = cached
			continue
		}
		raw, err := read(v)
		if err != nil {
			return nil, fmt.Errorf("read team %s: %w", v.Team, err)
		}
		if hash := w.conv.Hash(raw); hash != v.Hash {
			return nil, fmt.Errorf("value of team %s: got hash %s, want %s", v.Team, hash, v.Hash)
		}
		decoded, err := w.conv.DecodeTeam(raw)
		if err != nil {
			return nil, err
		}
		teams[v] = teamValue{raw: raw, decoded: decoded, generation: head.Generation}
	}
	return teams, nil
}

// mergeConfig merges the declarations of all teams into one configuration.
func mergeConfig(head *medlargw.ConfigHead, teams map[medlargw.TeamVersion]teamValue) *medlargw.Config {
	cfg := &medlargw.Config{Generation: head.Generation, Evacuated: head.Evacuated}
	for _, v := range head.Teams {
		t := teams[v].decoded
		cfg.Teams = append(cfg.Teams, t.Team)
		cfg.Classes = append(cfg.Classes, t.Classes...)
		cfg.Services = append(cfg.Services, t.Services...)
		cfg.Routes = append(cfg.Routes, t.Routes...)
	}
	slices.SortFunc(cfg.Classes, func(a, b medlargw.Class) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
	})
	return cfg
}
