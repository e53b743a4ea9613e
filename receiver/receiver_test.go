package receiver

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/keeper"
	"medlargw.example/medlargw/minter"
	"medlargw.example/medlargw/registrar"
)

var update = flag.Bool("update", false, "write the golden files")

const token = "desk-token"

// stubComponent is a stub of the components "dispatcher" and "watcher".
type stubComponent struct {
	name string
	jobs chan *medlargw.Job
	done chan struct{}
}

func newStubComponent(name string) *stubComponent {
	c := &stubComponent{name: name, jobs: make(chan *medlargw.Job, 100), done: make(chan struct{})}
	close(c.done)
	return c
}

func (c *stubComponent) Name() string              { return c.name }
func (*stubComponent) Start(context.Context) error { return nil }
func (*stubComponent) Stop(context.Context) error  { return nil }
func (c *stubComponent) Done() <-chan struct{}     { return c.done }

func (*stubComponent) Config() *medlargw.Config {
	return &medlargw.Config{
		Teams:    []medlargw.Team{{Name: "desk", Keys: [][32]byte{sha256.Sum256([]byte(token))}}},
		Services: []medlargw.Service{{Name: "slip", Team: "desk", Class: "urgent"}, {Name: "ice", Team: "survey"}},
	}
}

// Submit answers each task with its payload. The task ID "full" gets the job
// refused, and "bad" makes the task fail.
func (c *stubComponent) Submit(_ context.Context, job *medlargw.Job) medlargw.Outcome {
	c.jobs <- job
	o := medlargw.Outcome{Complete: true}
	for i := range job.Tasks {
		switch job.Tasks[i].ID {
		case "full":
			return medlargw.RefusedOutcome(job, medlargw.CodeOverloaded, "too many tasks wait", 1500*time.Millisecond)
		case "bad":
			f := medlargw.RefusedOutcome(job, medlargw.CodeTaskFailed, `task "bad" failed: no such slab`, 0)
			f.Tasks[i].Execution = medlargw.ExecutionFinished
			return f
		}
		o.Tasks = append(o.Tasks, medlargw.TaskResult{ID: job.Tasks[i].ID, Execution: medlargw.ExecutionFinished, Body: job.Tasks[i].Payload})
	}
	return o
}

func newReceiver(t *testing.T, tlsConfig *tls.Config) (*Receiver, *stubComponent) {
	t.Helper()
	reg := registrar.New(zap.NewNop())
	settings := medlargw.Settings{
		Host:   "h",
		Listen: medlargw.ListenSettings{Callers: netip.MustParseAddrPort("127.0.0.1:0")},
		Intake: medlargw.IntakeSettings{
			Tasks: 290, Body: 1 << 16, Bytes: 1 << 20, Read: 200 * time.Millisecond,
			Deadline: time.Minute, Kept: time.Minute, Ticket: 2 * time.Minute,
		},
	}
	c := newStubComponent("dispatcher")
	rc := New(zap.NewNop(), reg, settings, tlsConfig, metrics.NewRegistry())
	mint := minter.New("a deployment key of this test", "h", 1, time.Now(), settings.Intake.Ticket)
	reg.Add(c, newStubComponent("watcher"), keeper.New(zap.NewNop(), reg, settings, mint), rc)
	if err := reg.Start(t.Context()); err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() { _ = reg.Stop(context.Background()) })
	return rc, c
}

// exchange sends the text of one request over a new connection and returns the
// text of the response.
func exchange(t *testing.T, addr netip.AddrPort, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatalf("write: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read answer: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := httputil.DumpResponse(resp, true)
	if err != nil {
		t.Fatalf("read answer: %v", err)
	}
	return string(text)
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: ENTRY\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, token, len(body), body)
}

func bodiless(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ENTRY\r\nAuthorization: Bearer %s\r\n\r\n", method, path, token)
}

var (
	date   = regexp.MustCompile(`(?m)^Date: .*\n`)
	ticket = regexp.MustCompile(`\["([A-Za-z0-9_-]{50,})"`)
)

