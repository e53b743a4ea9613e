// Package shedder keeps the connections of HTTP servers within limits of number and
// memory by closing those that hold most for longest.
//
// The servers of net/http bound each request and not their sum. Waiting with new
// connections until others have ended would keep ordinary callers out for as long as
// others hold what they have, so that a Shedder accepts all and closes others instead. It
// never closes a connection whose request has been read whole and is not answered.
package shedder

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

const (
	// slack is the part of a limit by which connections are closed beyond it, so that not
	// each further one has to search all of them.
	slack = 16
	// freeingShare is the part of the memory that may be held by connections that were shed,
	// or wait for its collection, while others read on.
	freeingShare = 4
	// minWait is the time that a connection must have waited to be closed for the slack.
	minWait = time.Second
	// minAnswerWait is the time for which a peer must have read nothing of an answer that is
	// cut off for others.
	minAnswerWait = 250 * time.Millisecond
	// logInterval is the time between two log records.
	logInterval = 10 * time.Second
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Shedder watches the connections of one or more HTTP servers, which have to speak
// HTTP/1.1 if it protects their requests. It is safe for concurrent use.
type Shedder struct {
	log     *zap.Logger
	limits  medlargw.ConnectionLimits
	forSize metrics.Counter // Connections closed for memory.
	forRoom metrics.Counter // Connections closed for others.

	mu      sync.Mutex
	freed   sync.Cond // Signals that a connection was shed or closed, or that a shed one holds less.
	open    int       // Connections, with those that were shed and not closed so far.
	conns   map[*conn]struct{}
	bytes   int64 // Held by the connections.
	freeing int64 // Held by those that were shed and not closed so far.
	garbage garbage
	logged  time.Time
}

// New returns a Shedder without connections. The name tells its counters from those of
// others.
func New(log *zap.Logger, name string, limits medlargw.ConnectionLimits, counts metrics.Registry) *Shedder {
	s := &Shedder{
		log:     log.Named("shedder").With(zap.String("listener", name)),
		limits:  limits,
		forSize: metrics.GetOrRegisterCounter("shed."+name+"-memory", counts),
		forRoom: metrics.GetOrRegisterCounter("shed."+name+"-connections", counts),
		conns:   map[*conn]struct{}{},
	}
	s.freed.L = &s.mu
	return s
}

// Protect has the memory of a server's requests counted. The server must not have started,
// must speak HTTP/1.1 alone, and must serve on a listener that Listen has returned. Protect
// wraps its Handler, ConnContext and ConnState.
func (s *Shedder) Protect(server *http.Server) {
	connState, handler := server.ConnState, server.Handler
	s.AddContext(server)
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.becomeIdle()
		}
		if connState != nil {
			connState(nc, state)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		own := *r // The server looks at the type of its request's body.
		c.begin(r)
		defer c.end()
		if hasBody(r) {
			own.Body = &body{ReadCloser: r.Body, conn: c}
		}
		handler.ServeHTTP(w, &own)
	})
}

// AddContext wraps the ConnContext of a server that has not started, so that Trust finds
// the connections of requests.
func (*Shedder) AddContext(server *http.Server) {
	connContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		if c, ok := nc.(*conn); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// Release drops the header, the address and the body of a request, which its handler does
// not need any more, so that they take no memory while a job runs.
func (*Shedder) Release(r *http.Request) {
	if c := connOf(r.Context()); c != nil {
		drop(r)
		c.release()
	}
}

// Trust ends the watch of the connection of a context, whose peer has shown that it belongs
// to the deployment. It is not counted any more, nor closed.
func (*Shedder) Trust(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.trust()
	}
}

// Listen returns a listener whose connections the Shedder watches.
func (s *Shedder) Listen(l net.Listener) net.Listener { return &listener{Listener: l, shedder: s} }

// ListenTLS returns a listener as Listen does, whose connections speak TLS and HTTP/1.1
// unless the configuration is nil. The Shedder sees what is decrypted. Handshakes take place
// with the first read, within its deadline.
func (s *Shedder) ListenTLS(l net.Listener, cfg *tls.Config) net.Listener {
	if cfg == nil {
		return s.Listen(l)
	}
	cfg = cfg.Clone()
	cfg.NextProtos = []string{"http/1.1"}
	return s.Listen(tls.NewListener(l, cfg))
}

type listener struct {
	net.Listener
	shedder *Shedder
	ended   bool // Guarded by the lock of the shedder.
}

// Accept waits for the next connection. It waits, too, while more connections than the
// slack have been shed and are not closed.
func (l *listener) Accept() (net.Conn, error) {
	l.awaitClosed()
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.shedder.add(nc), nil
}

