// Package messenger carries messages between the entries by twirp, as client
// and as server.
//
// Each request is signed with the deployment's key over its path and body, so
// that only entries of the deployment are heard. The generated code in package
// wire is mapped to the domain messages by hand.
package messenger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
	"medlargw.example/medlargw/registrar"
)

// Limits of the HTTP server and client.
const (
	maxHeader     = 8 << 10 // Bytes.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	stopTimeout   = time.Second
	maxClients    = 1024            // Peers whose clients are kept.
	maxConns      = 64              // To one peer with HTTP/1.1; a burst of a home needs some ten.
	maxPing       = 2 * time.Second // Longest silence of a connection before it is probed.
)

// Messenger is the part that reaches the other entries and serves them.
type Messenger struct {
	log      *zap.Logger
	registry *registrar.Registrar
	settings medlargw.Settings
	signer   signer
	counters counters
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
	_ medlargw.Part      = (*Messenger)(nil)
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
	ping := min(settings.Group.Suspect/2, maxPing) // Silence before a probe, and then before the connection is given up.
	transport := &http.Transport{
		DialContext:         count.dial,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxConns,
		DisableCompression:  true,
		Protocols:           protocols(settings.Group.HTTP),
		HTTP2:               &http.HTTP2Config{SendPingTimeout: ping, PingTimeout: ping},
	}
	if settings.Group.HTTP == 1 {
		transport.MaxConnsPerHost = maxConns // One of HTTP/2 carries all.
	}
	return &Messenger{
		log:      log.Named("messenger"),
		registry: reg,
		settings: settings,
		signer:   newSigner(settings.Key),
		counters: count,
		client:   &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		done:     make(chan struct{}),
		clients:  map[netip.AddrPort]wire.Entry{},
	}
}

// protocols returns the protocols of some versions of HTTP over TCP. The
// compression of HTTP/2 leaves little of the headers, which are alike in all
// messages; HTTP/1.1 takes fewer system calls for a message.
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

// Addr returns the address that is served; it is known once started.
func (m *Messenger) Addr() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(m.listener.Addr().String())
	return addr
}

// Start listens and serves the peers.
func (m *Messenger) Start(ctx context.Context) error {
	m.handlers = findHandlers(m.registry)
	var lc net.ListenConfig
	var err error
	m.listener, err = lc.Listen(ctx, "tcp", m.settings.Listen.Peers.String())
	if err != nil {
		return err
	}
	m.server = &http.Server{
		Handler:           m.signer.verify(m.counters, wire.NewEntryServer(&server{handlers: m.handlers})),
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout,
		Protocols:         protocols(1, 2),
		ErrorLog:          zap.NewStdLog(m.log),
	}
	m.serving.Go(m.serve)
	return nil
}

func (m *Messenger) serve() {
	counted := &countedListener{Listener: m.listener, counters: m.counters}
	if err := m.server.Serve(counted); !errors.Is(err, http.ErrServerClosed) {
		m.log.Error("serving ended", zap.Error(err))
	}
}

// Stop lets the running requests of peers end and closes the listener.
func (m *Messenger) Stop(ctx context.Context) error {
	defer close(m.done)
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := m.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = m.server.Close() // What is left are connections without a request.
	}
	m.serving.Wait()
	m.client.CloseIdleConnections()
	return err
}

// Done is closed when the last request has ended.
func (m *Messenger) Done() <-chan struct{} { return m.done }

// peer returns the client of one peer.
func (m *Messenger) peer(to netip.AddrPort) wire.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.clients[to]
	if c != nil {
		return c
	}
	if len(m.clients) >= maxClients {
		clear(m.clients)
	}
	c = wire.NewEntryProtobufClient("http://"+to.String(), &signingClient{signer: m.signer, client: m.client, counters: m.counters})
	m.clients[to] = c
	return c
}

// Beat sends a heartbeat and returns the peer's.
func (m *Messenger) Beat(ctx context.Context, to netip.AddrPort, b medlargw.Beat) (medlargw.Beat, error) {
	reply, err := m.peer(to).Beat(ctx, encodeBeat(&b))
	if err != nil {
		return medlargw.Beat{}, err
	}
	return decodeBeat(reply), nil
}

// Borrow asks a peer for loans.
func (m *Messenger) Borrow(
	ctx context.Context,
	to netip.AddrPort,
	r medlargw.BorrowRequest,
) (medlargw.BorrowReply, error) {
	reply, err := m.peer(to).Borrow(ctx, encodeBorrowRequest(&r))
	if err != nil {
		return medlargw.BorrowReply{}, err
	}
	return decodeBorrowReply(reply), nil
}

// Fetch asks a peer for state.
func (m *Messenger) Fetch(
	ctx context.Context,
	to netip.AddrPort,
	r medlargw.FetchRequest,
) (medlargw.FetchReply, error) {
	reply, err := m.peer(to).Fetch(ctx, &wire.FetchRequest{Kind: string(r.Kind), Version: r.Version})
	if err != nil {
		return medlargw.FetchReply{}, err
	}
	return medlargw.FetchReply{Version: reply.Version, Body: reply.Body}, nil
}

// Forward passes a ticketed request to its home.
func (m *Messenger) Forward(
	ctx context.Context,
	to netip.AddrPort,
	r medlargw.ForwardRequest,
) (medlargw.ForwardReply, error) {
	reply, err := m.peer(to).Forward(ctx, encodeForwardRequest(&r))
	if err != nil {
		return medlargw.ForwardReply{}, err
	}
	return decodeForwardReply(reply), nil
}

// Handover gives used tickets to a successor.
func (m *Messenger) Handover(ctx context.Context, to netip.AddrPort, h medlargw.Handover) error {
	_, err := m.peer(to).Handover(ctx, encodeHandover(&h))
	return err
}
