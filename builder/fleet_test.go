package builder_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/builder"
	"medlargw.example/medlargw/faker"
	"medlargw.example/medlargw/loader"
	"medlargw.example/medlargw/publisher"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/storer"
)

// Sizes of the fleets under test.
const (
	targetsPerEntry = 3
	slotsPerTarget  = 8
	jobInterval     = 100 * time.Millisecond // Of each entry.
	jobDeadline     = 10 * time.Second
	trip            = 500 * time.Microsecond
)

// fleet is a deployment in one process, on a fake network with virtual time.
type fleet struct {
	t       *testing.T
	seed    uint64
	net     *faker.Faker
	store   *storer.Storer
	bench   *bench
	hosts   medlargw.HostList
	nodes   []*node
	numbers atomic.Uint64
	loads   conc.WaitGroup

	mu         sync.Mutex
	records    []record
	generation uint64
}

// node is one entry of the fleet.
type node struct {
	fleet    *fleet
	name     medlargw.HostName
	zone     medlargw.ZoneName
	addr     netip.AddrPort
	reg      *registrar.Registrar
	sender   *fakeSender
	platform *platform
	submit   medlargw.Submitter
	ctx      context.Context //nolint:containedctx // Ends with its callers.
	cancel   context.CancelFunc
	quit     chan struct{} // Closed when the balancer sends no more.
	quitOnce sync.Once
	gone     bool
}

// record is one job as its caller saw it.
type record struct {
	node    *node
	job     *medlargw.Job
	outcome medlargw.Outcome
	sent    time.Time
	cut     bool // The entry died before it answered.
}

// platform is the way of one entry to the platform.
type platform struct {
	*storer.Storer
	cut atomic.Bool
}

const callTimeout = 5 * time.Second

var errCut = errors.New("platform: no route")

// pass loses the call when the way is cut.
func (p *platform) pass(ctx context.Context) error {
	if !p.cut.Load() {
		return nil
	}
	rest(ctx, callTimeout)
	return errCut
}

func (p *platform) Get(ctx context.Context, key string) (medlargw.Entry, error) {
	if err := p.pass(ctx); err != nil {
		return medlargw.Entry{}, err
	}
	return p.Storer.Get(ctx, key)
}

func (p *platform) Watch(ctx context.Context, key string, revision uint64) (medlargw.Entry, error) {
	if err := p.pass(ctx); err != nil {
		return medlargw.Entry{}, err
	}
	return p.Storer.Watch(ctx, key, revision)
}

func (p *platform) Hosts(ctx context.Context) (medlargw.HostList, error) {
	if err := p.pass(ctx); err != nil {
		return medlargw.HostList{}, err
	}
	return p.Storer.Hosts(ctx)
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, seed: seed, net: faker.New(seed), store: storer.New(), bench: newBench()}
	f.net.SetDelay(200*time.Microsecond, time.Millisecond)
	return f
}

// grow adds zones with entries and targets, and starts all entries.
func (f *fleet) grow(zones, entries int) {
	f.publish(1)
	for z := range zones {
		zone := medlargw.ZoneName(fmt.Sprintf("zone-%d", z))
		for n := range entries * targetsPerEntry {
			name := medlargw.TargetName(fmt.Sprintf("%s-target-%d", zone, n))
			f.bench.targets[name] = &fakeTarget{slots: slotsPerTarget}
			f.hosts.Targets = append(f.hosts.Targets, medlargw.Target{
				Name: name, Zone: zone, Addr: netip.MustParseAddrPort("10.1.0.1:80"), Slots: slotsPerTarget,
			})
		}
		for range entries {
			f.add(zone)
		}
	}
	f.list()
	for _, n := range f.nodes {
		n.start()
	}
}

// list has the platform list the hosts as they are.
func (f *fleet) list() {
	list := f.hosts
	list.Targets = slices.Clone(list.Targets)
	list.Entries = slices.Clone(list.Entries)
	f.store.SetHosts(list)
}

// publish puts a configuration into force whose team has that weight.
func (f *fleet) publish(weight int) {
	var err error
	f.generation, err = publisher.New(f.store).Publish(context.Background(), []medlargw.TeamConfig{{
		Team:     medlargw.Team{Name: "desk", Weight: weight, Keys: [][32]byte{{1}}},
		Classes:  []medlargw.Class{{Name: "urgent", Rank: 0}},
		Services: []medlargw.Service{{Name: "check", Team: "desk", Class: "urgent"}},
	}})
	if err != nil {
		f.t.Fatalf("publish: %v", err)
	}
}

// add lists one more entry.
func (f *fleet) add(zone medlargw.ZoneName) *node {
	n := &node{
		fleet:    f,
		name:     medlargw.HostName(fmt.Sprintf("%s-entry-%d", zone, len(f.nodes))),
		zone:     zone,
		addr:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(len(f.nodes) >> 8), byte(len(f.nodes))}), 7700),
		sender:   &fakeSender{bench: f.bench, trip: trip},
		platform: &platform{Storer: f.store},
		quit:     make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	f.nodes = append(f.nodes, n)
	f.hosts.Entries = append(f.hosts.Entries, medlargw.EntryHost{Name: n.name, Zone: zone, Addr: n.addr})
	return n
}

