package messenger

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// brittleConn is a connection that a peer has reset, unnoticed until the next write. That
// one fails after some bytes.
type brittleConn struct {
	net.Conn
	reset  *atomic.Bool // Breaks the connections that are open when it is set.
	passes int          // Bytes that the failing write still passes on.
}

func (c *brittleConn) Write(b []byte) (int, error) {
	if !c.reset.Load() {
		return c.Conn.Write(b)
	}
	n, err := c.Conn.Write(b[:c.passes])
	if err == nil {
		err = syscall.ECONNRESET
	}
	return n, err
}

// TestMessageAfterReset guards against a message that is late, such as a cancel, since
// the idle connections to the peer were reset: it is sent on another connection, unless
// the peer may have got a part of it.
func TestMessageAfterReset(t *testing.T) {
	tests := []struct {
		name   string
		passes int
		want   int64 // Messages that the peer has got.
	}{
		{"nothing was sent", 0, 2},
		{"a part was sent", 10, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			received, reset := atomic.Int64{}, &atomic.Bool{}
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
			defer server.Close()
			transport := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				if reset.Load() {
					return conn, err
				}
				return &brittleConn{Conn: conn, reset: reset, passes: test.passes}, err
			}}
			defer transport.CloseIdleConnections()
			c := &signingClient{signer: newSigner("key"), client: &http.Client{Transport: transport}, counters: newCounters(metrics.NewRegistry())}
			send := func() error {
				r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+"/message", bytes.NewBufferString("message"))
				if err != nil {
					t.Fatal(err)
				}
				resp, err := c.Do(r)
				if err == nil {
					err = resp.Body.Close()
				}
				return err
			}
			if err := send(); err != nil {
				t.Fatal(err)
			}
			reset.Store(true)
			err := send()
			if got := received.Load(); got != test.want || (err == nil) != (test.want == 2) {
				t.Errorf("messages received: got %d and error %v, want %d", got, err, test.want)
			}
		})
	}
}
