// Package publisher puts checked declarations into force.
//
// The values of the teams are written first; they are immutable and named by
// their content, so that writing one twice is harmless. One compare-and-swap
// of the head then puts all of them into force, or none.
package publisher

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

// Bounds of a publish.
const (
	maxTries     = 20 // Swaps that may be lost to other publishers.
	keptPublishs = 32 // Ids in the head.
)

// Publisher publishes to one store.
type Publisher struct {
	store medlargw.Store
	conv  converter.Converter
}

// New returns a publisher.
func New(store medlargw.Store) *Publisher { return &Publisher{store: store} }

// Publish puts the teams' declarations into force and returns the generation.
// Teams that are not among them keep theirs.
func (p *Publisher) Publish(ctx context.Context, teams []medlargw.TeamConfig) (uint64, error) {
	versions, err := p.writeTeams(ctx, teams)
	if err != nil {
		return 0, err
	}
	id := rand.Text()
	for range maxTries {
		generation, err := p.swapHead(ctx, id, versions)
		if err == nil {
			return generation, nil
		}
		if !errors.Is(err, medlargw.ErrConflict) {
			return 0, err
		}
	}
	return 0, fmt.Errorf("publish: lost %d races for the head", maxTries)
}

func (p *Publisher) writeTeams(ctx context.Context, teams []medlargw.TeamConfig) ([]medlargw.TeamVersion, error) {
	var versions []medlargw.TeamVersion
	for _, t := range teams {
		value, err := p.conv.EncodeTeam(t)
		if err != nil {
			return nil, err
		}
		v := medlargw.TeamVersion{Team: t.Team.Name, Hash: p.conv.Hash(value)}
		_, err = p.store.Put(ctx, p.conv.TeamKey(v), value, 0)
		// A conflict says that the same content is there already.
		if err != nil && !errors.Is(err, medlargw.ErrConflict) {
			return nil, fmt.Errorf("write team %s: %w", t.Team.Name, err)
		}
		versions = append(versions, v)
	}
	return versions, nil
}

// swapHead names the new versions in the head.
func (p *Publisher) swapHead(ctx context.Context, id string, versions []medlargw.TeamVersion) (uint64, error) {
	entry, head, err := p.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if slices.Contains(head.Publishes, id) {
		return head.Generation, nil // An earlier swap took effect although its reply was lost.
	}
	head.Generation++
	head.Teams = merge(head.Teams, versions)
	head.Publishes = append(head.Publishes, id)
	if n := len(head.Publishes); n > keptPublishs {
		head.Publishes = head.Publishes[n-keptPublishs:]
	}
	value, err := p.conv.EncodeHead(head)
	if err != nil {
		return 0, err
	}
	if _, err := p.store.Put(ctx, converter.HeadKey, value, entry.Revision); err != nil {
		return 0, fmt.Errorf("write head: %w", err)
	}
	return head.Generation, nil
}

func (p *Publisher) readHead(ctx context.Context) (medlargw.Entry, medlargw.Head, error) {
	entry, err := p.store.Get(ctx, converter.HeadKey)
	if errors.Is(err, medlargw.ErrNotFound) {
		return medlargw.Entry{}, medlargw.Head{}, nil
	}
	if err != nil {
		return medlargw.Entry{}, medlargw.Head{}, fmt.Errorf("read head: %w", err)
	}
	head, err := p.conv.DecodeHead(entry.Value)
	return entry, head, err
}

// merge returns the old versions with the new ones in their place.
func merge(old, changed []medlargw.TeamVersion) []medlargw.TeamVersion {
	byTeam := map[medlargw.TeamName]medlargw.TeamVersion{}
	for _, v := range old {
		byTeam[v.Team] = v
	}
	for _, v := range changed {
		byTeam[v.Team] = v
	}
	merged := make([]medlargw.TeamVersion, 0, len(byTeam))
	for _, v := range byTeam {
		merged = append(merged, v)
	}
	slices.SortFunc(merged, func(a, b medlargw.TeamVersion) int { return cmp.Compare(a.Team, b.Team) })
	return merged
}
