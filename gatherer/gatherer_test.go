package gatherer

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/describer"
)

// fakeEntry is an HTTP server that returns a fixed status.
type fakeEntry struct {
	server   *httptest.Server
	status   medlargw.EntryStatus
	putPaths []string
}

func newFakeEntry(t *testing.T, host string) *fakeEntry {
	t.Helper()
	e := &fakeEntry{status: medlargw.EntryStatus{Self: medlargw.Member{Host: medlargw.HostName(host)}}}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer key" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if r.Method == http.MethodPut {
			e.putPaths = append(e.putPaths, r.URL.Path)
			return
		}
		var d describer.Describer
		body, _ := d.EncodeStatus(&e.status)
		if strings.HasSuffix(r.URL.Path, "/burn") {
			body, _ = d.EncodeBurnStatus(&medlargw.BurnStatus{Uncounted: 3})
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEntry) addr() netip.AddrPort {
	return netip.MustParseAddrPort(e.server.Listener.Addr().String())
}

// listMember adds a member to the status of the entry.
func (e *fakeEntry) listMember(host string, admin netip.AddrPort, state medlargw.MemberState) {
	m := medlargw.Member{Host: medlargw.HostName(host), AdminAddr: admin, State: state}
	e.status.Members = append(e.status.Members, m)
}

// closedAddr returns an address at which nothing listens.
func closedAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func summary(answers []medlargw.EntryResponse) string {
	var lines []string
	for _, a := range answers {
		lines = append(lines, fmt.Sprintf("%s %v", a.Host, a.Err))
	}
	return strings.Join(lines, "; ")
}

func TestOneAddressDiscoversAllEntries(t *testing.T) {
	a, b, c := newFakeEntry(t, "a"), newFakeEntry(t, "b"), newFakeEntry(t, "c")
	a.listMember("a", a.addr(), medlargw.MemberLive)
	a.listMember("b", b.addr(), medlargw.MemberLive)
	b.listMember("c", c.addr(), medlargw.MemberSuspect)
	b.listMember("dead", closedAddr(t), medlargw.MemberLive)
	b.listMember("gone", closedAddr(t), medlargw.MemberGone)
	b.listMember("same", a.addr(), medlargw.MemberLive) // As when both hosts listen on the same local address.
	b.listMember("hidden", netip.AddrPort{}, medlargw.MemberJoining)
	g := New("key", nil)
	defer g.Close()
	got := summary(g.Status(t.Context(), []netip.AddrPort{a.addr()}))
	want := "a <nil>; b <nil>; c <nil>; dead connect: connection refused; hidden its administration address is not known; " +
		"same its administration address is that of a"
	if got != want {
		t.Errorf("answers: got %s, want %s", got, want)
	}
	burn := g.BurnStatus(t.Context(), []netip.AddrPort{a.addr()})
	if got, want := burn[1].Burn.Uncounted, uint64(3); got != want {
		t.Errorf("burn of b: got %d, want %d", got, want)
	}
	g.SetAside(t.Context(), []netip.AddrPort{a.addr()}, "t/1", true)
	if got, want := fmt.Sprint(c.putPaths), "[/admin/v1/targets/t/1]"; got != want {
		t.Errorf("puts: got %s, want %s", got, want)
	}
}

func TestWrongKeyIsReported(t *testing.T) {
	a := newFakeEntry(t, "a")
	g := New("other", nil)
	defer g.Close()
	got := summary(g.Status(t.Context(), []netip.AddrPort{a.addr(), a.addr()}))
	if want := " got status 401, want 200"; got != want {
		t.Errorf("answers: got %q, want %q", got, want)
	}
}

func TestTLSVerifiesTheCertificate(t *testing.T) {
	var d describer.Describer
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body, _ := d.EncodeStatus(&medlargw.EntryStatus{Self: medlargw.Member{Host: "a"}})
		_, _ = w.Write(body)
	}))
	defer server.Close()
	addrs := []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}
	trusting := New("key", server.Client().Transport.(*http.Transport))
	defer trusting.Close()
	if got, want := summary(trusting.Status(t.Context(), addrs)), "a <nil>"; got != want {
		t.Errorf("with the certificate: got %s, want %s", got, want)
	}
	untrusting := New("key", &http.Transport{})
	defer untrusting.Close()
	if got := summary(untrusting.Status(t.Context(), addrs)); !strings.Contains(got, "certificate") {
		t.Errorf("without the certificate: got %s, want a certificate error", got)
	}
}
