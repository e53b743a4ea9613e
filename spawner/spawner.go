// Package spawner runs the background goroutines of a component.
package spawner

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"
)

// Spawner runs goroutines until Stop. Unlike a conc.WaitGroup, it allows Go
// while or after another goroutine waits for the end of the others, so that
// components that still run may call one that has stopped. Create it with New.
type Spawner struct {
	ctx    context.Context //nolint:containedctx // Ends in Stop.
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu      sync.Mutex
	stopped bool
}

// New returns a spawner without goroutines.
func New() *Spawner {
	s := &Spawner{}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Go runs f on a new goroutine, with a context that ends in Stop. After Stop it
// does nothing and returns false.
func (s *Spawner) Go(f func(ctx context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.wg.Go(func() { f(s.ctx) })
	return true
}

// Stop ends the context of the goroutines and waits for their end. It panics if
// one of them has panicked.
func (s *Spawner) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
}
