package publisher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

// snapshot is the configuration at one revision of the head.
type snapshot struct {
	revision uint64
	head     medlargw.ConfigHead
	teams    []medlargw.TeamConfig // In the order of the head.
}

// readSnapshot reads the current configuration. Errors of the store are wrapped
// in errRetry.
func (p *Publisher) readSnapshot(ctx context.Context) (*snapshot, error) {
	kv, err := p.store.Get(ctx, converter.HeadKey)
	if errors.Is(err, medlargw.ErrNotFound) {
		return &snapshot{}, p.checkRollback(0)
	}
	if err != nil {
		return nil, fmt.Errorf("read head: %w: %w", errRetry, err)
	}
	s := &snapshot{revision: kv.Revision}
	if s.head, err = p.conv.DecodeHead(kv.Value); err != nil {
		return nil, err
	}
	if err := p.checkRollback(s.head.Generation); err != nil {
		return nil, err
	}
	p.fillCache(ctx, s)
	for _, v := range s.head.Teams {
		t, err := p.readTeam(ctx, v)
		if err != nil {
			return nil, err
		}
		s.teams = append(s.teams, t)
	}
	return s, nil
}

// checkRollback returns an error if the store went back to an older head. The
// entries would ignore the generation of a publish on top of that head.
func (p *Publisher) checkRollback(generation uint64) error {
	newest := max(p.highestGeneration, p.UsedGeneration)
	p.highestGeneration = max(p.highestGeneration, generation)
	if generation >= newest || p.Recover {
		return nil
	}
	message := fmt.Sprintf("the store went back: got generation %d, want at least %d, which was in force; "+
		"--recover publishes above it", generation, newest)
	return &medlargw.PublishError{Message: message}
}

// fillCache reads all values of the store with one call, the first time that
// the cache lacks a value. It is best effort: readTeam reads a value that is
// still missing.
func (p *Publisher) fillCache(ctx context.Context, s *snapshot) {
	missing := func(v medlargw.TeamVersion) bool {
		_, ok := p.configCache[v]
		return !ok
	}
	if p.storedVersions != nil || !slices.ContainsFunc(s.head.Teams, missing) {
		return
	}
	entries, err := p.store.List(ctx, converter.TeamPrefix)
	if err != nil {
		return
	}
	p.storedVersions = []medlargw.TeamVersion{}
	for i := range entries {
		team, hash, ok := strings.Cut(strings.TrimPrefix(entries[i].Key, converter.TeamPrefix), "/")
		if !ok {
			continue
		}
		v := medlargw.TeamVersion{Team: medlargw.TeamName(team), Hash: hash}
		p.storedVersions = append(p.storedVersions, v)
		if t, err := p.conv.DecodeTeam(entries[i].Value); err == nil {
			p.configCache[v] = t
		}
	}
}

// readTeam returns the configuration of a version from the cache or the store.
func (p *Publisher) readTeam(ctx context.Context, v medlargw.TeamVersion) (medlargw.TeamConfig, error) {
	if t, ok := p.configCache[v]; ok {
		return t, nil
	}
	kv, err := p.store.Get(ctx, p.conv.TeamKey(v))
	if err != nil {
		// A missing value may have been replaced and deleted since the head was
		// read.
		return medlargw.TeamConfig{}, fmt.Errorf("read team %s: %w: %w", v.Team, errRetry, err)
	}
	t, err := p.conv.DecodeTeam(kv.Value)
	if err != nil {
		return medlargw.TeamConfig{}, err
	}
	p.configCache[v] = t
	return t, nil
}

// generationOf returns the generation of the publish with the ID, if the head
// still lists it.
func (s *snapshot) generationOf(id string) (uint64, bool) {
	i := slices.Index(s.head.PublishIDs, id)
	if i < 0 {
		return 0, false
	}
	later := len(s.head.PublishIDs) - 1 - i
	return s.head.Generation - uint64(later), true
}

// version returns the current version of a team, or the zero value.
func (s *snapshot) version(team medlargw.TeamName) medlargw.TeamVersion {
	for _, v := range s.head.Teams {
		if v.Team == team {
			return v
		}
	}
	return medlargw.TeamVersion{}
}

// team returns the current configuration of a team, or nil.
func (s *snapshot) team(name medlargw.TeamName) *medlargw.TeamConfig {
	for i := range s.teams {
		if s.teams[i].Team.Name == name {
			return &s.teams[i]
		}
	}
	return nil
}

// hasDeploymentTeam reports whether the operators' team has been published.
func (s *snapshot) hasDeploymentTeam() bool { return s.team(medlargw.DeploymentTeam) != nil }

// isRetired reports whether the head lists the version as retired, so that it
// must not be referenced again.
func (s *snapshot) isRetired(v medlargw.TeamVersion) bool {
	return slices.ContainsFunc(s.head.Retired, func(r medlargw.RetiredVersion) bool { return r.Version == v })
}
