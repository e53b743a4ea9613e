package builder_test

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/builder"
	"medlargw.example/medlargw/loader"
	"medlargw.example/medlargw/publisher"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/storer"
)

// packetHeaderBytes is the size of the Ethernet, IP and TCP headers of one
// packet. An exchange takes three packets: request, response and
// acknowledgement.
const (
	packetHeaderBytes  = 66
	packetsPerExchange = 3
)

// measuringTime is the time over which the cost of a group is measured.
const measuringTime = 10 * time.Second

// BenchmarkGroupCost measures the cost of an entry in an idle group: heartbeats,
// host lists and watches, over real sockets.
func BenchmarkGroupCost(b *testing.B) {
	for _, size := range []struct{ zones, entries, teams int }{
		{1, 2, 10},
		{1, 4, 10},
		{1, 8, 10},
		{1, 16, 10},
		{2, 4, 10},
		{4, 4, 10},
		{9, 4, 10},
		{9, 4, 360},
		{9, 8, 360},
	} {
		b.Run(fmt.Sprintf("zones=%d/entries=%d/teams=%d", size.zones, size.entries, size.teams), func(b *testing.B) {
			store := storer.New()
			regs, registries := startGroup(b, store, size.zones, size.entries, size.teams)
			wait(15 * time.Second)
			for b.Loop() {
				measure(b, store, registries)
			}
			b.StopTimer()
			for _, reg := range regs {
				_ = reg.Stop(context.Background())
			}
		})
	}
}

func startGroup(b *testing.B, store *storer.Storer, zones, entries, teams int) (
	regs []*registrar.Registrar, registries []metrics.Registry,
) {
	publishTeams(b, store, teams)
	var list medlargw.HostList
	for z := range zones {
		for n := range 60 {
			list.Targets = append(list.Targets, medlargw.Target{
				Name: medlargw.TargetName(fmt.Sprintf("target-%d-%d", z, n)), Zone: zoneName(z),
				Addr: netip.MustParseAddrPort("10.1.0.1:80"), Slots: slotsPerTarget,
			})
		}
	}
	for z := range zones {
		for n := range entries {
			host := fmt.Sprintf("entry-%d-%d", z, n)
			registry := metrics.NewRegistry()
			reg := startEntry(b, store, host, z, list.Entries, registry)
			addr, _ := registrar.Find[interface{ Addr() netip.AddrPort }](reg, "messenger")
			list.Entries = append(list.Entries, medlargw.EntryHost{
				Name: medlargw.HostName(host), Zone: zoneName(z), Addr: addr.Addr(),
			})
			regs = append(regs, reg)
			registries = append(registries, registry)
		}
	}
	store.SetHosts(list)
	return regs, registries
}

func zoneName(z int) medlargw.ZoneName { return medlargw.ZoneName(fmt.Sprintf("zone-%d", z)) }

func publishTeams(b *testing.B, store *storer.Storer, teams int) {
	configs := []medlargw.TeamConfig{{
		Team:    medlargw.Team{Name: "classes", Weight: 1},
		Classes: []medlargw.Class{{Name: "urgent"}, {Name: "steady", Rank: 1}},
	}}
	for n := range teams {
		name := medlargw.TeamName(fmt.Sprintf("team-%d", n))
		configs = append(configs, medlargw.TeamConfig{
			Team:     medlargw.Team{Name: name, Weight: 1, Keys: [][32]byte{{byte(n), byte(n >> 8), 1}}},
			Services: []medlargw.Service{{Name: medlargw.ServiceName("service-" + name), Team: name, Class: "urgent"}},
		})
	}
	if _, err := publisher.New(store).Publish(context.Background(), configs); err != nil {
		b.Fatalf("publish: %v", err)
	}
}

func startEntry(
	b *testing.B, store *storer.Storer, host string, zone int,
	known []medlargw.EntryHost, registry metrics.Registry,
) *registrar.Registrar {
	text := fmt.Sprintf(`{"host": %q, "zone": %q, "key": "0123456789abcdef", "admin": "0123456789abcdef"}`, host, zoneName(zone))
	var l loader.Loader
	s, err := l.Parse("cost", []byte(text))
	if err != nil {
		b.Fatalf("settings: %v", err)
	}
	s.Listen.Peers = netip.MustParseAddrPort("127.0.0.1:0")
	if len(known) > 0 {
		s.Peers = []netip.AddrPort{known[0].Addr}
	}
	build := builder.Builder{
		Log: zap.NewNop(), Settings: s, Store: store, Hosts: store, Metrics: registry,
		Sender: &fakeSender{targetPool: newTargetPool()},
	}
	reg := build.BuildCore()
	if err := reg.Start(context.Background()); err != nil {
		b.Fatalf("start: %v", err)
	}
	return reg
}

// measure counts for measuringTime and reports the means per entry.
func measure(b *testing.B, store *storer.Storer, registries []metrics.Registry) {
	read := func(name string) (sum int64) {
		for _, r := range registries {
			sum += metrics.GetOrRegisterCounter(name, r).Count()
		}
		return sum
	}
	bytes := read("peer-bytes.in") + read("peer-bytes.out")
	exchanges := read("peer-requests.in") + read("peer-requests.out")
	calls, used := store.Calls(), cpuTime()
	wait(measuringTime)
	bytes = read("peer-bytes.in") + read("peer-bytes.out") - bytes
	exchanges = read("peer-requests.in") + read("peer-requests.out") - exchanges
	used = cpuTime() - used
	seconds := measuringTime.Seconds() * float64(len(registries))
	b.ReportMetric(float64(bytes+exchanges*packetHeaderBytes*packetsPerExchange)/seconds, "wireB/s/entry")
	b.ReportMetric(2*float64(exchanges)/seconds, "messages/s/entry")
	b.ReportMetric(100*used.Seconds()/seconds, "%core/entry")
	b.ReportMetric(float64(store.Calls()-calls)/measuringTime.Seconds(), "storecalls/s")
	b.ReportMetric(heapMB()/float64(len(registries)), "heapMB/entry")
	b.ReportMetric(0, "ns/op")
}

// heapMB returns the live heap of this process, in megabytes.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("getrusage: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
