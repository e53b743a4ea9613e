// Package peeker looks at the receiving side of TCP connections without reading from
// them.
package peeker

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Peeker looks at one connection. Its zero value knows nothing of any connection. It
// is safe for concurrent use, also while others read from the connection.
type Peeker struct{ raw syscall.RawConn }

// New returns a peeker for the connection, or for the one that it wraps and returns from
// NetConn. It knows nothing if that is no TCP connection.
func New(conn net.Conn) Peeker {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return Peeker{}
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Peeker{}
	}
	return Peeker{raw}
}

// SinceData returns the time since the host has received the last bytes from the peer,
// read or not, without that for which the host was suspended. It returns zero if
// the host doesn't tell.
func (p Peeker) SinceData() time.Duration {
	var d time.Duration
	p.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			d = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return d
}

// Closed reports whether the peer is known to have closed the connection, and all
// that it has sent was read.
func (p Peeker) Closed() bool {
	closed := false
	p.control(func(fd int) {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	return closed
}

// control calls f with the file descriptor of the connection, if it is open.
func (p Peeker) control(f func(fd int)) {
	if p.raw != nil {
		_ = p.raw.Control(func(fd uintptr) { f(int(fd)) }) // Fails for a connection that was closed here.
	}
}
