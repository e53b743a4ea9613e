package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/minter"
	"medlargw.example/medlargw/registrar"
)

const (
	testKey        = "a deployment key of this test"
	testLifetime   = time.Minute
	jobDuration    = time.Second
	submissionBody = `{"service":"slip","deadline":"30s","tasks":[{"id":"a","payload":1}]}`
)

// stubComponent is a stub of the components that a keeper uses.
type stubComponent struct {
	name    string
	submits int
	members []medlargw.Member
	peers   map[netip.AddrPort]*Keeper
}

func (s *stubComponent) Name() string                 { return s.name }
func (*stubComponent) Start(context.Context) error    { return nil }
func (*stubComponent) Stop(context.Context) error     { return nil }
func (*stubComponent) Done() <-chan struct{}          { return closedChan() }
func (s *stubComponent) Self() medlargw.Member        { return s.members[0] }
func (s *stubComponent) Members() []medlargw.Member   { return s.members }
func (*stubComponent) Config() *medlargw.Config       { return testConfig }
func (s *stubComponent) messenger() (m stubMessenger) { m.peers = s.peers; return m }

var testConfig = &medlargw.Config{Services: []medlargw.Service{{Name: "slip", Team: "desk"}}}

// Submit ends each job with success after jobDuration.
func (s *stubComponent) Submit(ctx context.Context, job *medlargw.Job) medlargw.Outcome {
	s.submits++
	select {
	case <-time.After(jobDuration):
		return medlargw.Outcome{Complete: true, Tasks: []medlargw.TaskResult{{ID: "a", Execution: medlargw.ExecutionFinished, Body: []byte("1")}}}
	case <-ctx.Done():
		o := medlargw.RefusedOutcome(job, medlargw.CodeCancelled, "cancelled", 0)
		o.Tasks[0].Execution = medlargw.ExecutionUnknown
		return o
	}
}

// stubMessenger forwards requests to keepers in the same process.
type stubMessenger struct {
	medlargw.Messenger
	*stubComponent
	peers map[netip.AddrPort]*Keeper
}

func (m stubMessenger) Forward(ctx context.Context, to netip.AddrPort, r medlargw.ForwardRequest) (medlargw.ForwardReply, error) {
	if peer := m.peers[to]; peer != nil {
		return peer.HandleForward(ctx, r)
	}
	return medlargw.ForwardReply{}, errors.New("connection refused")
}

// testCluster has two entries: the home "h" of the tickets, and "o".
type testCluster struct {
	home, other     *Keeper
	homeDispatcher  *stubComponent
	otherDispatcher *stubComponent
	tracker         *stubComponent
	peers           map[netip.AddrPort]*Keeper
}

var (
	homeAddr  = netip.MustParseAddrPort("10.0.0.1:1")
	otherAddr = netip.MustParseAddrPort("10.0.0.2:1")
)

func newTestCluster(t *testing.T) *testCluster {
	c := &testCluster{
		homeDispatcher:  &stubComponent{name: "dispatcher"},
		otherDispatcher: &stubComponent{name: "dispatcher"},
		tracker: &stubComponent{name: "tracker", members: []medlargw.Member{
			{Host: "h", Incarnation: 1, Addr: homeAddr, State: medlargw.MemberLive},
			{Host: "o", Incarnation: 2, Addr: otherAddr, State: medlargw.MemberLive},
		}},
		peers: map[netip.AddrPort]*Keeper{},
	}
	c.home = c.startKeeper(t, "h", 1, c.homeDispatcher)
	c.other = c.startKeeper(t, "o", 2, c.otherDispatcher)
	c.peers[homeAddr] = c.home
	c.peers[otherAddr] = c.other
	return c
}

