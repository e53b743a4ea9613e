// Package arbiter tells a peer that is slow from one that is lost. Both are
// silent for a while. The silence of a slow one is explained by the lag of this
// process, by the lag that the peer has told, or by signs of life on another path.
package arbiter

import (
	"time"

	"medlargw.example/medlargw"
)

// maxSilenceFactor bounds the silence of a peer that counts as slow, in limits.
// A peer that others hear for longer can't be reached from here.
const maxSilenceFactor = 4

// Arbiter judges peers by their silence.
type Arbiter struct {
	limit time.Duration
}

// New returns an arbiter for peers that are lost after a silence of the given
// length that nothing explains.
func New(limit time.Duration) *Arbiter { return &Arbiter{limit: limit} }

// Judge returns the verdict on a peer. The lag of this entry is not silence of
// the peer. That of the peer extends the limit, at most to its double.
func (a *Arbiter) Judge(e medlargw.PeerEvidence) medlargw.PeerVerdict {
	silence := e.Silence - e.OwnLag
	heard := min(silence, e.Heard-e.OwnLag)
	switch limit := a.limit + min(e.PeerLag, a.limit); {
	case e.Silence <= a.limit:
		return medlargw.PeerAlive
	case silence > maxSilenceFactor*a.limit || heard > limit:
		return medlargw.PeerLost
	}
	return medlargw.PeerSlow
}
