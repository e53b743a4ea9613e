package driver

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Settings of the readiness probes.
const (
	probeInterval = 200 * time.Millisecond // Pause between two probes of one entry.
	probeTimeout  = time.Second
)

// balancer sends no jobs to entries that are not ready, as the platform's load
// balancer does.
type balancer struct {
	driver *Driver
	ready  []atomic.Bool // By index in the load's entries.
}

func newBalancer(d *Driver) *balancer {
	b := &balancer{driver: d, ready: make([]atomic.Bool, len(d.load.Entries))}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// probeEntries probes the entries until the context ends.
func (b *balancer) probeEntries(ctx context.Context) {
	var probing conc.WaitGroup
	defer probing.Wait()
	for i := range b.ready {
		probing.Go(func() {
			for ctx.Err() == nil {
				b.ready[i].Store(b.probe(ctx, b.driver.load.Entries[i]))
				select {
				case <-time.After(probeInterval):
				case <-ctx.Done():
				}
			}
		})
	}
}

// probe reports whether the entry is ready.
func (b *balancer) probe(ctx context.Context, entry netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.String()+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	status, _, err := b.driver.do(req)
	return err == nil && status == http.StatusNoContent
}

// pick returns the entry for the nth job: the entry in turn, or the first ready
// one after it. If none is ready, it returns the entry in turn.
func (b *balancer) pick(n int) netip.AddrPort {
	for i := range b.ready {
		if index := (n + i) % len(b.ready); b.ready[index].Load() {
			return b.driver.load.Entries[index]
		}
	}
	return b.driver.load.Entries[n%len(b.ready)]
}
