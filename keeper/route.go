package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// Redeem serves the request here if this entry is the home of its ticket or
// remembers it, and has the home serve it otherwise.
func (k *Keeper) Redeem(ctx context.Context, r medlargw.ForwardRequest) medlargw.ForwardReply {
	t, refused := k.open(&r)
	if refused != nil {
		return k.refusal(refused)
	}
	if k.minter.Own(&t) || k.remembers(&t) || k.members == nil || k.messenger == nil {
		return k.serve(ctx, &t, &r)
	}
	return k.forward(ctx, &t, r)
}

func (k *Keeper) remembers(t *medlargw.Ticket) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.records[t.Random] != nil
}

// homeOf returns the entry to ask about a ticket, or nil.
func homeOf(all []medlargw.Member, t *medlargw.Ticket) *medlargw.Member {
	home := incarnationOf(all, t)
	if home != nil && (home.State != medlargw.MemberGone || home.Successor != "") {
		return home
	}
	// Another incarnation of the host knows better: a view may lag behind, and an
	// incarnation that runs proves that the earlier one has ended.
	if again := livingHost(all, t.Home); again != nil {
		return again
	}
	return home
}

// forward asks the home, or the successor of a home that has left. Only these
// two can tell what became of the ticket, so any other end is in doubt.
func (k *Keeper) forward(ctx context.Context, t *medlargw.Ticket, r medlargw.ForwardRequest) medlargw.ForwardReply {
	all := k.members.Members()
	home := homeOf(all, t)
	if home == nil {
		return k.serve(ctx, t, &r)
	}
	if home.State != medlargw.MemberGone {
		reply, err := k.messenger.Forward(ctx, home.Addr, r)
		if err == nil {
			return reply
		}
		k.log.Warn("home of a ticket not reached", zap.String("home", string(home.Host)), zap.Error(err))
	}
	if successor := livingHost(all, home.Successor); successor != nil {
		return k.askSuccessor(ctx, successor, t, r)
	}
	return k.doubt(medlargw.CodeHomeCutOff, "the ticket's home can't be reached; ask again with the same ticket", time.Second)
}

func (k *Keeper) askSuccessor(ctx context.Context, to *medlargw.Member, t *medlargw.Ticket, r medlargw.ForwardRequest) medlargw.ForwardReply {
	if to.Host == k.settings.Host {
		return k.serve(ctx, t, &r)
	}
	reply, err := k.messenger.Forward(ctx, to.Addr, r)
	if err != nil {
		k.log.Warn("successor of a home not reached", zap.String("successor", string(to.Host)), zap.Error(err))
		return k.doubt(medlargw.CodeHomeCutOff, "the successor of the ticket's home can't be reached", time.Second)
	}
	return reply
}

// incarnationOf returns the ticket's home, or nil when it is not known.
func incarnationOf(all []medlargw.Member, t *medlargw.Ticket) *medlargw.Member {
	for i := range all {
		if all[i].Host == t.Home && all[i].Incarnation == t.Incarnation {
			return &all[i]
		}
	}
	return nil
}

// livingHost returns the member of that name that is not gone, or nil.
func livingHost(all []medlargw.Member, host medlargw.HostName) *medlargw.Member {
	for i := range all {
		if host != "" && all[i].Host == host && all[i].State != medlargw.MemberGone {
			return &all[i]
		}
	}
	return nil
}