// Close ends the listening.
func (l *listener) Close() error {
	l.shedder.mu.Lock()
	l.ended = true
	l.shedder.mu.Unlock()
	l.shedder.freed.Broadcast()
	return l.Listener.Close()
}

func (l *listener) awaitClosed() {
	s := l.shedder
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.limits.Conns > 0 && s.open > s.limits.Conns+s.limits.Conns/slack && !l.ended {
		s.freed.Wait()
	}
}

// add adds a connection, and sheds others if there are too many.
func (s *Shedder) add(nc net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: nc, shedder: s, since: now}
	s.mu.Lock()
	s.open++
	s.conns[c] = struct{}{}
	shed := s.shedForRoom(now)
	s.mu.Unlock()
	s.report(s.forRoom, shed)
	return c
}

// shedForRoom sheds the connections that have waited for longest while there are too
// many, and returns their number. The lock must be held.
func (s *Shedder) shedForRoom(now time.Time) int {
	excess := len(s.conns) - s.limits.Conns
	if s.limits.Conns == 0 || excess <= 0 {
		return 0
	}
	all := s.candidates(now)
	slices.SortFunc(all, func(a, b *conn) int { return a.since.Compare(b.since) })
	shed := 0
	for _, c := range all {
		if shed >= excess && (shed >= excess+s.limits.Conns/slack || now.Sub(c.since) < minWait) {
			break
		}
		s.shed(c)
		shed++
	}
	return shed
}

// shedForSize sheds the connections that hold most for longest while all hold too much,
// and returns their number. The lock must be held.
func (s *Shedder) shedForSize(now time.Time) int {
	if s.limits.Bytes == 0 || s.bytes <= s.limits.Bytes {
		return 0
	}
	all := s.candidates(now)
	held := func(c *conn) float64 { return float64(c.cost) * (now.Sub(c.since) + time.Millisecond).Seconds() }
	slices.SortFunc(all, func(a, b *conn) int { return cmp.Compare(held(b), held(a)) })
	shed := 0
	for _, c := range all {
		if s.bytes <= s.limits.Bytes-s.limits.Bytes/slack || c.cost == 0 {
			break
		}
		s.shed(c)
		shed++
	}
	return shed
}

// candidates returns the connections that may be shed. The lock must be held.
func (s *Shedder) candidates(now time.Time) []*conn {
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		switch {
		case c.phase == phaseWhole, c.phase == phaseAnswer && now.Sub(c.since) < minAnswerWait:
		default:
			all = append(all, c)
		}
	}
	return all
}

// shed has the goroutine of a connection close it. The lock must be held.
func (s *Shedder) shed(c *conn) {
	delete(s.conns, c)
	s.bytes -= c.cost
	s.freeing += c.cost
	c.isShed = true
	s.freed.Broadcast()
	// Fails for a connection that is being closed.
	if c.phase == phaseAnswer {
		_ = c.SetDeadline(past)
	} else {
		_ = c.Conn.SetReadDeadline(past)
	}
}

// past is a deadline that ends a read or a write at once.
var past = time.Unix(1, 0)

// charge adds to the memory that a connection holds. The lock must be held.
func (s *Shedder) charge(c *conn, cost int64) {
	c.cost += cost
	if cost < 0 {
		s.garbage.bytes -= cost
	}
	if !c.isShed {
		s.bytes += cost
		return
	}
	s.freeing += cost
	if cost < 0 {
		s.freed.Broadcast()
	}
}

// awaitFreed waits, before the connection reads on, while much of what was held is not free:
// connections that were shed hold it, as their goroutines have not run, or it is not
// collected. It doesn't wait for a connection that was shed or whose request is whole. The
// lock must be held.
func (s *Shedder) awaitFreed(c *conn) {
	most := s.limits.Bytes / freeingShare
	for s.limits.Bytes > 0 && !c.isShed && !c.unwatched && c.phase <= phaseRequest {
		switch {
		case s.freeing > most, s.garbage.collecting:
			s.freed.Wait()
		case s.garbage.bytes > most:
			s.garbage.collect(&s.mu)
			s.freed.Broadcast()
		default:
			return
		}
	}
}

// report counts connections that were shed, and logs them at intervals.
func (s *Shedder) report(reason metrics.Counter, shed int) {
	if shed == 0 {
		return
	}
	reason.Inc(int64(shed))
	s.mu.Lock()
	now := time.Now()
	isDue := now.Sub(s.logged) >= logInterval
	if isDue {
		s.logged = now
	}
	open, held := s.open, s.bytes
	s.mu.Unlock()
	if isDue {
		s.log.Warn("connections shed", zap.Int64("memory", s.forSize.Count()), zap.Int64("connections", s.forRoom.Count()),
			zap.Int("open", open), zap.Int("most", s.limits.Conns), zap.Int64("held", held), zap.Int64("limit", s.limits.Bytes))
	}
}
