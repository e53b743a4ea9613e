package messenger

import (
	"context"
	"net"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// counters count the traffic with peers. Bytes are those of the HTTP messages,
// without the overhead of TCP and IP.
type counters struct {
	registry    metrics.Registry
	bytesIn     metrics.Counter
	bytesOut    metrics.Counter
	requestsIn  metrics.Counter
	requestsOut metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		registry:    r,
		bytesIn:     metrics.GetOrRegisterCounter("peer-bytes.in", r),
		bytesOut:    metrics.GetOrRegisterCounter("peer-bytes.out", r),
		requestsIn:  metrics.GetOrRegisterCounter("peer-requests.in", r),
		requestsOut: metrics.GetOrRegisterCounter("peer-requests.out", r),
	}
}

// countCall counts a call to a peer and the bytes of its body, by kind.
func (c counters) countCall(path string, body int) {
	kind := strings.ToLower(path[strings.LastIndexByte(path, '/')+1:])
	metrics.GetOrRegisterCounter("peer-calls."+kind, c.registry).Inc(1)
	metrics.GetOrRegisterCounter("peer-call-bytes."+kind, c.registry).Inc(int64(body))
}

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	counters counters
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.bytesIn.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.bytesOut.Inc(int64(n))
	return n, err
}

// countingListener is a listener whose connections count their bytes.
type countingListener struct {
	net.Listener
	counters counters
}

// Accept waits for the next connection and returns it as a countingConn.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counters: l.counters}, nil
}

// dial opens a connection that counts its bytes.
func (c counters) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: headerTimeout}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counters: c}, nil
}
