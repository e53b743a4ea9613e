package builder

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/loader"
	"medlargw.example/medlargw/publisher"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/storer"
)

const token = "a bearer token of this test"

// newEntry starts one entry with one target and returns its URL.
func newEntry(t *testing.T, target netip.AddrPort, slots int, lease time.Duration) string {
	t.Helper()
	url, reg := startEntry(t, newSettings(t, "h", lease), newStore(t, target, slots))
	awaitReady(t, reg)
	return url
}

// newStore returns a store with a configuration, one target and one entry.
func newStore(t *testing.T, target netip.AddrPort, slots int) *storer.Storer {
	t.Helper()
	store := storer.New()
	store.SetHosts(medlargw.HostList{
		Targets: []medlargw.Target{{Name: "target", Zone: "z", Addr: target, Slots: slots}},
		Entries: []medlargw.EntryHost{{Name: "h", Zone: "z"}},
	})
	cfg := medlargw.TeamConfig{
		Team:     medlargw.Team{Name: "desk", Weight: 1, Keys: [][32]byte{sha256.Sum256([]byte(token))}},
		Classes:  []medlargw.Class{{Name: "urgent"}},
		Services: []medlargw.Service{{Name: "slip", Team: "desk", Class: "urgent"}},
	}
	if _, err := publisher.New(store).Publish(t.Context(), []medlargw.TeamConfig{cfg}); err != nil {
		t.Fatalf("publish: %v", err)
	}
	return store
}

// startEntry starts an entry and returns its URL and components.
func startEntry(t *testing.T, settings medlargw.Settings, store *storer.Storer) (string, *registrar.Registrar) {
	t.Helper()
	b := Builder{Log: zap.NewNop(), Settings: settings, Store: store, Hosts: store}
	reg, err := b.Build()
	if err != nil {
		t.Fatalf("build: %v", err)
	}
	if err := reg.Start(t.Context()); err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() { _ = reg.Stop(context.Background()) })
	component, err := registrar.Find[interface{ Addr() netip.AddrPort }](reg, "receiver")
	if err != nil {
		t.Fatal(err)
	}
	return "http://" + component.Addr().String(), reg
}

func newSettings(t *testing.T, host string, lease time.Duration) medlargw.Settings {
	t.Helper()
	var l loader.Loader
	s, err := l.Parse("test", []byte(`{"host": "`+host+`", "zone": "z", "key": "deployment-key-of-this-test", "admin": "administration-key-of-this-test"}`))
	if err != nil {
		t.Fatalf("settings: %v", err)
	}
	freePort := netip.MustParseAddrPort("127.0.0.1:0")
	s.Listen = medlargw.ListenSettings{Callers: freePort, Peers: freePort, Admin: freePort}
	s.Task.Lease = lease
	return s
}

// awaitReady waits until the entry has its configuration and its target.
func awaitReady(t *testing.T, reg *registrar.Registrar) {
	t.Helper()
	configSource, err := registrar.Find[medlargw.ConfigSource](reg, "watcher")
	if err != nil {
		t.Fatal(err)
	}
	inspector, err := registrar.Find[medlargw.Inspector](reg, "dispatcher")
	if err != nil {
		t.Fatal(err)
	}
	for t.Context().Err() == nil {
		status, err := inspector.Status(t.Context())
		if err == nil && configSource.Config() != nil && status.Free > 0 {
			return
		}
		<-time.After(time.Millisecond)
	}
}

// response holds the parts of an entry's response that the tests check.
type response struct {
	status int
	Code   string `json:"code"`
	NotRun bool   `json:"notrun"`
	Tasks  []struct {
		ID     string          `json:"id"`
		Fate   string          `json:"fate"`
		Answer json.RawMessage `json:"answer"`
	} `json:"tasks"`
	Tickets []string `json:"tickets"`
}

func request(ctx context.Context, method, url, body string) (response, error) {
	var a response
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return a, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, err
	}
	a.status = resp.StatusCode
	return a, json.Unmarshal(text, &a)
}

func jobBody(tasks int, deadline time.Duration, ticket, payload string) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"service":"slip","deadline":%q,"ticket":%q,"tasks":[`, deadline.String(), ticket)
	for i := range tasks {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"%d"%s}`, i, payload)
	}
	b.WriteString("]}")
	return b.String()
}

