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
	testKey  = "a deployment key of this test"
	testTerm = time.Minute
	runTime  = time.Second
	body     = `{"service":"slip","deadline":"30s","tasks":[{"id":"a","payload":1}]}`
)

// stub stands for the parts around a keeper.
type stub struct {
	name    string
	starts  int
	members []medlargw.Member
	peers   map[netip.AddrPort]*Keeper
}

func (s *stub) Name() string                { return s.name }
func (*stub) Start(context.Context) error   { return nil }
func (*stub) Stop(context.Context) error    { return nil }
func (*stub) Done() <-chan struct{}         { return closed() }
func (s *stub) Self() medlargw.Member       { return s.members[0] }
func (s *stub) Members() []medlargw.Member  { return s.members }
func (*stub) Config() *medlargw.Config      { return testConfig }
func (s *stub) messenger() (m stubMessages) { m.peers = s.peers; return m }

var testConfig = &medlargw.Config{Services: []medlargw.Service{{Name: "slip", Team: "desk"}}}

// Submit runs each job for runTime.
func (s *stub) Submit(ctx context.Context, job *medlargw.Job) medlargw.Outcome {
	s.starts++
	select {
	case <-time.After(runTime):
		return medlargw.Outcome{Complete: true, Tasks: []medlargw.TaskResult{{ID: "a", Fate: medlargw.FateDone, Body: []byte("1")}}}
	case <-ctx.Done():
		o := medlargw.Refusal(job, medlargw.CodeCancelled, "cancelled", 0)
		o.Tasks[0].Fate = medlargw.FateUnknown
		return o
	}
}

// stubMessages is a messenger between keepers of one process.
type stubMessages struct {
	medlargw.Messenger
	*stub
	peers map[netip.AddrPort]*Keeper
}

func (m stubMessages) Forward(ctx context.Context, to netip.AddrPort, r medlargw.ForwardRequest) (medlargw.ForwardReply, error) {
	if peer := m.peers[to]; peer != nil {
		return peer.HandleForward(ctx, r)
	}
	return medlargw.ForwardReply{}, errors.New("connection refused")
}

// world is a home entry "h" and another entry "o".
type world struct {
	home, other *Keeper
	core        *stub // The core of the home.
	elsewhere   *stub // The core of the other entry.
	members     *stub
	peers       map[netip.AddrPort]*Keeper
}

var (
	homeAddr  = netip.MustParseAddrPort("10.0.0.1:1")
	otherAddr = netip.MustParseAddrPort("10.0.0.2:1")
)

func newWorld(t *testing.T) *world {
	w := &world{
		core:      &stub{name: "dispatcher"},
		elsewhere: &stub{name: "dispatcher"},
		members: &stub{name: "tracker", members: []medlargw.Member{
			{Host: "h", Incarnation: 1, Addr: homeAddr, State: medlargw.MemberLive},
			{Host: "o", Incarnation: 2, Addr: otherAddr, State: medlargw.MemberLive},
		}},
		peers: map[netip.AddrPort]*Keeper{},
	}
	w.home = w.start(t, "h", 1, w.core)
	w.other = w.start(t, "o", 2, w.elsewhere)
	w.peers[homeAddr] = w.home
	w.peers[otherAddr] = w.other
	return w
}

