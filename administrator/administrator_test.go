package administrator

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/describer"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/reporter"
)

var update = flag.Bool("update", false, "write the golden files")

const adminKey = "administration-key"

// fakeComponent is a fake of the components whose state the administrator
// shows.
type fakeComponent struct {
	medlargw.ForwardHandler // Only UsedTickets is called.

	name  string
	aside []string
	now   time.Time
}

func (f *fakeComponent) Name() string                       { return f.name }
func (*fakeComponent) Start(context.Context) error          { return nil }
func (*fakeComponent) Stop(context.Context) error           { return nil }
func (*fakeComponent) Done() <-chan struct{}                { return nil }
func (f *fakeComponent) Self() medlargw.Member              { return f.Members()[0] }
func (*fakeComponent) Config() *medlargw.Config             { return testConfig }
func (f *fakeComponent) UsedTickets() []medlargw.UsedTicket { return f.used() }

func (f *fakeComponent) used() []medlargw.UsedTicket {
	return []medlargw.UsedTicket{
		{Ticket: "t-running", Expires: f.now.Add(time.Minute)},
		{Ticket: "t-ended", Expires: f.now.Add(time.Minute), JobEnded: true, Status: 200, Body: []byte("secret")},
	}
}

func (f *fakeComponent) Members() []medlargw.Member {
	return []medlargw.Member{
		{
			Host: "detroit-1", Zone: "detroit", State: medlargw.MemberLive, LastHeard: f.now,
			Addr: netip.MustParseAddrPort("10.0.0.1:8081"), AdminAddr: netip.MustParseAddrPort("10.0.0.1:8082"),
		},
		{Host: "cleveland-1", Zone: "cleveland", State: medlargw.MemberSuspect, LastHeard: f.now.Add(-4 * time.Second)},
	}
}

func (f *fakeComponent) SetAside(target medlargw.TargetName, aside bool) {
	f.aside = append(f.aside, fmt.Sprint(target, " ", aside))
}

func (f *fakeComponent) Status(context.Context) (medlargw.DispatchStatus, error) {
	target := medlargw.Target{Name: "t1", Zone: "detroit", Addr: netip.MustParseAddrPort("10.0.1.1:7900")}
	return medlargw.DispatchStatus{
		Jobs: 2, Running: 3, Free: 5,
		Queues: []medlargw.QueueStatus{{Rank: 0, Team: "desk", Tasks: 7}},
		Targets: []medlargw.TargetStatus{
			{Target: target, Slots: 8, Used: 3, State: medlargw.TargetQuarantined, Reason: "fails", Since: f.now},
		},
		Limits: []medlargw.LimitStatus{{Team: "desk", Running: 3, Limit: medlargw.Limit{Running: 3}, Blocked: true}},
		Lent:   []medlargw.LoanStatus{{Peer: "detroit-2", Name: "t1", Amount: 4, ExpiresAt: f.now.Add(time.Second)}},
	}, nil
}

var testConfig = &medlargw.Config{
	Generation: 7,
	Classes:    []medlargw.Class{{Name: "urgent", Objective: medlargw.Objective{SuccessRatio: 0.99, ResponseTime: time.Second}}},
	Services:   []medlargw.Service{{Name: "slip", Team: "desk", Class: "urgent"}},
	Teams:      []medlargw.Team{{Name: "desk", Weight: 1}},
	Evacuated:  []medlargw.ZoneName{"buffalo"},
}

// newAdministrator returns an administrator of fake components, and the
// fake of the dispatcher.
func newAdministrator(t *testing.T) (*Administrator, *fakeComponent) {
	t.Helper()
	now := time.Now()
	reg := registrar.New(zap.NewNop())
	registry := metrics.NewRegistry()
	report := reporter.New(zap.NewNop(), reg, registry, now)
	core := &fakeComponent{name: "dispatcher", now: now}
	for _, name := range []string{"watcher", "tracker", "keeper"} {
		reg.Add(&fakeComponent{name: name, now: now})
	}
	reg.Add(core, report)
	if err := report.Start(t.Context()); err != nil {
		t.Fatalf("start reporter: %v", err)
	}
	t.Cleanup(func() { _ = report.Stop(context.Background()) })
	metrics.GetOrRegisterCounter("jobs.complete", registry).Inc(2)
	for _, complete := range []bool{true, false} {
		report.JobEnded(medlargw.JobSummary{
			Team: "desk", Class: "urgent", Ended: now, ResponseTime: 40 * time.Millisecond, Complete: complete,
		})
	}
	settings := medlargw.Settings{Host: "detroit-1", Zone: "detroit", Admin: adminKey}
	a := New(zap.NewNop(), reg, settings, nil, registry, zap.NewAtomicLevel(), "0.1.0")
	if err := a.findComponents(); err != nil {
		t.Fatalf("find components: %v", err)
	}
	a.started = now
	return a, core
}

// request is one request of a session.
type request struct {
	method     string
	path       string
	body       string
	acceptText bool // Whether to request text instead of JSON.
	noKey      bool
}

