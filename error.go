package medlargw

import "errors"

// ErrConflict is returned by a Store when a key's revision is not the expected
// one.
var ErrConflict = errors.New("revision conflict")

// ErrNotFound is returned by a Store when a key does not exist.
var ErrNotFound = errors.New("not found")

// ErrUnknownFetch is returned by a Messenger when the peer's build does not know the kind
// of a fetch.
var ErrUnknownFetch = errors.New("unknown kind of fetch")

// ErrConnectionClosed is returned by a Runner when the target's end of a connection
// was closed before the reply.
var ErrConnectionClosed = errors.New("connection closed by the target")

// ErrConnectionRefused is returned by a Runner when no connection could be opened since
// nothing accepts any at the address of a target. The order was not sent. The target may
// have ended or be cut off.
var ErrConnectionRefused = errors.New("connection refused by the target")