func (w *world) start(t *testing.T, host medlargw.HostName, inc medlargw.Incarnation, core *stub) *Keeper {
	t.Helper()
	reg := registrar.New(zap.NewNop())
	messages := &stub{name: "messenger", peers: w.peers}
	reg.Add(core, &stub{name: "watcher"}, w.members, stubPart{messages.messenger(), messages})
	s := medlargw.Settings{Host: host, Intake: medlargw.IntakeSettings{
		Tasks: 10, Bytes: 1 << 20, Deadline: time.Minute, Kept: testTerm, Ticket: testTerm,
	}}
	k := New(zap.NewNop(), reg, s, minter.New(testKey, host, inc, time.Now(), testTerm))
	if err := k.Start(t.Context()); err != nil {
		t.Fatalf("start keeper: %v", err)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	return k
}

type stubPart struct {
	medlargw.Messenger
	medlargw.Part
}

func request(verb medlargw.ForwardVerb, ticket string) medlargw.ForwardRequest {
	r := medlargw.ForwardRequest{Ticket: ticket, Verb: verb, Team: "desk"}
	if verb == medlargw.ForwardSubmit {
		r.Body = []byte(body)
	}
	return r
}

// problem is what the tests read of an answer.
type problem struct {
	Code   string `json:"code"`
	NotRun bool   `json:"notrun"`
}

// TestFate has a ticket go through steps; each answer's code and "not run" and
// the number of jobs that were begun are checked.
func TestFate(t *testing.T) {
	submit, get, cancel := medlargw.ForwardSubmit, medlargw.ForwardGet, medlargw.ForwardCancel
	type step struct {
		do     func(t *testing.T, w *world) // Done before the request.
		other  bool                         // Asks the other entry.
		verb   medlargw.ForwardVerb
		code   string // Empty is complete.
		notRun bool
	}
	wait := func(d time.Duration) func(*testing.T, *world) {
		return func(*testing.T, *world) {
			<-time.After(d)
			synctest.Wait() // What falls due at the same instant has happened.
		}
	}
	lose := func(_ *testing.T, w *world) { delete(w.peers, homeAddr) }
	restart := func(t *testing.T, w *world) {
		w.home = w.start(t, "h", 9, &stub{name: "dispatcher"})
		w.peers[homeAddr] = w.home
	}
	handOver := func(t *testing.T, w *world) {
		h := medlargw.Handover{Host: "h", Incarnation: 1, Used: w.home.Used()}
		_ = w.other.HandleHandover(context.Background(), h)
		w.members.members[0].State = medlargw.MemberGone
		w.members.members[0].Successor = "o"
		lose(t, w)
	}
	table := []struct {
		name  string
		begun int
		steps []step
	}{
		{"resubmitted when done", 1, []step{{verb: submit}, {verb: submit}, {verb: get}}},
		{"resubmitted elsewhere when done", 1, []step{{verb: submit}, {verb: submit, other: true}, {verb: get, other: true}}},
		{"first submitted elsewhere", 1, []step{{verb: submit, other: true}, {verb: submit}}},
		{"cancelled when done", 1, []step{{verb: submit}, {verb: cancel}}},
		{"fetched before use", 1, []step{{verb: get, code: "unknown-job"}, {verb: submit}}},
		{"cancelled before use", 0, []step{{verb: cancel, code: "cancelled", notRun: true}, {verb: submit, code: "cancelled", notRun: true}}},
		{"expired unused", 0, []step{{do: wait(testTerm), verb: submit, code: "ticket-expired", notRun: true}}},
		{"expired unused long ago", 0, []step{{do: wait(3 * testTerm), verb: submit, code: "ticket-expired"}}},
		{"expired after use", 1, []step{{verb: submit}, {do: wait(testTerm), verb: submit, other: true, code: "ticket-used"}}},
		{"expired long after use", 1, []step{{verb: submit}, {do: wait(3 * testTerm), verb: submit, code: "ticket-expired"}}},
		{"answer dropped", 1, []step{{verb: submit}, {do: wait(testTerm - runTime), verb: submit}, {do: wait(runTime), verb: submit, code: "ticket-used"}}},
		{"home cut off", 1, []step{{verb: submit}, {do: lose, other: true, verb: submit, code: "home-unreachable"}}},
		{"home restarted before use", 0, []step{{do: restart, verb: submit, other: true, code: "home-gone"}}},
		{"home restarted after use", 1, []step{{verb: submit}, {do: restart, verb: submit, code: "home-gone"}}},
		{"home stopped after use", 1, []step{{verb: submit}, {do: handOver, verb: submit, other: true}, {verb: get, other: true}}},
		{"home stopped before use", 0, []step{{do: handOver, verb: submit, other: true, code: "home-gone"}}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				tickets, _ := w.home.Mint("desk", 1)
				for i, s := range row.steps {
					if s.do != nil {
						s.do(t, w)
					}
					k := w.home
					if s.other {
						k = w.other
					}
					reply := k.Redeem(t.Context(), request(s.verb, tickets[0]))
					check(t, i, reply, problem{s.code, s.notRun})
				}
				if got := w.core.starts + w.elsewhere.starts; got != row.begun {
					t.Errorf("jobs begun: got %d, want %d", got, row.begun)
				}
			})
		})
	}
}

