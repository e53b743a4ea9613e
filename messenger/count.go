package messenger

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
)

// counters count what is exchanged with peers. Bytes are those of HTTP, without
// the headers of the layers below.
type counters struct {
	in      metrics.Counter
	out     metrics.Counter
	served  metrics.Counter
	carried metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		in:      metrics.GetOrRegisterCounter("peer-bytes.in", r),
		out:     metrics.GetOrRegisterCounter("peer-bytes.out", r),
		served:  metrics.GetOrRegisterCounter("peer-requests.in", r),
		carried: metrics.GetOrRegisterCounter("peer-requests.out", r),
	}
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	counters counters
}

// Read reads and counts.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.in.Inc(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.out.Inc(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	counters counters
}

// Accept accepts a connection whose bytes are counted.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counters: l.counters}, nil
}

// dial opens a connection whose bytes are counted.
func (c counters) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: headerTimeout}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counters: c}, nil
}