func (c *testCluster) startKeeper(t *testing.T, host medlargw.HostName, inc medlargw.Incarnation, dispatcher *stubComponent) *Keeper {
	t.Helper()
	reg := registrar.New(zap.NewNop())
	m := &stubComponent{name: "messenger", peers: c.peers}
	reg.Add(dispatcher, &stubComponent{name: "watcher"}, c.tracker, stubMessengerComponent{m.messenger(), m})
	s := medlargw.Settings{Host: host, Intake: medlargw.IntakeSettings{
		Tasks: 10, Bytes: 1 << 20, Deadline: time.Minute, Kept: testLifetime, Ticket: testLifetime,
	}}
	k := New(zap.NewNop(), reg, s, minter.New(testKey, host, inc, time.Now(), testLifetime))
	if err := k.Start(t.Context()); err != nil {
		t.Fatalf("start keeper: %v", err)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	return k
}

type stubMessengerComponent struct {
	medlargw.Messenger
	medlargw.Component
}

func request(verb medlargw.ForwardVerb, ticket string) medlargw.ForwardRequest {
	r := medlargw.ForwardRequest{Ticket: ticket, Verb: verb, Team: "desk"}
	if verb == medlargw.ForwardSubmit {
		r.Body = []byte(submissionBody)
	}
	return r
}

// problem has the fields of an answer that the tests check.
type problem struct {
	Code   string `json:"code"`
	NotRun bool   `json:"notrun"`
}

// TestTicketLifecycle makes a sequence of requests with one ticket. It checks
// the code and the "notrun" flag of each answer, and the number of started jobs.
func TestTicketLifecycle(t *testing.T) {
	submit, get, cancel := medlargw.ForwardSubmit, medlargw.ForwardGet, medlargw.ForwardCancel
	type step struct {
		before  func(t *testing.T, c *testCluster) // Runs before the request, unless nil.
		atOther bool                               // Sends the request to the other entry.
		verb    medlargw.ForwardVerb
		code    string // Empty for a complete job.
		notRun  bool
	}
	wait := func(d time.Duration) func(*testing.T, *testCluster) {
		return func(*testing.T, *testCluster) {
			<-time.After(d)
			synctest.Wait() // Lets all goroutines run whose timers fire at the same instant.
		}
	}
	disconnectHome := func(_ *testing.T, c *testCluster) { delete(c.peers, homeAddr) }
	restart := func(t *testing.T, c *testCluster) {
		c.home = c.startKeeper(t, "h", 9, &stubComponent{name: "dispatcher"})
		c.peers[homeAddr] = c.home
	}
	handOver := func(t *testing.T, c *testCluster) {
		h := medlargw.Handover{Host: "h", Incarnation: 1, UsedTickets: c.home.UsedTickets()}
		_ = c.other.HandleHandover(context.Background(), h)
		c.tracker.members[0].State = medlargw.MemberGone
		c.tracker.members[0].Successor = "o"
		disconnectHome(t, c)
	}
	table := []struct {
		name    string
		started int
		steps   []step
	}{
		{"resubmitted when done", 1, []step{{verb: submit}, {verb: submit}, {verb: get}}},
		{"resubmitted elsewhere when done", 1, []step{{verb: submit}, {verb: submit, atOther: true}, {verb: get, atOther: true}}},
		{"first submitted elsewhere", 1, []step{{verb: submit, atOther: true}, {verb: submit}}},
		{"cancelled when done", 1, []step{{verb: submit}, {verb: cancel}}},
		{"fetched before use", 1, []step{{verb: get, code: "unknown-job"}, {verb: submit}}},
		{"cancelled before use", 0, []step{{verb: cancel, code: "cancelled", notRun: true}, {verb: submit, code: "cancelled", notRun: true}}},
		{"expired unused", 0, []step{{before: wait(testLifetime), verb: submit, code: "ticket-expired", notRun: true}}},
		{"expired unused long ago", 0, []step{{before: wait(3 * testLifetime), verb: submit, code: "ticket-expired"}}},
		{"expired after use", 1, []step{{verb: submit}, {before: wait(testLifetime), verb: submit, atOther: true, code: "ticket-used"}}},
		{"expired long after use", 1, []step{{verb: submit}, {before: wait(3 * testLifetime), verb: submit, code: "ticket-expired"}}},
		{"answer dropped", 1, []step{{verb: submit}, {before: wait(testLifetime - jobDuration), verb: submit}, {before: wait(jobDuration), verb: submit, code: "ticket-used"}}},
		{"home unreachable", 1, []step{{verb: submit}, {before: disconnectHome, atOther: true, verb: submit, code: "home-unreachable"}}},
		{"home restarted before use", 0, []step{{before: restart, verb: submit, atOther: true, code: "home-gone"}}},
		{"home restarted after use", 1, []step{{verb: submit}, {before: restart, verb: submit, code: "home-gone"}}},
		{"home stopped after use", 1, []step{{verb: submit}, {before: handOver, verb: submit, atOther: true}, {verb: get, atOther: true}}},
		{"home stopped before use", 0, []step{{before: handOver, verb: submit, atOther: true, code: "home-gone"}}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t)
				tickets, _ := c.home.Mint("desk", 1)
				for i, s := range row.steps {
					if s.before != nil {
						s.before(t, c)
					}
					k := c.home
					if s.atOther {
						k = c.other
					}
					reply := k.Redeem(t.Context(), request(s.verb, tickets[0]))
					checkReply(t, i, reply, problem{s.code, s.notRun})
				}
				if got := c.homeDispatcher.submits + c.otherDispatcher.submits; got != row.started {
					t.Errorf("started jobs: got %d, want %d", got, row.started)
				}
			})
		})
	}
}