func (n *node) settings() medlargw.Settings {
	text := fmt.Sprintf(`{"host": %q, "zone": %q, "key": "0123456789abcdef", "admin": "0123456789abcdef"}`, n.name, n.zone)
	var l loader.Loader
	s, err := l.Parse("fleet", []byte(text))
	if err != nil {
		n.fleet.t.Fatalf("settings: %v", err)
	}
	s.Peers = []netip.AddrPort{n.fleet.nodes[0].addr}
	return s
}

func (n *node) start() {
	b := builder.Builder{
		Log:      zap.NewNop(),
		Settings: n.settings(),
		Store:    n.platform,
		Hosts:    n.platform,
		Sender:   n.sender,
		Messenger: func(reg *registrar.Registrar) medlargw.Part {
			return n.fleet.net.Join(reg, n.addr)
		},
	}
	n.reg = b.Core()
	if err := n.reg.Start(n.ctx); err != nil {
		n.fleet.t.Fatalf("start %s: %v", n.name, err)
	}
	n.submit, _ = registrar.Find[medlargw.Submitter](n.reg, "dispatcher")
}

func (n *node) members() []medlargw.Member {
	m, _ := registrar.Find[medlargw.Members](n.reg, "tracker")
	return m.Members()
}

// live returns the number of entries that the node sees as live.
func (n *node) live() int {
	live := 0
	for _, m := range n.members() {
		if m.Serving() {
			live++
		}
	}
	return live
}

func (n *node) generation() uint64 {
	c, _ := registrar.Find[medlargw.Configured](n.reg, "watcher")
	if cfg := c.Config(); cfg != nil {
		return cfg.Generation
	}
	return 0
}

// load submits jobs until the balancer sends no more.
func (n *node) load() {
	random := rand.New(rand.NewPCG(n.fleet.seed, uint64(n.addr.Addr().As4()[3])))
	n.fleet.loads.Go(func() {
		for {
			job := n.fleet.job(random)
			n.fleet.loads.Go(func() { n.run(job) })
			select {
			case <-time.After(time.Duration(random.ExpFloat64() * float64(jobInterval))):
			case <-n.quit:
				return
			}
		}
	})
}

func (f *fleet) job(random *rand.Rand) *medlargw.Job {
	j := &medlargw.Job{
		Team: "desk", Service: "check", Class: "urgent",
		Arrived: time.Now(), Deadline: time.Now().Add(jobDeadline),
	}
	for i := range 1 + random.IntN(6) {
		run := 30*time.Millisecond + time.Duration(random.Int64N(int64(150*time.Millisecond)))
		j.Tasks = append(j.Tasks, medlargw.Task{ID: fmt.Sprint(i), Payload: payload(f.numbers.Add(1), run)})
	}
	return j
}

func (n *node) run(job *medlargw.Job) {
	r := record{node: n, job: job, sent: time.Now()}
	r.outcome = n.submit.Submit(n.ctx, job)
	r.cut = n.ctx.Err() != nil
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.fleet.records = append(n.fleet.records, r)
}

// balance sends a node no more jobs.
func (n *node) balance() { n.quitOnce.Do(func() { close(n.quit) }) }

// kill ends a node as the loss of its host does.
func (n *node) kill() {
	n.gone = true
	n.balance()
	n.sender.kill()
	n.isolate(true)
	n.cancel()
	n.platform.cut.Store(true)
}

// isolate cuts a node from all others, or heals it.
func (n *node) isolate(cut bool) {
	for _, other := range n.fleet.nodes {
		if other != n {
			n.fleet.net.CutBoth([]netip.AddrPort{n.addr}, []netip.AddrPort{other.addr}, cut)
		}
	}
}

// stop does the planned stop of a node.
func (n *node) stop() {
	n.gone = true
	if err := n.reg.Leave(context.Background()); err != nil {
		n.fleet.t.Errorf("leave %s: %v", n.name, err)
	}
	time.AfterFunc(time.Second, n.balance)
	rest(context.Background(), 5*time.Second)
	if err := n.reg.Stop(context.Background()); err != nil {
		n.fleet.t.Errorf("stop %s: %v", n.name, err)
	}
}

// pass lets virtual time pass.
func pass(d time.Duration) { rest(context.Background(), d) }

// finish ends the loads and all nodes.
func (f *fleet) finish() {
	for _, n := range f.nodes {
		n.balance()
	}
	f.loads.Wait()
	for _, n := range f.nodes {
		n.cancel()
		_ = n.reg.Stop(context.Background())
	}
	pass(2 * callTimeout) // For calls that are under way.
}

// converged reports the running nodes that don't see each other as live or
// don't have the newest configuration in force.
func (f *fleet) converged() {
	running := 0
	for _, n := range f.nodes {
		if !n.gone {
			running++
		}
	}
	for _, n := range f.nodes {
		if n.gone {
			continue
		}
		if got := n.live(); got != running {
			f.t.Errorf("live entries seen by %s: got %d, want %d", n.name, got, running)
		}
		if got := n.generation(); got != f.generation {
			f.t.Errorf("generation in force at %s: got %d, want %d", n.name, got, f.generation)
		}
	}
}

// zone returns the nodes and addresses of one zone.
func (f *fleet) zone(name medlargw.ZoneName) (nodes []*node, addrs []netip.AddrPort) {
	for _, n := range f.nodes {
		if n.zone == name {
			nodes = append(nodes, n)
			addrs = append(addrs, n.addr)
		}
	}
	return nodes, addrs
}
