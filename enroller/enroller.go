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
	"medlargw.example/medlargw/hedger"
	"medlargw.example/medlargw/registrar"
)

const (
	// leaseTTL is the time without a renewal after which the platform no longer
	// lists the entry. It bounds how long a crashed entry keeps its targets.
	leaseTTL = 1500 * time.Millisecond
	// maxLeaseTTL bounds the time to live of that lease while the platform is slow.
	maxLeaseTTL = 4 * leaseTTL
	// callsPerLease is the number of consecutive calls for which a lease must last. To
	// register takes three: one for the lease, one for the entry, and a renewal.
	callsPerLease = 4
	// recentTTL is the time for which a stopped entry is remembered. All entries may be
	// away for as long as that.
	recentTTL = time.Minute
	// recentDelay is the time after the start before the entry is remembered. The
	// platform and the processor have other work in the first second.
	recentDelay = 2 * time.Second
	// initialRetryDelay is the mean delay after the first of consecutive failed calls.
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
	calls     *hedger.Hedger
	members   medlargw.Members
	current   registration // Ends with the entry.
	recent    registration // Outlasts the entry.

	leave  context.CancelFunc // Begins a planned stop.
	cancel context.CancelFunc
	wg     conc.WaitGroup
	done   chan struct{}
}

var (
	_ medlargw.Component  = (*Enroller)(nil)
	_ medlargw.PreStopper = (*Enroller)(nil)
)

// registration is one registration of the entry under a lease. There is one lease at a
// time, so that no late write binds the record to a lease that is not renewed.
type registration struct {
	list     string // Of the platform, for logs.
	write    func(ctx context.Context, m medlargw.Member, lease uint64) error
	minTTL   time.Duration
	maxTTL   time.Duration
	minRetry time.Duration // Mean delay after the first of consecutive failed calls.
	maxRetry time.Duration

	lease      uint64 // Zero if there is none.
	ttl        time.Duration
	renewedAt  time.Time     // When the last call that renewed the lease was sent.
	written    bool          // The entry is registered under the lease.
	answerTime time.Duration // Longest of the recent answers.
}

// New returns an enroller that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, enrolment medlargw.Enrolment, calls *hedger.Hedger) *Enroller {
	return &Enroller{
		log: log.Named("enroller"), registry: reg, enrolment: enrolment, calls: calls, done: make(chan struct{}),
		current: registration{
			list: "entries", write: enrolment.Enrol, minTTL: leaseTTL, maxTTL: maxLeaseTTL,
			minRetry: initialRetryDelay, maxRetry: maxRetryDelay,
		},
		recent: registration{
			list: "recent entries", write: enrolment.Remember, minTTL: recentTTL, maxTTL: recentTTL,
			minRetry: recentRetryDelay, maxRetry: recentRetryDelay,
		},
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
	registered, leave := context.WithCancel(ctx)
	e.cancel, e.leave = cancel, leave
	e.wg.Go(func() {
		e.keepRegistered(registered, &e.current, 0)
		e.revoke(ctx, &e.current)
	})
	e.wg.Go(func() { e.keepRegistered(registered, &e.recent, recentDelay) })
	return nil
}

// PreStop ends the renewals at the beginning of a planned stop. The lease that ends with
// the entry is revoked until Stop, however slow the platform is: the next process of this
// host must not take it for one whose targets nobody has taken.
func (e *Enroller) PreStop(context.Context) error {
	e.leave()
	return nil
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
	for sleep(ctx, delay) {
		if err := e.registerOrRenew(ctx, r); err == nil {
			retry.Reset()
			delay = r.ttl/3 - time.Since(r.renewedAt)
		} else {
			delay = retry.NextBackOff()
			if ctx.Err() == nil {
				e.log.Warn("not enrolled at the platform", zap.String("list", r.list), zap.Error(err), zap.Duration("retry", delay))
			}
		}
	}
}

// revoke ends the lease, unless the context ends before.
func (e *Enroller) revoke(ctx context.Context, r *registration) {
	retry := newRetryBackOff(r.minRetry, r.maxRetry)
	for delay := time.Duration(0); r.lease != 0 && sleep(ctx, delay); delay = retry.NextBackOff() {
		if _, err := e.call(ctx, r, "revoke", e.enrolment.Revoke); err == nil {
			r.forget()
		} else if ctx.Err() != nil {
			e.log.Warn("enrolment not revoked before the stop", zap.String("list", r.list), zap.Error(err))
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
	if r.written && r.ttl > 2*r.suitableTTL() {
		if _, err := e.call(ctx, r, "revoke", e.enrolment.Revoke); err != nil {
			return err
		}
		r.forget()
	}
	if !r.written {
		return e.register(ctx, r)
	}
	sentAt, err := e.call(ctx, r, "renew", e.enrolment.Renew)
	switch {
	case err == nil:
		r.renewedAt = sentAt
	case errors.Is(err, medlargw.ErrNotFound):
		return e.register(ctx, r)
	}
	return err
}

// register adds the entry to the list, under a lease that lasts for some of the
// platform's answers.
func (e *Enroller) register(ctx context.Context, r *registration) error {
	for r.lease == 0 {
		if err := e.grant(ctx, r); err != nil {
			return err
		}
		if r.ttl < r.suitableTTL() {
			r.forget() // It would end before the entry is written.
		}
	}
	write := func(ctx context.Context, lease uint64) error { return r.write(ctx, e.members.Self(), lease) }
	if _, err := e.call(ctx, r, "write", write); err != nil {
		return err
	}
	r.written = true
	e.log.Info("enrolled at the platform", zap.String("list", r.list), zap.Uint64("lease", r.lease), zap.Duration("ttl", r.ttl))
	return nil
}

// grant obtains a lease.
func (e *Enroller) grant(ctx context.Context, r *registration) error {
	ttl := r.suitableTTL()
	lease, sentAt, err := hedger.Do(ctx, e.calls, "grant", func(ctx context.Context) (uint64, error) {
		return e.enrolment.Grant(ctx, ttl)
	})
	if err != nil {
		return err
	}
	r.addAnswer(sentAt)
	r.lease, r.ttl, r.renewedAt = lease, ttl, sentAt
	return nil
}

// call makes a call that concerns the lease, and forgets the lease if it has ended. It
// returns the time at which the answered call was sent.
func (e *Enroller) call(
	ctx context.Context, r *registration, name string, send func(ctx context.Context, lease uint64) error,
) (time.Time, error) {
	_, sentAt, err := hedger.Do(ctx, e.calls, name, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, send(ctx, r.lease)
	})
	switch {
	case err == nil:
		r.addAnswer(sentAt)
	case errors.Is(err, medlargw.ErrNotFound):
		e.log.Warn("enrolment had ended", zap.String("list", r.list))
		r.forget()
	}
	return sentAt, err
}

// forget drops the lease, which has ended or is left to end.
func (r *registration) forget() { r.lease, r.written = 0, false }

// suitableTTL returns the time to live of a lease that lasts for callsPerLease answers.
func (r *registration) suitableTTL() time.Duration {
	return min(max(r.minTTL, callsPerLease*r.answerTime), r.maxTTL)
}

// addAnswer records the answer to a call that was sent at the given time.
func (r *registration) addAnswer(sentAt time.Time) {
	r.answerTime = max(time.Since(sentAt), r.answerTime/2)
}