func checkReply(t *testing.T, step int, reply medlargw.ForwardReply, want problem) {
	t.Helper()
	var got problem
	if err := json.Unmarshal(reply.Body, &got); err != nil {
		t.Fatalf("step %d: decode %q: %v", step, reply.Body, err)
	}
	if got != want {
		t.Errorf("step %d: got %+v (status %d), want %+v", step, got, reply.Status, want)
	}
}

func TestSecondSubmissionJoinsTheRunningJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		tickets, _ := c.home.Mint("desk", 1)
		replies := make(chan medlargw.ForwardReply, 3)
		callerCtx, disconnect := context.WithCancel(t.Context())
		go func() { replies <- c.other.Redeem(callerCtx, request(medlargw.ForwardSubmit, tickets[0])) }()
		synctest.Wait()
		disconnect()
		checkReply(t, 0, <-replies, problem{Code: "cancelled"}) // Reaches no caller, as the caller is gone.
		for _, k := range []*Keeper{c.home, c.other} {
			go func() { replies <- k.Redeem(t.Context(), request(medlargw.ForwardSubmit, tickets[0])) }()
		}
		checkReply(t, 1, <-replies, problem{})
		checkReply(t, 2, <-replies, problem{})
		if got, want := c.homeDispatcher.submits+c.otherDispatcher.submits, 1; got != want {
			t.Errorf("started jobs: got %d, want %d", got, want)
		}
	})
}

func TestCancelRunningJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		tickets, _ := c.home.Mint("desk", 1)
		replies := make(chan medlargw.ForwardReply, 1)
		go func() { replies <- c.home.Redeem(t.Context(), request(medlargw.ForwardSubmit, tickets[0])) }()
		synctest.Wait()
		reply := c.other.Redeem(t.Context(), request(medlargw.ForwardCancel, tickets[0]))
		checkReply(t, 0, reply, problem{Code: "cancelled"})
		checkReply(t, 1, <-replies, problem{Code: "cancelled"})
	})
}

func TestForeignAndForgedTicketsAreRefused(t *testing.T) {
	c := newTestCluster(t)
	tickets, _ := c.home.Mint("desk", 1)
	stolen := request(medlargw.ForwardSubmit, tickets[0])
	stolen.Team = "ice"
	checkReply(t, 0, c.home.Redeem(t.Context(), stolen), problem{"forbidden", true})
	checkReply(t, 1, c.home.Redeem(t.Context(), request(medlargw.ForwardSubmit, "x"+tickets[0])), problem{"ticket-forged", true})
}

func TestUsedTicketWithDifferentSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		tickets, _ := c.home.Mint("desk", 1)
		checkReply(t, 0, c.home.Redeem(t.Context(), request(medlargw.ForwardSubmit, tickets[0])), problem{})
		changed := request(medlargw.ForwardSubmit, tickets[0])
		changed.Body = append(changed.Body, ' ')
		checkReply(t, 1, c.home.Redeem(t.Context(), changed), problem{Code: "ticket-used"})
	})
}

func TestKeptAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		c.home.settings.Intake.Bytes = 4 * keptBytesDivisor
		for range 100 {
			tickets, _ := c.home.Mint("desk", 1)
			c.home.Redeem(t.Context(), request(medlargw.ForwardSubmit, tickets[0]))
			if c.home.keptBytes > 4 {
				t.Fatalf("kept bytes: got %d, want at most 4", c.home.keptBytes)
			}
		}
		<-time.After(3*testLifetime + sweepInterval)
		synctest.Wait()
		if got := len(c.home.records); got != 0 {
			t.Errorf("records after the lifetime: got %d, want 0", got)
		}
	})
}
