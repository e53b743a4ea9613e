package faker

import (
	"context"
	"net/netip"

	"github.com/sourcegraph/conc"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// endpoint is the component "messenger" of one entry.
type endpoint struct {
	network  *Faker
	registry *registrar.Registrar
	addr     netip.AddrPort

	heartbeat medlargw.HeartbeatHandler
	borrow    medlargw.BorrowHandler
	forward   medlargw.ForwardHandler
	fetch     map[medlargw.FetchKind]medlargw.FetchHandler

	ctx        context.Context //nolint:containedctx // Ends when the component stops.
	cancel     context.CancelFunc
	duplicates conc.WaitGroup
	done       chan struct{}
}

var (
	_ medlargw.Component = (*endpoint)(nil)
	_ medlargw.Messenger = (*endpoint)(nil)
)

// Name returns "messenger".
func (*endpoint) Name() string { return "messenger" }

// Addr returns the address of the endpoint on the network.
func (e *endpoint) Addr() netip.AddrPort { return e.addr }

// Start adds the endpoint to the network.
func (e *endpoint) Start(context.Context) error {
	e.heartbeat, _ = registrar.Find[medlargw.HeartbeatHandler](e.registry, "tracker")
	e.borrow, _ = registrar.Find[medlargw.BorrowHandler](e.registry, "dispatcher")
	e.forward, _ = registrar.Find[medlargw.ForwardHandler](e.registry, "keeper")
	e.fetch = map[medlargw.FetchKind]medlargw.FetchHandler{}
	for kind, name := range map[medlargw.FetchKind]string{
		medlargw.FetchConfig:  "watcher",
		medlargw.FetchHosts:   "assigner",
		medlargw.FetchReports: "assigner",
		medlargw.FetchMembers: "tracker",
	} {
		if h, err := registrar.Find[medlargw.FetchHandler](e.registry, name); err == nil {
			e.fetch[kind] = h
		}
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.endpoints[e.addr] = e
	return nil
}

// Stop removes the endpoint from the network and waits for the duplicates that
// are still being handled.
func (e *endpoint) Stop(context.Context) error {
	defer close(e.done)
	e.network.mu.Lock()
	if e.network.endpoints[e.addr] == e {
		delete(e.network.endpoints, e.addr)
	}
	e.network.mu.Unlock()
	e.cancel()
	e.duplicates.Wait()
	return nil
}

// Done returns a channel that is closed when the last duplicate has been
// handled.
func (e *endpoint) Done() <-chan struct{} { return e.done }

func (e *endpoint) serving() bool { return e.ctx.Err() == nil }

// Heartbeat sends a heartbeat.
func (e *endpoint) Heartbeat(ctx context.Context, to netip.AddrPort, b medlargw.Heartbeat) (medlargw.Heartbeat, error) {
	return call(ctx, e, to, b, func(peer *endpoint) func(context.Context, medlargw.Heartbeat) (medlargw.Heartbeat, error) {
		if peer.heartbeat == nil {
			return nil
		}
		return peer.heartbeat.HandleHeartbeat
	})
}

// Borrow requests loans from a peer.
func (e *endpoint) Borrow(
	ctx context.Context, to netip.AddrPort, r medlargw.BorrowRequest,
) (medlargw.BorrowReply, error) {
	return call(ctx, e, to, r,
		func(peer *endpoint) func(context.Context, medlargw.BorrowRequest) (medlargw.BorrowReply, error) {
			if peer.borrow == nil {
				return nil
			}
			return peer.borrow.HandleBorrow
		})
}

// Fetch requests state from a peer.
func (e *endpoint) Fetch(ctx context.Context, to netip.AddrPort, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	return call(ctx, e, to, r,
		func(peer *endpoint) func(context.Context, medlargw.FetchRequest) (medlargw.FetchReply, error) {
			if h := peer.fetch[r.Kind]; h != nil {
				return h.HandleFetch
			}
			return nil
		})
}

// Forward passes a request with a ticket to the home of the ticket.
func (e *endpoint) Forward(
	ctx context.Context, to netip.AddrPort, r medlargw.ForwardRequest,
) (medlargw.ForwardReply, error) {
	return call(ctx, e, to, r,
		func(peer *endpoint) func(context.Context, medlargw.ForwardRequest) (medlargw.ForwardReply, error) {
			if peer.forward == nil {
				return nil
			}
			return peer.forward.HandleForward
		})
}

// Handover sends used tickets to a successor.
func (e *endpoint) Handover(ctx context.Context, to netip.AddrPort, h medlargw.Handover) error {
	_, err := call(ctx, e, to, h,
		func(peer *endpoint) func(context.Context, medlargw.Handover) (struct{}, error) {
			if peer.forward == nil {
				return nil
			}
			return func(ctx context.Context, h medlargw.Handover) (struct{}, error) {
				return struct{}{}, peer.forward.HandleHandover(ctx, h)
			}
		})
	return err
}
