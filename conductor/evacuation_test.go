package conductor_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/assigner"
	"medlargw.example/medlargw/hedger"
	"medlargw.example/medlargw/registrar"
)

// evacuationBound is the time within which a request to evacuate a zone must be
// in force at each entry that the platform or a peer can reach.
const evacuationBound = 3 * time.Second

// hostStore is the platform's host list. Its reads fail for some or all hosts.
type hostStore struct {
	mu      sync.Mutex
	list    medlargw.HostList
	outage  bool
	refused map[string]bool // Hosts whose reads fail.
}

// evacuate replaces the request to evacuate zones.
func (s *hostStore) evacuate(zones ...medlargw.ZoneName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Version++
	s.list.Evacuated = append([]medlargw.ZoneName{}, zones...)
}

func (s *hostStore) setOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

func (s *hostStore) refuse(hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range hosts {
		s.refused[host] = true
	}
}

// follower is the assigner of one entry with what it uses: the host's reads of
// the store, the membership and the messages between assigners.
type follower struct {
	medlargw.Messenger // Only Fetch is called.

	group    *followers
	entry    *entry
	assigner *assigner.Assigner
}

// followers are the assigners of the running entries of a cluster.
type followers struct {
	cl    *cluster
	store *hostStore
	mu    sync.Mutex
	all   map[netip.AddrPort]*follower
}

// follow starts an assigner for each entry of the cluster.
func follow(cl *cluster) *followers {
	list := medlargw.HostList{Version: 1, TakenAt: time.Now(), Targets: cl.sim.targets.Targets(), Evacuated: []medlargw.ZoneName{}}
	fs := &followers{cl: cl, store: &hostStore{list: list, refused: map[string]bool{}}, all: map[netip.AddrPort]*follower{}}
	for _, e := range cl.entries {
		fs.add(e)
	}
	return fs
}

func (fs *followers) add(e *entry) {
	f := &follower{group: fs, entry: e}
	reg := registrar.New(zap.NewNop())
	reg.Add(e.conductor, &trackerFake{f}, &messengerFake{f})
	f.assigner = assigner.New(fs.cl.logs.logger(e.host), reg, medlargw.Settings{Host: e.peer.Host, Zone: e.peer.Zone}, f, hedger.New(zap.NewNop(), metrics.NewRegistry()))
	if err := f.assigner.Start(context.Background()); err != nil {
		fs.cl.sim.t.Fatal(err)
	}
	fs.mu.Lock()
	fs.all[e.peer.Addr] = f // From now on it gets heartbeats, as from a started tracker.
	fs.mu.Unlock()
}

// restart stops an entry abruptly and starts it again.
func (fs *followers) restart(e *entry) {
	fs.cl.stop(e)
	fs.remove(e)
	time.Sleep(300 * time.Millisecond)
	fs.add(fs.cl.add(e.host))
	fs.updateMembers()
}

func (fs *followers) remove(e *entry) {
	fs.mu.Lock()
	f := fs.all[e.peer.Addr]
	delete(fs.all, e.peer.Addr)
	fs.mu.Unlock()
	if err := f.assigner.Stop(context.Background()); err != nil {
		fs.cl.sim.t.Error(err)
	}
}

func (fs *followers) running() []*follower {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	var all []*follower
	for _, f := range fs.all {
		all = append(all, f)
	}
	return all
}

func (fs *followers) updateMembers() {
	for _, f := range fs.running() {
		f.assigner.MembersChanged(nil)
	}
}

