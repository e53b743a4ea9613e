package sender

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

var update = flag.Bool("update", false, "write the golden files")

var testTask = medlargw.TaskSettings{
	Lease: 10 * time.Second, Answer: 64, Connect: time.Second, Conns: 64,
}

func attemptTo(addr, payload string) *medlargw.Attempt {
	return &medlargw.Attempt{
		ID:         "TAG",
		Job:        &medlargw.Job{Service: "slip", Tasks: []medlargw.Task{{ID: "a", Payload: []byte(payload)}}},
		Addr:       netip.MustParseAddrPort(addr),
		MaxRunTime: 10 * time.Second,
	}
}

// date matches the only header that differs between two runs of the test.
var date = regexp.MustCompile("(?m)^Date: .*\r\n")

// TestGoldenExchanges compares requests to a target and their responses with
// the golden files that docs/target-protocol.md shows.
func TestGoldenExchanges(t *testing.T) {
	table := []struct {
		name    string
		payload string
		answer  func(w http.ResponseWriter)
		want    medlargw.AttemptEnd
	}{
		{"success", `{"slab":7}`, func(w http.ResponseWriter) {
			w.Header().Set(headerDigest, digest([]byte(`{"slip":0.61}`)))
			_, _ = io.WriteString(w, `{"slip":0.61}`)
		}, medlargw.AttemptEnd{Kind: medlargw.EndSucceeded, Body: []byte(`{"slip":0.61}`)}},
		{"failure", `{"slab":7}`, func(w http.ResponseWriter) {
			w.Header().Set(headerDigest, digest([]byte("no such slab")))
			w.WriteHeader(http.StatusUnprocessableEntity)
			_, _ = io.WriteString(w, "no such slab")
		}, medlargw.AttemptEnd{Kind: medlargw.EndFailed, Message: "no such slab"}},
		{"busy", `{"slab":7}`, func(w http.ResponseWriter) {
			w.Header().Set(headerNotStarted, "busy")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, medlargw.AttemptEnd{Kind: medlargw.EndNotStarted, Reason: medlargw.ReasonBusy}},
		{"leaving", "", func(w http.ResponseWriter) {
			w.Header().Set(headerNotStarted, "leaving")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, medlargw.AttemptEnd{Kind: medlargw.EndNotStarted, Reason: medlargw.ReasonDraining}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			var exchange bytes.Buffer
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Host = "TARGET"
				text, _ := httputil.DumpRequest(r, true)
				exchange.Write(text)
				recorder := httptest.NewRecorder()
				recorder.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
				row.answer(recorder)
				reply, _ := httputil.DumpResponse(recorder.Result(), true)
				fmt.Fprintf(&exchange, "\n\n%s\n", reply)
				w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
				row.answer(w)
			}))
			defer server.Close()
			s := New(testTask, "z")
			got := s.Send(t.Context(), attemptTo(server.Listener.Addr().String(), row.payload))
			if err := s.Stop(t.Context()); err != nil {
				t.Fatalf("stop: %v", err)
			}
			got.Elapsed = 0
			if fmt.Sprint(got) != fmt.Sprint(row.want) {
				t.Errorf("end: got %+v, want %+v", got, row.want)
			}
			compare(t, row.name, date.ReplaceAllString(exchange.String(), ""))
		})
	}
}

func compare(t *testing.T, name, got string) {
	t.Helper()
	got = strings.ReplaceAll(got, "\r", "")
	file := filepath.Join("testdata", name+".http")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	if got != string(want) {
		t.Errorf("exchange: got\n%s\nwant\n%s", got, want)
	}
}

// TestRequestCantBeResent checks all properties of a request that would let the
// transport of net/http retry it.
func TestRequestCantBeResent(t *testing.T) {
	for _, payload := range []string{"", "1"} {
		req := newRequest(context.Background(), attemptTo("127.0.0.1:1", payload))
		if req.GetBody != nil {
			t.Errorf("payload %q: got GetBody, want none", payload)
		}
		if req.Method != http.MethodPost {
			t.Errorf("payload %q: got method %s, want POST, which is not idempotent", payload, req.Method)
		}
		for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
			if _, ok := req.Header[name]; ok {
				t.Errorf("payload %q: got header %s, want none", payload, name)
			}
		}
	}
}

// TestSendAfterLoanExpired checks that a slot is not used after its loan has
// expired.
func TestSendAfterLoanExpired(t *testing.T) {
	a := attemptTo("127.0.0.1:1", "1")
	a.SlotExpiresAt = time.Now().Add(-time.Second)
	got := New(testTask, "z").Send(t.Context(), a)
	if got.Kind != medlargw.EndNotStarted || got.Reason != medlargw.ReasonLoanExpired {
		t.Errorf("end: got %+v, want not started for the loan's end", got)
	}
}

// TestLoanExpiresWhileConnecting checks that nothing is sent if the loan expires
// while the connection is being made.
func TestLoanExpiresWhileConnecting(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	s := New(testTask, "z")
	a := attemptTo(server.Listener.Addr().String(), "1")
	a.SlotExpiresAt = time.Now().Add(time.Minute)
	transport := s.transport.Load()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		a.SlotExpiresAt = time.Now().Add(-time.Minute)
		return dial(ctx, network, addr)
	}
	got := s.Send(t.Context(), a)
	if got.Kind != medlargw.EndNotStarted || got.Reason != medlargw.ReasonLoanExpired || requests.Load() != 0 {
		t.Errorf("end: got %+v and %d requests, want not started for the loan's end and none", got, requests.Load())
	}
}

// TestConnectionsAreSharedAmongEntries checks that an entry opens no more
// connections to a target than its share among the entries of the zone.
func TestConnectionsAreSharedAmongEntries(t *testing.T) {
	const entries, attempts = 32, 10
	var conns atomic.Int32
	release := make(chan struct{})
	arrived := make(chan struct{}, attempts)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		w.Header().Set(headerDigest, digest([]byte("1")))
		_, _ = io.WriteString(w, "1")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	s := New(testTask, "z")
	members := make([]medlargw.Member, entries)
	for i := range members {
		members[i] = medlargw.Member{Zone: "z", State: medlargw.MemberLive}
	}
	s.MembersChanged(append(members, medlargw.Member{Zone: "other"}, medlargw.Member{Zone: "z", State: medlargw.MemberGone}))
	ends := make(chan medlargw.AttemptEnd, attempts)
	for range attempts {
		go func() { ends <- s.Send(t.Context(), attemptTo(server.Listener.Addr().String(), "1")) }()
	}
	<-arrived
	<-arrived
	close(release)
	for range attempts {
		if end := <-ends; end.Kind != medlargw.EndSucceeded {
			t.Errorf("end: got %+v, want success", end)
		}
	}
	if got, want := conns.Load(), int32(testTask.Conns/entries); got > want {
		t.Errorf("connections: got %d, want at most %d", got, want)
	}
}

// BenchmarkNewRequest measures the cost of building the request of an attempt.
func BenchmarkNewRequest(b *testing.B) {
	a := attemptTo("127.0.0.1:1", `{"number":1,"run":50000}`)
	b.ReportAllocs()
	for b.Loop() {
		_ = newRequest(context.Background(), a)
	}
}
