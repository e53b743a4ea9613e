// Package assigner reads the platform's list of hosts and tells the dispatcher
// which targets this entry owns.
//
// Each target of the zone belongs to the entry of the zone with the highest
// rendezvous hash of both names, so that the loss of an entry moves only its
// own targets.
package assigner

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// pollInterval is the time between two readings of the list.
const pollInterval = time.Second

// sink takes the slots that this entry may use.
type sink interface {
	SetCapacity(all []medlargw.Capacity)
}

// Assigner is the part that assigns targets to entries.
type Assigner struct {
	log      *zap.Logger
	registry *registrar.Registrar
	settings medlargw.Settings
	hosts    medlargw.Hosts
	version  uint64
	sink     sink
	cancel   context.CancelFunc
	running  conc.WaitGroup
	done     chan struct{}
}

var _ medlargw.Part = (*Assigner)(nil)

// New returns an assigner that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, settings medlargw.Settings, hosts medlargw.Hosts) *Assigner {
	return &Assigner{
		log:      log.Named("assigner"),
		registry: reg,
		settings: settings,
		hosts:    hosts,
		done:     make(chan struct{}),
	}
}

// Name returns "assigner".
func (*Assigner) Name() string { return "assigner" }

// Start reads the list until Stop. A list that can't be read is no error.
func (a *Assigner) Start(context.Context) error {
	var err error
	if a.sink, err = registrar.Find[sink](a.registry, "dispatcher"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.running.Go(func() { a.follow(ctx) })
	return nil
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

func (a *Assigner) follow(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		a.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Assigner) poll(ctx context.Context) {
	list, err := a.hosts.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			a.log.Warn("host list not read", zap.Error(err))
		}
		return
	}
	if list.Version <= a.version {
		return
	}
	a.version = list.Version
	a.sink.SetCapacity(owned(&list, a.settings.Host, a.settings.Zone))
}

// owned returns the slots of the targets that the host owns.
func owned(list *medlargw.HostList, host medlargw.HostName, zone medlargw.ZoneName) []medlargw.Capacity {
	var names []string
	for _, e := range list.Entries {
		if e.Zone == zone {
			names = append(names, string(e.Name))
		}
	}
	ring := rendezvous.New(names, xxhash.Sum64String)
	var all []medlargw.Capacity
	for _, t := range list.Targets {
		if t.Zone == zone && ring.Lookup(string(t.Name)) == string(host) {
			all = append(all, medlargw.Capacity{Target: t, Slots: t.Slots})
		}
	}
	return all
}
