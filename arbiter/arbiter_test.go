package arbiter_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/arbiter"
)

const ms = time.Millisecond

// TestJudge answers the load of the first seconds of a heavy day: hosts without
// processor time don't answer, or don't read the answers that have come.
func TestJudge(t *testing.T) {
	const alive, slow, lost = medlargw.PeerAlive, medlargw.PeerSlow, medlargw.PeerLost
	tests := []struct {
		name string
		e    medlargw.PeerEvidence
		want medlargw.PeerVerdict
	}{
		{"answers", medlargw.PeerEvidence{Silence: 100 * ms, Heard: 100 * ms}, alive},
		{"answers while both lag", medlargw.PeerEvidence{Silence: 600 * ms, Heard: 600 * ms, OwnLag: 400 * ms, PeerLag: 400 * ms}, alive},
		{"silent on all paths", medlargw.PeerEvidence{Silence: 601 * ms, Heard: 601 * ms}, lost},
		{"this entry lags", medlargw.PeerEvidence{Silence: 900 * ms, Heard: 900 * ms, OwnLag: 300 * ms}, slow},
		{"silent for longer than this entry lags", medlargw.PeerEvidence{Silence: 901 * ms, Heard: 901 * ms, OwnLag: 300 * ms}, lost},
		{"the peer lags", medlargw.PeerEvidence{Silence: 800 * ms, Heard: 800 * ms, PeerLag: 200 * ms}, slow},
		{"silent for longer than the peer lags", medlargw.PeerEvidence{Silence: 801 * ms, Heard: 801 * ms, PeerLag: 200 * ms}, lost},
		{"a lag of minutes extends the limit to its double", medlargw.PeerEvidence{Silence: 1201 * ms, Heard: 1201 * ms, PeerLag: time.Minute}, lost},
		{"both lag", medlargw.PeerEvidence{Silence: 1100 * ms, Heard: 1100 * ms, OwnLag: 300 * ms, PeerLag: 200 * ms}, slow},
		{"both lag, for longer", medlargw.PeerEvidence{Silence: 1101 * ms, Heard: 1101 * ms, OwnLag: 300 * ms, PeerLag: 200 * ms}, lost},
		{"heard on another path", medlargw.PeerEvidence{Silence: 2000 * ms, Heard: 50 * ms}, slow},
		{"last heard long ago on another path", medlargw.PeerEvidence{Silence: 2000 * ms, Heard: 601 * ms}, lost},
		{"heard on another path by an entry that lags", medlargw.PeerEvidence{Silence: 2000 * ms, Heard: 800 * ms, OwnLag: 200 * ms}, slow},
		{"heard by others but cut off from here", medlargw.PeerEvidence{Silence: 2401 * ms, Heard: 50 * ms}, lost},
		{"this entry was suspended", medlargw.PeerEvidence{Silence: time.Hour, Heard: time.Hour, OwnLag: time.Hour}, slow},
		{"the word of another is older than the last answer", medlargw.PeerEvidence{Silence: 601 * ms, Heard: time.Minute}, lost},
	}
	a := arbiter.New(600 * ms)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := a.Judge(tt.e); got != tt.want {
				t.Errorf("verdict: got %s, want %s", got, tt.want)
			}
		})
	}
}
