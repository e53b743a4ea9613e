// Package messenger implements the RPCs between entries over Twirp, as client
// and as server.
//
// Each request carries an HMAC of its path and body under a key derived from
// the deployment's key, so that only requests of entries of the same deployment
// are accepted. A long one carries a second HMAC, of its length and the first one, which is
// verified before it is read. The package converts between the domain messages and the
// generated types of package wire.
package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/shedder"
)

// Limits of the HTTP server and client.
const (
	maxHeaderBytes   = 8 << 10
	headerTimeout    = 5 * time.Second
	idleTimeout      = time.Minute
	shutdownTimeout  = time.Second
	maxCachedClients = 1024            // One client per peer.
	maxConnsPerPeer  = 64              // For HTTP/1.1; a burst of calls from one home takes about ten.
	maxPingInterval  = 2 * time.Second // Longest idle time of a connection before an HTTP/2 ping.
)

// Messenger is the component that calls the other entries and serves their
// calls.
type Messenger struct {
	log      *zap.Logger
	registry *registrar.Registrar
	settings medlargw.Settings
	signer   signer
	counters counters
	shedder  *shedder.Shedder
	client   *http.Client
	handlers handlers
	listener net.Listener
	server   *http.Server
	serving  conc.WaitGroup
	done     chan struct{}

	mu      sync.Mutex
	clients map[netip.AddrPort]wire.Entry
}

var (
	_ medlargw.Component = (*Messenger)(nil)
	_ medlargw.Messenger = (*Messenger)(nil)
)

// New returns a messenger that has not started.
func New(
	log *zap.Logger,
	reg *registrar.Registrar,
	settings medlargw.Settings,
	registry metrics.Registry,
) *Messenger {
	count := newCounters(registry)
	// ping is both the idle time before an HTTP/2 ping and the time to wait for
	// its answer before the connection is closed.
	ping := min(settings.Group.Suspect/2, maxPingInterval)
	transport := &http.Transport{
		DialContext:         count.dial,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxConnsPerPeer,
		DisableCompression:  true,
		Protocols:           protocols(settings.Group.HTTP),
		HTTP2:               &http.HTTP2Config{SendPingTimeout: ping, PingTimeout: ping},
	}
	if settings.Group.HTTP == 1 {
		transport.MaxConnsPerHost = maxConnsPerPeer // HTTP/2 multiplexes all requests over one connection.
	}
	return &Messenger{
		log:      log.Named("messenger"),
		registry: reg,
		settings: settings,
		signer:   newSigner(settings.Key),
		counters: count,
		shedder:  shedder.New(log, "peers", settings.Capacity.ConnectionLimits(medlargw.ListenerPeers, maxUnprovenBytes), registry),
		client:   &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		done:     make(chan struct{}),
		clients:  map[netip.AddrPort]wire.Entry{},
	}
}

// protocols returns the protocol set for the given major versions of HTTP over
// plain TCP. HTTP/2 sends fewer bytes, since it compresses the headers, which
// are nearly the same in all messages. HTTP/1.1 takes fewer system calls per
// message.
func protocols(versions ...int) *http.Protocols {
	var p http.Protocols
	for _, version := range versions {
		if version == 1 {
			p.SetHTTP1(true)
		} else {
			p.SetUnencryptedHTTP2(true)
		}
	}
	return &p
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Name returns "messenger".
func (*Messenger) Name() string { return "messenger" }

// Addr returns the listening address. It must not be called before Start.
func (m *Messenger) Addr() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(m.listener.Addr().String())
	return addr
}

