// Package watcher keeps the configuration in force: it follows the head in the
// store, or learns from peers, and puts each new generation into force in one
// step.
//
// The two entries of a zone that read from the platform hold the watch; the
// others hear of a new generation in heartbeats and fetch it from a peer. Only
// a higher generation is taken, whatever its source; a head that goes back is
// reported and ignored. Values of teams are kept by hash, with the generation
// that brought them, so that a change of one team moves one value.
package watcher

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
	"medlargw.example/medlargw/registrar"
)

// sink takes each configuration that comes into force.
type sink interface {
	Configure(cfg *medlargw.Config)
}

// reader tells whether this entry reads from the platform. The part "assigner"
// does.
type reader interface {
	Reads() bool
}

// value is the declaration of one team, as the store holds it and decoded.
type value struct {
	raw     []byte
	decoded medlargw.TeamConfig
	since   uint64 // Generation that brought it here.
}

// Watcher is the part that keeps the configuration in force.
type Watcher struct {
	log       *zap.Logger
	registry  *registrar.Registrar
	store     medlargw.Store
	conv      converter.Converter
	sink      sink
	reader    reader
	spreader  medlargw.Spreader
	messenger medlargw.Messenger
	current   atomic.Pointer[medlargw.Config]
	fetching  atomic.Bool

	mu    sync.Mutex // Held while a generation is put into force.
	head  []byte     // As the store holds it.
	teams map[medlargw.TeamVersion]value

	ctx     context.Context //nolint:containedctx // Ends with the part.
	cancel  context.CancelFunc
	running conc.WaitGroup
	done    chan struct{}
}

var (
	_ medlargw.Part         = (*Watcher)(nil)
	_ medlargw.Configured   = (*Watcher)(nil)
	_ medlargw.BeatObserver = (*Watcher)(nil)
	_ medlargw.FetchHandler = (*Watcher)(nil)
)

// New returns a watcher that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, store medlargw.Store) *Watcher {
	return &Watcher{
		log:      log.Named("watcher"),
		registry: reg,
		store:    store,
		teams:    map[medlargw.TeamVersion]value{},
		done:     make(chan struct{}),
	}
}

// Name returns "watcher".
func (*Watcher) Name() string { return "watcher" }

// Config returns the configuration in force, or nil when there is none yet.
func (w *Watcher) Config() *medlargw.Config { return w.current.Load() }

// generation returns the generation in force; zero is none.
func (w *Watcher) generation() uint64 {
	if cfg := w.Config(); cfg != nil {
		return cfg.Generation
	}
	return 0
}

// Start follows the store until Stop. An outage of the store is no error.
func (w *Watcher) Start(context.Context) error {
	if err := w.find(); err != nil {
		return err
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.running.Go(func() { w.follow(w.ctx) })
	return nil
}

func (w *Watcher) find() error {
	var err error
	if w.sink, err = registrar.Find[sink](w.registry, "dispatcher"); err != nil {
		return err
	}
	if w.reader, err = registrar.Find[reader](w.registry, "assigner"); err != nil {
		return err
	}
	if w.spreader, err = registrar.Find[medlargw.Spreader](w.registry, "tracker"); err != nil {
		return err
	}
	w.messenger, err = registrar.Find[medlargw.Messenger](w.registry, "messenger")
	return err
}

// Stop ends the watch.
func (w *Watcher) Stop(context.Context) error {
	defer close(w.done)
	w.cancel()
	w.running.Wait()
	return nil
}

// Done is closed when the watch has ended.
func (w *Watcher) Done() <-chan struct{} { return w.done }
