package tracker

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// fetchPause is the number of turns between two fetches of one peer's view.
const fetchPause = 5

// message returns the heartbeat to send now.
func (t *Tracker) message(now time.Time, digest medlargw.Digest) medlargw.Beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	return medlargw.Beat{
		From:    t.view.self,
		Digest:  digest,
		Changed: t.view.recent(now),
		View:    t.view.hash(),
	}
}

// beat sends one heartbeat and takes the answer.
func (t *Tracker) beat(ctx context.Context, to netip.AddrPort, digest medlargw.Digest) {
	ctx, cancel := context.WithTimeout(ctx, t.settings.Group.Beat)
	defer cancel()
	reply, err := t.messenger.Beat(ctx, to, t.message(time.Now(), digest))
	if err != nil {
		if ctx.Err() == nil {
			t.log.Debug("heartbeat not answered", zap.Stringer("peer", to), zap.Error(err))
		}
		return
	}
	t.heard(&reply)
	if t.shouldFetch(to, reply.View) {
		t.fetch(ctx, to)
	}
}

// heard takes a heartbeat, and tells the observers of its digest.
func (t *Tracker) heard(b *medlargw.Beat) {
	now := time.Now()
	t.change(func(v *view) {
		v.hear(now, &b.From, b.Changed)
		v.agree(now, b)
		if p := v.peers[b.From.Incarnation]; p != nil {
			p.digest = b.Digest
		}
	})
	for _, o := range t.observers {
		o.HeardBeat(b.From, b.Digest)
	}
}

// HandleBeat answers a peer's heartbeat.
func (t *Tracker) HandleBeat(ctx context.Context, b medlargw.Beat) (medlargw.Beat, error) {
	select {
	case <-t.started:
	default:
		return medlargw.Beat{}, errNotStarted
	}
	t.heard(&b)
	return t.message(time.Now(), t.digest(ctx)), nil
}

// shouldFetch reports whether the peer's view differs and was not fetched
// lately.
func (t *Tracker) shouldFetch(from netip.AddrPort, view uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if view == t.view.hash() || now.Sub(t.fetched[from]) < fetchPause*t.settings.Group.Beat {
		return false
	}
	if len(t.fetched) >= maxPeers {
		clear(t.fetched)
	}
	t.fetched[from] = now
	return true
}

// Spread sends a heartbeat at once to the peers of the zone that are behind,
// and to one that is behind in each other zone.
func (t *Tracker) Spread() {
	select {
	case <-t.started:
	default:
		return
	}
	t.running.Go(func() {
		digest := t.digest(t.ctx)
		t.mu.Lock()
		to := t.view.behind(&digest)
		t.mu.Unlock()
		for _, addr := range to {
			t.running.Go(func() { t.beat(t.ctx, addr, digest) })
		}
	})
}
