// Package assigner follows the platform's host list and tells the dispatcher
// which targets and entries there are.
//
// Two entries of each zone poll the list. The others learn from the digests of
// heartbeats that it has changed, and fetch it from a peer. When the two
// readers cannot reach the platform, all entries of the zone poll it. Whatever
// its source, a list replaces the one in use only if its version is higher.
//
// The dispatcher derives from the list and the membership which entry owns
// which target.
package assigner

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/chronicler"
	"medlargw.example/medlargw/differ"
	"medlargw.example/medlargw/hedger"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/spacer"
	"medlargw.example/medlargw/spawner"
)

// groupSetter receives the targets and the entries of the deployment.
type groupSetter interface {
	SetGroup(g medlargw.Group)
}

// listedAddrSetter receives the addresses at which to look for entries.
type listedAddrSetter interface {
	SetListedAddrs(addrs []netip.AddrPort)
}

// Assigner is the component that keeps the host list in use.
type Assigner struct {
	log              *zap.Logger
	registry         *registrar.Registrar
	settings         medlargw.Settings
	hosts            medlargw.HostLister
	calls            *hedger.Hedger
	groupSetter      groupSetter
	reportSetter     reportSetter // Nil if resources are relied on without limit.
	listedAddrSetter listedAddrSetter
	gossiper         medlargw.Gossiper
	members          medlargw.Members
	messenger        medlargw.Messenger

	list         atomic.Pointer[medlargw.HostList] // Nil until a list was read or fetched.
	encoded      atomic.Pointer[encodedList]       // The list as it was last sent to a peer.
	lastZoneRead atomic.Int64                      // When an entry of the zone last read the list, in nanoseconds since createdAt.
	createdAt    time.Time
	lastOwnRead  atomic.Int64 // When this entry last sent a read of the list that was answered, as lastZoneRead.
	unawareUntil atomic.Int64 // Until when peers count as not knowing the reports of targets, as lastZoneRead.
	reportsMu    sync.Mutex
	chronicler   *chronicler.Chronicler // Guarded by reportsMu.
	fetches      spacer.Spacer
	mu           sync.Mutex // Held while a list or a change of the membership is applied.
	differ       *differ.Differ
	evacuated    []medlargw.ZoneName // As last known.
	recent       []medlargw.Peer     // Recent entries, as last read from the platform.

	spawner *spawner.Spawner
	done    chan struct{}
}

var (
	_ medlargw.Component         = (*Assigner)(nil)
	_ medlargw.HeartbeatObserver = (*Assigner)(nil)
	_ medlargw.MembersObserver   = (*Assigner)(nil)
	_ medlargw.HostListVersioner = (*Assigner)(nil)
	_ medlargw.FetchHandler      = (*Assigner)(nil)
)

// New returns an assigner that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, settings medlargw.Settings, hosts medlargw.HostLister, calls *hedger.Hedger) *Assigner {
	return &Assigner{
		log:      log.Named("assigner"),
		registry: reg,
		settings: settings,
		hosts:    hosts,
		calls:    calls,
		differ:   differ.New(),

		chronicler: chronicler.New(),

		createdAt: time.Now(),
		spawner:   spawner.New(),
		done:      make(chan struct{}),
	}
}

// Name returns "assigner".
func (*Assigner) Name() string { return "assigner" }

// Start starts polling the list, which goes on until Stop. It does not fail
// when the list can't be read.
func (a *Assigner) Start(context.Context) error {
	if err := a.findComponents(); err != nil {
		return err
	}
	a.spawner.Go(a.run)
	if a.reportSetter != nil {
		a.spawner.Go(a.followReports)
	}
	return nil
}

func (a *Assigner) findComponents() error {
	var err error
	if a.groupSetter, err = registrar.Find[groupSetter](a.registry, "dispatcher"); err != nil {
		return err
	}
	if a.settings.Lease.Reported > 0 {
		if a.reportSetter, err = registrar.Find[reportSetter](a.registry, "dispatcher"); err != nil {
			return err
		}
	}
	if a.listedAddrSetter, err = registrar.Find[listedAddrSetter](a.registry, "tracker"); err != nil {
		return err
	}
	if a.gossiper, err = registrar.Find[medlargw.Gossiper](a.registry, "tracker"); err != nil {
		return err
	}
	if a.members, err = registrar.Find[medlargw.Members](a.registry, "tracker"); err != nil {
		return err
	}
	a.messenger, err = registrar.Find[medlargw.Messenger](a.registry, "messenger")
	return err
}

// Stop stops polling the list.
func (a *Assigner) Stop(context.Context) error {
	defer close(a.done)
	a.spawner.Stop()
	return nil
}

// Done returns a channel that is closed when polling has stopped.
func (a *Assigner) Done() <-chan struct{} { return a.done }

