package shedder

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"medlargw.example/medlargw"
)

// phase is what a connection waits for.
type phase int

const (
	phaseIdle    phase = iota // The first byte of a request.
	phaseRequest              // The end of a request.
	phaseWhole                // The answer to a whole request.
	phaseAnswer               // The peer, which has to read the answer.
)

// conn is a connection of a server. The lock of the shedder guards its fields.
type conn struct {
	net.Conn
	shedder *Shedder

	phase   phase
	since   time.Time     // When the phase began; for phaseWhole, when the request did.
	request *http.Request // Of the server, while its handler runs.
	handled bool          // The handler of the request has begun.
	cost    int64         // Memory that the request holds, in bytes.
	isShed  bool

	unwatched bool // It is trusted or closed.
}

// NetConn returns the connection that this one wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side of the connection. Without it, the server would reset
// a connection with unread bytes, and its peer might lose the answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Read reads from the connection. It returns an error that wraps
// medlargw.ErrConnectionShed once the connection was shed.
func (c *conn) Read(b []byte) (int, error) {
	s := c.shedder
	s.mu.Lock()
	s.awaitFreed(c)
	s.mu.Unlock()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received(b[:n])
	}
	c.answerPlainHTTP(err)
	if err != nil && c.wasShed() {
		// The server closes the connection without an answer after an error of this type.
		err = &net.OpError{Op: "read", Net: "tcp", Err: medlargw.ErrConnectionShed}
	}
	return n, err
}

// answerPlainHTTP answers a client that speaks HTTP without TLS where TLS is spoken, as the
// server does that knows of TLS.
func (*conn) answerPlainHTTP(err error) {
	var record tls.RecordHeaderError
	if !errors.As(err, &record) || record.Conn == nil {
		return
	}
	switch string(record.RecordHeader[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO", "DELET":
		_ = record.Conn.SetWriteDeadline(time.Now().Add(time.Second)) // The connection ends in any case.
		_, _ = io.WriteString(record.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nThe server speaks HTTP over TLS alone.\n")
	}
}

// received counts what was read of a header.
func (c *conn) received(b []byte) {
	lines := int64(bytes.Count(b, []byte{'\n'}))
	now := time.Now()
	s := c.shedder
	s.mu.Lock()
	if c.phase == phaseIdle {
		c.phase, c.since = phaseRequest, now
	}
	shed := 0
	if c.phase == phaseRequest && !c.handled && !c.unwatched {
		s.charge(c, medlargw.RequestHeaderByteCost*int64(len(b))+medlargw.RequestLineCost*lines)
		shed = s.shedForSize(now)
	}
	s.mu.Unlock()
	s.report(s.forSize, shed)
}

// pieceBytes is the part of an answer for which the peer has the time that the limits give
// it to read.
const pieceBytes = 16 << 10

// Write writes to the connection, within the time that the limits give the peer to read.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+pieceBytes)]
		n, err := c.writePiece(piece)
		if written += n; err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *conn) writePiece(b []byte) (int, error) {
	s := c.shedder
	s.mu.Lock()
	former, since := c.phase, c.since
	c.phase, c.since = phaseAnswer, time.Now()
	if s.limits.Write > 0 {
		_ = c.SetWriteDeadline(c.since.Add(s.limits.Write)) // The write fails if the connection is closed.
	}
	s.mu.Unlock()
	n, err := c.Conn.Write(b)
	s.mu.Lock()
	c.phase, c.since = former, since
	s.mu.Unlock()
	return n, err
}

// SetReadDeadline sets the deadline of reads, unless the connection was shed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.shedder.mu.Lock()
	defer c.shedder.mu.Unlock()
	if c.isShed {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *conn) Close() error {
	s := c.shedder
	s.mu.Lock()
	c.unwatch()
	s.mu.Unlock()
	return c.Conn.Close()
}

// unwatch ends the watch of the connection. The lock must be held.
func (c *conn) unwatch() {
	if c.unwatched {
		return
	}
	c.unwatched = true
	s := c.shedder
	s.open--
	s.charge(c, -c.cost)
	delete(s.conns, c)
	s.freed.Broadcast()
}

func (c *conn) wasShed() bool {
	c.shedder.mu.Lock()
	defer c.shedder.mu.Unlock()
	return c.isShed
}

// begin notes that the handler of a request begins.
func (c *conn) begin(r *http.Request) {
	cost := int64(0)
	for name, values := range r.Header {
		for _, value := range values {
			cost += medlargw.RequestLineCost + medlargw.RequestHeaderByteCost*int64(len(name)+len(value))
		}
	}
	s := c.shedder
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.phase == phaseIdle { // The header was read together with the request before.
		c.since = time.Now()
	}
	c.phase = phaseRequest
	if !hasBody(r) {
		c.phase = phaseWhole
	}
	c.request, c.handled = r, true
	s.charge(c, cost-c.cost)
}

// end notes that the handler has returned. The server sends the answer then, for which it
// first reads what is left of the body.
func (c *conn) end() {
	s := c.shedder
	s.mu.Lock()
	defer s.mu.Unlock()
	c.request = nil
	s.charge(c, -c.cost)
	if c.phase == phaseWhole {
		c.phase, c.since = phaseAnswer, time.Now()
	}
}

// becomeIdle notes that the answer was sent.
func (c *conn) becomeIdle() {
	s := c.shedder
	s.mu.Lock()
	defer s.mu.Unlock()
	c.phase, c.since, c.handled = phaseIdle, time.Now(), false
}

// release notes that the request holds no memory any more.
func (c *conn) release() {
	if c.request != nil {
		drop(c.request)
	}
	s := c.shedder
	s.mu.Lock()
	defer s.mu.Unlock()
	s.charge(c, -c.cost)
}

// drop drops what a request holds beside its method and its context.
func drop(r *http.Request) {
	r.Header, r.Trailer, r.Form = nil, nil, nil
	r.Host, r.RequestURI, r.URL = "", "", &url.URL{}
}

func (c *conn) trust() {
	s := c.shedder
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.isShed {
		c.unwatch()
	}
}

// body is the body of a request. It tells its connection what was read of it.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body. Its end is an error that wraps medlargw.ErrConnectionShed if
// the connection was shed, so that a request that is answered as not served is never run.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	s := b.conn.shedder
	now := time.Now()
	s.mu.Lock()
	s.charge(b.conn, medlargw.RequestBodyByteCost*int64(n))
	if errors.Is(err, io.EOF) && !b.conn.isShed {
		b.conn.phase = phaseWhole
	}
	shed := s.shedForSize(now)
	if err != nil && b.conn.isShed {
		err = medlargw.ErrConnectionShed
	}
	s.mu.Unlock()
	s.report(s.forSize, shed)
	return n, err
}