// runSession sends the requests and returns the session in the format of the
// golden files.
func runSession(a *Administrator, requests []request) string {
	handler := a.authenticate(a.routes())
	var session bytes.Buffer
	for _, q := range requests {
		r := httptest.NewRequest(q.method, q.path, strings.NewReader(q.body))
		fmt.Fprintf(&session, "> %s %s\n", q.method, q.path)
		if !q.noKey {
			r.Header.Set("Authorization", "Bearer "+adminKey)
		}
		if q.acceptText {
			r.Header.Set("Accept", "text/plain")
			session.WriteString("> Accept: text/plain\n")
		}
		if q.body != "" {
			fmt.Fprintf(&session, "> \n> %s\n", q.body)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		fmt.Fprintf(&session, "< %d %s\n< Content-Type: %s\n\n%s\n", w.Code, http.StatusText(w.Code),
			w.Header().Get("Content-Type"), strings.TrimSuffix(w.Body.String(), "\n")+"\n")
	}
	return session.String()
}

func TestSessions(t *testing.T) {
	tests := []struct {
		name     string
		requests []request
	}{
		{name: "status", requests: []request{{method: "GET", path: "/admin/v1/status"}}},
		{name: "parts", requests: []request{
			{method: "GET", path: "/admin/v1/config"},
			{method: "GET", path: "/admin/v1/members"},
			{method: "GET", path: "/admin/v1/targets"},
			{method: "GET", path: "/admin/v1/queues"},
			{method: "GET", path: "/admin/v1/limits"},
			{method: "GET", path: "/admin/v1/loans"},
		}},
		{name: "jobs", requests: []request{
			{method: "GET", path: "/admin/v1/jobs/t-running"},
			{method: "GET", path: "/admin/v1/jobs/t-ended"},
			{method: "GET", path: "/admin/v1/jobs/other"},
		}},
		{name: "metrics", requests: []request{
			{method: "GET", path: "/admin/v1/metrics"},
			{method: "GET", path: "/admin/v1/metrics", acceptText: true},
		}},
		{name: "burn", requests: []request{{method: "GET", path: "/admin/v1/burn"}}},
		{name: "actions", requests: []request{
			{method: "PUT", path: "/admin/v1/targets/t1", body: `{"aside": true}`},
			{method: "PUT", path: "/admin/v1/targets/t1", body: `{"aside": false}`},
			{method: "PUT", path: "/admin/v1/targets/other", body: `{"aside": true}`},
			{method: "GET", path: "/admin/v1/log"},
			{method: "PUT", path: "/admin/v1/log", body: `{"level": "debug"}`},
			{method: "GET", path: "/admin/v1/log"},
		}},
		{name: "refusals", requests: []request{
			{method: "GET", path: "/admin/v1/status", noKey: true},
			{method: "GET", path: "/admin/v1/stauts"},
			{method: "DELETE", path: "/admin/v1/log"},
			{method: "PUT", path: "/admin/v1/targets/t1", body: `{}`},
			{method: "PUT", path: "/admin/v1/targets/t1", body: `{"asdie": true}`},
			{method: "PUT", path: "/admin/v1/log", body: `{"level": "loud"}`},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, core := newAdministrator(t)
				got := runSession(a, tt.requests)
				compareGolden(t, filepath.Join("testdata", tt.name+".golden"), got)
				if got, want := fmt.Sprint(core.aside), "[t1 true t1 false other true]"; tt.name == "actions" && got != want {
					t.Errorf("set aside: got %s, want %s", got, want)
				}
			})
		})
	}
}

// compareGolden fails the test if the text differs from the golden file. With
// -update it writes the golden file first.
func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatalf("write golden file: %v", err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read golden file: %v", err)
	}
	if got != string(want) {
		t.Errorf("session:\ngot  %s\nwant %s", got, want)
	}
}

// BenchmarkStatusOfDesignSize encodes the status of one of 27 entries that uses a
// ninth of 550 targets and has work of 360 teams.
func BenchmarkStatusOfDesignSize(b *testing.B) {
	var s medlargw.EntryStatus
	for n := range 360 {
		team := medlargw.TeamName(fmt.Sprint("team-", n))
		s.Dispatch.Queues = append(s.Dispatch.Queues, medlargw.QueueStatus{Team: team, Tasks: n})
		s.Dispatch.Limits = append(s.Dispatch.Limits, medlargw.LimitStatus{Team: team, Running: n})
	}
	for n := range 550 / 9 {
		target := medlargw.Target{Name: medlargw.TargetName(fmt.Sprint("target-", n)), Zone: "detroit"}
		s.Dispatch.Targets = append(s.Dispatch.Targets, medlargw.TargetStatus{Target: target, Slots: 8})
	}
	for n := range 27 {
		s.Members = append(s.Members, medlargw.Member{Host: medlargw.HostName(fmt.Sprint("host-", n))})
	}
	var d describer.Describer
	size := 0
	for b.Loop() {
		body, err := d.EncodeStatus(&s)
		if err != nil {
			b.Fatal(err)
		}
		size = len(body)
	}
	b.ReportMetric(float64(size), "bytes")
}
