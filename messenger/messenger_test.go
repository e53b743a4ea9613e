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

// echo answers each message with what it asked, and keeps it.
type echo struct {
	name string
	got  any
}

func (e *echo) Name() string              { return e.name }
func (*echo) Start(context.Context) error { return nil }
func (*echo) Stop(context.Context) error  { return nil }
func (*echo) Done() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

func (e *echo) HandleBeat(_ context.Context, b medlargw.Beat) (medlargw.Beat, error) {
	e.got = b
	return b, nil
}

func (e *echo) HandleBorrow(_ context.Context, r medlargw.BorrowRequest) (medlargw.BorrowReply, error) {
	e.got = r
	return sampleReply(), nil
}

func (e *echo) HandleFetch(_ context.Context, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	e.got = r
	return medlargw.FetchReply{Version: 9, Body: []byte(e.name)}, nil
}

func (e *echo) HandleForward(_ context.Context, r medlargw.ForwardRequest) (medlargw.ForwardReply, error) {
	e.got = r
	return medlargw.ForwardReply{Status: 503, Body: []byte("x"), RetryAfter: time.Second}, nil
}

func (e *echo) HandleHandover(_ context.Context, h medlargw.Handover) error {
	e.got = h
	return nil
}

func (*echo) Used() []medlargw.UsedTicket { return nil }

func sampleMember() medlargw.Member {
	return medlargw.Member{
		Host: "h", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.1:7"),
		Admin: netip.MustParseAddrPort("10.0.0.1:8"), Incarnation: 1 << 63, Counter: 3,
		State: medlargw.MemberLeaving, Successor: "s",
	}
}

func sampleReply() medlargw.BorrowReply {
	return medlargw.BorrowReply{
		Incarnation: 4, Number: 5, Owner: true,
		Slots: []medlargw.Loan{{
			Name: "t", Amount: 2, Term: 2 * time.Second,
		}},
		Units: []medlargw.Loan{{Name: "team", Amount: 3, Starts: 1.5, Term: time.Second}},
	}
}

// start returns a served messenger and its handlers by name.
func start(t *testing.T, key string) (*Messenger, map[string]*echo) {
	t.Helper()
	return startWith(t, key, 2)
}

// startWith returns one that speaks a version of HTTP to its peers.
func startWith(t *testing.T, key string, version int) (*Messenger, map[string]*echo) {
	t.Helper()
	reg := registrar.New(zap.NewNop())
	parts := map[string]*echo{}
	for _, name := range []string{"tracker", "dispatcher", "keeper", "watcher", "assigner"} {
		parts[name] = &echo{name: name}
		reg.Add(parts[name])
	}
	settings := medlargw.Settings{Key: key, Group: medlargw.GroupSettings{HTTP: version}}
	settings.Listen.Peers = netip.MustParseAddrPort("127.0.0.1:0")
	m := New(zap.NewNop(), reg, settings, metrics.NewRegistry())
	if err := m.Start(t.Context()); err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m, parts
}

// TestVersionsOfHTTP asserts that each version is spoken as set, and that every
// entry serves both, so that a setting can change one entry after the other.
func TestVersionsOfHTTP(t *testing.T) {
	for _, version := range []int{1, 2} {
		t.Run(fmt.Sprintf("HTTP/%d", version), func(t *testing.T) {
			from, _ := startWith(t, "a-key-of-the-deployment", version)
			to, parts := startWith(t, "a-key-of-the-deployment", 3-version)
			spoken := 0
			next := to.server.Handler
			to.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				spoken = r.ProtoMajor
				next.ServeHTTP(w, r)
			})
			want := medlargw.Beat{From: sampleMember(), View: 7}
			if _, err := from.Beat(t.Context(), to.Addr(), want); err != nil {
				t.Fatal(err)
			}
			if got := parts["tracker"].got; !reflect.DeepEqual(got, want) {
				t.Errorf("heartbeat: got %+v, want %+v", got, want)
			}
			if spoken != version {
				t.Errorf("version: got %d, want %d", spoken, version)
			}
		})
	}
}

func TestMessagesArriveUnchanged(t *testing.T) {
	m, parts := start(t, "a-key-of-the-deployment")
	beat := medlargw.Beat{
		From:    sampleMember(),
		Digest:  medlargw.Digest{Generation: 1, Hosts: 2, HostsAge: time.Second, Free: 3, Waiting: []medlargw.ClassDemand{{Rank: 1, Tasks: 9}}},
		Changed: []medlargw.Member{sampleMember()},
		View:    1 << 62,
	}
	borrow := medlargw.BorrowRequest{
		Host: "h", Incarnation: 7, Number: 8, Any: 2,
		Waiting: []medlargw.ClassDemand{{Rank: 0, Tasks: 4}},
		Slots:   []medlargw.Claim{{Name: "t", Held: 1, Want: 2, Returned: 3}},
		Units:   []medlargw.Claim{{Name: "team", Held: 4, Want: 5, Returned: 6}},
	}
	forward := medlargw.ForwardRequest{
		Ticket: "t", Verb: medlargw.ForwardSubmit, Team: "team", Body: []byte("{}"), Left: 3 * time.Second,
	}
	handover := medlargw.Handover{Host: "h", Incarnation: 7, Used: []medlargw.UsedTicket{
		{Ticket: "a", Expires: time.UnixMilli(1700), Ended: true, Status: 200, Body: []byte("b")},
	}}
	fetch := medlargw.FetchRequest{Kind: medlargw.FetchHosts, Version: 3}
	ctx, to := t.Context(), m.Addr()
	tests := []struct {
		name  string
		part  string
		sent  any
		reply any
		call  func() (any, error)
	}{
		{"beat", "tracker", beat, beat, func() (any, error) { return m.Beat(ctx, to, beat) }},
		{"borrow", "dispatcher", borrow, sampleReply(), func() (any, error) { return m.Borrow(ctx, to, borrow) }},
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
			if got, want := parts[test.part].got, test.sent; !reflect.DeepEqual(got, want) {
				t.Errorf("message: got %+v, want %+v", got, want)
			}
		})
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	served, parts := start(t, "a-key-of-the-deployment")
	other, _ := start(t, "a-key-of-another-deployment")
	if _, err := other.Beat(t.Context(), served.Addr(), medlargw.Beat{}); err == nil {
		t.Error("beat with a wrong key: got no error, want one")
	}
	if got := parts["tracker"].got; got != nil {
		t.Errorf("handled message: got %v, want none", got)
	}
}
