package driver

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Times of the balancer.
const (
	probeInterval = 200 * time.Millisecond // Between two probes of one entry.
	probeTimeout  = time.Second
)

// balancer keeps jobs from the entries that are not ready, as the platform's
// balancer does.
type balancer struct {
	driver *Driver
	ready  []atomic.Bool // By position in the load's entries.
}

func newBalancer(d *Driver) *balancer {
	b := &balancer{driver: d, ready: make([]atomic.Bool, len(d.load.Entries))}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// run probes the entries until the context ends.
func (b *balancer) run(ctx context.Context) {
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

// pick returns the entry for the nth job: its own, or the next that is ready.
func (b *balancer) pick(n int) netip.AddrPort {
	for i := range b.ready {
		if at := (n + i) % len(b.ready); b.ready[at].Load() {
			return b.driver.load.Entries[at]
		}
	}
	return b.driver.load.Entries[n%len(b.ready)]
}
