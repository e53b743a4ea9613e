package messenger

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// recordingHandler is a component that handles all requests: it records the
// last one and returns a fixed reply, or the heartbeat itself.
type recordingHandler struct {
	name     string
	received any
}

func (e *recordingHandler) Name() string              { return e.name }
func (*recordingHandler) Start(context.Context) error { return nil }
func (*recordingHandler) Stop(context.Context) error  { return nil }
func (*recordingHandler) Done() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

func (e *recordingHandler) HandleHeartbeat(_ context.Context, b medlargw.Heartbeat) (medlargw.Heartbeat, error) {
	e.received = b
	return b, nil
}

func (e *recordingHandler) HandleBorrow(_ context.Context, r medlargw.BorrowRequest) (medlargw.BorrowReply, error) {
	e.received = r
	return sampleBorrowReply(), nil
}

func (e *recordingHandler) HandleFetch(_ context.Context, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	e.received = r
	return medlargw.FetchReply{Version: 9, Body: []byte(e.name)}, nil
}

func (e *recordingHandler) HandleForward(_ context.Context, r medlargw.ForwardRequest) (medlargw.ForwardReply, error) {
	e.received = r
	return medlargw.ForwardReply{Status: 503, Body: []byte("x"), RetryAfter: time.Second}, nil
}

func (e *recordingHandler) HandleHandover(_ context.Context, h medlargw.Handover) error {
	e.received = h
	return nil
}

func (*recordingHandler) UsedTickets() []medlargw.UsedTicket { return nil }

func sampleMember() medlargw.Member {
	return medlargw.Member{
		Host: "h", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.1:7"),
		AdminAddr: netip.MustParseAddrPort("10.0.0.1:8"), Incarnation: 1 << 63, StateVersion: 3,
		State: medlargw.MemberLeaving, Successor: "s", Capacity: 480,
	}
}

func sampleBorrowReply() medlargw.BorrowReply {
	return medlargw.BorrowReply{
		Incarnation: 4, Sequence: 5, IsOwner: true,
		Slots: []medlargw.Loan{{
			Name: "t", Amount: 2, Term: 2 * time.Second,
		}},
		Units: []medlargw.Loan{{Name: "team", Amount: 3, Starts: 1.5, Term: time.Second}},
	}
}

// startMessenger starts a messenger and returns it with its handlers by name.
func startMessenger(t *testing.T, key string) (*Messenger, map[string]*recordingHandler) {
	t.Helper()
	return startMessengerWithHTTP(t, key, 2)
}

// startMessengerWithHTTP is startMessenger with the given major version of HTTP
// for outgoing requests.
func startMessengerWithHTTP(t *testing.T, key string, version int) (*Messenger, map[string]*recordingHandler) {
	t.Helper()
	reg := registrar.New(zap.NewNop())
	recorders := map[string]*recordingHandler{}
	for _, name := range []string{"tracker", "dispatcher", "keeper", "watcher", "assigner"} {
		recorders[name] = &recordingHandler{name: name}
		reg.Add(recorders[name])
	}
	settings := medlargw.Settings{Key: key, Group: medlargw.GroupSettings{HTTP: version}}
	settings.Listen.Peers = netip.MustParseAddrPort("127.0.0.1:0")
	m := New(zap.NewNop(), reg, settings, metrics.NewRegistry())
	if err := m.Start(t.Context()); err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m, recorders
}

