package peeker

import (
	"io"
	"net"
	"testing"
	"time"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (here, there *net.TCPConn) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if there, err = net.DialTCP("tcp", nil, l.Addr().(*net.TCPAddr)); err != nil { //nolint:forcetypeassert // Of a TCP listener.
		t.Fatal(err)
	}
	if here, err = l.AcceptTCP(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = here.Close()
		_ = there.Close()
	})
	return here, there
}

// awaitClosed waits until the peeker sees that the peer has closed the connection; the
// test's time limit ends the wait.
func awaitClosed(p Peeker) {
	for !p.Closed() {
		time.Sleep(time.Millisecond)
	}
}

// TestClosedByPeer guards against a request that is taken in after its caller has
// left, and against one that is refused though its caller waits.
func TestClosedByPeer(t *testing.T) {
	tests := []struct {
		name  string
		close func(there *net.TCPConn) error
	}{
		{"closed", (*net.TCPConn).Close},
		{"half closed", (*net.TCPConn).CloseWrite},
		{"reset", func(there *net.TCPConn) error {
			_ = there.SetLinger(0)
			return there.Close()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			here, there := connect(t)
			p := New(here)
			if p.Closed() {
				t.Error("open connection without data: got closed, want open")
			}
			if _, err := there.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(here, make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if p.Closed() {
				t.Error("open connection whose data was read: got closed, want open")
			}
			if err := test.close(there); err != nil {
				t.Fatal(err)
			}
			awaitClosed(p)
		})
	}
}

// TestSinceData guards against the age of a request that begins when it is read.
func TestSinceData(t *testing.T) {
	const unread = 100 * time.Millisecond
	here, there := connect(t)
	if _, err := there.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(unread)
	if _, err := io.ReadFull(here, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	// The clock of the kernel has steps of up to 10 ms.
	if got, want := New(here).SinceData(), unread-20*time.Millisecond; got < want {
		t.Errorf("time since the last data: got %v, want %v at least", got, want)
	}
}

// TestNoTCPConnection checks that nothing is claimed of other connections.
func TestNoTCPConnection(t *testing.T) {
	here, there := net.Pipe()
	_ = there.Close()
	for _, p := range []Peeker{{}, New(here)} {
		if p.Closed() || p.SinceData() != 0 {
			t.Errorf("got closed %v and %v since data, want unknown", p.Closed(), p.SinceData())
		}
	}
}
