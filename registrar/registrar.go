// Package registrar is the micro-kernel: it knows the parts of the process by
// name, starts them in the order of registration and stops them in reverse.
//
// A part finds the parts it uses with Find when it starts, never before, so
// that the order of registration is the only order to keep.
package registrar

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// Registrar holds the parts of one process. Its methods are called by one
// goroutine, Find also by parts that are starting.
type Registrar struct {
	log     *zap.Logger
	parts   []medlargw.Part
	started int
	done    chan struct{}
}

// New returns an empty registrar.
func New(log *zap.Logger) *Registrar {
	return &Registrar{log: log.Named("registrar"), done: make(chan struct{})}
}

// Add registers parts. A second part of one name is a broken invariant.
func (r *Registrar) Add(parts ...medlargw.Part) {
	for _, p := range parts {
		if r.find(p.Name()) != nil {
			panic("part registered twice: " + p.Name())
		}
		r.parts = append(r.parts, p)
	}
}

// Find returns the part of that name as the interface T, or an error that
// names what is missing.
func Find[T any](r *Registrar, name string) (T, error) {
	var none T
	p := r.find(name)
	if p == nil {
		return none, fmt.Errorf("part %s: not registered", name)
	}
	t, ok := p.(T)
	if !ok {
		return none, fmt.Errorf("part %s: got %T, want %T", name, p, &none)
	}
	return t, nil
}

func (r *Registrar) find(name string) medlargw.Part {
	for _, p := range r.parts {
		if p.Name() == name {
			return p
		}
	}
	return nil
}

// Start starts all parts. When one fails, those already started are stopped
// and its error is returned.
func (r *Registrar) Start(ctx context.Context) error {
	for _, p := range r.parts {
		if err := p.Start(ctx); err != nil {
			stopErr := r.Stop(ctx)
			return errors.Join(fmt.Errorf("start %s: %w", p.Name(), err), stopErr)
		}
		r.started++
		r.log.Debug("part started", zap.String("part", p.Name()))
	}
	return nil
}

// Leave begins a planned stop: it tells the started parts that are
// medlargw.Leaver, in reverse order, and returns their errors together. All
// parts go on serving.
func (r *Registrar) Leave(ctx context.Context) error {
	var errs []error
	for _, p := range slices.Backward(r.parts[:r.started]) {
		l, ok := p.(medlargw.Leaver)
		if !ok {
			continue
		}
		if err := l.Leave(ctx); err != nil {
			errs = append(errs, fmt.Errorf("leave %s: %w", p.Name(), err))
		}
	}
	return errors.Join(errs...)
}

// Stop stops the started parts in reverse order and waits for each. It returns
// the errors of all parts together. A second call does nothing.
func (r *Registrar) Stop(ctx context.Context) error {
	select {
	case <-r.done:
		return nil
	default:
	}
	defer close(r.done)
	var errs []error
	for _, p := range slices.Backward(r.parts[:r.started]) {
		if err := p.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop %s: %w", p.Name(), err))
		}
		select {
		case <-p.Done():
		case <-ctx.Done():
			errs = append(errs, fmt.Errorf("stop %s: %w", p.Name(), ctx.Err()))
		}
	}
	return errors.Join(errs...)
}

// Done is closed when all parts have stopped.
func (r *Registrar) Done() <-chan struct{} { return r.done }
