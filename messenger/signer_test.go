package messenger

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/shedder"
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

// TestMessagesOfStrangers guards against messages that are read, to any length and for any
// time, before their sender has shown that it knows the key.
func TestMessagesOfStrangers(t *testing.T) {
	const path = "/message"
	key, other := newSigner("key"), newSigner("another key")
	long := bytes.Repeat([]byte("x"), minProvenBytes)
	tests := []struct {
		name string
		by   signer // Of the signature; its zero value signs nothing.
		// proof returns the proof; nil is none.
		proof  func(signature string) string
		body   []byte // That is sent.
		length int    // That is stated.
		want   int
		read   bool // The message may be read.
	}{
		{"short", key, nil, []byte("x"), 1, http.StatusOK, true},
		{"short, unsigned", signer{}, nil, []byte("x"), 1, http.StatusUnauthorized, true},
		{"short, of another key", other, nil, []byte("x"), 1, http.StatusUnauthorized, true},
		{"long", key, func(s string) string { return key.prove(path, int64(len(long)), s) }, long, len(long), http.StatusOK, true},
		{"long, of a former build", key, nil, long, len(long), http.StatusOK, true},
		{"too long for a former build", signer{}, nil, nil, maxUnprovenBytes + 1, http.StatusUnauthorized, false},
		{"proof of another key", other, func(s string) string { return other.prove(path, int64(len(long)), s) }, nil, len(long), http.StatusUnauthorized, false},
		{"proof of another length", key, func(s string) string { return key.prove(path, 1, s) }, nil, len(long), http.StatusUnauthorized, false},
		{"proof of another path", key, func(s string) string { return key.prove("/other", int64(len(long)), s) }, nil, len(long), http.StatusUnauthorized, false},
		{"proof of another signature", key, func(string) string { return key.prove(path, int64(len(long)), "x") }, nil, len(long), http.StatusUnauthorized, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			guard := shedder.New(zap.NewNop(), "test", medlargw.ConnectionLimits{}, metrics.NewRegistry())
			handler := key.verify(newCounters(metrics.NewRegistry()), guard, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if got, _ := io.ReadAll(r.Body); !bytes.Equal(got, test.body) {
					t.Errorf("message: got %d bytes, want %d", len(got), len(test.body))
				}
			}))
			body := &countingReader{r: bytes.NewReader(test.body)}
			r := httptest.NewRequest(http.MethodPost, path, body)
			r.ContentLength = int64(test.length)
			signature := ""
			if test.by.key != nil {
				signature = test.by.sign(path, test.body)
			}
			r.Header.Set(headerSignature, signature)
			if test.proof != nil {
				r.Header.Set(headerProof, test.proof(signature))
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if got := w.Code; got != test.want {
				t.Errorf("status: got %d, want %d", got, test.want)
			}
			if got := body.reads > 0; got != test.read {
				t.Errorf("message read: got %v, want %v", got, test.read)
			}
		})
	}
}

// countingReader counts reads.
type countingReader struct {
	r     io.Reader
	reads int
}

func (c *countingReader) Read(b []byte) (int, error) {
	c.reads++
	return c.r.Read(b)
}

// TestLongMessageIsProven checks that the client sends a proof with long messages alone.
func TestLongMessageIsProven(t *testing.T) {
	for _, n := range []int{minProvenBytes - 1, minProvenBytes} {
		var got bool
		s := newSigner("key")
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got, _ = s.isProven(r) }))
		c := &signingClient{signer: s, client: server.Client(), counters: newCounters(metrics.NewRegistry())}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/message", bytes.NewReader(make([]byte, n)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := c.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		server.Close()
		if want := n >= minProvenBytes; got != want {
			t.Errorf("message of %d bytes: got proven %v, want %v", n, got, want)
		}
	}
}
