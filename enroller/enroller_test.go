package enroller_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/enroller"
	"medlargw.example/medlargw/hedger"
	"medlargw.example/medlargw/registrar"
)

// tracker is the component that names this entry.
type tracker struct{ medlargw.Component }

func (tracker) Name() string               { return "tracker" }
func (tracker) Self() medlargw.Member      { return medlargw.Member{Host: "h"} }
func (tracker) Members() []medlargw.Member { return []medlargw.Member{{Host: "h"}} }

var errOutage = errors.New("store outage")

type fakeLease struct {
	ttl     time.Duration
	expires time.Time
}

// fakePlatform fails the calls in the given time spans. Its answers take half of the
// given time before and after a call takes effect. A call that its caller has left before
// takes none.
type fakePlatform struct {
	started    time.Time
	failing    [][2]time.Duration // Since started.
	silent     bool               // Failing calls end with the caller's context.
	answerTime func(age time.Duration) time.Duration
	lateWrite  time.Duration // If above zero, the first write gets no answer and takes effect after this time.

	mu          sync.Mutex
	leases      map[uint64]*fakeLease
	enrolled    uint64 // The lease of the entry in the list.
	expiries    int    // Renewals that came too late.
	calls       int
	failedCalls int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		started: time.Now(), leases: map[uint64]*fakeLease{},
		answerTime: func(time.Duration) time.Duration { return 0 },
	}
}

func (p *fakePlatform) call(ctx context.Context, effect func() error) error {
	age := time.Since(p.started)
	failing := slices.ContainsFunc(p.failing, func(span [2]time.Duration) bool { return age >= span[0] && age < span[1] })
	p.mu.Lock()
	p.calls++
	if failing {
		p.failedCalls++
	}
	p.mu.Unlock()
	if failing && p.silent {
		<-ctx.Done()
	}
	if failing {
		return errOutage
	}
	took := p.answerTime(age)
	time.Sleep(took / 2)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.mu.Lock()
	err := effect()
	p.mu.Unlock()
	time.Sleep(took / 2)
	return err
}

// living returns a lease that has not ended. The caller holds the lock.
func (p *fakePlatform) living(id uint64) (*fakeLease, error) {
	l := p.leases[id]
	if l == nil || !time.Now().Before(l.expires) {
		return nil, medlargw.ErrNotFound
	}
	return l, nil
}

// listedFor returns the time to live of the lease of the entry, or zero if it is not in
// the list, and the number of calls until now.
func (p *fakePlatform) listedFor() (ttl time.Duration, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, err := p.living(p.enrolled); err == nil {
		ttl = l.ttl
	}
	return ttl, p.calls
}

func (p *fakePlatform) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var id uint64
	err := p.call(ctx, func() error {
		id = uint64(len(p.leases) + 1)
		p.leases[id] = &fakeLease{ttl, time.Now().Add(ttl)}
		return nil
	})
	return id, err
}

func (p *fakePlatform) Enrol(ctx context.Context, _ medlargw.Member, id uint64) error {
	write := func() error {
		_, err := p.living(id)
		if err == nil {
			p.enrolled = id
		}
		return err
	}
	p.mu.Lock()
	late := p.lateWrite
	p.lateWrite = 0
	p.mu.Unlock()
	if late == 0 {
		return p.call(ctx, write)
	}
	go func() {
		time.Sleep(late)
		_ = p.call(context.WithoutCancel(ctx), write)
	}()
	<-ctx.Done()
	return ctx.Err()
}

func (p *fakePlatform) Remember(ctx context.Context, _ medlargw.Member, id uint64) error {
	return p.call(ctx, func() error {
		_, err := p.living(id)
		return err
	})
}

func (p *fakePlatform) Renew(ctx context.Context, id uint64) error {
	return p.call(ctx, func() error {
		l, err := p.living(id)
		if err != nil {
			p.expiries++
			return err
		}
		l.expires = time.Now().Add(l.ttl)
		return nil
	})
}

func (p *fakePlatform) Revoke(ctx context.Context, id uint64) error {
	return p.call(ctx, func() error {
		delete(p.leases, id)
		return nil
	})
}