// Start listens for the requests of peers and serves them.
func (m *Messenger) Start(ctx context.Context) error {
	m.handlers = findHandlers(m.registry)
	var lc net.ListenConfig
	var err error
	m.listener, err = lc.Listen(ctx, "tcp", m.settings.Listen.Peers.String())
	if err != nil {
		return err
	}
	m.server = &http.Server{
		Handler:           m.signer.verify(m.counters, m.shedder, wire.NewEntryServer(&server{handlers: m.handlers})),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout,
		Protocols:         protocols(1, 2),
		ErrorLog:          zap.NewStdLog(m.log),
	}
	m.shedder.AddContext(m.server)
	m.serving.Go(m.serve)
	return nil
}

func (m *Messenger) serve() {
	counted := &countingListener{Listener: m.listener, counters: m.counters}
	if err := m.server.Serve(m.shedder.Listen(counted)); !errors.Is(err, http.ErrServerClosed) {
		m.log.Error("HTTP server failed", zap.Error(err))
	}
}

// Stop closes the listener and waits for the running requests of peers.
func (m *Messenger) Stop(ctx context.Context) error {
	defer close(m.done)
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := m.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = m.server.Close() // Only connections without a request are left.
	}
	m.serving.Wait()
	m.client.CloseIdleConnections()
	return err
}

// Done returns a channel that is closed when the last request has ended.
func (m *Messenger) Done() <-chan struct{} { return m.done }

// clientFor returns the cached client for the peer, or creates it.
func (m *Messenger) clientFor(to netip.AddrPort) wire.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.clients[to]
	if c != nil {
		return c
	}
	if len(m.clients) >= maxCachedClients {
		clear(m.clients)
	}
	c = wire.NewEntryProtobufClient("http://"+to.String(), &signingClient{signer: m.signer, client: m.client, counters: m.counters})
	m.clients[to] = c
	return c
}

// Heartbeat sends a heartbeat and returns the one that the peer answers with.
func (m *Messenger) Heartbeat(ctx context.Context, to netip.AddrPort, b medlargw.Heartbeat) (medlargw.Heartbeat, error) {
	reply, err := m.clientFor(to).Beat(ctx, encodeHeartbeat(&b))
	if err != nil {
		return medlargw.Heartbeat{}, err
	}
	return decodeHeartbeat(reply), nil
}

// Borrow requests loans from a peer.
func (m *Messenger) Borrow(
	ctx context.Context,
	to netip.AddrPort,
	r medlargw.BorrowRequest,
) (medlargw.BorrowReply, error) {
	reply, err := m.clientFor(to).Borrow(ctx, encodeBorrowRequest(&r))
	if err != nil {
		return medlargw.BorrowReply{}, err
	}
	return decodeBorrowReply(reply), nil
}

// Fetch requests state from a peer.
func (m *Messenger) Fetch(
	ctx context.Context,
	to netip.AddrPort,
	r medlargw.FetchRequest,
) (medlargw.FetchReply, error) {
	reply, err := m.clientFor(to).Fetch(ctx, &wire.FetchRequest{
		Kind: string(r.Kind), Version: r.Version, Protocol: int32(r.Protocol),
	})
	var refusal twirp.Error
	if errors.As(err, &refusal) && refusal.Code() == twirp.Unimplemented {
		err = fmt.Errorf("%w: %w", medlargw.ErrUnknownFetch, err)
	}
	if err != nil {
		return medlargw.FetchReply{}, err
	}
	return decodeFetchReply(reply)
}

// Forward passes a request with a ticket to the home of the ticket.
func (m *Messenger) Forward(
	ctx context.Context,
	to netip.AddrPort,
	r medlargw.ForwardRequest,
) (medlargw.ForwardReply, error) {
	reply, err := m.clientFor(to).Forward(ctx, encodeForwardRequest(&r))
	if err != nil {
		return medlargw.ForwardReply{}, err
	}
	return decodeForwardReply(reply), nil
}

// Handover sends the used tickets of this entry to its successor.
func (m *Messenger) Handover(ctx context.Context, to netip.AddrPort, h medlargw.Handover) error {
	_, err := m.clientFor(to).Handover(ctx, encodeHandover(&h))
	return err
}
