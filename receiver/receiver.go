// Package receiver serves the caller API over HTTP.
//
// A request is read whole, within a bound of bytes and time, before anything
// of it is started. The answer is written when the job has ended.
package receiver

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/encoder"
	"medlargw.example/medlargw/registrar"
)

// Limits of the HTTP server.
const (
	maxHeader   = 16 << 10 // Bytes.
	idleTimeout = 2 * time.Minute
)

// Receiver is the part that serves callers.
type Receiver struct {
	log      *zap.Logger
	registry *registrar.Registrar
	settings medlargw.Settings
	tls      *tls.Config
	encoder  *encoder.Encoder

	submitter  medlargw.Submitter
	redeemer   medlargw.Redeemer
	configured medlargw.Configured
	listener   net.Listener
	server     *http.Server
	serving    conc.WaitGroup
	leave      sync.Once
	stopping   chan struct{}
	done       chan struct{}
}

var (
	_ medlargw.Part   = (*Receiver)(nil)
	_ medlargw.Leaver = (*Receiver)(nil)
)

// New returns a receiver that has not started. A nil TLS configuration serves
// plain HTTP.
func New(log *zap.Logger, reg *registrar.Registrar, settings medlargw.Settings, tlsConfig *tls.Config) *Receiver {
	return &Receiver{
		log:      log.Named("receiver"),
		registry: reg,
		settings: settings,
		tls:      tlsConfig,
		encoder:  encoder.New(settings.Intake),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// Name returns "receiver".
func (*Receiver) Name() string { return "receiver" }

// Addr returns the address that is served; it is known once started.
func (rc *Receiver) Addr() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(rc.listener.Addr().String())
	return addr
}

// Start listens and serves.
func (rc *Receiver) Start(ctx context.Context) error {
	var err error
	if rc.submitter, err = registrar.Find[medlargw.Submitter](rc.registry, "dispatcher"); err != nil {
		return err
	}
	if rc.configured, err = registrar.Find[medlargw.Configured](rc.registry, "watcher"); err != nil {
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
		Handler:           rc.closing(rc.routes()),
		TLSConfig:         rc.tls,
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: rc.settings.Intake.Read,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(rc.log),
	}
	rc.serving.Go(rc.serve)
	return nil
}

func (rc *Receiver) serve() {
	var err error
	if rc.tls != nil {
		err = rc.server.ServeTLS(rc.listener, "", "")
	} else {
		err = rc.server.Serve(rc.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		rc.log.Error("serving ended", zap.Error(err))
	}
}

// Leave says not ready, so that the balancer sends no more, and has callers
// close their connections after their answers.
func (rc *Receiver) Leave(context.Context) error {
	rc.leave.Do(func() { close(rc.stopping) })
	return nil
}

// closing has callers close their connections while the entry is leaving, so
// that none is left on which a request could cross the listener's end.
func (rc *Receiver) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-rc.stopping:
			w.Header().Set("Connection", "close")
		default:
		}
		next.ServeHTTP(w, r)
	})
}

// Stop says not ready, lets the running requests end, and closes the listener.
func (rc *Receiver) Stop(ctx context.Context) error {
	defer close(rc.done)
	_ = rc.Leave(ctx)
	err := rc.server.Shutdown(ctx)
	rc.serving.Wait()
	return err
}

// Done is closed when the last request has ended.
func (rc *Receiver) Done() <-chan struct{} { return rc.done }

func (rc *Receiver) routes() http.Handler {
	routes := httprouter.New()
	routes.POST("/v1/jobs", rc.submit)
	routes.POST("/v1/tickets", rc.mint)
	routes.GET("/v1/jobs/:ticket", rc.fetch)
	routes.DELETE("/v1/jobs/:ticket", rc.cancel)
	routes.GET("/healthz", rc.healthy)
	routes.GET("/readyz", rc.ready)
	routes.NotFound = rc.astray(medlargw.CodeUnknownPage, "there is no such page")
	routes.MethodNotAllowed = rc.astray(medlargw.CodeWrongMethod, "the page doesn't take this method")
	return routes
}

// astray refuses what no page serves, in the form of all refusals.
func (rc *Receiver) astray(code medlargw.Code, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		rc.refuse(w, &medlargw.Refused{Code: code, Message: message})
	})
}

func (rc *Receiver) healthy(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusNoContent)
}

func (rc *Receiver) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	select {
	case <-rc.stopping:
		rc.refuse(w, &medlargw.Refused{Code: medlargw.CodeStopping, Message: "the entry is stopping"})
		return
	default:
	}
	if rc.configured.Config() == nil {
		rc.refuse(w, noConfig())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func noConfig() *medlargw.Refused {
	return &medlargw.Refused{
		Code:       medlargw.CodeNotReady,
		Message:    "no configuration yet: neither the store nor a peer has answered",
		RetryAfter: time.Second,
	}
}

// read returns the whole body within the bounds of size and time.
func (rc *Receiver) read(w http.ResponseWriter, r *http.Request) ([]byte, *medlargw.Refused) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(rc.settings.Intake.Read))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rc.settings.Intake.Body))
	if err != nil {
		// The rest of the body is not waited for, and the deadline stays, so that
		// the server does not wait for it either.
		w.Header().Set("Connection", "close")
		return nil, rc.unread(err)
	}
	// Without a deadline again, the server notices when the caller goes away.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// unread says why a body was not read.
func (rc *Receiver) unread(err error) *medlargw.Refused {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		message := "the body has more than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
		return &medlargw.Refused{Code: medlargw.CodeTooLarge, Message: message}
	case errors.As(err, &timeout) && timeout.Timeout():
		message := "the body did not arrive within " + rc.settings.Intake.Read.String()
		return &medlargw.Refused{Code: medlargw.CodeTooSlow, Message: message}
	}
	return &medlargw.Refused{Code: medlargw.CodeBadRequest, Message: "the body was cut short"}
}

func (rc *Receiver) refuse(w http.ResponseWriter, refused *medlargw.Refused) {
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
		rc.log.Debug("caller gone before its answer", zap.Error(err))
	}
}
