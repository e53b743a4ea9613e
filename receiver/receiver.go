// Package receiver serves the caller API over HTTP.
//
// The body of a request is read completely, within limits of size and time,
// before a job is started. The answer is written when the job has ended.
package receiver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/drainer"
	"medlargw.example/medlargw/encoder"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/shedder"
)

// Limits of the HTTP server.
const (
	maxHeaderBytes = 16 << 10
	idleTimeout    = 2 * time.Minute
)

// Receiver is the component that serves callers.
type Receiver struct {
	log      *zap.Logger
	registry *registrar.Registrar
	settings medlargw.Settings
	tls      *tls.Config
	encoder  *encoder.Encoder

	submitter    medlargw.Submitter
	redeemer     medlargw.Redeemer
	configSource medlargw.ConfigSource
	listener     net.Listener
	shedder      *shedder.Shedder
	decoding     *semaphore.Weighted // In bytes of bodies.
	server       *http.Server
	drainer      *drainer.Drainer
	serving      conc.WaitGroup
	stoppingOnce sync.Once
	stopping     chan struct{}
	done         chan struct{}
}

var (
	_ medlargw.Component  = (*Receiver)(nil)
	_ medlargw.PreStopper = (*Receiver)(nil)
)

// New returns a receiver that has not started. It serves plain HTTP if the TLS
// configuration is nil.
func New(log *zap.Logger, reg *registrar.Registrar, settings medlargw.Settings, tlsConfig *tls.Config, counts metrics.Registry) *Receiver {
	return &Receiver{
		log:      log.Named("receiver"),
		registry: reg,
		settings: settings,
		tls:      tlsConfig,
		encoder:  encoder.New(settings.Intake),
		shedder:  shedder.New(log, "callers", settings.Capacity.ConnectionLimits(medlargw.ListenerCallers, settings.Intake.Body), counts),
		decoding: semaphore.NewWeighted(settings.Capacity.DecodeLimit()),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// Name returns "receiver".
func (*Receiver) Name() string { return "receiver" }

// Addr returns the listening address. It must not be called before Start.
func (rc *Receiver) Addr() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(rc.listener.Addr().String())
	return addr
}

// Start listens for requests and serves them.
func (rc *Receiver) Start(ctx context.Context) error {
	var err error
	if rc.submitter, err = registrar.Find[medlargw.Submitter](rc.registry, "dispatcher"); err != nil {
		return err
	}
	if rc.configSource, err = registrar.Find[medlargw.ConfigSource](rc.registry, "watcher"); err != nil {
		return err
	}
	if rc.redeemer, err = registrar.Find[medlargw.Redeemer](rc.registry, "keeper"); err != nil {
		return err
	}
	var lc net.ListenConfig
	rc.listener, err = lc.Listen(ctx, "tcp", rc.settings.Listen.Callers.String())
	if err != nil {
		return err
	}
	rc.server = &http.Server{
		Handler:           rc.limitUnread(rc.closeWhenStopping(rc.routes())),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: rc.settings.Intake.Read,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(rc.log),
	}
	rc.shedder.Protect(rc.server)
	rc.drainer = drainer.New(rc.server, rc.shedder.ListenTLS(rc.listener, rc.tls))
	rc.serving.Go(rc.serve)
	return nil
}

func (rc *Receiver) serve() {
	if err := rc.server.Serve(rc.drainer); !errors.Is(err, http.ErrServerClosed) {
		rc.log.Error("HTTP server failed", zap.Error(err))
	}
}

// PreStop makes the readiness check fail, so that load balancers send no more
// requests, and has callers close their connections after their answers.
func (rc *Receiver) PreStop(context.Context) error {
	rc.stoppingOnce.Do(func() { close(rc.stopping) })
	return nil
}

// closeWhenStopping asks callers to close their connections while the entry is
// leaving. Otherwise a caller could send a request on an idle connection just
// when the server closes it.
func (rc *Receiver) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-rc.stopping:
			w.Header().Set("Connection", "close")
		default:
		}
		next.ServeHTTP(w, r)
	})
}

// limitUnread bounds the time for which the server waits for the rest of the body of a
// request that is answered before. The server reads that before it sends an answer.
func (rc *Receiver) limitUnread(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rc.settings.Intake.Read))
		}
		next.ServeHTTP(w, r)
	})
}

