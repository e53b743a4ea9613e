package tracker

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// PreStop tells the peers that this entry is leaving, and which entry will take
// over its used tickets. This entry goes on serving them until Stop.
func (t *Tracker) PreStop(ctx context.Context) error {
	successor, _ := t.successor()
	t.announce(ctx, func(m *medlargw.Member) {
		m.State = medlargw.MemberLeaving
		m.Successor = successor.Host
	})
	t.log.Info("leaving", zap.String("successor", string(successor.Host)))
	return nil
}

// Stop ends the heartbeats, hands the used tickets over and tells the peers
// that this entry is gone.
func (t *Tracker) Stop(ctx context.Context) error {
	defer close(t.done)
	t.spawner.Stop()
	err := t.handOverTickets(ctx)
	t.announce(ctx, func(m *medlargw.Member) { m.State = medlargw.MemberGone })
	return err
}

// handOverTickets sends the used tickets to the successor.
func (t *Tracker) handOverTickets(ctx context.Context) error {
	if t.forwardHandler == nil {
		return nil
	}
	used := t.forwardHandler.UsedTickets()
	if len(used) == 0 {
		return nil
	}
	successor, ok := t.successor()
	if !ok {
		t.log.Warn("used tickets are lost: no successor", zap.Int("tickets", len(used)))
		return nil
	}
	h := medlargw.Handover{Host: t.settings.Host, Incarnation: t.incarnation, UsedTickets: used}
	if err := t.messenger.Handover(ctx, successor.Addr, h); err != nil {
		t.log.Error("used tickets are lost", zap.Int("tickets", len(used)), zap.Error(err))
		return err
	}
	t.updateView(func(v *view) {
		v.setSelf(func(m *medlargw.Member) { m.Successor = successor.Host })
	})
	t.log.Info("used tickets handed over", zap.Int("tickets", len(used)))
	return nil
}

// successor returns the live member that takes over this entry's used tickets:
// the one that was already announced, or else one of the same zone, or else
// any.
func (t *Tracker) successor() (medlargw.Member, bool) {
	named := t.Self().Successor
	var best medlargw.Member
	var bestScore uint64
	for _, m := range t.Members()[1:] {
		if !m.CanOwn() {
			continue
		}
		if m.Host == named {
			return m, true
		}
		score := xxhash.Sum64String(string(m.Host)+"/"+string(t.settings.Host)) >> 1
		if m.Zone == t.settings.Zone {
			score |= 1 << 63
		}
		if score > bestScore {
			best, bestScore = m, score
		}
	}
	return best, bestScore > 0
}

// announce changes this entry's own state and tells all members at once.
func (t *Tracker) announce(ctx context.Context, change func(m *medlargw.Member)) {
	ctx, cancel := context.WithTimeout(ctx, t.settings.Group.Beat)
	defer cancel()
	t.updateView(func(v *view) { v.setSelf(change) })
	b := t.newHeartbeat(time.Now(), t.ownDigest(ctx))
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, m := range t.Members()[1:] {
		if m.State != medlargw.MemberGone {
			wg.Go(func() { t.sendAnnouncement(ctx, m.Addr, b) })
		}
	}
}

func (t *Tracker) sendAnnouncement(ctx context.Context, to netip.AddrPort, b medlargw.Heartbeat) {
	if _, err := t.messenger.Heartbeat(ctx, to, b); err != nil {
		t.log.Debug("announcing a state change to a peer failed", zap.Stringer("peer", to), zap.Error(err))
	}
}
