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

// writeTeam writes the value of one team and returns its version. If that
// version is retired, or the key holds other content with the same hash,
// writeTeam adds a salt to the value, which gives another hash.
func (p *Publisher) writeTeam(
	ctx context.Context,
	s *snapshot,
	t *medlargw.TeamConfig,
) (medlargw.TeamVersion, error) {
	for _, salt := range []string{"", p.publishID, p.publishID + "-2"} {
		value, err := p.conv.EncodeTeamWithSalt(*t, salt)
		if err != nil {
			return medlargw.TeamVersion{}, err
		}
		v := medlargw.TeamVersion{Team: t.Team.Name, Hash: p.conv.Hash(value)}
		if s.isRetired(v) {
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
	return medlargw.TeamVersion{}, fmt.Errorf("%w: all candidate versions are retired or taken", errRetry)
}

// writeValue writes the value unless its key exists, and reports whether the
// key holds the value afterwards.
func (p *Publisher) writeValue(ctx context.Context, v medlargw.TeamVersion, value []byte) (bool, error) {
	_, err := p.store.Put(ctx, p.conv.TeamKey(v), value, 0)
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, medlargw.ErrConflict) {
		return false, fmt.Errorf("%w: %w", errRetry, err)
	}
	kv, err := p.store.Get(ctx, p.conv.TeamKey(v))
	if err != nil {
		return false, fmt.Errorf("%w: %w", errRetry, err)
	}
	return bytes.Equal(kv.Value, value), nil
}

// swapHead replaces the head by compare-and-swap, which activates the changes,
// and returns the new generation.
func (p *Publisher) swapHead(
	ctx context.Context,
	s *snapshot,
	c changeSet,
	versions []medlargw.TeamVersion,
) (uint64, error) {
	head := p.nextHead(s, c, versions)
	head.Retired = p.collectGarbage(ctx, s, head)
	value, err := p.conv.EncodeHead(head)
	if err != nil {
		return 0, err
	}
	_, err = p.store.Put(ctx, converter.HeadKey, value, s.revision)
	if errors.Is(err, medlargw.ErrConflict) {
		return 0, fmt.Errorf("write head: %w: %w", errRetry, err)
	}
	if err != nil {
		p.uncertainGeneration = head.Generation
		return 0, fmt.Errorf("write head: %w: %w", errRetry, err)
	}
	p.uncertainGeneration = 0
	return head.Generation, nil
}

// nextHead returns the head that results from applying the changes to the
// snapshot.
func (p *Publisher) nextHead(s *snapshot, c changeSet, versions []medlargw.TeamVersion) medlargw.ConfigHead {
	head := medlargw.ConfigHead{
		Generation: s.head.Generation + 1,
		PublishIDs: append(slices.Clone(s.head.PublishIDs), p.publishID),
		Retired:    slices.Clone(s.head.Retired),
		Evacuated:  s.head.Evacuated,
	}
	if used := max(p.UsedGeneration, p.highestGeneration); head.Generation <= used {
		// Each ID in the list stands for one of consecutive generations, so the
		// list restarts after a gap.
		head.Generation, head.PublishIDs = used+1, []string{p.publishID}
	}
	if n := len(head.PublishIDs); n > maxPublishIDs {
		head.PublishIDs = head.PublishIDs[n-maxPublishIDs:]
	}
	for _, v := range s.head.Teams {
		replaced := slices.ContainsFunc(versions, func(n medlargw.TeamVersion) bool { return n.Team == v.Team })
		if replaced || slices.Contains(c.removed, v.Team) {
			head.Retired = append(head.Retired, medlargw.RetiredVersion{Version: v, RetiredAt: time.Now().UTC()})
			continue
		}
		head.Teams = append(head.Teams, v)
	}
	head.Teams = append(head.Teams, versions...)
	slices.SortFunc(head.Teams, func(a, b medlargw.TeamVersion) int { return cmp.Compare(a.Team, b.Team) })
	return head
}