// Stop makes the readiness check fail, closes the listener and waits for the
// running requests. If the context ends before, it cuts off what is left.
func (rc *Receiver) Stop(ctx context.Context) error {
	defer close(rc.done)
	_ = rc.PreStop(ctx)
	err := rc.drainer.Drain(ctx)
	rc.serving.Wait()
	return err
}

// Done returns a channel that is closed when the last request has ended.
func (rc *Receiver) Done() <-chan struct{} { return rc.done }

func (rc *Receiver) routes() http.Handler {
	routes := httprouter.New()
	routes.POST("/v1/jobs", rc.submit)
	routes.POST("/v1/tickets", rc.mint)
	routes.GET("/v1/jobs/:ticket", rc.fetch)
	routes.DELETE("/v1/jobs/:ticket", rc.cancel)
	routes.GET("/healthz", rc.serveHealth)
	routes.GET("/readyz", rc.serveReadiness)
	routes.NotFound = rc.problemHandler(medlargw.CodeUnknownPage, "there is no such page")
	routes.MethodNotAllowed = rc.problemHandler(medlargw.CodeWrongMethod, "the page doesn't take this method")
	return routes
}

// problemHandler returns a handler that refuses requests without a route. The
// answer has the same form as all other refusals.
func (rc *Receiver) problemHandler(code medlargw.Code, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		rc.refuse(w, &medlargw.RefusedError{Code: code, Message: message})
	})
}

func (rc *Receiver) serveHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusNoContent)
}

func (rc *Receiver) serveReadiness(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	select {
	case <-rc.stopping:
		rc.refuse(w, &medlargw.RefusedError{Code: medlargw.CodeStopping, Message: "the entry is stopping"})
		return
	default:
	}
	if rc.configSource.Config() == nil {
		rc.refuse(w, noConfigRefused())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func noConfigRefused() *medlargw.RefusedError {
	return &medlargw.RefusedError{
		Code:       medlargw.CodeNotReady,
		Message:    "no configuration yet: neither the store nor a peer has answered",
		RetryAfter: time.Second,
	}
}

// readBody returns the complete body, or an error if it exceeds the limits of
// size and time.
func (rc *Receiver) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *medlargw.RefusedError) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(rc.settings.Intake.Read))
	body, err := rc.shedder.ReadAll(http.MaxBytesReader(w, r.Body, rc.settings.Intake.Body))
	if err != nil {
		// The rest of the body is not read. The read deadline stays, so that the
		// server does not wait for the rest either.
		w.Header().Set("Connection", "close")
		return nil, rc.readErrorRefused(err)
	}
	// The server notices that the caller disconnects only without a read
	// deadline.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// readErrorRefused returns the refusal for a body that could not be read.
func (rc *Receiver) readErrorRefused(err error) *medlargw.RefusedError {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.Is(err, medlargw.ErrConnectionShed):
		return &medlargw.RefusedError{
			Code: medlargw.CodeOverloaded, Message: "the entry holds too much of unfinished requests", RetryAfter: time.Second,
		}
	case errors.As(err, &tooLarge):
		message := "the body has more than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
		return &medlargw.RefusedError{Code: medlargw.CodeTooLarge, Message: message}
	case errors.As(err, &timeout) && timeout.Timeout():
		message := "the body did not arrive within " + rc.settings.Intake.Read.String()
		return &medlargw.RefusedError{Code: medlargw.CodeTooSlow, Message: message}
	}
	return &medlargw.RefusedError{Code: medlargw.CodeBadRequest, Message: "the body was cut short"}
}

func (rc *Receiver) refuse(w http.ResponseWriter, refused *medlargw.RefusedError) {
	status, body := rc.encoder.EncodeRefused(refused)
	rc.write(w, status, body, refused.RetryAfter)
}

func (rc *Receiver) write(w http.ResponseWriter, status int, body []byte, retryAfter time.Duration) {
	contentType := "application/json"
	if status != http.StatusOK {
		contentType = "application/problem+json"
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter > 0 {
		seconds := int((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(rc.settings.Intake.Read))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		rc.log.Debug("writing the answer failed", zap.Error(err))
	}
}
