// Package demonstrator runs a whole deployment in one process: the stand-in
// platform, targets and entries in two zones, a published configuration and a
// load of two classes. All addresses are on loopback and all ports are free
// ones.
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

// The size of the deployment.
const (
	entriesPerZone = 2
	targetsPerZone = 4
	slotsPerTarget = 8
	jobRate        = 40 // Per second.
	readyTimeout   = 10 * time.Second
	stopTimeout    = 30 * time.Second
)

// zones returns the names of the deployment's zones.
func zones() []medlargw.ZoneName { return []medlargw.ZoneName{"detroit", "cleveland"} }

// Demonstrator is one run.
type Demonstrator struct {
	log     *zap.Logger
	store   *storer.Storer
	targets []*executor.Executor
	entries []*registrar.Registrar
	addrs   []netip.AddrPort // Where the entries serve callers.
	peers   []netip.AddrPort // Where they serve each other.
	hosts   medlargw.HostList
	servers []*http.Server
	serving conc.WaitGroup
	Report  medlargw.LoadReport   // What the load tool saw.
	Counts  medlargw.TargetCounts // What the targets counted.
}

// New returns a deployment that has not started.
func New(log *zap.Logger) *Demonstrator {
	return &Demonstrator{log: log, store: storer.New()}
}

// Run starts the deployment, sends the load for that long, and stops
// everything again.
func (d *Demonstrator) Run(ctx context.Context, length time.Duration, seed uint64) error {
	err := d.start(ctx)
	if err == nil {
		err = d.load(ctx, length, seed)
	}
	return errors.Join(err, d.stop(ctx))
}

func (d *Demonstrator) start(ctx context.Context) error {
	if err := d.startHosts(ctx); err != nil {
		return err
	}
	if _, err := publisher.New(d.store).Publish(ctx, sample()); err != nil {
		return err
	}
	for _, zone := range zones() {
		for n := range entriesPerZone {
			if err := d.startEntry(ctx, zone, n); err != nil {
				return err
			}
		}
	}
	d.store.SetHosts(d.hosts)
	return d.awaitReady(ctx)
}

// startHosts starts the targets and lists all hosts.
func (d *Demonstrator) startHosts(ctx context.Context) error {
	for _, zone := range zones() {
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

// serve serves a handler on a free port.
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

func (d *Demonstrator) startEntry(ctx context.Context, zone medlargw.ZoneName, n int) error {
	b := builder.Builder{Log: d.log, Settings: settings(zone, n), Store: d.store, Hosts: d.store}
	b.Settings.Peers = d.peers
	entry, err := b.Build()
	if err != nil {
		return err
	}
	if err := entry.Start(ctx); err != nil {
		return err
	}
	d.entries = append(d.entries, entry)
	callers, err := addr(entry, "receiver")
	if err != nil {
		return err
	}
	peers, err := addr(entry, "messenger")
	if err != nil {
		return err
	}
	d.addrs = append(d.addrs, callers)
	d.peers = append(d.peers, peers)
	d.hosts.Entries = append(d.hosts.Entries, medlargw.EntryHost{Name: entryName(zone, n), Zone: zone, Addr: peers})
	return nil
}

// addr returns the address that a part serves.
func addr(entry *registrar.Registrar, part string) (netip.AddrPort, error) {
	served, err := registrar.Find[interface{ Addr() netip.AddrPort }](entry, part)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return served.Addr(), nil
}

// awaitReady waits until every entry says that it is ready and knows the
// others.
func (d *Demonstrator) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, addr := range d.addrs {
		for !ready(ctx, addr) || !d.acquainted(d.entries[i]) {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
				return fmt.Errorf("entry %s: not ready: %w", addr, ctx.Err())
			}
		}
	}
	return nil
}

// acquainted reports whether an entry knows all entries as live.
func (d *Demonstrator) acquainted(entry *registrar.Registrar) bool {
	members, err := registrar.Find[medlargw.Members](entry, "tracker")
	if err != nil {
		return false
	}
	live := 0
	for _, m := range members.Members() {
		if m.Serving() {
			live++
		}
	}
	return live == len(d.entries)
}

func ready(ctx context.Context, addr netip.AddrPort) bool {
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

func (d *Demonstrator) load(ctx context.Context, length time.Duration, seed uint64) error {
	load := medlargw.Load{Entries: d.addrs, Kinds: kinds(), Rate: jobRate, Time: length, Seed: seed}
	report, err := driver.New(load, 0).Run(ctx)
	d.Report = report
	return err
}

// stop stops the entries, then the targets, and gathers the counts.
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
