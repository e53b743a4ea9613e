package messenger

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

const (
	// minPackedBytes is the size from which the body of a reply is compressed.
	minPackedBytes = 512
	// maxUnpackedBytes is the largest body that is accepted.
	maxUnpackedBytes = 64 << 20
)

// encodeFetchReply compresses the body for a peer that reads that.
func encodeFetchReply(r *medlargw.FetchReply, protocol int) (*wire.FetchReply, error) {
	w := &wire.FetchReply{Version: r.Version, Body: r.Body, Base: r.Base}
	if protocol < medlargw.ProtocolChanges || len(r.Body) < minPackedBytes {
		return w, nil
	}
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := compressor.Write(r.Body); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	w.Body, w.Packed = packed.Bytes(), true
	return w, nil
}

func decodeFetchReply(w *wire.FetchReply) (medlargw.FetchReply, error) {
	r := medlargw.FetchReply{Version: w.GetVersion(), Body: w.GetBody(), Base: w.GetBase()}
	if !w.GetPacked() {
		return r, nil
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Body)), maxUnpackedBytes+1))
	if err != nil {
		return medlargw.FetchReply{}, fmt.Errorf("decompress reply of a peer: %w", err)
	}
	if len(body) > maxUnpackedBytes {
		return medlargw.FetchReply{}, fmt.Errorf("decompress reply of a peer: got over %d bytes", maxUnpackedBytes)
	}
	r.Body = body
	return r, nil
}
