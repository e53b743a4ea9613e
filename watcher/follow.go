package watcher

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

// Times of the watch.
const (
	maxBackoff   = 5 * time.Second // Longest pause after errors of the store.
	watchTime    = 8 * time.Second // Then the watch is asked for anew.
	dutyInterval = time.Second     // Between two looks whether this entry must watch.
)

// follow holds a watch while this entry reads from the platform.
func (w *Watcher) follow(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = maxBackoff
	var revision uint64
	for ctx.Err() == nil {
		if !w.reader.Reads() {
			sleep(ctx, dutyInterval)
			continue
		}
		entry, err := w.watch(ctx, revision)
		if err != nil {
			w.report(ctx, err)
			sleep(ctx, pause.NextBackOff())
			continue
		}
		revision = entry.Revision
		pause.Reset()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (w *Watcher) report(ctx context.Context, err error) {
	if ctx.Err() == nil {
		w.log.Warn("store not read", zap.Error(err))
	}
}

// watch waits for a change of the head, and puts it into force.
func (w *Watcher) watch(ctx context.Context, revision uint64) (medlargw.Entry, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	entry, err := w.store.Watch(watchCtx, converter.HeadKey, revision)
	if err != nil && errors.Is(watchCtx.Err(), context.DeadlineExceeded) {
		return medlargw.Entry{Revision: revision}, nil // Nothing has changed.
	}
	if err != nil {
		return entry, err
	}
	if entry.Revision == revision || len(entry.Value) == 0 {
		return entry, nil
	}
	changed, err := w.apply(entry.Value, func(v medlargw.TeamVersion) ([]byte, error) {
		e, err := w.store.Get(ctx, w.conv.TeamKey(v))
		return e.Value, err
	})
	if changed {
		w.spreader.Spread()
	}
	return entry, err
}
