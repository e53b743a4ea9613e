package tracker

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// Least numbers of rounds between two fetches of views.
const (
	minFetchRounds     = 2 // Of any peers. A view that differs is one of many while entries start or stop.
	minPeerFetchRounds = 5 // Of the same peer.
)

// newHeartbeat returns the heartbeat to send now.
func (t *Tracker) newHeartbeat(now time.Time, digest medlargw.Digest) medlargw.Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest.Heard = t.view.sightings(now)
	return medlargw.Heartbeat{
		From:     t.view.self,
		Digest:   digest,
		Changed:  t.view.recentChanges(now),
		ViewHash: t.view.hash(),
	}
}

// sendHeartbeat sends one heartbeat and applies the reply.
func (t *Tracker) sendHeartbeat(ctx context.Context, to netip.AddrPort, digest medlargw.Digest) {
	ctx, cancel := context.WithTimeout(ctx, t.heartbeatTimeout(to))
	defer cancel()
	reply, err := t.messenger.Heartbeat(ctx, to, t.newHeartbeat(time.Now(), digest))
	if err != nil {
		if ctx.Err() == nil {
			t.log.Debug("heartbeat to a peer failed", zap.Stringer("peer", to), zap.Error(err))
		}
		return
	}
	t.applyHeartbeat(&reply)
	if t.shouldFetch(to, reply.ViewHash) {
		t.fetchView(ctx, to)
	}
}

// heartbeatTimeout returns how long to wait for the answer to a heartbeat: longer
// if this entry or the peer lags, so that the answer still counts.
func (t *Tracker) heartbeatTimeout(to netip.AddrPort) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	lag := t.view.lag
	for _, p := range t.view.peers {
		if p.member.Addr == to && p.member.State != medlargw.MemberGone {
			lag += p.digest.Lag
		}
	}
	group := &t.settings.Group
	return group.Beat + min(lag, t.settings.Lease.Lag, max(0, group.Suspect-group.Beat))
}

// applyHeartbeat applies a peer's heartbeat and passes its digest to the
// observers.
func (t *Tracker) applyHeartbeat(b *medlargw.Heartbeat) {
	now := time.Now()
	t.updateView(func(v *view) {
		v.applyMessage(now, &b.From, b.Changed)
		v.confirmZone(now, b)
		if p := v.peers[b.From.Incarnation]; p != nil {
			p.digest = b.Digest
		}
		v.applySightings(now, b.Digest.Heard)
	})
	for _, o := range t.heartbeatObservers {
		o.HeartbeatReceived(b.From, b.Digest)
	}
}

// HandleHeartbeat answers a peer's heartbeat.
func (t *Tracker) HandleHeartbeat(ctx context.Context, b medlargw.Heartbeat) (medlargw.Heartbeat, error) {
	select {
	case <-t.started:
	default:
		return medlargw.Heartbeat{}, errNotStarted
	}
	t.applyHeartbeat(&b)
	return t.newHeartbeat(time.Now(), t.ownDigest(ctx)), nil
}

// shouldFetch reports whether the peer's view differs and was not fetched
// recently.
func (t *Tracker) shouldFetch(from netip.AddrPort, view uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	beat := t.settings.Group.Beat
	if view == t.view.hash() || now.Sub(t.lastAnyFetch) < minFetchRounds*beat || now.Sub(t.lastFetch[from]) < minPeerFetchRounds*beat {
		return false
	}
	if len(t.lastFetch) >= maxPeers {
		clear(t.lastFetch)
	}
	t.lastFetch[from] = now
	t.lastAnyFetch = now
	return true
}

// GossipNow sends a heartbeat at once to the peers of the zone whose
// configuration or host list is older, and to one such peer in each other zone.
func (t *Tracker) GossipNow() {
	select {
	case <-t.started:
	default:
		return
	}
	t.spawner.Go(func(ctx context.Context) {
		digest := t.ownDigest(ctx)
		t.mu.Lock()
		to := t.view.laggingAddrs(&digest)
		t.mu.Unlock()
		for _, addr := range to {
			t.spawner.Go(func(ctx context.Context) { t.sendHeartbeat(ctx, addr, digest) })
		}
	})
}
