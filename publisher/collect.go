package publisher

import (
	"context"
	"errors"
	"slices"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

// Limits of the garbage collection that runs with each publish.
const (
	// retentionPeriod is how long a value is kept after the head stops
	// referencing it. An entry reads the values right after the head; one that
	// reads them later than that may find a value missing, and then reads the
	// head again.
	retentionPeriod      = time.Hour
	maxDeletesPerPublish = 16
	maxRetiredVersions   = 512
)

// collectGarbage deletes the values whose retention period has ended and
// returns the new list of retired versions. Values in the store that no head
// references are added to the list: a publisher may have stopped after it wrote
// a value and before it wrote the head. Collection is best effort: a delete
// that fails is left to the next publish.
func (p *Publisher) collectGarbage(ctx context.Context, s *snapshot, head medlargw.ConfigHead) []medlargw.RetiredVersion {
	now := time.Now().UTC()
	deleted := p.deleteExpired(ctx, s, now)
	retired := slices.DeleteFunc(slices.Clone(head.Retired), func(r medlargw.RetiredVersion) bool {
		return slices.Contains(deleted, r.Version)
	})
	return p.addUnreferenced(head, retired, now)
}

// deleteExpired deletes expired values among the retired versions of the
// snapshot's head and returns the versions that no longer exist. A version is
// removed from the list only after its value was deleted, and only then may the
// same key be written again. Therefore the revisions are read first, and are
// used for the deletes only if the head has not changed since the snapshot.
func (p *Publisher) deleteExpired(ctx context.Context, s *snapshot, now time.Time) []medlargw.TeamVersion {
	var expired []medlargw.TeamVersion
	var revisions []uint64
	for _, r := range s.head.Retired {
		if now.Sub(r.RetiredAt) < retentionPeriod || len(expired) == maxDeletesPerPublish {
			continue
		}
		kv, err := p.store.Get(ctx, p.conv.TeamKey(r.Version))
		if err == nil || errors.Is(err, medlargw.ErrNotFound) {
			expired = append(expired, r.Version)
			revisions = append(revisions, kv.Revision)
		}
	}
	if len(expired) == 0 || !p.headUnchanged(ctx, s) {
		return nil
	}
	var deleted []medlargw.TeamVersion
	for i, v := range expired {
		if revisions[i] == 0 || p.store.Delete(ctx, p.conv.TeamKey(v), revisions[i]) == nil {
			deleted = append(deleted, v)
		}
	}
	return deleted
}

// headUnchanged reports whether the head in the store is still that of the
// snapshot.
func (p *Publisher) headUnchanged(ctx context.Context, s *snapshot) bool {
	kv, err := p.store.Get(ctx, converter.HeadKey)
	return err == nil && kv.Revision == s.revision
}

// addUnreferenced adds the stored versions that the head neither references nor
// lists as retired. Another publisher may be about to reference one of them: in
// that case the second of the two swaps of the head fails, and its publisher
// reads the head again.
func (p *Publisher) addUnreferenced(
	head medlargw.ConfigHead,
	retired []medlargw.RetiredVersion,
	now time.Time,
) []medlargw.RetiredVersion {
	for _, v := range p.storedVersions {
		listed := slices.ContainsFunc(head.Retired, func(r medlargw.RetiredVersion) bool { return r.Version == v })
		if listed || slices.Contains(head.Teams, v) || len(retired) >= maxRetiredVersions {
			continue
		}
		retired = append(retired, medlargw.RetiredVersion{Version: v, RetiredAt: now})
	}
	return retired
}
