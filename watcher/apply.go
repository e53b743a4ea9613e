package watcher

import (
	"cmp"
	"fmt"
	"slices"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// apply puts the generation of a head into force, if it is higher, and returns
// whether it did. Values that are not known yet are read by the function.
func (w *Watcher) apply(raw []byte, read func(v medlargw.TeamVersion) ([]byte, error)) (bool, error) {
	head, err := w.conv.DecodeHead(raw)
	if err != nil {
		return false, err
	}
	if !w.isNewer(&head) {
		return false, nil
	}
	teams, err := w.values(&head, read)
	if err != nil {
		return false, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isNewer(&head) {
		return false, nil // Another source was faster.
	}
	w.teams = teams
	w.head = raw
	cfg := compose(&head, teams)
	w.current.Store(cfg)
	w.sink.Configure(cfg)
	w.log.Info("configuration in force", zap.Uint64("generation", cfg.Generation))
	return true, nil
}

// isNewer reports whether the head is above the generation in force.
func (w *Watcher) isNewer(head *medlargw.Head) bool {
	now := w.generation()
	if head.Generation < now {
		w.log.Error("head went back", zap.Uint64("got", head.Generation), zap.Uint64("kept", now))
	}
	return head.Generation > now
}

// values returns the values that a head names. The lock is not held, since the
// store may be slow and peers must still be answered.
func (w *Watcher) values(
	head *medlargw.Head,
	read func(v medlargw.TeamVersion) ([]byte, error),
) (map[medlargw.TeamVersion]value, error) {
	w.mu.Lock()
	known := w.teams // Replaced as a whole, never changed.
	w.mu.Unlock()
	teams := make(map[medlargw.TeamVersion]value, len(head.Teams))
	for _, v := range head.Teams {
		if kept, ok := known[v]; ok {
			teams[v] = kept
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
		teams[v] = value{raw: raw, decoded: decoded, since: head.Generation}
	}
	return teams, nil
}

// compose joins the declarations of all teams into one configuration.
func compose(head *medlargw.Head, teams map[medlargw.TeamVersion]value) *medlargw.Config {
	cfg := &medlargw.Config{Generation: head.Generation}
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
