package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// Redeem serves the request here if this entry is the home of its ticket or has
// a record of it, and forwards it to the home otherwise.
func (k *Keeper) Redeem(ctx context.Context, r medlargw.ForwardRequest) medlargw.ForwardReply {
	t, refused := k.verifyTicket(&r)
	if refused != nil {
		return k.refusedReply(refused)
	}
	if k.minter.IsHome(&t) || k.hasRecord(&t) || k.members == nil || k.messenger == nil {
		return k.serve(ctx, &t, &r)
	}
	return k.forward(ctx, &t, r)
}

func (k *Keeper) hasRecord(t *medlargw.Ticket) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.records[t.Random] != nil
}

// findHome returns the entry to forward a request with the ticket to, or nil if
// none is known.
func findHome(all []medlargw.Member, t *medlargw.Ticket) *medlargw.Member {
	home := findIncarnation(all, t)
	if home != nil && (home.State != medlargw.MemberGone || home.Successor != "") {
		return home
	}
	// Ask another incarnation that runs on the home's host: the membership may
	// be out of date, and a running incarnation proves that the earlier one has
	// ended.
	if current := findMemberNotGone(all, t.Home); current != nil {
		return current
	}
	return home
}

// forward passes the request to the home, or to the successor of a home that
// has left. Only these two know whether the ticket was used, so the reply is
// uncertain if neither answers.
func (k *Keeper) forward(ctx context.Context, t *medlargw.Ticket, r medlargw.ForwardRequest) medlargw.ForwardReply {
	all := k.members.Members()
	home := findHome(all, t)
	if home == nil {
		return k.serve(ctx, t, &r)
	}
	if home.State != medlargw.MemberGone {
		reply, err := k.messenger.Forward(ctx, home.Addr, r)
		if err == nil {
			return reply
		}
		k.log.Warn("forwarding to the home of a ticket failed", zap.String("home", string(home.Host)), zap.Error(err))
	}
	if successor := findMemberNotGone(all, home.Successor); successor != nil {
		return k.forwardToSuccessor(ctx, successor, t, r)
	}
	return k.uncertainReply(medlargw.CodeHomeUnreachable, "the ticket's home can't be reached; ask again with the same ticket", time.Second)
}

func (k *Keeper) forwardToSuccessor(ctx context.Context, to *medlargw.Member, t *medlargw.Ticket, r medlargw.ForwardRequest) medlargw.ForwardReply {
	if to.Host == k.settings.Host {
		return k.serve(ctx, t, &r)
	}
	reply, err := k.messenger.Forward(ctx, to.Addr, r)
	if err != nil {
		k.log.Warn("forwarding to the successor of a ticket's home failed", zap.String("successor", string(to.Host)), zap.Error(err))
		return k.uncertainReply(medlargw.CodeHomeUnreachable, "the successor of the ticket's home can't be reached", time.Second)
	}
	return reply
}

// findIncarnation returns the member that is the home of the ticket, or nil.
func findIncarnation(all []medlargw.Member, t *medlargw.Ticket) *medlargw.Member {
	for i := range all {
		if all[i].Host == t.Home && all[i].Incarnation == t.Incarnation {
			return &all[i]
		}
	}
	return nil
}

// findMemberNotGone returns the member on the host that is not gone, or nil.
func findMemberNotGone(all []medlargw.Member, host medlargw.HostName) *medlargw.Member {
	for i := range all {
		if host != "" && all[i].Host == host && all[i].State != medlargw.MemberGone {
			return &all[i]
		}
	}
	return nil
}
