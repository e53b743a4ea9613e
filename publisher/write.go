package publisher

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

// writeTeams writes the values of the teams and returns their versions.
func (p *Publisher) writeTeams(
	ctx context.Context,
	s *snapshot,
	teams []medlargw.TeamConfig,
) ([]medlargw.TeamVersion, error) {
	versions := make([]medlargw.TeamVersion, 0, len(teams))
	for i := range teams {
		v, err := p.writeTeam(ctx, s, &teams[i])
		if err != nil {
			return nil, fmt.Errorf("write team %s: %w", teams[i].Team.Name, err)
		}
		versions = append(versions, v)
	}
	return versions, nil
}

// writeTeam writes one value. A salt replaces the name of a value that is
// retired, or that holds another content of the same hash.
func (p *Publisher) writeTeam(
	ctx context.Context,
	s *snapshot,
	t *medlargw.TeamConfig,
) (medlargw.TeamVersion, error) {
	for _, salt := range []string{"", p.id, p.id + "-2"} {
		value, err := p.conv.EncodeSalted(*t, salt)
		if err != nil {
			return medlargw.TeamVersion{}, err
		}
		v := medlargw.TeamVersion{Team: t.Team.Name, Hash: p.conv.Hash(value)}
		if s.retired(v) {
			continue
		}
		same, err := p.writeValue(ctx, v, value)
		if err != nil {
			return medlargw.TeamVersion{}, err
		}
		if same {
			return v, nil
		}
	}
	return medlargw.TeamVersion{}, fmt.Errorf("%w: each name is retired or taken", errRetry)
}

// writeValue reports whether the key holds the value afterwards.
func (p *Publisher) writeValue(ctx context.Context, v medlargw.TeamVersion, value []byte) (bool, error) {
	_, err := p.store.Put(ctx, p.conv.TeamKey(v), value, 0)
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, medlargw.ErrConflict) {
		return false, fmt.Errorf("%w: %w", errRetry, err)
	}
	entry, err := p.store.Get(ctx, p.conv.TeamKey(v))
	if err != nil {
		return false, fmt.Errorf("%w: %w", errRetry, err)
	}
	return bytes.Equal(entry.Value, value), nil
}

// swap replaces the head, which puts the change into force.
func (p *Publisher) swap(
	ctx context.Context,
	s *snapshot,
	c changeSet,
	versions []medlargw.TeamVersion,
) (uint64, error) {
	head := p.nextHead(s, c, versions)
	head.Retired = p.collect(ctx, s, head)
	value, err := p.conv.EncodeHead(head)
	if err != nil {
		return 0, err
	}
	_, err = p.store.Put(ctx, converter.HeadKey, value, s.revision)
	if errors.Is(err, medlargw.ErrConflict) {
		return 0, fmt.Errorf("write head: %w: %w", errRetry, err)
	}
	if err != nil {
		p.doubt = head.Generation
		return 0, fmt.Errorf("write head: %w: %w", errRetry, err)
	}
	p.doubt = 0
	return head.Generation, nil
}

// nextHead returns the head that follows the snapshot.
func (p *Publisher) nextHead(s *snapshot, c changeSet, versions []medlargw.TeamVersion) medlargw.Head {
	head := medlargw.Head{
		Generation: s.head.Generation + 1,
		Publishes:  append(slices.Clone(s.head.Publishes), p.id),
		Retired:    slices.Clone(s.head.Retired),
	}
	if floor := max(p.Seen, p.highest); head.Generation <= floor {
		// The ids stand for generations without a gap, so they start anew.
		head.Generation, head.Publishes = floor+1, []string{p.id}
	}
	if n := len(head.Publishes); n > keptPublishes {
		head.Publishes = head.Publishes[n-keptPublishes:]
	}
	for _, v := range s.head.Teams {
		replaced := slices.ContainsFunc(versions, func(n medlargw.TeamVersion) bool { return n.Team == v.Team })
		if replaced || slices.Contains(c.dropped, v.Team) {
			head.Retired = append(head.Retired, medlargw.RetiredVersion{Version: v, At: time.Now().UTC()})
			continue
		}
		head.Teams = append(head.Teams, v)
	}
	head.Teams = append(head.Teams, versions...)
	slices.SortFunc(head.Teams, func(a, b medlargw.TeamVersion) int { return cmp.Compare(a.Team, b.Team) })
	return head
}
