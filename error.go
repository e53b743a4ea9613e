package medlargw

import "errors"

// ErrConflict says that a key's revision is not the expected one.
var ErrConflict = errors.New("revision conflict")

// ErrNotFound says that a key is absent.
var ErrNotFound = errors.New("not found")
