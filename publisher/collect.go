package publisher

import (
	"context"
	"errors"
	"slices"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

// Bounds of the collection that goes with each publish.
const (
	// retiredFor is how long a value outlives the last head that named it. An
	// entry reads the values right after the head, and one that comes later
	// finds the value missing and reads the head again.
	retiredFor = time.Hour
	maxDeletes = 16 // Values deleted by one publish.
	maxRetired = 512
)

// collect deletes the values that were retired long ago and returns those that
// stay listed. Values that no head names are added, for a publisher may have
// stopped between its two writes. It is best effort: what fails is left to the
// next publish.
func (p *Publisher) collect(ctx context.Context, s *snapshot, head medlargw.Head) []medlargw.RetiredVersion {
	now := time.Now().UTC()
	gone := p.deleteOld(ctx, s, now)
	kept := slices.DeleteFunc(slices.Clone(head.Retired), func(r medlargw.RetiredVersion) bool {
		return slices.Contains(gone, r.Version)
	})
	return p.addOrphans(head, kept, now)
}

// deleteOld deletes values that the snapshot's head lists as retired, and
// returns those that are gone. A value leaves the list only after its delete,
// and only then may its name be used anew. So the revisions are read first, and
// used only if the head still lists the values after that.
func (p *Publisher) deleteOld(ctx context.Context, s *snapshot, now time.Time) []medlargw.TeamVersion {
	var old []medlargw.TeamVersion
	var revisions []uint64
	for _, r := range s.head.Retired {
		if now.Sub(r.At) < retiredFor || len(old) == maxDeletes {
			continue
		}
		entry, err := p.store.Get(ctx, p.conv.TeamKey(r.Version))
		if err == nil || errors.Is(err, medlargw.ErrNotFound) {
			old = append(old, r.Version)
			revisions = append(revisions, entry.Revision)
		}
	}
	if len(old) == 0 || !p.unchanged(ctx, s) {
		return nil
	}
	var gone []medlargw.TeamVersion
	for i, v := range old {
		if revisions[i] == 0 || p.store.Delete(ctx, p.conv.TeamKey(v), revisions[i]) == nil {
			gone = append(gone, v)
		}
	}
	return gone
}

// unchanged reports whether the head is still the snapshot's.
func (p *Publisher) unchanged(ctx context.Context, s *snapshot) bool {
	entry, err := p.store.Get(ctx, converter.HeadKey)
	return err == nil && entry.Revision == s.revision
}

// addOrphans adds the values that no head names. One that another publisher is
// about to name may be among them: whichever of the two swaps comes second
// fails, and its publisher reads the head again.
func (p *Publisher) addOrphans(
	head medlargw.Head,
	kept []medlargw.RetiredVersion,
	now time.Time,
) []medlargw.RetiredVersion {
	for _, v := range p.listed {
		listed := slices.ContainsFunc(head.Retired, func(r medlargw.RetiredVersion) bool { return r.Version == v })
		if listed || slices.Contains(head.Teams, v) || len(kept) >= maxRetired {
			continue
		}
		kept = append(kept, medlargw.RetiredVersion{Version: v, At: now})
	}
	return kept
}