// TestHTTPVersions checks that a messenger sends requests with the configured
// version of HTTP and serves both versions, so that the setting can be changed
// on one entry at a time.
func TestHTTPVersions(t *testing.T) {
	for _, version := range []int{1, 2} {
		t.Run(fmt.Sprintf("HTTP/%d", version), func(t *testing.T) {
			from, _ := startMessengerWithHTTP(t, "a-key-of-the-deployment", version)
			to, recorders := startMessengerWithHTTP(t, "a-key-of-the-deployment", 3-version)
			gotVersion := 0
			next := to.server.Handler
			to.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				gotVersion = r.ProtoMajor
				next.ServeHTTP(w, r)
			})
			want := medlargw.Heartbeat{From: sampleMember(), ViewHash: 7}
			if _, err := from.Heartbeat(t.Context(), to.Addr(), want); err != nil {
				t.Fatal(err)
			}
			if got := recorders["tracker"].received; !reflect.DeepEqual(got, want) {
				t.Errorf("heartbeat: got %+v, want %+v", got, want)
			}
			if gotVersion != version {
				t.Errorf("version: got %d, want %d", gotVersion, version)
			}
		})
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	m, recorders := startMessenger(t, "a-key-of-the-deployment")
	heartbeat := medlargw.Heartbeat{
		From:     sampleMember(),
		Digest:   medlargw.Digest{Generation: 1, HostsVersion: 2, HostsAge: time.Second, FreeSlots: 3, Lag: 4 * time.Millisecond, Heard: []medlargw.Sighting{{Incarnation: 1 << 63, Age: 5 * time.Millisecond}}, Waiting: []medlargw.ClassDemand{{Rank: 1, Tasks: 9}}},
		Changed:  []medlargw.Member{sampleMember()},
		ViewHash: 1 << 62,
	}
	borrow := medlargw.BorrowRequest{
		Host: "h", Incarnation: 7, Sequence: 8, AnySlots: 2,
		Waiting: []medlargw.ClassDemand{{Rank: 0, Tasks: 4}},
		Slots:   []medlargw.Claim{{Name: "t", Held: 1, Want: 2, Returned: 3}},
		Units:   []medlargw.Claim{{Name: "team", Held: 4, Want: 5, Returned: 6}},
	}
	forward := medlargw.ForwardRequest{
		Ticket: "t", Verb: medlargw.ForwardSubmit, Team: "team", Body: []byte("{}"), TimeLeft: 3 * time.Second,
	}
	handover := medlargw.Handover{Host: "h", Incarnation: 7, UsedTickets: []medlargw.UsedTicket{
		{Ticket: "a", Expires: time.UnixMilli(1700), JobEnded: true, Status: 200, Body: []byte("b")},
	}}
	fetch := medlargw.FetchRequest{Kind: medlargw.FetchHosts, Version: 3}
	ctx, to := t.Context(), m.Addr()
	tests := []struct {
		name      string
		component string
		sent      any
		reply     any
		call      func() (any, error)
	}{
		{"beat", "tracker", heartbeat, heartbeat, func() (any, error) { return m.Heartbeat(ctx, to, heartbeat) }},
		{"borrow", "dispatcher", borrow, sampleBorrowReply(), func() (any, error) { return m.Borrow(ctx, to, borrow) }},
		{
			"fetch", "assigner", fetch,
			medlargw.FetchReply{Version: 9, Body: []byte("assigner")},
			func() (any, error) { return m.Fetch(ctx, to, fetch) },
		},
		{
			"forward", "keeper", forward,
			medlargw.ForwardReply{Status: 503, Body: []byte("x"), RetryAfter: time.Second},
			func() (any, error) { return m.Forward(ctx, to, forward) },
		},
		{"handover", "keeper", handover, nil, func() (any, error) { return nil, m.Handover(ctx, to, handover) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.call()
			if err != nil {
				t.Fatalf("call: %v", err)
			}
			if want := test.reply; !reflect.DeepEqual(got, want) {
				t.Errorf("reply: got %+v, want %+v", got, want)
			}
			if got, want := recorders[test.component].received, test.sent; !reflect.DeepEqual(got, want) {
				t.Errorf("message: got %+v, want %+v", got, want)
			}
		})
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	served, recorders := startMessenger(t, "a-key-of-the-deployment")
	other, _ := startMessenger(t, "a-key-of-another-deployment")
	if _, err := other.Heartbeat(t.Context(), served.Addr(), medlargw.Heartbeat{}); err == nil {
		t.Error("heartbeat with a wrong key: got no error, want one")
	}
	if got := recorders["tracker"].received; got != nil {
		t.Errorf("handled message: got %v, want none", got)
	}
}
