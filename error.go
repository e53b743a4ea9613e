package medlargw

import "errors"

// ErrConflict is returned by a Store when a key's revision is not the expected
// one.
var ErrConflict = errors.New("revision conflict")

// ErrNotFound is returned by a Store when a key does not exist.
var ErrNotFound = errors.New("not found")

// ErrConnectionClosed is returned by a Runner when the target's end of a connection
// was closed before the reply.
var ErrConnectionClosed = errors.New("connection closed by the target")

// ErrConnectionRefused is returned by a Runner when nothing accepts connections at
// the address of a target.
var ErrConnectionRefused = errors.New("connection refused by the target")
