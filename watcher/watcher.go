// Package watcher keeps the configuration up to date: it watches the head in the
// store, or fetches from peers, and puts each new generation into force
// atomically.
//
// The two entries of a zone that read from the platform watch the store; the
// others learn of a new generation from heartbeats and fetch it from a peer.
// Only a higher generation is accepted, whatever its source; a head with a lower
// one is logged and ignored. The values of teams are cached by hash, with the
// generation that they came with, so that a change of one team transfers one
// value.
package watcher

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
	"medlargw.example/medlargw/hedger"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/spacer"
	"medlargw.example/medlargw/spawner"
)

// configReceiver receives each configuration that comes into force.
type configReceiver interface {
	Configure(cfg *medlargw.Config)
}

// storeReader reports whether this entry reads from the platform. It is
// implemented by the component "assigner".
type storeReader interface {
	ReadsPlatform() bool
}

// teamValue is the declaration of one team, as stored and decoded.
type teamValue struct {
	raw        []byte
	decoded    medlargw.TeamConfig
	generation uint64 // Generation that it was received with.
}

// Watcher is the component that keeps the configuration up to date.
type Watcher struct {
	log            *zap.Logger
	registry       *registrar.Registrar
	store          medlargw.Store
	calls          *hedger.Hedger
	conv           converter.Converter
	configReceiver configReceiver
	storeReader    storeReader
	gossiper       medlargw.Gossiper
	messenger      medlargw.Messenger
	current        atomic.Pointer[medlargw.Config]
	fetches        spacer.Spacer

	mu         sync.Mutex // Held while a generation is put into force.
	rawHead    []byte     // As stored.
	teamValues map[medlargw.TeamVersion]teamValue

	spawner *spawner.Spawner
	done    chan struct{}
}

var (
	_ medlargw.Component         = (*Watcher)(nil)
	_ medlargw.ConfigSource      = (*Watcher)(nil)
	_ medlargw.HeartbeatObserver = (*Watcher)(nil)
	_ medlargw.FetchHandler      = (*Watcher)(nil)
)

// New returns a watcher that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, store medlargw.Store, calls *hedger.Hedger) *Watcher {
	return &Watcher{
		log:        log.Named("watcher"),
		registry:   reg,
		store:      store,
		calls:      calls,
		teamValues: map[medlargw.TeamVersion]teamValue{},
		spawner:    spawner.New(),
		done:       make(chan struct{}),
	}
}

// Name returns "watcher".
func (*Watcher) Name() string { return "watcher" }

// Config returns the configuration in force, or nil when there is none yet.
func (w *Watcher) Config() *medlargw.Config { return w.current.Load() }

// currentGeneration returns the generation in force, or zero when there is none.
func (w *Watcher) currentGeneration() uint64 {
	if cfg := w.Config(); cfg != nil {
		return cfg.Generation
	}
	return 0
}

// Start begins to watch the store, until Stop. An outage of the store is not an
// error.
func (w *Watcher) Start(context.Context) error {
	if err := w.findComponents(); err != nil {
		return err
	}
	w.spawner.Go(w.watchStore)
	return nil
}

func (w *Watcher) findComponents() error {
	var err error
	if w.configReceiver, err = registrar.Find[configReceiver](w.registry, "dispatcher"); err != nil {
		return err
	}
	if w.storeReader, err = registrar.Find[storeReader](w.registry, "assigner"); err != nil {
		return err
	}
	if w.gossiper, err = registrar.Find[medlargw.Gossiper](w.registry, "tracker"); err != nil {
		return err
	}
	w.messenger, err = registrar.Find[medlargw.Messenger](w.registry, "messenger")
	return err
}

// Stop ends the watch.
func (w *Watcher) Stop(context.Context) error {
	defer close(w.done)
	w.spawner.Stop()
	return nil
}

// Done is closed when the watch has ended.
func (w *Watcher) Done() <-chan struct{} { return w.done }
