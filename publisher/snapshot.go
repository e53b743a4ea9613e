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

// snapshot is the configuration in force at one revision of the head.
type snapshot struct {
	revision uint64
	head     medlargw.Head
	teams    []medlargw.TeamConfig // In the order of the head.
}

// read returns what is in force. Errors of the store are errRetry.
func (p *Publisher) read(ctx context.Context) (*snapshot, error) {
	entry, err := p.store.Get(ctx, converter.HeadKey)
	if errors.Is(err, medlargw.ErrNotFound) {
		return &snapshot{}, p.checkBehind(0)
	}
	if err != nil {
		return nil, fmt.Errorf("read head: %w: %w", errRetry, err)
	}
	s := &snapshot{revision: entry.Revision}
	if s.head, err = p.conv.DecodeHead(entry.Value); err != nil {
		return nil, err
	}
	if err := p.checkBehind(s.head.Generation); err != nil {
		return nil, err
	}
	p.readAll(ctx, s)
	for _, v := range s.head.Teams {
		t, err := p.readTeam(ctx, v)
		if err != nil {
			return nil, err
		}
		s.teams = append(s.teams, t)
	}
	return s, nil
}

// checkBehind reports a store that went back to an older head. A publish there
// would get a generation that the entries ignore.
func (p *Publisher) checkBehind(generation uint64) error {
	most := max(p.highest, p.Seen)
	p.highest = max(p.highest, generation)
	if generation >= most || p.Recover {
		return nil
	}
	message := fmt.Sprintf("the store went back: got generation %d, want at least %d, which was in force; "+
		"--recover publishes above it", generation, most)
	return &medlargw.PublishError{Message: message}
}

// readAll fills the cache by one call, the first time that it lacks a value. It
// is best effort: readTeam reads what is missing still.
func (p *Publisher) readAll(ctx context.Context, s *snapshot) {
	missing := func(v medlargw.TeamVersion) bool {
		_, ok := p.values[v]
		return !ok
	}
	if p.listed != nil || !slices.ContainsFunc(s.head.Teams, missing) {
		return
	}
	all, err := p.store.List(ctx, converter.TeamPrefix)
	if err != nil {
		return
	}
	p.listed = []medlargw.TeamVersion{}
	for i := range all {
		team, hash, ok := strings.Cut(strings.TrimPrefix(all[i].Key, converter.TeamPrefix), "/")
		if !ok {
			continue
		}
		v := medlargw.TeamVersion{Team: medlargw.TeamName(team), Hash: hash}
		p.listed = append(p.listed, v)
		if t, err := p.conv.DecodeTeam(all[i].Value); err == nil {
			p.values[v] = t
		}
	}
}

func (p *Publisher) readTeam(ctx context.Context, v medlargw.TeamVersion) (medlargw.TeamConfig, error) {
	if t, ok := p.values[v]; ok {
		return t, nil
	}
	entry, err := p.store.Get(ctx, p.conv.TeamKey(v))
	if err != nil {
		// A value that is missing may have been replaced since the head was read.
		return medlargw.TeamConfig{}, fmt.Errorf("read team %s: %w: %w", v.Team, errRetry, err)
	}
	t, err := p.conv.DecodeTeam(entry.Value)
	if err != nil {
		return medlargw.TeamConfig{}, err
	}
	p.values[v] = t
	return t, nil
}

// published returns the generation of the publish with that id.
func (s *snapshot) published(id string) (uint64, bool) {
	i := slices.Index(s.head.Publishes, id)
	if i < 0 {
		return 0, false
	}
	later := len(s.head.Publishes) - 1 - i
	return s.head.Generation - uint64(later), true
}

// version returns the version of a team; the zero value is none.
func (s *snapshot) version(team medlargw.TeamName) medlargw.TeamVersion {
	for _, v := range s.head.Teams {
		if v.Team == team {
			return v
		}
	}
	return medlargw.TeamVersion{}
}

// team returns what is in force of a team, or nil.
func (s *snapshot) team(name medlargw.TeamName) *medlargw.TeamConfig {
	for i := range s.teams {
		if s.teams[i].Team.Name == name {
			return &s.teams[i]
		}
	}
	return nil
}

// claimed reports whether the operators' team is in force.
func (s *snapshot) claimed() bool { return s.team(medlargw.DeploymentTeam) != nil }

// retired reports whether a value may not be named again.
func (s *snapshot) retired(v medlargw.TeamVersion) bool {
	return slices.ContainsFunc(s.head.Retired, func(r medlargw.RetiredVersion) bool { return r.Version == v })
}
