package watcher

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
	"medlargw.example/medlargw/hedger"
)

const (
	maxRetryDelay     = 5 * time.Second // Upper bound of the delay after a store error.
	watchTimeout      = 8 * time.Second // Time after which an idle watch is requested again.
	roleCheckInterval = time.Second     // Between two checks whether this entry reads from the store.
)

// watchStore watches the store while this entry is one that reads from it.
func (w *Watcher) watchStore(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.MaxInterval = maxRetryDelay
	var revision uint64
	for ctx.Err() == nil {
		if !w.storeReader.ReadsPlatform() {
			sleep(ctx, roleCheckInterval)
			continue
		}
		kv, err := w.watch(ctx, revision)
		if err != nil {
			w.logStoreError(ctx, err)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		revision = kv.Revision
		retry.Reset()
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

func (w *Watcher) logStoreError(ctx context.Context, err error) {
	if ctx.Err() == nil {
		w.log.Warn("reading the configuration from the store failed", zap.Error(err))
	}
}

// watch waits for a change of the head, applies it, and tells the peers.
func (w *Watcher) watch(ctx context.Context, revision uint64) (medlargw.KeyValue, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	kv, err := w.store.Watch(watchCtx, converter.HeadKey, revision)
	if err != nil && errors.Is(watchCtx.Err(), context.DeadlineExceeded) {
		return medlargw.KeyValue{Revision: revision}, nil // The head has not changed.
	}
	if err != nil {
		return kv, err
	}
	if kv.Revision == revision || len(kv.Value) == 0 {
		return kv, nil
	}
	changed, err := w.apply(kv.Value, func(v medlargw.TeamVersion) ([]byte, error) {
		e, _, err := hedger.Do(ctx, w.calls, "team", func(ctx context.Context) (medlargw.KeyValue, error) {
			return w.store.Get(ctx, w.conv.TeamKey(v))
		})
		return e.Value, err
	})
	if changed {
		w.gossiper.GossipNow()
	}
	return kv, err
}
