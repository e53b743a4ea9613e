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

// Leave tells the peers that this entry is leaving, and who will have its used
// tickets. It goes on serving them.
func (t *Tracker) Leave(ctx context.Context) error {
	successor, _ := t.successor()
	t.announce(ctx, func(m *medlargw.Member) {
		m.State = medlargw.MemberLeaving
		m.Successor = successor.Host
	})
	t.log.Info("leaving", zap.String("successor", string(successor.Host)))
	return nil
}

// Stop hands the used tickets over, tells the peers that this entry is gone and
// ends the heartbeats.
func (t *Tracker) Stop(ctx context.Context) error {
	defer close(t.done)
	t.cancel()
	t.running.Wait()
	err := t.handOver(ctx)
	t.announce(ctx, func(m *medlargw.Member) { m.State = medlargw.MemberGone })
	return err
}

// handOver gives the used tickets to the successor.
func (t *Tracker) handOver(ctx context.Context) error {
	if t.forward == nil {
		return nil
	}
	used := t.forward.Used()
	if len(used) == 0 {
		return nil
	}
	successor, ok := t.successor()
	if !ok {
		t.log.Warn("used tickets are lost: no successor", zap.Int("tickets", len(used)))
		return nil
	}
	h := medlargw.Handover{Host: t.settings.Host, Incarnation: t.incarnation, Used: used}
	if err := t.messenger.Handover(ctx, successor.Addr, h); err != nil {
		t.log.Error("used tickets are lost", zap.Int("tickets", len(used)), zap.Error(err))
		return err
	}
	t.change(func(v *view) {
		v.setSelf(func(m *medlargw.Member) { m.Successor = successor.Host })
	})
	t.log.Info("used tickets handed over", zap.Int("tickets", len(used)))
	return nil
}

// successor returns the live member that takes over this entry's used tickets:
// the one already named, or else one of the zone, or else any.
func (t *Tracker) successor() (medlargw.Member, bool) {
	named := t.Self().Successor
	var best medlargw.Member
	var bestScore uint64
	for _, m := range t.Members()[1:] {
		if !m.Serving() {
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

// announce changes the own state and tells all members at once.
func (t *Tracker) announce(ctx context.Context, change func(m *medlargw.Member)) {
	ctx, cancel := context.WithTimeout(ctx, t.settings.Group.Beat)
	defer cancel()
	t.change(func(v *view) { v.setSelf(change) })
	b := t.message(time.Now(), t.digest(ctx))
	var sending conc.WaitGroup
	defer sending.Wait()
	for _, m := range t.Members()[1:] {
		if m.State != medlargw.MemberGone {
			sending.Go(func() { t.tell(ctx, m.Addr, b) })
		}
	}
}

func (t *Tracker) tell(ctx context.Context, to netip.AddrPort, b medlargw.Beat) {
	if _, err := t.messenger.Beat(ctx, to, b); err != nil {
		t.log.Debug("announcement not answered", zap.Stringer("peer", to), zap.Error(err))
	}
}
