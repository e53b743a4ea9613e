// Package watcher follows the configuration in the store and puts each new
// generation into force in one step.
//
// It keeps the highest generation that it has seen; a head that goes back is
// reported and ignored. Values of teams are kept by hash, so that a change of
// one team reads one value.
package watcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
	"medlargw.example/medlargw/registrar"
)

// maxBackoff is the longest pause after errors of the store.
const maxBackoff = 5 * time.Second

// Sink takes each configuration that comes into force.
type sink interface {
	Configure(cfg *medlargw.Config)
}

// Watcher is the part that keeps the configuration in force.
type Watcher struct {
	log      *zap.Logger
	registry *registrar.Registrar
	store    medlargw.Store
	conv     converter.Converter
	current  atomic.Pointer[medlargw.Config]
	teams    map[medlargw.TeamVersion]medlargw.TeamConfig
	sink     sink
	cancel   context.CancelFunc
	running  conc.WaitGroup
	done     chan struct{}
}

var (
	_ medlargw.Part       = (*Watcher)(nil)
	_ medlargw.Configured = (*Watcher)(nil)
)

// New returns a watcher that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, store medlargw.Store) *Watcher {
	return &Watcher{
		log:      log.Named("watcher"),
		registry: reg,
		store:    store,
		teams:    map[medlargw.TeamVersion]medlargw.TeamConfig{},
		done:     make(chan struct{}),
	}
}

// Name returns "watcher".
func (*Watcher) Name() string { return "watcher" }

// Config returns the configuration in force, or nil when there is none yet.
func (w *Watcher) Config() *medlargw.Config { return w.current.Load() }

// Start follows the store until Stop. An outage of the store is no error.
func (w *Watcher) Start(context.Context) error {
	var err error
	if w.sink, err = registrar.Find[sink](w.registry, "dispatcher"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.running.Go(func() { w.follow(ctx) })
	return nil
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

func (w *Watcher) follow(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = maxBackoff
	var revision uint64
	for ctx.Err() == nil {
		entry, err := w.store.Watch(ctx, converter.HeadKey, revision)
		if err == nil {
			err = w.apply(ctx, entry)
		}
		if err == nil {
			revision = entry.Revision
			pause.Reset()
			continue
		}
		if ctx.Err() == nil && !errors.Is(err, context.DeadlineExceeded) {
			w.log.Warn("store not read", zap.Error(err))
		}
		sleep(ctx, pause.NextBackOff())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// apply puts the configuration of a head into force, if it is newer.
func (w *Watcher) apply(ctx context.Context, entry medlargw.Entry) error {
	if entry.Revision == 0 {
		return nil
	}
	head, err := w.conv.DecodeHead(entry.Value)
	if err != nil {
		return err
	}
	if now := w.Config(); now != nil && head.Generation <= now.Generation {
		if head.Generation < now.Generation {
			w.log.Error("head went back", zap.Uint64("got", head.Generation), zap.Uint64("kept", now.Generation))
		}
		return nil
	}
	teams, err := w.readTeams(ctx, head)
	if err != nil {
		return err
	}
	cfg := compose(head.Generation, teams)
	w.current.Store(cfg)
	w.sink.Configure(cfg)
	w.log.Info("configuration in force", zap.Uint64("generation", cfg.Generation))
	return nil
}

func (w *Watcher) readTeams(ctx context.Context, head medlargw.Head) ([]medlargw.TeamConfig, error) {
	kept := make(map[medlargw.TeamVersion]medlargw.TeamConfig, len(head.Teams))
	teams := make([]medlargw.TeamConfig, 0, len(head.Teams))
	for _, v := range head.Teams {
		t, ok := w.teams[v]
		if !ok {
			var err error
			if t, err = w.readTeam(ctx, v); err != nil {
				return nil, err
			}
		}
		kept[v] = t
		teams = append(teams, t)
	}
	w.teams = kept
	return teams, nil
}

func (w *Watcher) readTeam(ctx context.Context, v medlargw.TeamVersion) (medlargw.TeamConfig, error) {
	entry, err := w.store.Get(ctx, w.conv.TeamKey(v))
	if err != nil {
		return medlargw.TeamConfig{}, fmt.Errorf("read team %s: %w", v.Team, err)
	}
	return w.conv.DecodeTeam(entry.Value)
}

// compose joins the declarations of all teams into one configuration.
func compose(generation uint64, teams []medlargw.TeamConfig) *medlargw.Config {
	cfg := &medlargw.Config{Generation: generation}
	for _, t := range teams {
		cfg.Teams = append(cfg.Teams, t.Team)
		cfg.Classes = append(cfg.Classes, t.Classes...)
		cfg.Services = append(cfg.Services, t.Services...)
	}
	slices.SortFunc(cfg.Classes, func(a, b medlargw.Class) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
	})
	return cfg
}
