// Package dialer bounds the connections that a client has open to all hosts together. The
// transports of net/http bound those to each host alone.
package dialer

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	dialer net.Dialer
	room   *semaphore.Weighted
	// CloseIdle closes idle connections to make room for others; nil closes none. It must
	// be set before the first connection is opened.
	CloseIdle func()
}

// New returns a Dialer that has at most the given number of connections open, and that
// waits for room and for the peer for at most the timeout each.
func New(timeout time.Duration, limit int) *Dialer {
	return &Dialer{dialer: net.Dialer{Timeout: timeout}, room: semaphore.NewWeighted(int64(limit))}
}

// DialContext opens a connection, as net.Dialer does. The error is that of the context if
// there is no room in time.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := d.acquire(ctx); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	c, err := d.dialer.DialContext(ctx, network, addr)
	if err != nil {
		d.room.Release(1)
		return nil, err
	}
	return &conn{Conn: c, release: sync.OnceFunc(func() { d.room.Release(1) })}, nil
}

func (d *Dialer) acquire(ctx context.Context) error {
	if d.room.TryAcquire(1) {
		return nil
	}
	if d.CloseIdle != nil {
		d.CloseIdle()
	}
	ctx, cancel := context.WithTimeout(ctx, d.dialer.Timeout)
	defer cancel()
	return d.room.Acquire(ctx, 1)
}

// conn is a connection that makes room when it is closed.
type conn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *conn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
