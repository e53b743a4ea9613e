package lender

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

func TestBurstUsesPeersTargets(t *testing.T) {
	g := newGroup(t, 1, medlargw.FavourLatency, 2, 4, 8, "detroit")
	g.setView()
	g.run(time.Second)
	g.entries[0].submit(32, 0, "ice", 200*time.Millisecond)
	g.run(250 * time.Millisecond)
	if got, want := len(g.ended), 32; got != want {
		t.Errorf("tasks ended in one run time: got %d, want %d", got, want)
	}
	if g.busy > 0 || g.over > 0 {
		t.Errorf("got %d refused starts and %d slots too many, want none", g.busy, g.over)
	}
	if g.calls > 20 {
		t.Errorf("messages: got %d, want at most 20", g.calls)
	}
	t.Logf("messages %d", g.calls)
}
