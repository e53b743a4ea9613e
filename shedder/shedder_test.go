package shedder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// pipeListener accepts the server ends of pipes.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is a server whose handler reads the body, and for the path /wait waits until
// release is closed.
type testServer struct {
	t        *testing.T
	shedder  *Shedder
	counts   metrics.Registry
	listener *pipeListener
	release  chan struct{}
	whole    []string // Bodies that the handler has read whole.
}

func newTestServer(t *testing.T, limits medlargw.ConnectionLimits) *testServer {
	t.Helper()
	s := &testServer{t: t, counts: metrics.NewRegistry(), listener: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}, release: make(chan struct{})}
	s.shedder = New(zap.NewNop(), "test", limits, s.counts)
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute, ReadTimeout: 2 * time.Minute}
	s.shedder.Protect(server)
	var serving conc.WaitGroup
	serving.Go(func() { _ = server.Serve(s.shedder.Listen(s.listener)) })
	t.Cleanup(func() {
		_ = server.Close()
		serving.Wait()
	})
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if errors.Is(err, medlargw.ErrConnectionShed) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.whole = append(s.whole, string(body))
	s.shedder.Release(r)
	if len(body) > 0 && body[0] == 'w' {
		<-s.release
	}
}

// client is the client end of a connection.
type client struct {
	net.Conn
	answer chan int // The status of the first answer; 0 for a connection that ends without one.
}

// dial opens a connection and sends the text. Its answer is read.
func (s *testServer) dial(text string) *client {
	s.t.Helper()
	ours, theirs := net.Pipe()
	s.listener.conns <- theirs
	c := &client{Conn: ours, answer: make(chan int, 1)}
	s.t.Cleanup(func() { _ = ours.Close() })
	var reading conc.WaitGroup
	reading.Go(func() {
		resp, err := http.ReadResponse(bufio.NewReader(ours), nil)
		if err != nil {
			c.answer <- 0
			return
		}
		_ = resp.Body.Close()
		c.answer <- resp.StatusCode
	})
	s.t.Cleanup(reading.Wait)
	s.t.Cleanup(func() { _ = ours.Close() })
	c.send(text)
	return c
}

// send sends a text, which fails once the connection is closed.
func (c *client) send(text string) {
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, text)
	synctest.Wait()
}

// status returns the status of the answer, 0 for an end without one, and -1 while there
// is none.
func (c *client) status() int {
	synctest.Wait()
	select {
	case status := <-c.answer:
		c.answer <- status
		return status
	default:
		return -1
	}
}

func request(body string, length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// TestMemoryIsTakenFromThoseWhoHoldMostForLongest guards against a crowd that keeps
// ordinary requests out, and against requests that are answered as not run and run.
func TestMemoryIsTakenFromThoseWhoHoldMostForLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, medlargw.ConnectionLimits{Bytes: 70_000})
		longest := s.dial(request(strings.Repeat("a", 10_000), 10_001))
		time.Sleep(10 * time.Second)
		small := s.dial(request(strings.Repeat("b", 100), 101))
		time.Sleep(time.Second)
		header := s.dial("POST / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 300))
		recent := s.dial(request(strings.Repeat("c", 10_000), 10_001))
		ordinary := s.dial(request("d", 1))
		for _, c := range []struct {
			name   string
			client *client
			want   int
		}{{"longest", longest, 503}, {"small", small, -1}, {"header", header, -1}, {"recent", recent, -1}, {"ordinary", ordinary, 200}} {
			if got := c.client.status(); got != c.want {
				t.Errorf("%s: got status %d, want %d", c.name, got, c.want)
			}
		}
		longest.send("a")
		small.send("b")
		recent.send("c")
		if got, want := len(s.whole), 3; got != want {
			t.Errorf("whole requests: got %d, want %d without the one that was answered 503", got, want)
		}
		if got := metrics.GetOrRegisterCounter("shed.test-memory", s.counts).Count(); got != 1 {
			t.Errorf("connections shed for memory: got %d, want 1", got)
		}
	})
}

// TestHeaderIsShedWithoutAnswer guards against a refusal of a request whose ID is not
// known: the job may run.
func TestHeaderIsShedWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, medlargw.ConnectionLimits{Bytes: 100_000})
		c := s.dial("POST / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000))
		if got := c.status(); got != 0 {
			t.Errorf("got status %d, want the end of the connection", got)
		}
	})
}

