// Package drainer stops HTTP servers without cutting off an answer.
package drainer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// headerWait is the time within which a connection must have sent the header of a request
// once the server has stopped listening.
const headerWait = 250 * time.Millisecond

// flushWait is the time for which a connection must have been idle before it is closed: with
// HTTP/2, it counts as idle just before the end of the last answer is sent.
const flushWait = 5 * time.Millisecond

// connPhase says what a connection waits for.
type connPhase int

const (
	phaseHeader connPhase = iota // The header of a request.
	phaseAnswer                  // The end of the answer to a request.
	phaseIdle                    // The next request.
)

// connState is the state of a connection.
type connState struct {
	phase connPhase
	since time.Time
}

// Drainer is the listener of one HTTP server, and stops it. The Shutdown of http.Server
// ends connections whose request is read at that time without an answer, and waits for
// some seconds for connections that have sent none. The Drainer has them answered or
// closes them before. It is safe for concurrent use.
type Drainer struct {
	net.Listener

	server    *http.Server
	closeOnce sync.Once
	closeErr  error

	mu        sync.Mutex
	conns     map[net.Conn]connState
	draining  bool
	accepting bool          // Further connections may be added.
	empty     chan struct{} // Closed when no connection is left and none can be added.
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// New returns the Drainer of a server that has not started and is to serve on it. It wraps
// the server's Handler, ConnContext and ConnState.
func New(server *http.Server, listener net.Listener) *Drainer {
	d := &Drainer{Listener: listener, server: server, conns: map[net.Conn]connState{}, accepting: true, empty: make(chan struct{})}
	connState, connContext, handler := server.ConnState, server.ConnContext, server.Handler
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		d.setState(conn, state)
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			d.setPhase(conn, phaseAnswer)
		}
		handler.ServeHTTP(w, r)
	})
	return d
}

// Accept waits for the next connection. It returns http.ErrServerClosed when the server is
// being drained.
func (d *Drainer) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.draining {
		return nil, err
	}
	d.accepting = false
	d.checkEmpty()
	return nil, http.ErrServerClosed
}

// Close ends the listening. Further calls return the result of the first one: the server
// closes its listener too.
func (d *Drainer) Close() error {
	d.closeOnce.Do(func() { d.closeErr = d.Listener.Close() })
	return d.closeErr
}

func (d *Drainer) setState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateActive:
		d.setPhase(conn, phaseHeader)
	case http.StateIdle:
		d.setPhase(conn, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		d.remove(conn)
	}
}

func (d *Drainer) setPhase(conn net.Conn, p connPhase) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[conn] = connState{phase: p, since: time.Now()}
}

func (d *Drainer) remove(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, conn)
	d.checkEmpty()
}

// checkEmpty closes the channel empty if it is time. The lock must be held.
func (d *Drainer) checkEmpty() {
	if d.accepting || len(d.conns) > 0 {
		return
	}
	select {
	case <-d.empty:
	default:
		close(d.empty)
	}
}

// Drain stops listening, waits until the requests that have been read are answered, and
// closes the other connections. If the context ends before, it cuts off the answers that
// are left and returns the context's error. It must be called once.
func (d *Drainer) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	err := d.Close()
	d.closeConns(phaseIdle, flushWait)
	var closing conc.WaitGroup
	ended := make(chan struct{})
	closing.Go(func() { d.closeRest(ended) })
	select {
	case <-d.empty:
	case <-ctx.Done():
		err = errors.Join(err, ctx.Err())
	}
	close(ended)
	closing.Wait()
	return errors.Join(err, d.server.Close())
}

// closeRest closes the connections that become idle, and those that send no header within
// headerWait, until the channel is closed.
func (d *Drainer) closeRest(ended <-chan struct{}) {
	ticker := time.NewTicker(headerWait / 4)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
		d.closeConns(phaseIdle, flushWait)
		if time.Since(began) >= headerWait {
			d.closeConns(phaseHeader, headerWait)
		}
	}
}

// closeConns closes the connections that have been in a phase for a time.
func (d *Drainer) closeConns(p connPhase, since time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn, s := range d.conns {
		if s.phase == p && time.Since(s.since) >= since {
			_ = conn.Close()
		}
	}
}