// TestFaults sends one job through an entry to a faulty target. No task may
// start twice, and a job may be reported as not run only if no task started.
func TestFaults(t *testing.T) {
	const long, short = 10 * time.Second, 150 * time.Millisecond
	redirect := func(status int) script {
		return respond(func(id string) string {
			return responseText(status, id, "", "Location: /v1/tasks")
		})
	}
	ok := respond(goodResponse)
	small, big := `,"payload":1`, `,"payload":"`+strings.Repeat("x", 1<<20)+`"`
	table := []struct {
		name     string
		scripts  []script
		tasks    int
		payload  string
		lease    time.Duration
		deadline time.Duration
		starts   int32
		codes    []string // Allowed codes of a failed job; empty expects a complete job.
		fates    []string // Allowed values of the key "fate" of each task in the JSON answer of a failed job.
	}{
		{"good", []script{ok}, 3, small, long, long, 3, nil, nil},
		{"empty payload", []script{ok}, 1, "", long, long, 1, nil, nil},
		{"connection refused", nil, 1, small, long, long, 0, []string{"overloaded"}, []string{"not-run"}},
		{"reset before the request", []script{resetImmediately}, 1, small, long, long, 0, []string{"attempt-lost"}, []string{"unknown"}},
		{"reset during the request", []script{resetMidRequest}, 1, big, long, long, 0, []string{"attempt-lost"}, []string{"unknown"}},
		{"reset after the request", []script{resetAfterRequest}, 1, small, long, long, 1, []string{"attempt-lost"}, []string{"unknown"}},
		{"redirect 307", []script{redirect(307), ok}, 1, small, long, long, 1, []string{"attempt-lost"}, []string{"unknown"}},
		{"redirect 308", []script{redirect(308), ok}, 1, "", long, long, 1, []string{"attempt-lost"}, []string{"unknown"}},
		{"dead idle connection", []script{ok, resetImmediately, ok}, 2, small, long, long, 1, []string{"attempt-lost"}, []string{"done", "unknown"}},
		{"dead idle connection, empty payload", []script{ok, resetImmediately, ok}, 2, "", long, long, 1, []string{"attempt-lost"}, []string{"done", "unknown"}},
		{"answer cut short", []script{truncateResponse, ok}, 1, small, long, long, 1, []string{"attempt-lost"}, []string{"unknown"}},
		{"wrong attempt ID", []script{respond(func(string) string { return goodResponse("other") })}, 1, small, long, long, 1, []string{"attempt-lost"}, []string{"unknown"}},
		{"wrong digest", []script{respond(func(id string) string { return strings.Replace(goodResponse(id), "true", "null", 1) })}, 1, small, long, long, 1, []string{"attempt-lost"}, []string{"unknown"}},
		{"busy, then good", []script{respondBusy, respondBusy, ok}, 1, small, long, long, 1, nil, nil},
		{"always busy", []script{respondBusy}, 1, small, long, long, 0, []string{"overloaded"}, []string{"not-run"}},
		{"error with a body", []script{respond(func(id string) string { return responseText(500, id, "broken") })}, 1, small, long, long, 1, []string{"task-failed"}, []string{"done"}},
		{"error of an intermediary", []script{respond(func(string) string { return responseText(502, "", "gateway") })}, 1, small, long, long, 1, []string{"attempt-lost"}, []string{"unknown"}},
		{"answer that is not JSON", []script{respond(func(id string) string { return responseText(200, id, "x") })}, 1, small, long, long, 1, []string{"task-failed"}, []string{"done"}},
		{"hang past the lease", []script{hang}, 1, small, short, long, 1, []string{"attempt-lost"}, []string{"unknown"}},
		{"late answer after the deadline", []script{hang}, 1, small, long, short, 1, []string{"deadline-passed"}, []string{"unknown"}},
		{"failure among many", []script{ok, resetAfterRequest, ok}, 5, small, long, long, 2, []string{"attempt-lost"}, []string{"done", "unknown", "not-run"}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			target := newRawTarget(t, row.scripts...)
			url := newEntry(t, target.addr, 1, row.lease)
			got, err := request(t.Context(), http.MethodPost, url+"/v1/jobs", jobBody(row.tasks, row.deadline, "", row.payload))
			if err != nil {
				t.Fatalf("submit: %v", err)
			}
			if starts := target.starts.Load(); starts != row.starts {
				t.Errorf("starts: got %d, want %d", starts, row.starts)
			}
			if row.codes == nil {
				checkComplete(t, &got, row.tasks)
				return
			}
			checkFailed(t, &got, row.codes, row.fates)
			if got.NotRun && target.starts.Load() > 0 {
				t.Error("not run: got true although a task started")
			}
		})
	}
}

func checkComplete(t *testing.T, got *response, tasks int) {
	t.Helper()
	if got.status != http.StatusOK || len(got.Tasks) != tasks {
		t.Fatalf("answer: got %+v, want %d results", got, tasks)
	}
	for i, task := range got.Tasks {
		if task.ID != fmt.Sprint(i) || string(task.Answer) != goodBody {
			t.Errorf("task %d: got %+v, want %s", i, task, goodBody)
		}
	}
}

