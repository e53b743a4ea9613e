package shedder

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// TestReadAll compares with io.ReadAll.
func TestReadAll(t *testing.T) {
	errBroken := errors.New("broken")
	for _, n := range []int{0, 1, 511, 512, 513, 1535, 1536, 1537, 300_000} {
		content := bytes.Repeat([]byte("0123456789"), n/10+1)[:n]
		readers := []func() io.Reader{
			func() io.Reader { return bytes.NewReader(content) },
			func() io.Reader { return iotest.OneByteReader(bytes.NewReader(content)) },
			func() io.Reader { return iotest.DataErrReader(bytes.NewReader(content)) },
			func() io.Reader { return io.MultiReader(bytes.NewReader(content), iotest.ErrReader(errBroken)) },
		}
		for i, r := range readers {
			got, gotErr := new(Shedder).ReadAll(r())
			want, wantErr := io.ReadAll(r())
			if !bytes.Equal(got, want) || !errors.Is(gotErr, wantErr) {
				t.Errorf("reader %d of %d bytes: got %d bytes and %v, want %d and %v", i, n, len(got), gotErr, len(want), wantErr)
			}
		}
	}
}
