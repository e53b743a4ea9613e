package messenger

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
	"medlargw.example/medlargw/registrar"
)

func (e *recordingHandler) HandleRelay(_ context.Context, r medlargw.Relay) (medlargw.RelayReply, error) {
	e.received = r
	return medlargw.RelayReply{State: medlargw.RelayEnded, Outcome: medlargw.Outcome{
		Code: medlargw.CodeOverloaded, Message: "m", RetryAfter: time.Second,
		Tasks: []medlargw.TaskResult{{ID: "t", Execution: medlargw.ExecutionUnknown, Body: []byte("b")}},
	}}, nil
}

func sampleRelay(payloads ...string) medlargw.Relay {
	r := medlargw.Relay{
		ID: medlargw.RelayID{From: 1 << 63, Number: 7}, Host: "h", Age: time.Millisecond, TimeToDeadline: time.Second, Wait: 3 * time.Millisecond, ValidUntil: time.Minute,
		Job: &medlargw.Job{
			ID: 5, Team: "team", Service: "service", Class: "class", Idempotent: true, EstimatedRuntime: time.Second, RequestID: "r",
			Pool: "pool", Rank: 2, Resources: medlargw.Resources{Cores: 1, Memory: 2, Accelerators: 3}, SlackFactor: 1.6, Grace: time.Millisecond,
			MaxAttempts: 3,
		},
	}
	for i, p := range payloads {
		r.Job.Tasks = append(r.Job.Tasks, medlargw.Task{ID: "t" + string(rune('0'+i)), Payload: []byte(p)})
	}
	return r
}

func TestRelayRoundTrip(t *testing.T) {
	m, recorders := startMessenger(t, "a-key-of-the-deployment")
	without := sampleRelay()
	without.Job, without.Age, without.TimeToDeadline, without.Cancel = nil, 0, 0, true
	for _, want := range []medlargw.Relay{sampleRelay("p"), sampleRelay("p", "p"), sampleRelay("p", "q"), without} {
		reply, err := m.Relay(t.Context(), m.Addr(), want)
		if err != nil {
			t.Fatal(err)
		}
		if got := recorders["dispatcher"].received; !reflect.DeepEqual(got, want) {
			t.Errorf("relay: got %+v, want %+v", got, want)
		}
		if wantReply, _ := recorders["dispatcher"].HandleRelay(t.Context(), want); !reflect.DeepEqual(reply, wantReply) {
			t.Errorf("reply: got %+v, want %+v", reply, wantReply)
		}
	}
}

// TestInvalidRelays checks that a job without the payload of a task is not run, and
// that an answer of a newer build is not misread.
func TestInvalidRelays(t *testing.T) {
	for _, job := range []*wire.RelayedJob{{}, {Tasks: []string{"a"}}, {Tasks: []string{"a", "b", "c"}, Payloads: [][]byte{{1}, {2}}}} {
		if _, err := decodeRelay(&wire.RelayRequest{Job: job}); err == nil {
			t.Errorf("job %v: got no error, want one", job)
		}
	}
	for _, state := range []int32{-1, 4} {
		if _, err := decodeRelayReply(&wire.RelayReply{State: state}); err == nil {
			t.Errorf("state %d: got no error, want one", state)
		}
	}
}

// TestRelayNotSent guards against a job that runs at two entries: only an error that
// proves that the peer has not got the message is ErrNotSent.
func TestRelayNotSent(t *testing.T) {
	serve := func(h http.HandlerFunc) netip.AddrPort {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // Closed at once.
	if err != nil {
		t.Fatal(err)
	}
	refusing := netip.MustParseAddrPort(closed.Addr().String())
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	older := wire.NewEntryServer(&server{})
	tests := []struct {
		name string
		to   netip.AddrPort
		want bool
	}{
		{"connection refused", refusing, true},
		{"older build", serve(func(w http.ResponseWriter, r *http.Request) {
			r.URL.Path = strings.Replace(r.URL.Path, "Relay", "NoSuchCall", 1)
			older.ServeHTTP(w, r)
		}), true},
		{"connection broken after the message", serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), false},
		{"error of the peer", serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }), false},
		{"no answer in time", serve(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // Until then the server does not notice that the client has gone.
			<-r.Context().Done()
		}), false},
	}
	settings := medlargw.Settings{Group: medlargw.GroupSettings{HTTP: 1}}
	m := New(zap.NewNop(), registrar.New(zap.NewNop()), settings, metrics.NewRegistry())
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := m.Relay(ctx, test.to, sampleRelay("p"))
			if err == nil || errors.Is(err, medlargw.ErrNotSent) != test.want {
				t.Errorf("got %v, want an error that is ErrNotSent: %v", err, test.want)
			}
		})
	}
}
