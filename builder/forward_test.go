package builder

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// TestTicketAcrossEntries submits a job at two entries with the ticket of one of
// them. The job runs once, and its outcome remains available after the planned
// stop of the ticket's home.
func TestTicketAcrossEntries(t *testing.T) {
	target := newRawTarget(t, respond(goodResponse))
	store := newStore(t, target.addr, 8)
	home, homeReg := startEntry(t, newSettings(t, "h", time.Minute), store)
	awaitReady(t, homeReg)
	settings := newSettings(t, "o", time.Minute)
	served, err := registrar.Find[interface{ Addr() netip.AddrPort }](homeReg, "messenger")
	if err != nil {
		t.Fatal(err)
	}
	settings.Peers = []netip.AddrPort{served.Addr()}
	other, otherReg := startEntry(t, settings, store)
	awaitMember(t, otherReg, "h")
	awaitMember(t, homeReg, "o")
	minted, err := request(t.Context(), http.MethodPost, home+"/v1/tickets", "")
	if err != nil || len(minted.Tickets) != 1 {
		t.Fatalf("mint: got %+v, %v, want one ticket", minted, err)
	}
	body := jobBody(3, time.Minute, minted.Tickets[0], `,"payload":1`)
	for _, url := range []string{other, home, other} {
		got, err := request(t.Context(), http.MethodPost, url+"/v1/jobs", body)
		if err != nil {
			t.Fatalf("submit: %v", err)
		}
		checkComplete(t, &got, 3)
	}
	if err := homeReg.Stop(context.Background()); err != nil {
		t.Fatalf("stop home: %v", err)
	}
	got, err := request(t.Context(), http.MethodPost, other+"/v1/jobs", body)
	if err != nil {
		t.Fatalf("submit after the stop: %v", err)
	}
	checkComplete(t, &got, 3)
	if got := target.starts.Load(); got != 3 {
		t.Errorf("starts: got %d, want 3", got)
	}
}

// awaitMember waits until the entry regards the host as live.
func awaitMember(t *testing.T, reg *registrar.Registrar, host medlargw.HostName) {
	t.Helper()
	members, err := registrar.Find[medlargw.Members](reg, "tracker")
	if err != nil {
		t.Fatal(err)
	}
	for t.Context().Err() == nil {
		for _, m := range members.Members() {
			if m.Host == host && m.State == medlargw.MemberLive {
				return
			}
		}
		<-time.After(time.Millisecond)
	}
}
