package dialer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// listen returns the address of a listener that accepts all connections.
func listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepting conc.WaitGroup
	accepting.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		accepting.Wait()
	})
	return l.Addr().String()
}

// TestLimit guards against clients that take all descriptors of the process, and against
// room that is lost or given back twice.
func TestLimit(t *testing.T) {
	const limit = 2
	addr, other := listen(t), listen(t)
	d := New(20*time.Millisecond, limit)
	var conns []net.Conn
	for _, to := range []string{addr, other} {
		c, err := d.DialContext(t.Context(), "tcp", to)
		if err != nil {
			t.Fatalf("dial within the limit: %v", err)
		}
		conns = append(conns, c)
	}
	if _, err := d.DialContext(t.Context(), "tcp", addr); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("dial beyond the limit: got %v, want %v", err, context.DeadlineExceeded)
	}
	_ = conns[0].Close()
	_ = conns[0].Close()
	if _, err := d.DialContext(t.Context(), "tcp", "127.0.0.1:0"); err == nil {
		t.Error("dial of no address: got none, want an error")
	}
	c, err := d.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatalf("dial after a connection was closed: %v", err)
	}
	if _, err := d.DialContext(t.Context(), "tcp", addr); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("dial beyond the limit: got %v, want %v", err, context.DeadlineExceeded)
	}
	d.CloseIdle = func() { _ = c.Close() }
	if _, err := d.DialContext(t.Context(), "tcp", addr); err != nil {
		t.Errorf("dial with an idle connection: got %v, want no error", err)
	}
}
