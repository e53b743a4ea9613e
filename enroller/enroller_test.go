package enroller_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/enroller"
	"medlargw.example/medlargw/registrar"
)

// tracker is the component that names this entry.
type tracker struct{ medlargw.Component }

func (tracker) Name() string               { return "tracker" }
func (tracker) Self() medlargw.Member      { return medlargw.Member{Host: "h"} }
func (tracker) Members() []medlargw.Member { return []medlargw.Member{{Host: "h"}} }

var errOutage = errors.New("store outage")

// fakePlatform grants one lease and fails the calls in the given time spans.
type fakePlatform struct {
	mu          sync.Mutex
	started     time.Time
	failing     [][2]time.Duration // Since started.
	silent      bool               // Failing calls end with the caller's context.
	expires     time.Time
	expiries    int // Leases that ended without a renewal in time.
	failedCalls int
}

func (p *fakePlatform) call(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	age := time.Since(p.started)
	for _, span := range p.failing {
		if age < span[0] || age >= span[1] {
			continue
		}
		p.failedCalls++
		if p.silent {
			<-ctx.Done()
		}
		return errOutage
	}
	return nil
}

func (p *fakePlatform) Enrol(ctx context.Context, _ medlargw.Member, ttl time.Duration) (uint64, error) {
	if err := p.call(ctx); err != nil {
		return 0, err
	}
	p.expires = time.Now().Add(ttl)
	return 1, nil
}

func (p *fakePlatform) Renew(ctx context.Context, _ uint64) error {
	if err := p.call(ctx); err != nil {
		return err
	}
	if time.Now().After(p.expires) {
		p.expiries++
		return medlargw.ErrNotFound
	}
	p.expires = time.Now().Add(1500 * time.Millisecond)
	return nil
}

func (p *fakePlatform) Remember(ctx context.Context, m medlargw.Member, ttl time.Duration) (uint64, error) {
	return p.Enrol(ctx, m, ttl)
}

func (p *fakePlatform) Revoke(context.Context, uint64) error { return nil }

// TestRenewalRetriedWithinLease checks that one failed or unanswered renewal does
// not end the lease, and that the calls in an outage become rarer.
func TestRenewalRetriedWithinLease(t *testing.T) {
	tests := []struct {
		name           string
		failing        [][2]time.Duration
		silent         bool
		wantExpiries   int
		maxFailedCalls int
	}{
		{"no failure", nil, false, 0, 0},
		{"one renewal refused", [][2]time.Duration{{900 * time.Millisecond, 1050 * time.Millisecond}}, false, 0, 1},
		{"one renewal unanswered", [][2]time.Duration{{900 * time.Millisecond, 1050 * time.Millisecond}}, true, 0, 1},
		{"outage of seven seconds", [][2]time.Duration{{900 * time.Millisecond, 7900 * time.Millisecond}}, false, 1, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakePlatform{started: time.Now(), failing: tt.failing, silent: tt.silent}
				reg := registrar.New(zap.NewNop())
				reg.Add(tracker{})
				e := enroller.New(zap.NewNop(), reg, p)
				if err := e.Start(t.Context()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(15 * time.Second)
				if err := e.Stop(t.Context()); err != nil {
					t.Error(err)
				}
				if p.expiries != tt.wantExpiries {
					t.Errorf("leases that ended: got %d, want %d", p.expiries, tt.wantExpiries)
				}
				if p.failedCalls > tt.maxFailedCalls {
					t.Errorf("failed calls: got %d, want at most %d", p.failedCalls, tt.maxFailedCalls)
				}
			})
		})
	}
}
