// Package enroller registers this entry with the platform and renews the lease
// of the registration. The other entries find it there, and know that it is
// alive even if it is cut off from them but not from the platform.
//
// A second registration outlasts the entry. From it, an entry that starts learns which
// entries there were before all of them stopped.
package enroller

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

const (
	// leaseTTL is the time without a renewal after which the platform no longer
	// lists the entry. It bounds how long a crashed entry keeps its targets.
	leaseTTL = 1500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval       = leaseTTL / 3
	platformCallTimeout = renewInterval
	// recentTTL is the time for which a stopped entry is remembered. All entries may be
	// away for as long as that.
	recentTTL = time.Minute
	// recentDelay is the time after the start before the entry is remembered. The
	// platform and the processor have other work in the first second.
	recentDelay = 2 * time.Second
	// initialRetryDelay is the mean delay after the first of consecutive failed
	// calls. A call that times out and a retry after it fit into the lease.
	initialRetryDelay = 100 * time.Millisecond
	// maxRetryDelay bounds the delay after a failed call.
	maxRetryDelay = 2 * time.Second
	// recentRetryDelay is the delay after any failed call for the recent entries, which
	// are needed only after the loss of all entries.
	recentRetryDelay = recentTTL / 6
	// retryJitter is the share by which a delay varies, so that the entries do not
	// all call the platform at the same time after an outage.
	retryJitter = 0.3
)

// Enroller is the component that keeps the entry registered with the platform.
type Enroller struct {
	log       *zap.Logger
	registry  *registrar.Registrar
	enrolment medlargw.Enrolment
	members   medlargw.Members
	current   registration // Ends with the entry.
	recent    registration // Outlasts the entry.

	cancel context.CancelFunc
	wg     conc.WaitGroup
	done   chan struct{}
}

var (
	_ medlargw.Component  = (*Enroller)(nil)
	_ medlargw.PreStopper = (*Enroller)(nil)
)

// registration is one registration of the entry under a lease.
type registration struct {
	list     string // Of the platform, for logs.
	register func(ctx context.Context, m medlargw.Member, ttl time.Duration) (uint64, error)
	ttl      time.Duration
	minRetry time.Duration // Mean delay after the first of consecutive failed calls.
	maxRetry time.Duration
	lease    uint64 // Zero when the entry is not registered.
}

// New returns an enroller that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, enrolment medlargw.Enrolment) *Enroller {
	return &Enroller{
		log: log.Named("enroller"), registry: reg, enrolment: enrolment, done: make(chan struct{}),
		current: registration{list: "entries", register: enrolment.Enrol, ttl: leaseTTL, minRetry: initialRetryDelay, maxRetry: maxRetryDelay},
		recent:  registration{list: "recent entries", register: enrolment.Remember, ttl: recentTTL, minRetry: recentRetryDelay, maxRetry: recentRetryDelay},
	}
}

// Name returns "enroller".
func (*Enroller) Name() string { return "enroller" }

// Start begins to enrol the entry and to renew its lease. An outage of the
// platform is not an error.
func (e *Enroller) Start(context.Context) error {
	var err error
	if e.members, err = registrar.Find[medlargw.Members](e.registry, "tracker"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.wg.Go(func() { e.keepRegistered(ctx, &e.current, 0) })
	e.wg.Go(func() { e.keepRegistered(ctx, &e.recent, recentDelay) })
	return nil
}

// PreStop ends the renewals, and the lease that ends with the entry, at the beginning
// of a planned stop.
func (e *Enroller) PreStop(ctx context.Context) error {
	e.cancel()
	e.wg.Wait()
	if e.current.lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	return e.enrolment.Revoke(ctx, e.current.lease)
}

// Stop ends the renewals.
func (e *Enroller) Stop(context.Context) error {
	defer close(e.done)
	e.cancel()
	e.wg.Wait()
	return nil
}

// Done is closed when the renewals have ended.
func (e *Enroller) Done() <-chan struct{} { return e.done }

// keepRegistered registers the entry after a delay, and renews the lease until the
// context ends. After a failure it calls again with exponential backoff.
func (e *Enroller) keepRegistered(ctx context.Context, r *registration, delay time.Duration) {
	retry := newRetryBackOff(r.minRetry, r.maxRetry)
	for {
		if !sleep(ctx, delay) {
			return
		}
		delay = r.ttl / 3
		if err := e.registerOrRenew(ctx, r); err == nil {
			retry.Reset()
		} else {
			delay = retry.NextBackOff()
			if ctx.Err() == nil {
				e.log.Warn("not enrolled at the platform", zap.String("list", r.list), zap.Error(err), zap.Duration("retry", delay))
			}
		}
	}
}

// sleep waits for a time, and returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func newRetryBackOff(initial, limit time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = limit
	b.RandomizationFactor = retryJitter
	b.Multiplier = 2
	b.Reset()
	return b
}

// registerOrRenew renews the lease, or registers the entry if it has none or the
// lease has ended.
func (e *Enroller) registerOrRenew(ctx context.Context, r *registration) error {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	if r.lease != 0 {
		err := e.enrolment.Renew(ctx, r.lease)
		if !errors.Is(err, medlargw.ErrNotFound) {
			return err
		}
		e.log.Warn("enrolment had ended", zap.String("list", r.list))
		r.lease = 0
	}
	lease, err := r.register(ctx, e.members.Self(), r.ttl)
	if err != nil {
		return err
	}
	r.lease = lease
	e.log.Info("enrolled at the platform", zap.String("list", r.list), zap.Uint64("lease", lease))
	return nil
}
