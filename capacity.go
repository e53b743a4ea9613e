package medlargw

import (
	"errors"
	"math"
	"syscall"
	"time"
)

// ErrConnectionShed is the error of a read from a connection that was closed to keep the
// process within its limits.
var ErrConnectionShed = errors.New("connection shed: too much memory or too many connections for requests that have not arrived whole")

// What a request takes of the memory, in bytes. A line of a header becomes an entry of a
// map, and the parts of a body are copied when it is whole.
const (
	RequestLineCost       = 120
	RequestHeaderByteCost = 3
	RequestBodyByteCost   = 2
)

// ConnectionLimits bound what the connections of a listener take from the process.
type ConnectionLimits struct {
	Conns int           // Most connections; zero is unlimited.
	Bytes int64         // Most memory for requests that have not arrived whole, in bytes; zero is unlimited.
	Write time.Duration // Longest time for which the peer reads nothing of an answer; zero is unlimited.
}

// ListenerKind tells whom a listener serves.
type ListenerKind int

// The kinds of listeners.
const (
	ListenerCallers   ListenerKind = iota
	ListenerPeers                  // The other entries.
	ListenerOperators              // Administration, metrics and readiness checks.
)

// callsShare is the share of the process's own calls to targets in its sockets.
const callsShare = 1. / 8

// listenerShares are the shares of the kinds of listeners in the sockets and in the memory
// of the process. The sockets that are left are those of known peers, and of the calls to
// peers and to the platform.
var listenerShares = [...]struct{ conns, memory float64 }{
	ListenerCallers:   {1. / 2, 1. / 4},
	ListenerPeers:     {1. / 8, 1. / 8},
	ListenerOperators: {1. / 32, 1. / 32},
}

const (
	reservedFiles   = 200      // Descriptors that are not for sockets.
	connectionBytes = 24 << 10 // Memory of a connection without that of its request.
	// unstatedMemory is the memory of which the listeners have shares if none is stated.
	unstatedMemory = 1 << 30
	// maxHeaderCost bounds the memory of the longest header, of 20 KiB in lines of 4 bytes.
	maxHeaderCost = 20 << 10 * (RequestHeaderByteCost + RequestLineCost/4)
	answerTimeout = 3 * time.Second
	taskBytes     = 8 << 10 // Memory of a task at its home, with its run and an order that waits.
	minTasks      = 2000
)

// CollectorLimit returns the memory above which the Go runtime has to collect garbage
// rather than grow, in bytes, and whether there is a limit. It leaves the rest for the
// program itself, and for what is allocated during a collection.
func (c *CapacitySettings) CollectorLimit() (int64, bool) {
	return c.Memory << 20 / 3 * 2, c.Memory > 0
}

// DecodeLimit returns the bytes of bodies that may be decoded at a time: to decode one takes
// several times its size.
func (c *CapacitySettings) DecodeLimit() int64 {
	if c.Memory == 0 {
		return unstatedMemory / 32
	}
	return c.Memory << 20 / 32
}

// MaxTasks returns the most tasks of unfinished jobs that the process holds as a home, or
// zero if its memory is unlimited. A few of the largest jobs are always within it.
func (c *CapacitySettings) MaxTasks() int {
	if c.Memory == 0 {
		return 0
	}
	return max(minTasks, int(c.Memory<<20/5/taskBytes))
}

// ConnectionLimits returns the limits of the listeners of a kind whose requests have bodies
// of up to maxBody bytes. The largest request is always within them, with a quarter of it to
// spare for others.
func (c *CapacitySettings) ConnectionLimits(l ListenerKind, maxBody int64) ConnectionLimits {
	share := listenerShares[l]
	memory := c.Memory << 20
	if memory == 0 {
		memory = unstatedMemory
	}
	limits := ConnectionLimits{
		Conns: c.sockets(share.conns),
		Bytes: max(int64(share.memory*float64(memory)), (maxHeaderCost+RequestBodyByteCost*maxBody)/4*5),
		Write: answerTimeout,
	}
	if c.Memory > 0 {
		limits.Conns = max(1, min(limits.Conns, int(share.memory*float64(memory)/connectionBytes)))
	}
	return limits
}

// MaxCalls returns the most connections of the process to targets.
func (c *CapacitySettings) MaxCalls() int { return c.sockets(callsShare) }

// sockets returns a share of the sockets of the process.
func (c *CapacitySettings) sockets(share float64) int {
	files := c.Files
	if files == 0 {
		files = processFiles()
	}
	return max(1, int(share*float64(files-min(reservedFiles, files/2))))
}

// processFiles returns the most descriptors that the operating system allows the process.
func processFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