func checkFailed(t *testing.T, got *response, codes, fates []string) {
	t.Helper()
	if !slices.Contains(codes, got.Code) || len(got.Tasks) == 0 {
		t.Fatalf("answer: got %+v, want a code of %v with fates", got, codes)
	}
	for _, task := range got.Tasks {
		if !slices.Contains(fates, task.Fate) {
			t.Errorf("task %s: got fate %q, want one of %v", task.ID, task.Fate, fates)
		}
	}
}

// TestFailureEndsJobImmediately fails one task while another hangs. The answer
// must not wait for the second task, whose request is cancelled.
func TestFailureEndsJobImmediately(t *testing.T) {
	broken := respond(func(id string) string { return responseText(http.StatusInternalServerError, id, "broken") })
	stopped := make(chan struct{})
	watch := func(target *rawTarget, c *net.TCPConn, r *bufio.Reader) bool {
		defer close(stopped)
		return hang(target, c, r)
	}
	target := newRawTarget(t, watch, broken)
	url := newEntry(t, target.addr, 2, time.Hour)
	got, err := request(t.Context(), http.MethodPost, url+"/v1/jobs", jobBody(2, time.Minute, "", `,"payload":1`))
	if err != nil {
		t.Fatalf("submit: %v", err)
	}
	checkFailed(t, &got, []string{"task-failed"}, []string{"done", "unknown"})
	if got.NotRun || got.Tasks[0].Fate == got.Tasks[1].Fate {
		t.Errorf("answer: got %+v, want one task done and one unknown", got)
	}
	<-stopped
}

// TestDuplicateResponses sends two responses to each request. The second one
// must not be taken for the response to the next task.
func TestDuplicateResponses(t *testing.T) {
	twice := respond(func(id string) string { return goodResponse(id) + goodResponse(id) })
	target := newRawTarget(t, twice)
	url := newEntry(t, target.addr, 1, 10*time.Second)
	const tasks = 5
	got, err := request(t.Context(), http.MethodPost, url+"/v1/jobs", jobBody(tasks, time.Minute, "", `,"payload":1`))
	if err != nil {
		t.Fatalf("submit: %v", err)
	}
	if starts := target.starts.Load(); starts > tasks {
		t.Errorf("starts: got %d, want at most %d", starts, tasks)
	}
	if got.status == http.StatusOK {
		checkComplete(t, &got, tasks)
		return
	}
	checkFailed(t, &got, []string{"attempt-lost"}, []string{"done", "unknown", "not-run"})
}

// TestCallerDisconnects checks that the running task of a job is cancelled when
// the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	stopped := make(chan struct{})
	watch := func(target *rawTarget, c *net.TCPConn, r *bufio.Reader) bool {
		defer close(stopped)
		return hang(target, c, r)
	}
	target := newRawTarget(t, watch)
	url := newEntry(t, target.addr, 1, time.Minute)
	ctx, disconnect := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := request(ctx, http.MethodPost, url+"/v1/jobs", jobBody(3, time.Minute, "", `,"payload":1`))
		ended <- err
	}()
	<-target.received
	disconnect()
	if err := <-ended; err == nil {
		t.Error("submit: got an answer, want none")
	}
	<-stopped // The target notices that the request was cancelled.
	if got := target.starts.Load(); got != 1 {
		t.Errorf("starts: got %d, want 1", got)
	}
}

// TestCancelRacingCompletion cancels a ticketed job while its target responds.
// The submission, the cancellation and a resubmission must report the same
// outcome.
func TestCancelRacingCompletion(t *testing.T) {
	target := newRawTarget(t, respond(goodResponse))
	url := newEntry(t, target.addr, 1, time.Minute)
	for range 20 {
		before := target.starts.Load()
		minted, err := request(t.Context(), http.MethodPost, url+"/v1/tickets", "")
		if err != nil || len(minted.Tickets) != 1 {
			t.Fatalf("mint: got %+v, %v, want one ticket", minted, err)
		}
		body := jobBody(1, time.Minute, minted.Tickets[0], `,"payload":1`)
		submitted := make(chan response, 1)
		go func() {
			a, _ := request(t.Context(), http.MethodPost, url+"/v1/jobs", body)
			submitted <- a
		}()
		<-target.received
		cancelled, err := request(t.Context(), http.MethodDelete, url+"/v1/jobs/"+minted.Tickets[0], "")
		if err != nil {
			t.Fatalf("cancel: %v", err)
		}
		first := <-submitted
		again, err := request(t.Context(), http.MethodPost, url+"/v1/jobs", body)
		if err != nil {
			t.Fatalf("submit again: %v", err)
		}
		if first.Code != cancelled.Code || again.Code != first.Code {
			t.Errorf("codes: got %q, %q and %q, want the same", first.Code, cancelled.Code, again.Code)
		}
		if first.NotRun || target.starts.Load() != before+1 {
			t.Errorf("got not run %v and %d starts, want false and 1", first.NotRun, target.starts.Load()-before)
		}
	}
}
