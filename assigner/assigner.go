// Package assigner follows the platform's list of hosts and tells the
// dispatcher which targets and entries there are.
//
// Two entries of each zone read the list; the others learn from the digests of
// heartbeats that it has changed, and fetch it from a peer. When the readers
// don't reach the platform, all entries of the zone try. Only a higher version
// is taken, whatever its source.
//
// From the list and the membership, the dispatcher derives who owns which
// target.
package assigner

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// sink takes the hosts that act together.
type sink interface {
	SetGroup(g medlargw.Group)
}

// hinter learns at which addresses to look for entries.
type hinter interface {
	Hint(addrs []netip.AddrPort)
}

// Assigner is the part that knows the hosts.
type Assigner struct {
	log       *zap.Logger
	registry  *registrar.Registrar
	settings  medlargw.Settings
	hosts     medlargw.Hosts
	sink      sink
	hinter    hinter
	spreader  medlargw.Spreader
	members   medlargw.Members
	messenger medlargw.Messenger

	list      atomic.Pointer[medlargw.HostList] // Nil until there is one.
	confirmed atomic.Int64                      // Last reading in the zone, in nanoseconds since began.
	began     time.Time
	fetching  atomic.Bool
	mu        sync.Mutex // Held while a list or a membership is applied.

	ctx     context.Context //nolint:containedctx // Ends with the part.
	cancel  context.CancelFunc
	running conc.WaitGroup
	done    chan struct{}
}

var (
	_ medlargw.Part            = (*Assigner)(nil)
	_ medlargw.BeatObserver    = (*Assigner)(nil)
	_ medlargw.MembersObserver = (*Assigner)(nil)
	_ medlargw.HostsVersioner  = (*Assigner)(nil)
	_ medlargw.FetchHandler    = (*Assigner)(nil)
)

// New returns an assigner that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, settings medlargw.Settings, hosts medlargw.Hosts) *Assigner {
	return &Assigner{
		log:      log.Named("assigner"),
		registry: reg,
		settings: settings,
		hosts:    hosts,
		began:    time.Now(),
		done:     make(chan struct{}),
	}
}

// Name returns "assigner".
func (*Assigner) Name() string { return "assigner" }

// Start follows the list until Stop. A list that can't be read is no error.
func (a *Assigner) Start(context.Context) error {
	if err := a.find(); err != nil {
		return err
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.running.Go(func() { a.follow(a.ctx) })
	return nil
}

func (a *Assigner) find() error {
	var err error
	if a.sink, err = registrar.Find[sink](a.registry, "dispatcher"); err != nil {
		return err
	}
	if a.hinter, err = registrar.Find[hinter](a.registry, "tracker"); err != nil {
		return err
	}
	if a.spreader, err = registrar.Find[medlargw.Spreader](a.registry, "tracker"); err != nil {
		return err
	}
	if a.members, err = registrar.Find[medlargw.Members](a.registry, "tracker"); err != nil {
		return err
	}
	a.messenger, err = registrar.Find[medlargw.Messenger](a.registry, "messenger")
	return err
}

// Stop ends the readings.
func (a *Assigner) Stop(context.Context) error {
	defer close(a.done)
	a.cancel()
	a.running.Wait()
	return nil
}

// Done is closed when the readings have ended.
func (a *Assigner) Done() <-chan struct{} { return a.done }

// HostsVersion returns the version of the list in use; zero is none.
func (a *Assigner) HostsVersion() uint64 {
	if list := a.list.Load(); list != nil {
		return list.Version
	}
	return 0
}

// HostsAge returns the time since an entry of the zone last read the list.
func (a *Assigner) HostsAge() time.Duration {
	return time.Since(a.began) - time.Duration(a.confirmed.Load())
}

// confirm notes that an entry of the zone read the list at that time. The first
// word after a pause makes a list that is the same as before a fresh one.
func (a *Assigner) confirm(at time.Time) {
	blind := a.HostsAge() >= blindAfter
	confirmed := int64(at.Sub(a.began))
	for {
		before := a.confirmed.Load()
		if confirmed <= before {
			return
		}
		if a.confirmed.CompareAndSwap(before, confirmed) {
			break
		}
	}
	if blind && a.HostsAge() < blindAfter {
		a.MembersChanged(nil)
	}
}

// take puts a list into use if it is newer; it returns whether it is.
func (a *Assigner) take(list *medlargw.HostList) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if list.Version <= a.HostsVersion() {
		return false
	}
	a.list.Store(list)
	a.hinter.Hint(addresses(list))
	a.assign(a.members.Members())
	return true
}

func addresses(list *medlargw.HostList) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, e := range list.Entries {
		addrs = append(addrs, e.Addr)
	}
	return addrs
}

// MembersChanged lets the dispatcher assign the targets anew.
func (a *Assigner) MembersChanged([]medlargw.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.assign(a.members.Members()) // The newest, whichever call comes first.
}

// assign tells the dispatcher who acts together. The lock is held.
func (a *Assigner) assign(members []medlargw.Member) {
	if list := a.list.Load(); list != nil {
		g := groupOf(list, members)
		if a.HostsAge() < blindAfter {
			g.Listed = listedPeers(list)
		}
		a.sink.SetGroup(g)
	}
}
