package medlargw

import "time"

// PeerEvidence is what an entry knows of a peer that it judges.
type PeerEvidence struct {
	Silence time.Duration // Time since the peer last answered.
	Heard   time.Duration // Time since any message from it, also one to another entry that tells of it; Silence if there was none.
	OwnLag  time.Duration // How late the judging entry acts.
	PeerLag time.Duration // How late the peer acts, by its own last word.
}

// PeerVerdict is the judgement of a peer by its silence.
type PeerVerdict int

// The verdicts. A slow peer gets no new tasks, and nothing of what it has is
// given up. A lost one may have ended.
const (
	PeerAlive PeerVerdict = iota
	PeerSlow
	PeerLost
)

// String returns the name used in logs.
func (v PeerVerdict) String() string { return [...]string{"alive", "slow", "lost"}[v] }

// VerdictCounts counts changes of verdicts on peers.
type VerdictCounts struct {
	Slow    int
	Lost    int
	Revised int // Peers that had counted as lost and live.
}

// Sighting tells that the sender of a heartbeat has heard another entry.
type Sighting struct {
	Incarnation Incarnation   // Of the other entry.
	Age         time.Duration // Time since its last message.
}