// TestWholeRequestsAreAnswered guards against answers that are cut off for a crowd, and
// against a crowd of connections that keeps others out.
func TestWholeRequestsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, medlargw.ConnectionLimits{Conns: 4, Bytes: 100_000})
		var waiting []*client
		for range 3 {
			waiting = append(waiting, s.dial(request("wait", 4)))
		}
		first := s.dial("")
		time.Sleep(time.Second)
		second := s.dial(request("", 10))
		if got := first.status(); got != 0 {
			t.Errorf("idle connection beside too many: got status %d, want its end", got)
		}
		time.Sleep(time.Second)
		third := s.dial(request("", 10))
		if got := second.status(); got != http.StatusServiceUnavailable {
			t.Errorf("unfinished request beside too many: got status %d, want 503", got)
		}
		time.Sleep(time.Second)
		ordinary := s.dial(request("d", 1))
		if got := ordinary.status(); got != http.StatusOK {
			t.Errorf("ordinary request: got status %d, want 200", got)
		}
		if got := third.status(); got != http.StatusServiceUnavailable {
			t.Errorf("unfinished request: got status %d, want 503", got)
		}
		_ = ordinary.Close()
		time.Sleep(time.Second)
		waiting = append(waiting, s.dial(request("wait", 4)))
		refused := s.dial(request("d", 1))
		if got := refused.status(); got != 0 {
			t.Errorf("request where all others are served: got status %d, want the end of the connection", got)
		}
		close(s.release)
		for _, c := range waiting {
			if got := c.status(); got != http.StatusOK {
				t.Errorf("whole request: got status %d, want 200", got)
			}
		}
	})
}

// TestUnreadAnswer guards against a connection that is held by a peer that doesn't read.
func TestUnreadAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, medlargw.ConnectionLimits{Write: time.Second})
		ours, theirs := net.Pipe()
		defer func() { _ = ours.Close() }()
		s.listener.conns <- theirs
		_, _ = io.WriteString(ours, request("d", 1))
		time.Sleep(1100 * time.Millisecond)
		if got, want := s.open(), 0; got != want {
			t.Errorf("connections: got %d, want %d", got, want)
		}
	})
}

// TestAnswersAreNotCutOffForOthers guards against a newcomer for which an answer is cut off
// that is being written, and against peers that keep others out by not reading.
func TestAnswersAreNotCutOffForOthers(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration // From the beginning of the answer.
		want  int           // Status for the newcomer; 0 is the end of its connection.
	}{
		{"just written", minAnswerWait / 2, 0},
		{"not read", minAnswerWait, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, medlargw.ConnectionLimits{Conns: 1})
				ours, theirs := net.Pipe()
				defer func() { _ = ours.Close() }()
				s.listener.conns <- theirs
				_, _ = io.WriteString(ours, request("d", 1))
				time.Sleep(test.after)
				newcomer := s.dial(request("d", 1))
				if got := newcomer.status(); got != test.want {
					t.Errorf("newcomer: got status %d, want %d", got, test.want)
				}
				_ = ours.SetReadDeadline(time.Now().Add(time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(ours), nil)
				if got, want := err == nil, test.want != http.StatusOK; got != want {
					t.Errorf("answer that is being written: got error %v, want an answer: %v", err, want)
				}
				if err == nil {
					_ = resp.Body.Close()
				}
			})
		})
	}
}

func (s *testServer) open() int {
	synctest.Wait()
	s.shedder.mu.Lock()
	defer s.shedder.mu.Unlock()
	return s.shedder.open
}

func (s *testServer) held() int64 {
	synctest.Wait()
	s.shedder.mu.Lock()
	defer s.shedder.mu.Unlock()
	return s.shedder.bytes
}

// TestMemoryIsReturned guards against memory that counts as held when a request has
// ended, in whichever way.
func TestMemoryIsReturned(t *testing.T) {
	const lines = "a:\r\nb:\r\n"
	tests := []struct {
		name string
		send []string
		want int64
	}{
		{"nothing sent", []string{""}, 0},
		{"header", []string{"POST / HTTP/1.1\r\n" + lines}, 3*25 + 3*120},
		{"body", []string{request("abc", 10)}, 120 + 3*16 + 2*3},
		{"whole request", []string{request("abc", 3)}, 0},
		{"job that waits", []string{request("wait", 4)}, 0},
		{"two requests on one connection", []string{request("abc", 3), request("abc", 3)}, 0},
		{"two requests at once", []string{request("abc", 3) + request("abc", 3)}, 0},
		{"invalid request", []string{"?\r\n\r\n"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, medlargw.ConnectionLimits{Bytes: 1 << 20})
				var conns []*client
				for range 3 {
					c := s.dial("")
					for _, text := range test.send {
						c.send(text)
					}
					conns = append(conns, c)
				}
				if got := s.held(); got != 3*test.want {
					t.Errorf("held by three requests: got %d, want %d", got, 3*test.want)
				}
				close(s.release)
				for _, c := range conns {
					_ = c.Close()
				}
				if got := s.held(); got != 0 {
					t.Errorf("held after the connections were closed: got %d, want 0", got)
				}
				if got := s.open(); got != 0 {
					t.Errorf("connections: got %d, want 0", got)
				}
			})
		})
	}
}
