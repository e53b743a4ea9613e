// Package demonstrator runs a whole deployment in one process: a simulated store
// of the platform, targets and entries in two zones, a published configuration
// and a load of two classes. All servers listen on free ports of the loopback
// interface.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/builder"
	"medlargw.example/medlargw/driver"
	"medlargw.example/medlargw/executor"
	"medlargw.example/medlargw/publisher"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/storer"
)

// Size, load and timeouts of the deployment.
const (
	entriesPerZone = 2
	targetsPerZone = 4
	slotsPerTarget = 8
	jobRate        = 40 // Jobs per second.
	readyTimeout   = 10 * time.Second
	stopTimeout    = 30 * time.Second
)

// zoneNames returns the names of the deployment's zones.
func zoneNames() []medlargw.ZoneName { return []medlargw.ZoneName{"detroit", "cleveland"} }

// Demonstrator is one deployment with its load. It runs once.
type Demonstrator struct {
	log         *zap.Logger
	store       *storer.Storer
	targets     []*executor.Executor
	entries     []*registrar.Registrar
	callerAddrs []netip.AddrPort // Of the entries, for callers.
	peerAddrs   []netip.AddrPort // Of the entries, for each other.
	hosts       medlargw.HostList
	servers     []*http.Server
	serving     conc.WaitGroup
	LoadReport  medlargw.LoadReport   // Of the load generator.
	Counts      medlargw.TargetCounts // Sum of the targets' counts.
}

// New returns a deployment that is not started.
func New(log *zap.Logger) *Demonstrator {
	return &Demonstrator{log: log, store: storer.New()}
}

// Run starts the deployment, sends the load for the given duration, and stops
// the deployment.
func (d *Demonstrator) Run(ctx context.Context, duration time.Duration, seed uint64) error {
	err := d.start(ctx)
	if err == nil {
		err = d.sendLoad(ctx, duration, seed)
	}
	return errors.Join(err, d.stop(ctx))
}

// start starts the targets and entries and waits until the entries are ready.
func (d *Demonstrator) start(ctx context.Context) error {
	if err := d.startHosts(ctx); err != nil {
		return err
	}
	if _, err := publisher.New(d.store).Publish(ctx, sampleConfig()); err != nil {
		return err
	}
	for _, zone := range zoneNames() {
		for n := range entriesPerZone {
			if err := d.startEntry(ctx, zone, n); err != nil {
				return err
			}
		}
	}
	d.store.SetHosts(d.hosts)
	return d.awaitReady(ctx)
}

// startHosts starts the targets and stores the host list with them.
func (d *Demonstrator) startHosts(ctx context.Context) error {
	for _, zone := range zoneNames() {
		for n := range targetsPerZone {
			e := executor.New(slotsPerTarget)
			addr, err := d.serve(ctx, e.Handler())
			if err != nil {
				return err
			}
			d.targets = append(d.targets, e)
			name := medlargw.TargetName(fmt.Sprintf("%s-target-%d", zone, n))
			target := medlargw.Target{Name: name, Zone: zone, Addr: addr, Slots: slotsPerTarget}
			d.hosts.Targets = append(d.hosts.Targets, target)
		}
	}
	d.store.SetHosts(d.hosts)
	return nil
}

func entryName(zone medlargw.ZoneName, n int) medlargw.HostName {
	return medlargw.HostName(fmt.Sprintf("%s-%d", zone, n))
}

// serve serves the handler on a free port and returns its address.
func (d *Demonstrator) serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	d.servers = append(d.servers, server)
	d.serving.Go(func() { _ = server.Serve(l) })
	return netip.ParseAddrPort(l.Addr().String())
}

// startEntry starts the nth entry of the zone and adds it to the host list.
func (d *Demonstrator) startEntry(ctx context.Context, zone medlargw.ZoneName, n int) error {
	b := builder.Builder{Log: d.log, Settings: sampleSettings(zone, n), Store: d.store, Hosts: d.store}
	b.Settings.Peers = d.peerAddrs
	entry, err := b.Build()
	if err != nil {
		return err
	}
	if err := entry.Start(ctx); err != nil {
		return err
	}
	d.entries = append(d.entries, entry)
	callerAddr, err := listenAddr(entry, "receiver")
	if err != nil {
		return err
	}
	peerAddr, err := listenAddr(entry, "messenger")
	if err != nil {
		return err
	}
	d.callerAddrs = append(d.callerAddrs, callerAddr)
	d.peerAddrs = append(d.peerAddrs, peerAddr)
	d.hosts.Entries = append(d.hosts.Entries, medlargw.EntryHost{Name: entryName(zone, n), Zone: zone, Addr: peerAddr})
	return nil
}

// listenAddr returns the address on which a component of the entry listens.
func listenAddr(entry *registrar.Registrar, component string) (netip.AddrPort, error) {
	listener, err := registrar.Find[interface{ Addr() netip.AddrPort }](entry, component)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return listener.Addr(), nil
}

// awaitReady waits until every entry reports that it is ready and knows all
// entries.
func (d *Demonstrator) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, addr := range d.callerAddrs {
		for !isReady(ctx, addr) || !d.knowsAllEntries(d.entries[i]) {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
				return fmt.Errorf("entry %s: not ready: %w", addr, ctx.Err())
			}
		}
	}
	return nil
}

// knowsAllEntries reports whether the entry's member list has all entries in a
// serving state.
func (d *Demonstrator) knowsAllEntries(entry *registrar.Registrar) bool {
	members, err := registrar.Find[medlargw.Members](entry, "tracker")
	if err != nil {
		return false
	}
	serving := 0
	for _, m := range members.Members() {
		if m.CanOwn() {
			serving++
		}
	}
	return serving == len(d.entries)
}

func isReady(ctx context.Context, addr netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

func (d *Demonstrator) sendLoad(ctx context.Context, duration time.Duration, seed uint64) error {
	load := medlargw.Load{Entries: d.callerAddrs, Kinds: sampleJobKinds(), Rate: jobRate, Duration: duration, Seed: seed}
	report, err := driver.New(load, 0).Run(ctx)
	d.LoadReport = report
	return err
}

// stop stops the entries, then the targets, and sums the targets' counts.
func (d *Demonstrator) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	var errs []error
	for _, entry := range d.entries {
		errs = append(errs, entry.Stop(ctx))
	}
	for _, server := range d.servers {
		errs = append(errs, server.Shutdown(ctx))
	}
	d.serving.Wait()
	for _, e := range d.targets {
		d.Counts.Add(e.Counts())
	}
	return errors.Join(errs...)
}
