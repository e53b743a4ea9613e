package admitter

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestFormerRefusalsAreForgotten guards against refusals that are kept, and looked at for
// each job, for as long as the process lives.
func TestFormerRefusalsAreForgotten(t *testing.T) {
	a := New()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for rank := range 2000 {
		a.record(now, &medlargw.AdmissionRequest{Pool: "pool", Rank: rank}, medlargw.RefusalWait)
	}
	next := &medlargw.AdmissionRequest{Pool: "pool", Rank: 2000}
	if got, want := a.urgentRefused(now.Add(precedenceTime-time.Millisecond), next), true; got != want {
		t.Errorf("urgent job refused a moment ago: got %v, want %v", got, want)
	}
	if got, want := a.urgentRefused(now.Add(precedenceTime), next), false; got != want {
		t.Errorf("urgent job refused before that: got %v, want %v", got, want)
	}
	if got, want := len(a.refusedAt), 0; got != want {
		t.Errorf("refusals that are kept: got %d, want %d", got, want)
	}
}
