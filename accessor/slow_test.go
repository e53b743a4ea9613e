package accessor

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slowPlatform answers each request with the body after a time.
type slowPlatform struct {
	took time.Duration
	body string
}

func (p slowPlatform) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(p.took):
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(p.body))}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// TestSlowReadsEndWithTheirContext guards against an entry that never has a
// configuration since each answer takes longer than a read lasts. Commands set a limit.
func TestSlowReadsEndWithTheirContext(t *testing.T) {
	reads := []struct {
		name string
		read func(ctx context.Context, a *Accessor) error
	}{
		{"hosts", func(ctx context.Context, a *Accessor) error { _, err := a.Hosts(ctx); return err }},
		{"value", func(ctx context.Context, a *Accessor) error { _, err := a.Get(ctx, "k"); return err }},
	}
	tests := []struct {
		name    string
		timeout time.Duration
		fails   bool
	}{
		{"entry", 0, false},
		{"command", 5 * time.Second, true},
	}
	for _, test := range tests {
		for _, r := range reads {
			t.Run(test.name+" "+r.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := New(netip.MustParseAddrPort("10.0.0.1:1"), test.timeout)
					a.client.Transport = slowPlatform{6 * time.Second, `{"version":1}`}
					if err := r.read(t.Context(), a); (err != nil) != test.fails {
						t.Errorf("got error %v, want one: %v", err, test.fails)
					}
				})
			})
		}
	}
}
