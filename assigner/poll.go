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
	"medlargw.example/medlargw/hedger"
)

// Intervals, timeouts and counts for polling the list.
const (
	pollInterval        = time.Second // Between the starts of two reads by one reader, unless the settings say otherwise.
	startupTime         = time.Second // Time after creation in which a reader polls every startupPollInterval to find the others.
	startupPollInterval = 100 * time.Millisecond
	staleAfter          = 2 * time.Second        // All entries of the zone read the list when none has read it for so long.
	minRetryPause       = 200 * time.Millisecond // Shortest pause after a failed read.
	maxRetryPause       = 3 * time.Second        // Longest pause after a failed read.
	maxReaderRetryPause = time.Second            // That of the zone's readers.
	readersPerZone      = 2
	fetchTimeout        = 5 * time.Second
	pauseJitter         = 0.2 // Share by which a pause varies.
)

// run polls the list, if this entry is to read it, until the context ends.
func (a *Assigner) run(ctx context.Context) {
	interval := cmp.Or(a.settings.Group.Read, pollInterval)
	retryPause := minRetryPause
	failing := false
	var recovered time.Time // Start of the first read that was answered after others were not; zero is none.
	for {
		startedAt, pause := time.Now(), interval
		switch {
		case !a.ReadsPlatform():
			pause = pollInterval
		case !a.readList(ctx):
			startedAt, pause = time.Now(), retryPause // The pause follows the failure.
			retryPause = min(2*retryPause, a.maxRetryPause())
			failing = true
		case time.Since(a.createdAt) < startupTime:
			retryPause, pause = minRetryPause, min(startupPollInterval, interval)
		default:
			retryPause = minRetryPause
			if failing {
				failing, recovered = false, startedAt
			}
			if a.awaitsReports(recovered) {
				pause = min(quickReadPause, interval)
			}
		}
		select {
		case <-time.After(withJitter(pause) - time.Since(startedAt)):
		case <-ctx.Done():
			return
		}
	}
}

// maxRetryPause returns the longest pause after a failed read. The readers look sooner
// whether the platform is back: targets are not used for long without their reports.
func (a *Assigner) maxRetryPause() time.Duration {
	if a.isReader() {
		return maxReaderRetryPause
	}
	return maxRetryPause
}

func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pauseJitter*(2*rand.Float64()-1))) //nolint:gosec // Spreads load, not used for security.
}

// ReadsPlatform reports whether this entry reads the list from the platform: it
// is one of the zone's readers, or no entry of the zone has read the list
// recently, or the readers' build does not pass on all of it.
func (a *Assigner) ReadsPlatform() bool {
	return a.isReader() || a.HostsAge() > staleAfter || a.hasUnawarePeers()
}

// isReader reports whether this entry is one of the zone's readers.
func (a *Assigner) isReader() bool {
	readers := readersOf(servingMembers(a.members.Members()))
	return slices.ContainsFunc(readers, func(m medlargw.Member) bool { return m.Host == a.settings.Host })
}

// readersOf returns the entries that read the list: those of the highest capacity,
// if all state one, and of equal ones those whose names have the lowest hashes.
func readersOf(all []medlargw.Member) []medlargw.Member {
	stated := !slices.ContainsFunc(all, func(m medlargw.Member) bool { return m.Capacity == 0 })
	hash := func(m *medlargw.Member) uint64 { return xxhash.Sum64String("platform/" + string(m.Host)) }
	slices.SortFunc(all, func(x, y medlargw.Member) int {
		if stated && x.Capacity != y.Capacity {
			return cmp.Compare(y.Capacity, x.Capacity)
		}
		return cmp.Compare(hash(&x), hash(&y))
	})
	return all[:min(readersPerZone, len(all))]
}

// readList reads the list from the platform and applies it. It returns false if
// the read failed.
func (a *Assigner) readList(ctx context.Context) bool {
	list, sentAt, err := hedger.Do(ctx, a.calls, "hosts", a.hosts.Hosts)
	if err != nil {
		if ctx.Err() == nil {
			a.log.Warn("reading the host list failed", zap.Error(err))
		}
		return false
	}
	a.recordZoneRead(sentAt)
	recentChanged := a.setRecent(&list)
	switch {
	case a.applyList(&list):
		a.gossiper.GossipNow()
	case recentChanged:
		a.MembersChanged(nil)
	}
	a.recordReports(sentAt, &list)
	return true
}

