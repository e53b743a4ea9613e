package assigner

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
)

// Times and numbers of the readings.
const (
	pollInterval = time.Second // Between two readings of one reader.
	startTime    = time.Second // After its start an entry looks for the others more often.
	startPause   = 100 * time.Millisecond
	blindAfter   = 2 * time.Second        // Without a reading in the zone, all entries read.
	firstPause   = 200 * time.Millisecond // After a reading that failed.
	maxPause     = 2 * time.Second        // Between two readings that failed.
	readers      = 2                      // In each zone.
	fetchTimeout = 2 * time.Second
	jitter       = 0.2 // Share by which a pause may be shorter or longer.
)

// follow reads the list or leaves it to others, until the context ends.
func (a *Assigner) follow(ctx context.Context) {
	interval := cmp.Or(a.settings.Group.Read, pollInterval)
	pause := interval
	for {
		switch {
		case !a.Reads():
			pause = pollInterval
		case !a.read(ctx):
			pause = min(max(2*pause, firstPause), maxPause)
		case time.Since(a.began) < startTime:
			pause = min(startPause, interval)
		default:
			pause = interval
		}
		select {
		case <-time.After(spread(pause)):
		case <-ctx.Done():
			return
		}
	}
}

func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*rand.Float64()-1))) //nolint:gosec // Spreads load, guards nothing.
}

// Reads reports whether this entry reads from the platform: it is one of the
// zone's readers, or those don't reach it.
func (a *Assigner) Reads() bool {
	return a.onDuty() || a.HostsAge() > blindAfter
}

// onDuty reports whether this entry is one of the zone's readers.
func (a *Assigner) onDuty() bool {
	names := serving(a.members.Members())
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Compare(xxhash.Sum64String("platform/"+x), xxhash.Sum64String("platform/"+y))
	})
	return slices.Contains(names[:min(readers, len(names))], string(a.settings.Host))
}

// read reads the platform's list; it returns false when that failed.
func (a *Assigner) read(ctx context.Context) bool {
	list, err := a.hosts.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			a.log.Warn("host list not read", zap.Error(err))
		}
		return false
	}
	a.confirm(time.Now())
	if a.take(&list) {
		a.spreader.Spread()
	}
	return true
}

// HeardBeat learns from a peer how fresh its list is, and fetches a newer one.
func (a *Assigner) HeardBeat(from medlargw.Member, d medlargw.Digest) {
	if from.Zone == a.settings.Zone {
		a.confirm(time.Now().Add(-d.HostsAge))
	}
	if d.Hosts <= a.HostsVersion() || !a.fetching.CompareAndSwap(false, true) {
		return
	}
	a.running.Go(func() {
		defer a.fetching.Store(false)
		a.fetch(from.Addr, from.Zone != a.settings.Zone)
	})
}

// fetch asks a peer for its list. A list from another zone is spread in this
// one.
func (a *Assigner) fetch(from netip.AddrPort, abroad bool) {
	ctx, cancel := context.WithTimeout(a.ctx, fetchTimeout)
	defer cancel()
	request := medlargw.FetchRequest{Kind: medlargw.FetchHosts, Version: a.HostsVersion()}
	reply, err := a.messenger.Fetch(ctx, from, request)
	if err != nil || len(reply.Body) == 0 {
		a.log.Debug("host list not fetched", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	list, err := accessor.DecodeHosts(reply.Body)
	if err != nil {
		a.log.Error("host list of a peer not decoded", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	if a.take(&list) && abroad {
		a.spreader.Spread()
	}
}

// HandleFetch gives the list to a peer that has an older one.
func (a *Assigner) HandleFetch(_ context.Context, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	list := a.list.Load()
	if list == nil || list.Version <= r.Version {
		return medlargw.FetchReply{Version: a.HostsVersion()}, nil
	}
	body, err := accessor.EncodeHosts(list)
	return medlargw.FetchReply{Version: list.Version, Body: body}, err
}

// serving returns the names of the zone's entries that may own something. When
// there is none, this entry is left, whatever its own state.
func serving(all []medlargw.Member) []string {
	self := &all[0]
	var names []string
	for i := range all {
		joining := i == 0 && all[i].State == medlargw.MemberJoining
		if all[i].Zone == self.Zone && (all[i].Serving() || joining) {
			names = append(names, string(all[i].Host))
		}
	}
	if names == nil {
		names = append(names, string(self.Host))
	}
	return names
}
