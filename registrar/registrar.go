// Package registrar manages the components of a process: it registers them by
// name, starts them in the order of registration and stops them in reverse
// order.
//
// A component looks up the components it uses with Find in its Start method and
// not earlier, so that the order of registration is the only order that matters.
package registrar

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// Registrar holds the components of one process. It is not safe for concurrent
// use. Components may call Find in their Start method.
type Registrar struct {
	log     *zap.Logger
	parts   []medlargw.Component
	started int
	done    chan struct{}
}

// New returns an empty registrar.
func New(log *zap.Logger) *Registrar {
	return &Registrar{log: log.Named("registrar"), done: make(chan struct{})}
}

// Add registers components. It panics if a name is already registered.
func (r *Registrar) Add(parts ...medlargw.Component) {
	for _, p := range parts {
		if r.find(p.Name()) != nil {
			panic("component registered twice: " + p.Name())
		}
		r.parts = append(r.parts, p)
	}
}

// Find returns the component with the name as a T. It returns an error if the
// component is not registered or does not implement T.
func Find[T any](r *Registrar, name string) (T, error) {
	var zero T
	p := r.find(name)
	if p == nil {
		return zero, fmt.Errorf("component %s: not registered", name)
	}
	t, ok := p.(T)
	if !ok {
		return zero, fmt.Errorf("component %s: got %T, want %T", name, p, &zero)
	}
	return t, nil
}

func (r *Registrar) find(name string) medlargw.Component {
	for _, p := range r.parts {
		if p.Name() == name {
			return p
		}
	}
	return nil
}

// Start starts all components. If one fails, it stops those already started
// and returns the errors.
func (r *Registrar) Start(ctx context.Context) error {
	for _, p := range r.parts {
		if err := p.Start(ctx); err != nil {
			stopErr := r.Stop(ctx)
			return errors.Join(fmt.Errorf("start %s: %w", p.Name(), err), stopErr)
		}
		r.started++
		r.log.Debug("component started", zap.String("part", p.Name()))
	}
	return nil
}

// PreStop begins a planned stop: it calls PreStop of the started components
// that implement medlargw.PreStopper, in reverse order, and returns their
// errors joined. All components continue to serve.
func (r *Registrar) PreStop(ctx context.Context) error {
	var errs []error
	for _, p := range slices.Backward(r.parts[:r.started]) {
		l, ok := p.(medlargw.PreStopper)
		if !ok {
			continue
		}
		if err := l.PreStop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("leave %s: %w", p.Name(), err))
		}
	}
	return errors.Join(errs...)
}

// Stop stops the started components in reverse order and waits for each. It
// returns their errors joined. A second call does nothing.
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

// Done returns a channel that is closed when all components have stopped.
func (r *Registrar) Done() <-chan struct{} { return r.done }