// start starts an enroller at the platform.
func (p *fakePlatform) start(t *testing.T) *enroller.Enroller {
	t.Helper()
	reg := registrar.New(zap.NewNop())
	reg.Add(tracker{})
	e := enroller.New(zap.NewNop(), reg, p, hedger.New(zap.NewNop(), metrics.NewRegistry()))
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return e
}

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
				p := newFakePlatform()
				p.failing, p.silent = tt.failing, tt.silent
				e := p.start(t)
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

// TestEnrolmentAtSlowPlatform guards against entries that are not listed while the
// platform is slow, since their lease ends before its first renewal takes effect.
func TestEnrolmentAtSlowPlatform(t *testing.T) {
	const (
		slowUntil = 30 * time.Second
		usualTTL  = 1500 * time.Millisecond
		maxCalls  = 80 // As at a platform that answers at once.
	)
	tests := []struct {
		name     string
		slowFrom time.Duration
		took     time.Duration
		listed   time.Duration // Latest time at which the entry is first listed.
	}{
		{"usual", 0, 0, 10 * time.Millisecond},
		{"0.2 s from the start", 0, 200 * time.Millisecond, time.Second},
		{"0.8 s from the start", 0, 800 * time.Millisecond, 4 * time.Second},
		{"1.4 s from the start", 0, 1400 * time.Millisecond, 8 * time.Second},
		{"0.8 s after a while", 5 * time.Second, 800 * time.Millisecond, 10 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform()
				p.answerTime = func(age time.Duration) time.Duration {
					if age >= tt.slowFrom && age < slowUntil {
						return tt.took
					}
					return 0
				}
				e := p.start(t)
				var ttl time.Duration
				var calls, flaps int
				listedAt := slowUntil
				for time.Since(p.started) < slowUntil {
					time.Sleep(10 * time.Millisecond)
					synctest.Wait()
					was := ttl
					if ttl, calls = p.listedFor(); was != 0 && ttl == 0 {
						flaps++
					}
					if ttl != 0 {
						listedAt = min(listedAt, time.Since(p.started))
					}
				}
				if listedAt > tt.listed {
					t.Errorf("listed after %v, want at most %v", listedAt, tt.listed)
				}
				if flaps > 0 {
					t.Errorf("times that the entry left the list: got %d, want none", flaps)
				}
				if calls > maxCalls {
					t.Errorf("calls: got %d, want at most %d", calls, maxCalls)
				}
				time.Sleep(15 * time.Second) // The platform is as usual again.
				if got, _ := p.listedFor(); got != usualTTL {
					t.Errorf("lease at the usual platform: got %v, want %v", got, usualTTL)
				}
				if err := e.Stop(t.Context()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestLateWriteKeepsEntryListed guards against an entry that is not listed though it
// renews its lease: a write that was not answered takes effect after its repetition,
// and would bind the record to a lease that was given up.
func TestLateWriteKeepsEntryListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.lateWrite = 1200 * time.Millisecond
		e := p.start(t)
		time.Sleep(10 * time.Second)
		if ttl, _ := p.listedFor(); ttl == 0 {
			t.Error("got an entry that is not listed, want it listed")
		}
		if err := e.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// TestSlowRevocationInPlannedStop guards against a host that claims targets of living
// holders as it starts again: its former process has transferred them, and is still
// listed since the platform was slower than the revocation lasted.
func TestSlowRevocationInPlannedStop(t *testing.T) {
	const shortestStop = 2500 * time.Millisecond
	tests := []struct {
		name    string
		took    time.Duration
		failing [][2]time.Duration
	}{
		{"usual", 0, nil},
		{"slow", 1200 * time.Millisecond, nil},
		{"slow and refused at first", 400 * time.Millisecond, [][2]time.Duration{{10 * time.Second, 10900 * time.Millisecond}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform()
				p.failing = tt.failing
				p.answerTime = func(time.Duration) time.Duration { return tt.took }
				e := p.start(t)
				time.Sleep(10 * time.Second)
				if err := e.PreStop(t.Context()); err != nil {
					t.Error(err)
				}
				time.Sleep(shortestStop)
				if ttl, _ := p.listedFor(); ttl != 0 {
					t.Errorf("got an entry that is listed for %v after its planned stop, want none", ttl)
				}
				if err := e.Stop(t.Context()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