// HostsVersion returns the version of the list in use, or zero if there is
// none.
func (a *Assigner) HostsVersion() uint64 {
	if list := a.list.Load(); list != nil {
		return list.Version
	}
	return 0
}

// HostsAge returns the time since an entry of the zone sent the last read of the list
// that was answered.
func (a *Assigner) HostsAge() time.Duration {
	return time.Since(a.createdAt) - time.Duration(a.lastZoneRead.Load())
}

// recordZoneRead records that an entry of the zone read the list at that time.
// The listed entries do not count while the list is stale, so that the first
// read after an outage updates the group even if the list is the same as
// before.
func (a *Assigner) recordZoneRead(at time.Time) {
	wasStale := a.HostsAge() >= staleAfter
	readAt := int64(at.Sub(a.createdAt))
	for {
		before := a.lastZoneRead.Load()
		if readAt <= before {
			return
		}
		if a.lastZoneRead.CompareAndSwap(before, readAt) {
			break
		}
	}
	if wasStale && a.HostsAge() < staleAfter {
		a.MembersChanged(nil)
	}
}

// applyList replaces the list in use if the given one is newer, and reports
// whether it is.
func (a *Assigner) applyList(list *medlargw.HostList) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if list.Version <= a.HostsVersion() && !a.completes(list) {
		return false
	}
	a.differ.Update(*list)
	a.useList(list)
	return true
}

// applyChanges applies the changes of the list in use, and reports whether they
// lead to a newer one.
func (a *Assigner) applyChanges(c *medlargw.HostListChanges) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Version <= a.HostsVersion() || c.Base != a.HostsVersion() {
		return false, nil // Another list has come into use since the changes were requested.
	}
	list, err := a.differ.Apply(c)
	if err != nil {
		return false, err
	}
	a.useList(&list)
	return true, nil
}

// setRecent takes the recent entries of a list that was read from the platform, and
// reports whether they differ from the known ones.
func (a *Assigner) setRecent(list *medlargw.HostList) bool {
	recent := make([]medlargw.Peer, 0, len(list.Recent))
	for _, e := range list.Recent {
		recent = append(recent, peerOf(e))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Equal(recent, a.recent) {
		return false
	}
	a.recent = recent
	return true
}

// completes reports whether the list has the version of the one in use, and
// knows the evacuated zones, which that one lacks.
func (a *Assigner) completes(list *medlargw.HostList) bool {
	current := a.list.Load()
	return current != nil && current.Version == list.Version && current.Evacuated == nil && list.Evacuated != nil
}

// useList replaces the list in use. The caller holds the lock.
func (a *Assigner) useList(list *medlargw.HostList) {
	a.list.Store(list)
	if list.Evacuated != nil {
		a.logEvacuations(list)
		a.evacuated = list.Evacuated
	}
	a.listedAddrSetter.SetListedAddrs(a.addresses(list))
	a.updateGroup(a.members.Members())
}

// logEvacuations logs the zones that are evacuated, or no longer, since the last
// list.
func (a *Assigner) logEvacuations(list *medlargw.HostList) {
	for _, zone := range list.Evacuated {
		if !slices.Contains(a.evacuated, zone) {
			a.log.Info("zone evacuated", zap.String("zone", string(zone)), zap.Uint64("version", list.Version))
		}
	}
	for _, zone := range a.evacuated {
		if !slices.Contains(list.Evacuated, zone) {
			a.log.Info("evacuation of a zone taken back", zap.String("zone", string(zone)), zap.Uint64("version", list.Version))
		}
	}
}

// addresses returns the addresses of the listed and of the recent entries, those of
// this entry's zone first.
func (a *Assigner) addresses(list *medlargw.HostList) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, e := range slices.Concat(list.Entries, list.Recent) {
		if e.Zone == a.settings.Zone {
			near = append(near, e.Addr)
		} else {
			far = append(far, e.Addr)
		}
	}
	return slices.Concat(near, far)
}

// MembersChanged updates the dispatcher's group after a change of the
// membership.
func (a *Assigner) MembersChanged([]medlargw.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateGroup(a.members.Members()) // Calls may arrive out of order: take the latest members.
}

// updateGroup passes the current targets and entries to the dispatcher. The
// caller holds the lock.
func (a *Assigner) updateGroup(members []medlargw.Member) {
	if list := a.list.Load(); list != nil {
		g := newGroup(list, members)
		g.Evacuated = a.evacuated
		g.RecentEntries = a.recent
		if a.HostsAge() < staleAfter {
			g.HasFormerEnrolment = hasFormerEnrolment(list, &members[0])
			g.ListedEntries = listedPeers(list, members)
		}
		a.groupSetter.SetGroup(g)
	}
}