// TestGoldenSessions runs sequences of requests and compares them, with their
// responses, with the golden files that docs/caller-api.md shows.
func TestGoldenSessions(t *testing.T) {
	job := func(more string) string {
		return post("/v1/jobs", `{"service":"slip","deadline":"5s"`+more+`,"tasks":[{"id":"a","payload":{"slab":7}},{"id":"b","payload":[1,2]}]}`)
	}
	one := func(service, id string) string {
		return post("/v1/jobs", `{"service":"`+service+`","tasks":[{"id":"`+id+`","payload":1}]}`)
	}
	table := []struct {
		name     string
		requests []string
		jobs     int
	}{
		{"submit", []string{job("")}, 1},
		{"ticket", []string{
			post("/v1/tickets", `{"count":1}`),
			bodiless("GET", "/v1/jobs/TICKET"),
			job(`,"ticket":"TICKET"`),
			job(`,"ticket":"TICKET"`),
			bodiless("GET", "/v1/jobs/TICKET"),
			bodiless("DELETE", "/v1/jobs/TICKET"),
			job(`,"ticket":"TICKET","idempotent":true`),
		}, 1},
		{"cancelled", []string{
			post("/v1/tickets", `{}`), bodiless("DELETE", "/v1/jobs/TICKET"), job(`,"ticket":"TICKET"`),
		}, 0},
		{"refused", []string{one("slip", "full"), one("slip", "bad")}, 2},
		{"faulty", []string{
			strings.Replace(job(""), token, "other", 1),
			strings.Replace(job(""), "Authorization", "X-Other", 1),
			post("/v1/jobs", `{"service":`),
			post("/v1/jobs", `{"service":"slip","tasks":[]}`),
			post("/v1/jobs", `{"service":"slip","tasks":[{"id":"a"},{"id":"a"}]}`),
			post("/v1/jobs", `{"service":"slip","deadline":"soon","tasks":[{"id":"a"}]}`),
			post("/v1/jobs", `{"service":"slip","tasks":[`+strings.TrimSuffix(strings.Repeat(`{"id":"a"},`, 291), ",")+`]}`),
			one("unknown", "a"),
			one("ice", "a"),
			one("slip", `a","ticket":"misplaced`),
			job(`,"ticket":"forged"`),
			post("/v1/tickets", `{"count":1001}`),
		}, 0},
		{"astray", []string{bodiless("GET", "/v2/jobs"), bodiless("PUT", "/v1/jobs")}, 0},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			rc, c := newReceiver(t, nil)
			var session strings.Builder
			minted := "TICKET"
			for _, request := range row.requests {
				sent := strings.ReplaceAll(request, "TICKET", minted)
				if head, body, ok := strings.Cut(sent, "\r\n\r\n"); ok && body != "" {
					sent = regexp.MustCompile(`Content-Length: \d+`).ReplaceAllString(head, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n\r\n" + body
				}
				got := exchange(t, rc.Addr(), sent)
				if found := ticket.FindStringSubmatch(got); found != nil {
					minted = found[1]
				}
				fmt.Fprintf(&session, ">>>\n%s\n<<<\n%s\n\n", shorten(request), strings.ReplaceAll(got, minted, "TICKET"))
			}
			compare(t, row.name, date.ReplaceAllString(strings.ReplaceAll(session.String(), "\r", ""), ""))
			if got := len(c.jobs); got != row.jobs {
				t.Errorf("jobs begun: got %d, want %d", got, row.jobs)
			}
			checkStillServing(t, rc)
		})
	}
}

// shorten truncates long requests for the golden files.
func shorten(request string) string {
	const most = 400
	if len(request) > most {
		return request[:most] + "..."
	}
	return request
}

func compare(t *testing.T, name, got string) {
	t.Helper()
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
		t.Errorf("session: got\n%s\nwant\n%s", got, want)
	}
}

// checkStillServing checks that the receiver still serves a valid request.
func checkStillServing(t *testing.T, rc *Receiver) {
	t.Helper()
	got := exchange(t, rc.Addr(), post("/v1/jobs", `{"service":"slip","tasks":[{"id":"z","payload":3}]}`))
	if !strings.HasPrefix(got, "HTTP/1.1 200") || !strings.Contains(got, `{"tasks":[{"id":"z","answer":3}]}`) {
		t.Errorf("a good request afterwards: got\n%s\nwant a whole answer", got)
	}
}

// TestMalformedRequests sends incomplete, slow, oversized and invalid requests as
// raw bytes. Each must be refused without a job, and the receiver must still
// serve afterwards.
func TestMalformedRequests(t *testing.T) {
	unfinished := strings.Replace(post("/v1/jobs", `{"service":"slip"`), "Content-Length: 17", "Content-Length: 99", 1)
	big := post("/v1/jobs", `{"service":"slip","tasks":[{"id":"a","payload":"`+strings.Repeat("x", 1<<16)+`"}]}`)
	table := []struct {
		name, request string
		closeWrite    bool // Closes the connection for writing after the request.
		status, code  string
	}{
		{"body cut short", unfinished, true, "400", "bad-request"},
		{"slow body", unfinished, false, "408", "too-slow"},
		{"body too large", big, false, "413", "too-large"},
		{"header too large", "GET /healthz HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", false, "431", ""},
		{"no HTTP", "hello\r\n\r\n", false, "400", ""},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			rc, c := newReceiver(t, nil)
			conn, err := net.Dial("tcp", rc.Addr().String())
			if err != nil {
				t.Fatalf("dial: %v", err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, row.request) // May fail if the server answers early.
			if row.closeWrite {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			text, _ := io.ReadAll(io.LimitReader(conn, 1<<10))
			got := string(text)
			if !strings.HasPrefix(got, "HTTP/1.1 "+row.status) || !strings.Contains(got, row.code) {
				t.Errorf("answer: got\n%s\nwant status %s and code %q", got, row.status, row.code)
			}
			if got := len(c.jobs); got != 0 {
				t.Errorf("jobs begun: got %d, want 0", got)
			}
			checkStillServing(t, rc)
		})
	}
}

// TestTLS checks that the receiver serves HTTPS with a given certificate, and
// rejects plain HTTP.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	rc, _ := newReceiver(t, &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, MinVersion: tls.VersionTLS12})
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("https://" + rc.Addr().String() + "/readyz")
	if err != nil {
		t.Fatalf("get: %v", err)
	}
	_ = resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusNoContent; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	resp, err = http.Get("http://" + rc.Addr().String() + "/readyz")
	if err != nil {
		t.Fatalf("get without TLS: %v", err)
	}
	_ = resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusBadRequest; got != want {
		t.Errorf("status without TLS: got %d, want %d", got, want)
	}
}
