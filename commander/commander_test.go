package commander

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/builder"
	"medlargw.example/medlargw/loader"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/storer"
)

const (
	testAdminKey = "administration-key"
	operatorsKey = "operators-key-of-the-example"
	stopTimeout  = 30 * time.Second
)

// run runs one command and returns its output and its error.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := New()
	c.root.SetOut(&out)
	c.root.SetErr(&out)
	c.root.SetArgs(args)
	err := c.root.ExecuteContext(t.Context())
	return out.String(), err
}

// startEntry starts an entry on free ports and returns its components and its
// administration address.
func startEntry(t *testing.T, store *storer.Storer, host string, peers ...netip.AddrPort) (*registrar.Registrar, netip.AddrPort) {
	t.Helper()
	var l loader.Loader
	text := `{"host": "` + host + `", "zone": "detroit", "key": "0123456789abcdef", "admin": "` + testAdminKey + `",
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"intake": {"deadline": "1s"}, "group": {"beat": "50ms", "notice": "0s"}}`
	settings, err := l.Parse("settings", []byte(text))
	if err != nil {
		t.Fatalf("settings: %v", err)
	}
	settings.Peers = peers
	b := builder.Builder{Log: zap.NewNop(), Settings: settings, Store: store, Hosts: store}
	entry, err := b.Build()
	if err != nil {
		t.Fatalf("build: %v", err)
	}
	if err := entry.Start(t.Context()); err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() { stopEntry(t, entry) })
	return entry, addrOf(t, entry, "administrator")
}

// stopEntry stops an entry. It may be called again for a stopped entry.
func stopEntry(t *testing.T, entry *registrar.Registrar) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := entry.Stop(ctx); err != nil {
		t.Errorf("stop: %v", err)
	}
}

func addrOf(t *testing.T, entry *registrar.Registrar, component string) netip.AddrPort {
	t.Helper()
	p, err := registrar.Find[interface{ Addr() netip.AddrPort }](entry, component)
	if err != nil {
		t.Fatalf("find: %v", err)
	}
	return p.Addr()
}

// want fails the test unless the output with the error's text matches the
// pattern and the error is non-nil exactly if failing is set.
func want(t *testing.T, pattern string, failing bool, output string, err error) {
	t.Helper()
	if (err != nil) != failing {
		t.Errorf("error: got %v, want one: %t; output:\n%s", err, failing, output)
	}
	if err != nil {
		output += err.Error()
	}
	if !regexp.MustCompile(pattern).MatchString(output) {
		t.Errorf("output: got\n%s\nwant a match of %s", output, pattern)
	}
}