func check(t *testing.T, step int, reply medlargw.ForwardReply, want problem) {
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
		w := newWorld(t)
		tickets, _ := w.home.Mint("desk", 1)
		replies := make(chan medlargw.ForwardReply, 3)
		gone, leave := context.WithCancel(t.Context())
		go func() { replies <- w.other.Redeem(gone, request(medlargw.ForwardSubmit, tickets[0])) }()
		synctest.Wait()
		leave()
		check(t, 0, <-replies, problem{Code: "cancelled"}) // Nobody reads it: its caller is gone.
		for _, k := range []*Keeper{w.home, w.other} {
			go func() { replies <- k.Redeem(t.Context(), request(medlargw.ForwardSubmit, tickets[0])) }()
		}
		check(t, 1, <-replies, problem{})
		check(t, 2, <-replies, problem{})
		if got, want := w.core.starts+w.elsewhere.starts, 1; got != want {
			t.Errorf("jobs begun: got %d, want %d", got, want)
		}
	})
}

func TestCancelOfARunningJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		tickets, _ := w.home.Mint("desk", 1)
		replies := make(chan medlargw.ForwardReply, 1)
		go func() { replies <- w.home.Redeem(t.Context(), request(medlargw.ForwardSubmit, tickets[0])) }()
		synctest.Wait()
		reply := w.other.Redeem(t.Context(), request(medlargw.ForwardCancel, tickets[0]))
		check(t, 0, reply, problem{Code: "cancelled"})
		check(t, 1, <-replies, problem{Code: "cancelled"})
	})
}

func TestTicketsOfOthersAreRefused(t *testing.T) {
	w := newWorld(t)
	tickets, _ := w.home.Mint("desk", 1)
	stolen := request(medlargw.ForwardSubmit, tickets[0])
	stolen.Team = "ice"
	check(t, 0, w.home.Redeem(t.Context(), stolen), problem{"forbidden", true})
	check(t, 1, w.home.Redeem(t.Context(), request(medlargw.ForwardSubmit, "x"+tickets[0])), problem{"ticket-forged", true})
}

func TestAnotherSubmissionUnderAUsedTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		tickets, _ := w.home.Mint("desk", 1)
		check(t, 0, w.home.Redeem(t.Context(), request(medlargw.ForwardSubmit, tickets[0])), problem{})
		changed := request(medlargw.ForwardSubmit, tickets[0])
		changed.Body = append(changed.Body, ' ')
		check(t, 1, w.home.Redeem(t.Context(), changed), problem{Code: "ticket-used"})
	})
}

func TestKeptAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.home.settings.Intake.Bytes = 4 * keptShare
		for range 100 {
			tickets, _ := w.home.Mint("desk", 1)
			w.home.Redeem(t.Context(), request(medlargw.ForwardSubmit, tickets[0]))
			if w.home.bytes > 4 {
				t.Fatalf("kept bytes: got %d, want at most 4", w.home.bytes)
			}
		}
		<-time.After(3*testTerm + sweepInterval)
		synctest.Wait()
		if got := len(w.home.records); got != 0 {
			t.Errorf("records after the term: got %d, want 0", got)
		}
	})
}
