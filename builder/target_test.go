package builder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// rawTarget is a target that handles each request by a script.
type rawTarget struct {
	addr     netip.AddrPort
	scripts  []script // One per request; the last is repeated.
	next     atomic.Int32
	starts   atomic.Int32
	received chan struct{} // Receives one value per complete request.
	serving  sync.WaitGroup
}

// script handles one request on a connection. It returns false when the
// connection must be closed.
type script func(t *rawTarget, c *net.TCPConn, r *bufio.Reader) bool

func newRawTarget(t *testing.T, scripts ...script) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	target := &rawTarget{
		addr:     netip.MustParseAddrPort(l.Addr().String()),
		scripts:  scripts,
		received: make(chan struct{}, 100),
	}
	if len(scripts) == 0 {
		_ = l.Close()
		return target
	}
	target.serving.Go(func() { target.accept(l) })
	t.Cleanup(func() {
		_ = l.Close()
		target.serving.Wait()
	})
	return target
}

func (t *rawTarget) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.serving.Go(func() { t.serve(c.(*net.TCPConn)) })
	}
}

func (t *rawTarget) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		n := min(int(t.next.Add(1)), len(t.scripts))
		if !t.scripts[n-1](t, c, r) {
			return
		}
	}
}

// receive reads a complete request, counts the start of its task and returns the
// request's attempt ID.
func (t *rawTarget) receive(r *bufio.Reader) (id string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	if _, err = io.Copy(io.Discard, req.Body); err != nil {
		return ""
	}
	t.starts.Add(1)
	t.received <- struct{}{}
	return req.Header.Get("Medlargw-Attempt")
}

func resetConn(c *net.TCPConn) bool {
	_ = c.SetLinger(0)
	_ = c.Close()
	return false
}

const goodBody = `{"ok":true}`

// responseText returns an HTTP response with the given attempt ID and the
// digest of the body.
func responseText(status int, id, body string, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&b, "Medlargw-Attempt: %s\r\nMedlargw-Digest: %x\r\n", id, xxhash.Sum64String(body))
	fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// respond returns a script that receives the request and writes the response
// that the function returns for the request's attempt ID.
func respond(text func(id string) string) script {
	return func(t *rawTarget, c *net.TCPConn, r *bufio.Reader) bool {
		_, err := io.WriteString(c, text(t.receive(r)))
		return err == nil
	}
}

func goodResponse(id string) string { return responseText(http.StatusOK, id, goodBody) }

// respondBusy refuses a request without starting its task.
func respondBusy(t *rawTarget, c *net.TCPConn, r *bufio.Reader) bool {
	id := t.receive(r)
	t.starts.Add(-1)
	_, err := io.WriteString(c, responseText(http.StatusServiceUnavailable, id, "", "Medlargw-Not-Started: busy"))
	return err == nil
}

func resetImmediately(_ *rawTarget, c *net.TCPConn, _ *bufio.Reader) bool { return resetConn(c) }

// resetMidRequest resets the connection after the header and a part of the body.
func resetMidRequest(_ *rawTarget, c *net.TCPConn, r *bufio.Reader) bool {
	if req, err := http.ReadRequest(r); err == nil {
		_, _ = io.CopyN(io.Discard, req.Body, 1)
	}
	return resetConn(c)
}

func resetAfterRequest(t *rawTarget, c *net.TCPConn, r *bufio.Reader) bool {
	t.receive(r)
	return resetConn(c)
}

// truncateResponse sends one byte less than the Content-Length.
func truncateResponse(t *rawTarget, c *net.TCPConn, r *bufio.Reader) bool {
	text := goodResponse(t.receive(r))
	_, _ = io.WriteString(c, text[:len(text)-1])
	return false
}

// hang responds only after the client has abandoned the request.
func hang(t *rawTarget, c *net.TCPConn, r *bufio.Reader) bool {
	id := t.receive(r)
	_, _ = r.ReadByte()
	_, _ = io.WriteString(c, goodResponse(id))
	return false
}