// TestPublishToTwoEntries publishes files to two entries and runs the other
// commands against them, also after one of the entries has stopped.
func TestPublishToTwoEntries(t *testing.T) {
	store := storer.New()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	addr := server.Listener.Addr().String()
	first, admin := startEntry(t, store, "detroit-1")
	second, _ := startEntry(t, store, "detroit-2", addrOf(t, first, "messenger"))
	store.SetHosts(medlargw.HostList{Version: 1, Entries: []medlargw.EntryHost{{Name: "detroit-1", AdminAddr: admin}}})

	out, err := run(t, "publish", "../examples", "--store", addr, "--key", "wrong", "--admin-key", testAdminKey)
	want(t, "the key may not publish team deployment", true, out, err)
	out, err = run(t, "publish", "../examples", "--store", addr, "--key", operatorsKey, "--admin-key", testAdminKey, "--dry-run")
	want(t, `(?s)\+ desk: service slip-check: class urgent.*base [0-9a-f]+`, false, out, err)
	// The entries may not have discovered each other yet.
	awaitMembers(t, admin, 2)
	out, err = run(t, "publish", "../examples", "--store", addr, "--key", operatorsKey, "--admin-key", testAdminKey, "--wait")
	want(t, "generation 1 in force on 2 of 2 entries", false, out, err)
	out, err = run(t, "status", "--admin", admin.String(), "--key", testAdminKey)
	want(t, `(?s)2 entries answered, 0 did not.*detroit-1 .*detroit-2 .*generation 1 on 2 of 2`, false, out, err)
	out, err = run(t, "evacuate", "detroit", "--store", addr, "--key", operatorsKey)
	want(t, "no target in zone detroit", true, out, err)
	store.SetHosts(medlargw.HostList{
		Version: 2, Entries: []medlargw.EntryHost{{Name: "detroit-1", AdminAddr: admin}},
		Targets: []medlargw.Target{{Name: "t", Zone: "detroit", Addr: closedAddr(t), Slots: 1}},
	})
	out, err = run(t, "evacuate", "detroit", "--store", addr, "--key", "wrong")
	want(t, "the key may not evacuate zones", true, out, err)
	out, err = run(t, "evacuate", "detroit", "--store", addr, "--key", operatorsKey, "--admin-key", testAdminKey, "--wait")
	want(t, "(?s)zone detroit is evacuated from generation 2 on.*generation 2 in force on 2 of 2 entries", false, out, err)
	out, err = run(t, "status", "--admin", admin.String(), "--key", testAdminKey)
	want(t, `(?s)EVACUATED  1 zone\n +detroit +on 2 of 2`, false, out, err)
	for range 2 {
		out, err = run(t, "evacuate", "detroit", "--back", "--store", addr, "--key", operatorsKey, "--admin-key", testAdminKey, "--wait")
		want(t, "zone detroit is in use from generation 3 on", false, out, err)
	}
	out, err = run(t, "publish", "../examples", "--store", addr, "--key", operatorsKey, "--admin-key", testAdminKey, "--wait")
	want(t, "nothing to change: generation 3 is in force", false, out, err)
	out, err = run(t, "log", "warn", "--admin", admin.String(), "--key", testAdminKey)
	want(t, `(?s)detroit-1 .*: done.*detroit-2 .*: done`, false, out, err)
	out, err = run(t, "target", "aside", "misspelt", "--admin", admin.String(), "--key", testAdminKey)
	want(t, "no entry uses a target of that name", true, out, err)

	stopEntry(t, second) // An entry that left by a planned stop does not count as unanswered.
	out, err = run(t, "report", "burn", "--admin", admin.String(), "--key", testAdminKey)
	want(t, "no job has ended", false, out, err)
	both := admin.String() + "," + closedAddr(t).String()
	out, err = run(t, "report", "burn", "--admin", both, "--key", testAdminKey)
	want(t, "(?s)no job has ended.*Entry unknown at .* did not answer", true, out, err)
	page := filepath.Join(t.TempDir(), "burn.html")
	out, err = run(t, "report", "burn", "--admin", admin.String(), "--key", testAdminKey, "--html", page)
	want(t, "wrote ", false, out, err)
	if text, err := os.ReadFile(page); err != nil || !strings.Contains(string(text), "<svg") {
		t.Errorf("page: got error %v, want a plot", err)
	}
	out, err = run(t, "publish", "../examples", "--store", addr, "--key", operatorsKey, "--admin", both,
		"--admin-key", testAdminKey, "--wait=1ms")
	want(t, `(?s)generation 3 in force on 1 of 2 entries.*did not answer.*not in force on all`, true, out, err)
}

// closedAddr returns an address without a listener.
func closedAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// awaitMembers waits until the status shows n entries.
func awaitMembers(t *testing.T, admin netip.AddrPort, n int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
	defer cancel()
	for {
		out, _ := run(t, "status", "--admin", admin.String(), "--key", testAdminKey)
		if strings.Contains(out, fmt.Sprintf("  %d entries answered", n)) {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			t.Fatalf("entries: got\n%s\nwant %d", out, n)
		}
	}
}

// TestPublishThroughAFaultyStore publishes over HTTP to a faulty store, and again
// after the faults have ended.
func TestPublishThroughAFaultyStore(t *testing.T) {
	tests := []struct {
		name   string
		faults medlargw.StoreFaults
		want   string
		fails  bool
	}{
		{name: "lost replies", faults: medlargw.StoreFaults{LostReplies: 3}, want: "generation 1 accepted"},
		{name: "slow", faults: medlargw.StoreFaults{Delay: 5 * time.Millisecond}, want: "generation 1 accepted"},
		{name: "outage", faults: medlargw.StoreFaults{Outage: true}, want: "read head", fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := storer.New()
			server := httptest.NewServer(store.Handler())
			defer server.Close()
			store.SetFaults(tt.faults)
			args := []string{
				"publish", "../examples", "--store", server.Listener.Addr().String(),
				"--key", operatorsKey, "--timeout", "2s",
			}
			out, err := run(t, args...)
			want(t, tt.want, tt.fails, out, err)
			store.SetFaults(medlargw.StoreFaults{})
			out, err = run(t, args...)
			want(t, "generation 1 (accepted|is in force)", false, out, err)
		})
	}
}

func TestNoEntriesToAsk(t *testing.T) {
	out, err := run(t, "status")
	want(t, "no entry to ask", true, out, err)
	out, err = run(t, "status", "--admin", closedAddr(t).String())
	want(t, "0 entries answered, 1 did not(?s).*DID NOT ANSWER at .*connection refused", true, out, err)
}
