package shedder

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// TestTrustedConnectionsAreNotShed guards against strangers that keep peers out.
func TestTrustedConnectionsAreNotShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts := metrics.NewRegistry()
		s := New(zap.NewNop(), "test", medlargw.ConnectionLimits{Conns: 2, Bytes: 20_000}, counts)
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/peer" {
				s.Trust(r.Context())
			}
			_, _ = io.Copy(io.Discard, r.Body) // Fails for a connection that is shed.
		})}
		s.AddContext(server)
		var serving conc.WaitGroup
		serving.Go(func() { _ = server.Serve(s.Listen(l)) })
		defer serving.Wait()
		defer func() { _ = server.Close() }()
		ts := &testServer{t: t, shedder: s, listener: l}
		peer := ts.dial("POST /peer HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 19_999))
		for range 5 {
			time.Sleep(2 * time.Second)
			ts.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 19_999))
		}
		if got := peer.status(); got != -1 {
			t.Errorf("connection of a peer: got status %d, want it open", got)
		}
		peer.send("x")
		if got := peer.status(); got != http.StatusOK {
			t.Errorf("connection of a peer: got status %d, want 200", got)
		}
		if got := ts.open(); got != 0 {
			t.Errorf("connections of strangers: got %d, want 0", got)
		}
	})
}

// TestAcceptEndsWhileConnectionsAreShed guards against a stop that waits for connections
// that are being closed.
func TestAcceptEndsWhileConnectionsAreShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(zap.NewNop(), "test", medlargw.ConnectionLimits{Conns: 1}, metrics.NewRegistry())
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		wrapped := s.Listen(l)
		ctx, cancel := context.WithCancel(t.Context())
		var accepting conc.WaitGroup
		accepting.Go(func() {
			defer cancel()
			for {
				if _, err := wrapped.Accept(); err != nil {
					return
				}
			}
		})
		for range 2 {
			ours, theirs := net.Pipe()
			defer func() { _ = ours.Close() }()
			l.conns <- theirs
		}
		synctest.Wait()
		_ = wrapped.Close()
		synctest.Wait()
		if ctx.Err() == nil {
			t.Error("accept: got none, want an error after the end of the listener")
		}
		accepting.Wait()
	})
}
