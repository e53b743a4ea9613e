// Package enroller keeps this entry listed at the platform under a lease, so
// that the others find it, and know it to be alive even when it is cut off from
// them alone.
package enroller

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

const (
	// ttl is the time without a renewal after which the entry is not listed any
	// more. It bounds how long a dead entry keeps its targets.
	ttl = 1500 * time.Millisecond
	// renewEvery leaves room for two renewals that fail.
	renewEvery = ttl / 3
	// callTimeout bounds one call to the platform.
	callTimeout = renewEvery
	// maxPause is the longest pause between two calls that failed.
	maxPause = 2 * time.Second
)

// Enroller is the part that keeps the entry listed.
type Enroller struct {
	log       *zap.Logger
	registry  *registrar.Registrar
	enrolment medlargw.Enrolment
	members   medlargw.Members
	lease     uint64 // Zero is not enrolled.

	cancel  context.CancelFunc
	running conc.WaitGroup
	done    chan struct{}
}

var (
	_ medlargw.Part   = (*Enroller)(nil)
	_ medlargw.Leaver = (*Enroller)(nil)
)

// New returns an enroller that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, enrolment medlargw.Enrolment) *Enroller {
	return &Enroller{log: log.Named("enroller"), registry: reg, enrolment: enrolment, done: make(chan struct{})}
}

// Name returns "enroller".
func (*Enroller) Name() string { return "enroller" }

// Start begins to keep the entry listed. An outage of the platform is no error.
func (e *Enroller) Start(context.Context) error {
	var err error
	if e.members, err = registrar.Find[medlargw.Members](e.registry, "tracker"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.running.Go(func() { e.follow(ctx) })
	return nil
}

// Leave withdraws the entry at the beginning of a planned stop.
func (e *Enroller) Leave(ctx context.Context) error {
	e.cancel()
	e.running.Wait()
	if e.lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.enrolment.Withdraw(ctx, e.lease)
}

// Stop ends the renewals.
func (e *Enroller) Stop(context.Context) error {
	defer close(e.done)
	e.cancel()
	e.running.Wait()
	return nil
}

// Done is closed when the renewals have ended.
func (e *Enroller) Done() <-chan struct{} { return e.done }

func (e *Enroller) follow(ctx context.Context) {
	pause := renewEvery
	for {
		if err := e.turn(ctx); err == nil {
			pause = renewEvery
		} else {
			pause = min(pause+renewEvery, maxPause)
			if ctx.Err() == nil {
				e.log.Warn("not enrolled at the platform", zap.Error(err), zap.Duration("retry", pause))
			}
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// turn enrols the entry, or renews its lease.
func (e *Enroller) turn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if e.lease != 0 {
		err := e.enrolment.Extend(ctx, e.lease)
		if !errors.Is(err, medlargw.ErrNotFound) {
			return err
		}
		e.log.Warn("enrolment had ended")
		e.lease = 0
	}
	lease, err := e.enrolment.Enrol(ctx, e.members.Self(), ttl)
	if err != nil {
		return err
	}
	e.lease = lease
	e.log.Info("enrolled at the platform", zap.Uint64("lease", lease))
	return nil
}
