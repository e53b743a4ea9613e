package medlargw

import "errors"

// ErrConflict is returned by a Store when a key's revision is not the expected
// one.
var ErrConflict = errors.New("revision conflict")

// ErrNotFound is returned by a Store when a key does not exist.
var ErrNotFound = errors.New("not found")
