// Package administrator serves operators over HTTP. It has its own listener and
// its own key.
//
// Responses are JSON; docs/admin-api.md lists the requests. The package only
// reads the state of the other components, except for two actions: to set a
// target aside or back, and to change the log level.
package administrator

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/describer"
	"medlargw.example/medlargw/drainer"
	"medlargw.example/medlargw/exporter"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/shedder"
)

// Limits of the HTTP server.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = time.Minute
)

// followInterval is the interval at which the generation in force is read, and
// thus the precision of its start time.
const followInterval = time.Second

// Administrator is the component that serves operators.
type Administrator struct {
	log      *zap.Logger
	registry *registrar.Registrar
	settings medlargw.Settings
	tls      *tls.Config
	metrics  metrics.Registry
	level    zap.AtomicLevel
	version  string
	describe describer.Describer
	export   *exporter.Exporter

	inspector      medlargw.Inspector
	configSource   medlargw.ConfigSource
	burnInspector  medlargw.BurnInspector
	members        medlargw.Members        // Nil when there is no component "tracker".
	forwardHandler medlargw.ForwardHandler // Nil when there is no component "keeper".

	started  time.Time
	inForce  atomic.Pointer[generationStart]
	listener net.Listener
	server   *http.Server
	drainer  *drainer.Drainer
	serving  conc.WaitGroup
	cancel   context.CancelFunc
	done     chan struct{}
}

// generationStart is a generation and the time when it was first seen in force.
type generationStart struct {
	generation uint64
	at         time.Time
}

var _ medlargw.Component = (*Administrator)(nil)

// New returns an administrator that has not started. If the TLS configuration is
// nil, it serves plain HTTP.
func New(
	log *zap.Logger,
	reg *registrar.Registrar,
	settings medlargw.Settings,
	tlsConfig *tls.Config,
	registry metrics.Registry,
	level zap.AtomicLevel,
	version string,
) *Administrator {
	return &Administrator{
		log:      log.Named("administrator"),
		registry: reg,
		settings: settings,
		tls:      tlsConfig,
		metrics:  registry,
		level:    level,
		version:  version,
		export:   exporter.New(registry),
		done:     make(chan struct{}),
	}
}

// Name returns "administrator".
func (*Administrator) Name() string { return "administrator" }

// Addr returns the address of the listener, or that of the settings before Start.
func (a *Administrator) Addr() netip.AddrPort {
	if a.listener == nil {
		return a.settings.Listen.Admin
	}
	addr, _ := netip.ParseAddrPort(a.listener.Addr().String())
	return addr
}

// Start finds the other components, listens and serves requests.
func (a *Administrator) Start(ctx context.Context) error {
	if err := a.findComponents(); err != nil {
		return err
	}
	a.started = time.Now()
	var lc net.ListenConfig
	var err error
	if a.listener, err = lc.Listen(ctx, "tcp", a.settings.Listen.Admin.String()); err != nil {
		return err
	}
	a.server = &http.Server{
		Handler:           a.authenticate(a.routes()),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(a.log),
	}
	guard := shedder.New(a.log, "operators", a.settings.Capacity.ConnectionLimits(medlargw.ListenerOperators, maxBodyBytes), a.metrics)
	guard.Protect(a.server)
	a.drainer = drainer.New(a.server, guard.ListenTLS(a.listener, a.tls))
	follow, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.serving.Go(a.serve)
	a.serving.Go(func() { a.follow(follow) })
	return nil
}

// findComponents finds the components whose state is shown.
func (a *Administrator) findComponents() error {
	var err error
	if a.inspector, err = registrar.Find[medlargw.Inspector](a.registry, "dispatcher"); err != nil {
		return err
	}
	if a.configSource, err = registrar.Find[medlargw.ConfigSource](a.registry, "watcher"); err != nil {
		return err
	}
	if a.burnInspector, err = registrar.Find[medlargw.BurnInspector](a.registry, "reporter"); err != nil {
		return err
	}
	a.members, _ = registrar.Find[medlargw.Members](a.registry, "tracker")
	a.forwardHandler, _ = registrar.Find[medlargw.ForwardHandler](a.registry, "keeper")
	return nil
}

func (a *Administrator) serve() {
	if err := a.server.Serve(a.drainer); !errors.Is(err, http.ErrServerClosed) {
		a.log.Error("HTTP server failed", zap.Error(err))
	}
}

// follow records the start times of generations until the context ends.
func (a *Administrator) follow(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		a.recordGeneration(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// recordGeneration records the time as the start of the generation in force,
// unless the start is known already.
func (a *Administrator) recordGeneration(now time.Time) {
	cfg := a.configSource.Config()
	if cfg == nil {
		return
	}
	if last := a.inForce.Load(); last == nil || last.generation != cfg.Generation {
		a.inForce.Store(&generationStart{generation: cfg.Generation, at: now})
	}
}

// Stop closes the listener and waits for the running requests to end.
func (a *Administrator) Stop(ctx context.Context) error {
	defer close(a.done)
	a.cancel()
	err := a.drainer.Drain(ctx)
	a.serving.Wait()
	return err
}

// Done is closed when the last request has ended.
func (a *Administrator) Done() <-chan struct{} { return a.done }

func (a *Administrator) routes() http.Handler {
	routes := httprouter.New()
	routes.GET("/admin/v1/status", a.showStatus)
	for _, section := range []string{"config", "members", "targets", "queues", "limits", "loans"} {
		routes.GET("/admin/v1/"+section, a.showSection(section))
	}
	routes.GET("/admin/v1/jobs/:ticket", a.showJob)
	routes.GET("/admin/v1/metrics", a.showMetrics)
	routes.GET("/admin/v1/burn", a.showBurn)
	routes.GET("/admin/v1/log", a.showLog)
	routes.PUT("/admin/v1/log", a.setLog)
	routes.PUT("/admin/v1/targets/:name", a.setTarget)
	routes.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a.writeProblem(w, http.StatusNotFound, codeUnknownPage, "no such page")
	})
	routes.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a.writeProblem(w, http.StatusMethodNotAllowed, medlargw.CodeBadRequest, "the page doesn't take this method")
	})
	return routes
}

// authenticate passes requests with the administration key to next and rejects
// all others. The comparison takes constant time, so that its duration does not
// reveal how much of a key is right.
func (a *Administrator) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(a.settings.Admin)) != 1 {
			metrics.GetOrRegisterCounter("admin.unauthorized", a.metrics).Inc(1)
			a.log.Warn("request with a wrong key", zap.String("from", r.RemoteAddr))
			a.writeProblem(w, http.StatusUnauthorized, medlargw.CodeUnauthorized, "the administration key is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}
