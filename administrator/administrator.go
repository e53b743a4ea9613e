// Package administrator serves operators over HTTP, on a listener and with a
// key of its own.
//
// Answers are JSON; docs/admin-api.md lists the requests. It only reads the
// state of the other parts and passes on two actions: to set a target aside and
// to change the level of the log.
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
	"medlargw.example/medlargw/exporter"
	"medlargw.example/medlargw/registrar"
)

// Limits of the HTTP server.
const (
	maxHeader   = 16 << 10 // Bytes.
	maxBody     = 4 << 10  // Bytes.
	readTimeout = 10 * time.Second
	idleTimeout = time.Minute
)

// followTime is how exactly the start of a generation is known.
const followTime = time.Second

// Administrator is the part that serves operators.
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

	inspector  medlargw.Inspector
	configured medlargw.Configured
	burner     medlargw.Burner
	members    medlargw.Members        // Nil when there is no part "tracker".
	tickets    medlargw.ForwardHandler // Nil when there is no part "keeper".

	started  time.Time
	inForce  atomic.Pointer[change]
	listener net.Listener
	server   *http.Server
	serving  conc.WaitGroup
	cancel   context.CancelFunc
	done     chan struct{}
}

// change is when a generation was first seen in force.
type change struct {
	generation uint64
	at         time.Time
}

var _ medlargw.Part = (*Administrator)(nil)

// New returns an administrator that has not started. A nil TLS configuration
// serves plain HTTP.
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

// Addr returns the address that is served; until started, that of the settings.
func (a *Administrator) Addr() netip.AddrPort {
	if a.listener == nil {
		return a.settings.Listen.Admin
	}
	addr, _ := netip.ParseAddrPort(a.listener.Addr().String())
	return addr
}

// Start listens and serves.
func (a *Administrator) Start(ctx context.Context) error {
	if err := a.find(); err != nil {
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
		TLSConfig:         a.tls,
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(a.log),
	}
	follow, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.serving.Go(a.serve)
	a.serving.Go(func() { a.follow(follow) })
	return nil
}

// find looks up the parts that are shown.
func (a *Administrator) find() error {
	var err error
	if a.inspector, err = registrar.Find[medlargw.Inspector](a.registry, "dispatcher"); err != nil {
		return err
	}
	if a.configured, err = registrar.Find[medlargw.Configured](a.registry, "watcher"); err != nil {
		return err
	}
	if a.burner, err = registrar.Find[medlargw.Burner](a.registry, "reporter"); err != nil {
		return err
	}
	a.members, _ = registrar.Find[medlargw.Members](a.registry, "tracker")
	a.tickets, _ = registrar.Find[medlargw.ForwardHandler](a.registry, "keeper")
	return nil
}

func (a *Administrator) serve() {
	var err error
	if a.tls != nil {
		err = a.server.ServeTLS(a.listener, "", "")
	} else {
		err = a.server.Serve(a.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		a.log.Error("serving ended", zap.Error(err))
	}
}

// follow notes when a generation comes into force.
func (a *Administrator) follow(ctx context.Context) {
	ticker := time.NewTicker(followTime)
	defer ticker.Stop()
	for {
		a.note(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Administrator) note(now time.Time) {
	cfg := a.configured.Config()
	if cfg == nil {
		return
	}
	if last := a.inForce.Load(); last == nil || last.generation != cfg.Generation {
		a.inForce.Store(&change{generation: cfg.Generation, at: now})
	}
}

// Stop lets the running requests end and closes the listener.
func (a *Administrator) Stop(ctx context.Context) error {
	defer close(a.done)
	a.cancel()
	err := a.server.Shutdown(ctx)
	a.serving.Wait()
	return err
}

// Done is closed when the last request has ended.
func (a *Administrator) Done() <-chan struct{} { return a.done }

func (a *Administrator) routes() http.Handler {
	routes := httprouter.New()
	routes.GET("/admin/v1/status", a.showStatus)
	for _, part := range []string{"config", "members", "targets", "queues", "limits", "loans"} {
		routes.GET("/admin/v1/"+part, a.showPart(part))
	}
	routes.GET("/admin/v1/jobs/:ticket", a.showJob)
	routes.GET("/admin/v1/metrics", a.showMetrics)
	routes.GET("/admin/v1/burn", a.showBurn)
	routes.GET("/admin/v1/log", a.showLog)
	routes.PUT("/admin/v1/log", a.setLog)
	routes.PUT("/admin/v1/targets/:name", a.setTarget)
	routes.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a.refuse(w, http.StatusNotFound, codeUnknown, "no such page")
	})
	routes.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a.refuse(w, http.StatusMethodNotAllowed, medlargw.CodeBadRequest, "the page doesn't take this method")
	})
	return routes
}

// authenticate passes on requests that carry the administration key. The time
// it takes does not depend on how much of a key is right.
func (a *Administrator) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(a.settings.Admin)) != 1 {
			metrics.GetOrRegisterCounter("admin.unauthorized", a.metrics).Inc(1)
			a.log.Warn("request with a wrong key", zap.String("from", r.RemoteAddr))
			a.refuse(w, http.StatusUnauthorized, medlargw.CodeUnauthorized, "the administration key is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}