// HeartbeatReceived takes the age of the list from a heartbeat of a peer of
// this zone, and fetches the list of any peer that has a newer one.
func (a *Assigner) HeartbeatReceived(from medlargw.Member, d medlargw.Digest) {
	if from.Zone == a.settings.Zone {
		a.recordZoneRead(time.Now().Add(-d.HostsAge))
	}
	if d.HostsVersion <= a.HostsVersion() || !a.fetches.Start(time.Now()) {
		return
	}
	a.spawner.Go(func(ctx context.Context) {
		defer a.fetches.End()
		a.fetchList(ctx, from.Addr, from.Zone != a.settings.Zone)
	})
}

// fetchList fetches a peer's list and applies it. The peers of this zone are
// told of a newer list from another zone at once.
func (a *Assigner) fetchList(ctx context.Context, from netip.AddrPort, crossZone bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := medlargw.FetchRequest{Kind: medlargw.FetchHosts, Version: a.HostsVersion(), Protocol: medlargw.ProtocolChanges}
	reply, err := a.messenger.Fetch(ctx, from, request)
	if err != nil || len(reply.Body) == 0 {
		a.log.Debug("fetching the host list from a peer failed", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	changed, err := a.applyReply(&reply)
	if err != nil {
		a.log.Error("decoding the host list from a peer failed", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	if changed && crossZone {
		a.gossiper.GossipNow()
	}
}

// applyReply applies the list or the changes of it that a peer has sent, and
// reports whether they are newer.
func (a *Assigner) applyReply(reply *medlargw.FetchReply) (bool, error) {
	if reply.Base == 0 {
		list, err := accessor.DecodeHosts(reply.Body)
		if err != nil {
			return false, err
		}
		return a.applyList(&list), nil
	}
	changes, err := accessor.DecodeChanges(reply.Body)
	if err != nil {
		return false, err
	}
	return a.applyChanges(&changes)
}

// encodedList is one version of the list in the form that is sent to peers. It
// holds times that count from its encoding.
type encodedList struct {
	version uint64
	at      time.Time
	body    []byte
}

// maxEncodedAge is the time for which an encoded list is used again.
const maxEncodedAge = time.Second

// HandleFetch returns the reports of targets; or what has changed in the list, to a peer
// that has an older one, or the whole list if the changes are not known.
func (a *Assigner) HandleFetch(_ context.Context, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	if r.Kind == medlargw.FetchReports {
		return a.serveReports(), nil
	}
	list := a.list.Load()
	if list == nil || list.Version <= r.Version {
		return medlargw.FetchReply{Version: a.HostsVersion()}, nil
	}
	if r.Protocol >= medlargw.ProtocolChanges {
		if changes, ok := a.changesAfter(r.Version); ok {
			body, err := accessor.EncodeChanges(&changes)
			return medlargw.FetchReply{Version: changes.Version, Base: changes.Base, Body: body}, err
		}
	}
	if e := a.encoded.Load(); e != nil && e.version == list.Version && time.Since(e.at) < maxEncodedAge {
		return medlargw.FetchReply{Version: e.version, Body: e.body}, nil
	}
	body, err := accessor.EncodeHosts(list)
	if err != nil {
		return medlargw.FetchReply{}, err
	}
	a.encoded.Store(&encodedList{version: list.Version, at: time.Now(), body: body})
	return medlargw.FetchReply{Version: list.Version, Body: body}, nil
}

func (a *Assigner) changesAfter(version uint64) (medlargw.HostListChanges, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.differ.Changes(version)
}

// servingMembers returns the entries of this zone that may own targets. If there
// are none, it returns this entry, whatever its state.
func servingMembers(all []medlargw.Member) []medlargw.Member {
	self := &all[0]
	var serving []medlargw.Member
	for i := range all {
		joining := i == 0 && all[i].State == medlargw.MemberJoining
		if all[i].Zone == self.Zone && (all[i].CanOwn() || joining) {
			serving = append(serving, all[i])
		}
	}
	if serving == nil {
		serving = append(serving, *self)
	}
	return serving
}
