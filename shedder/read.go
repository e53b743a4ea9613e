package shedder

import (
	"bytes"
	"errors"
	"io"
)

// Sizes of the parts in which a body is read, in bytes.
const (
	minPartBytes = 512
	maxPartBytes = 64 << 10
)

// ReadAll returns the content up to its end, as io.ReadAll does. While it reads, it holds
// little more than the content, and then twice that: a buffer that grows leaves several
// times as much to the collector.
func (*Shedder) ReadAll(r io.Reader) ([]byte, error) {
	var parts [][]byte
	part := make([]byte, 0, minPartBytes)
	for {
		n, err := r.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			if len(parts) == 0 {
				return part, err
			}
			return bytes.Join(append(parts, part), nil), err
		}
		if len(part) == cap(part) {
			parts = append(parts, part)
			part = make([]byte, 0, min(2*cap(part), maxPartBytes))
		}
	}
}