// exchangeDigests sends heartbeats between the assigners until stop is closed.
func (fs *followers) exchangeDigests(stop <-chan struct{}) {
	for {
		for _, f := range fs.running() {
			f.gossip()
		}
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// stop stops all assigners.
func (fs *followers) stop() {
	for _, f := range fs.running() {
		fs.remove(f.entry)
	}
}

// gossip sends the digest of this entry to the others.
func (f *follower) gossip() {
	digest := medlargw.Digest{HostsVersion: f.assigner.HostsVersion(), HostsAge: f.assigner.HostsAge()}
	for _, to := range f.group.running() {
		if to != f {
			to.assigner.HeartbeatReceived(f.member(), digest)
		}
	}
}

func (f *follower) member() medlargw.Member {
	p := f.entry.peer
	return medlargw.Member{Host: p.Host, Zone: p.Zone, Addr: p.Addr, Incarnation: p.Incarnation, State: medlargw.MemberLive}
}

// Hosts implements medlargw.HostLister.
func (f *follower) Hosts(context.Context) (medlargw.HostList, error) {
	s := f.group.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || s.refused[f.entry.host] {
		return medlargw.HostList{}, errLinkDown
	}
	return s.list, nil
}

// trackerFake is the component "tracker" of one entry.
type trackerFake struct{ *follower }

func (*trackerFake) Name() string                      { return "tracker" }
func (*trackerFake) Start(context.Context) error       { return nil }
func (*trackerFake) Stop(context.Context) error        { return nil }
func (*trackerFake) Done() <-chan struct{}             { return nil }
func (*trackerFake) SetListedAddrs(_ []netip.AddrPort) {}
func (t *trackerFake) GossipNow()                      { t.gossip() }
func (t *trackerFake) Self() medlargw.Member           { return t.member() }

func (t *trackerFake) Members() []medlargw.Member {
	members := []medlargw.Member{t.member()}
	for _, other := range t.group.running() {
		if other != t.follower {
			members = append(members, other.member())
		}
	}
	return members
}

// messengerFake is the component "messenger" of one assigner.
type messengerFake struct{ *follower }

func (*messengerFake) Name() string                { return "messenger" }
func (*messengerFake) Start(context.Context) error { return nil }
func (*messengerFake) Stop(context.Context) error  { return nil }
func (*messengerFake) Done() <-chan struct{}       { return nil }

func (m *messengerFake) Fetch(ctx context.Context, to netip.AddrPort, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	time.Sleep(time.Millisecond)
	m.group.mu.Lock()
	f := m.group.all[to]
	m.group.mu.Unlock()
	if f == nil {
		return medlargw.FetchReply{}, errLinkDown
	}
	return f.assigner.HandleFetch(ctx, r)
}

// TestEvacuationUnderLoad evacuates zone a of two zones under load and takes the
// request back. The entries learn of it from the platform or from each other.
// After the bound, no run may start in the zone before the request is taken back,
// the jobs must run in the other zone, and then in both.
func TestEvacuationUnderLoad(t *testing.T) {
	tests := []struct {
		name  string
		fault func(fs *followers) // Called when the request was just made.
	}{
		{"calm", func(*followers) {}},
		{"the store refuses all entries but one", func(fs *followers) { fs.store.refuse("a1", "a2", "b1") }},
		{"store outage after the first read", func(fs *followers) {
			time.Sleep(1300 * time.Millisecond)
			fs.store.setOutage(true)
		}},
		{"an entry of the zone restarts in a store outage", func(fs *followers) {
			time.Sleep(1300 * time.Millisecond)
			fs.store.setOutage(true)
			time.Sleep(2 * time.Second)
			fs.restart(fs.cl.entries[0])
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 1, []string{"a1", "a2", "b1", "b2"}, func(cl *cluster) {
				fs := follow(cl)
				stop := make(chan struct{})
				go fs.exchangeDigests(stop)
				time.Sleep(2 * time.Second)
				go cl.submitRandom(19*time.Second, 12)
				time.Sleep(2 * time.Second)
				fs.store.evacuate("a")
				requested := time.Now()
				test.fault(fs)
				time.Sleep(time.Until(requested.Add(8 * time.Second)))
				cl.checkStarts("a", time.Time{}, requested.Add(evacuationBound))
				cl.checkStarts("b", requested.Add(7*time.Second), time.Now())
				fs.store.setOutage(false)
				fs.store.evacuate()
				time.Sleep(9 * time.Second)
				cl.checkStarts("a", requested.Add(15*time.Second), time.Now())
				time.Sleep(4 * time.Second)
				close(stop)
				fs.stop()
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
				cl.withLock(func() {
					t.Logf("outcomes: %v", cl.outcomes)
					total := 0
					for _, n := range cl.outcomes {
						total += n
					}
					if share := float64(cl.outcomes[""]) / float64(total); total < 100 || share < 0.9 {
						t.Errorf("jobs: got %.3f of %d complete, want 0.9 of at least 100", share, total)
					}
				})
			})
		})
	}
}

// checkStarts checks when a target of a zone last received a start order.
func (cl *cluster) checkStarts(zone medlargw.ZoneName, from, to time.Time) {
	cl.withLock(func() {
		if last := cl.sim.lastStart[zone]; last.Before(from) || last.After(to) {
			cl.sim.t.Errorf("last start in zone %s: got %v, want one from %v to %v", zone, last, from, to)
		}
	})
}
