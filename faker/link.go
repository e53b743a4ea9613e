package faker

import (
	"context"
	"net/netip"

	"github.com/sourcegraph/conc"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// link is the part "messenger" of one entry.
type link struct {
	net      *Faker
	registry *registrar.Registrar
	addr     netip.AddrPort

	beat    medlargw.BeatHandler
	borrow  medlargw.BorrowHandler
	forward medlargw.ForwardHandler
	fetch   map[medlargw.FetchKind]medlargw.FetchHandler

	ctx     context.Context //nolint:containedctx // Ends with the part.
	cancel  context.CancelFunc
	running conc.WaitGroup
	done    chan struct{}
}

var (
	_ medlargw.Part      = (*link)(nil)
	_ medlargw.Messenger = (*link)(nil)
)

// Name returns "messenger".
func (*link) Name() string { return "messenger" }

// Addr returns the address on the network.
func (l *link) Addr() netip.AddrPort { return l.addr }

// Start joins the network.
func (l *link) Start(context.Context) error {
	l.beat, _ = registrar.Find[medlargw.BeatHandler](l.registry, "tracker")
	l.borrow, _ = registrar.Find[medlargw.BorrowHandler](l.registry, "dispatcher")
	l.forward, _ = registrar.Find[medlargw.ForwardHandler](l.registry, "keeper")
	l.fetch = map[medlargw.FetchKind]medlargw.FetchHandler{}
	for kind, name := range map[medlargw.FetchKind]string{
		medlargw.FetchConfig:  "watcher",
		medlargw.FetchHosts:   "assigner",
		medlargw.FetchMembers: "tracker",
	} {
		if h, err := registrar.Find[medlargw.FetchHandler](l.registry, name); err == nil {
			l.fetch[kind] = h
		}
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	l.net.links[l.addr] = l
	return nil
}

// Stop leaves the network.
func (l *link) Stop(context.Context) error {
	defer close(l.done)
	l.net.mu.Lock()
	if l.net.links[l.addr] == l {
		delete(l.net.links, l.addr)
	}
	l.net.mu.Unlock()
	l.cancel()
	l.running.Wait()
	return nil
}

// Done is closed when the last double has been handled.
func (l *link) Done() <-chan struct{} { return l.done }

func (l *link) serving() bool { return l.ctx.Err() == nil }

// Beat sends a heartbeat.
func (l *link) Beat(ctx context.Context, to netip.AddrPort, b medlargw.Beat) (medlargw.Beat, error) {
	return carry(ctx, l, to, b, func(peer *link) func(context.Context, medlargw.Beat) (medlargw.Beat, error) {
		if peer.beat == nil {
			return nil
		}
		return peer.beat.HandleBeat
	})
}

// Borrow asks a peer for loans.
func (l *link) Borrow(
	ctx context.Context, to netip.AddrPort, r medlargw.BorrowRequest,
) (medlargw.BorrowReply, error) {
	return carry(ctx, l, to, r,
		func(peer *link) func(context.Context, medlargw.BorrowRequest) (medlargw.BorrowReply, error) {
			if peer.borrow == nil {
				return nil
			}
			return peer.borrow.HandleBorrow
		})
}

// Fetch asks a peer for state.
func (l *link) Fetch(ctx context.Context, to netip.AddrPort, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	return carry(ctx, l, to, r,
		func(peer *link) func(context.Context, medlargw.FetchRequest) (medlargw.FetchReply, error) {
			if h := peer.fetch[r.Kind]; h != nil {
				return h.HandleFetch
			}
			return nil
		})
}

// Forward passes a ticketed request on.
func (l *link) Forward(
	ctx context.Context, to netip.AddrPort, r medlargw.ForwardRequest,
) (medlargw.ForwardReply, error) {
	return carry(ctx, l, to, r,
		func(peer *link) func(context.Context, medlargw.ForwardRequest) (medlargw.ForwardReply, error) {
			if peer.forward == nil {
				return nil
			}
			return peer.forward.HandleForward
		})
}

// Handover gives used tickets to a successor.
func (l *link) Handover(ctx context.Context, to netip.AddrPort, h medlargw.Handover) error {
	_, err := carry(ctx, l, to, h,
		func(peer *link) func(context.Context, medlargw.Handover) (struct{}, error) {
			if peer.forward == nil {
				return nil
			}
			return func(ctx context.Context, h medlargw.Handover) (struct{}, error) {
				return struct{}{}, peer.forward.HandleHandover(ctx, h)
			}
		})
	return err
}
