package watcher

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
	"medlargw.example/medlargw/hedger"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/storer"
)

// parts implement the components that a watcher uses. The entry does not read the
// store itself.
type parts struct {
	medlargw.Component
	medlargw.Messenger
	hangs netip.AddrPort // A fetch from this peer is never answered.
	peer  *Watcher       // Answers the other fetches.
	took  time.Duration  // Of the answers.
}

func (*parts) Configure(*medlargw.Config) {}
func (*parts) ReadsPlatform() bool        { return false }
func (*parts) GossipNow()                 {}

func (p *parts) Fetch(ctx context.Context, to netip.AddrPort, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	if to == p.hangs {
		<-ctx.Done()
		return medlargw.FetchReply{}, ctx.Err()
	}
	time.Sleep(p.took)
	if ctx.Err() != nil {
		return medlargw.FetchReply{}, ctx.Err()
	}
	return p.peer.HandleFetch(ctx, r)
}

func newWatcher(p *parts) *Watcher {
	w := New(zap.NewNop(), registrar.New(zap.NewNop()), storer.New(), hedger.New(zap.NewNop(), metrics.NewRegistry()))
	w.configReceiver, w.storeReader, w.gossiper, w.messenger = p, p, p, p
	return w
}

// configured returns a watcher with a configuration of that generation.
func configured(t *testing.T, generation uint64) *Watcher {
	t.Helper()
	w := newWatcher(&parts{})
	var conv converter.Converter
	value, err := conv.EncodeTeam(medlargw.TeamConfig{Team: medlargw.Team{Name: "desk", Weight: 1}})
	if err != nil {
		t.Fatal(err)
	}
	head, err := conv.EncodeHead(medlargw.ConfigHead{
		Generation: generation, Teams: []medlargw.TeamVersion{{Team: "desk", Hash: conv.Hash(value)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if changed, err := w.apply(head, func(medlargw.TeamVersion) ([]byte, error) { return value, nil }); err != nil || !changed {
		t.Fatalf("apply: got %v, %v, want a new configuration", changed, err)
	}
	return w
}

// TestFetchFromPeers delivers the news of a configuration from one peer, and then from
// another one each 100 ms. It guards against a peer that hangs and keeps the entry from
// asking another, and against answers that take longer than a fetch lasts: the
// configuration must be in force before the bound of the present installations.
func TestFetchFromPeers(t *testing.T) {
	const bound = 2 * time.Second
	first := medlargw.Member{Addr: netip.MustParseAddrPort("10.0.0.1:7700")}
	second := medlargw.Member{Addr: netip.MustParseAddrPort("10.0.0.2:7700")}
	tests := []struct {
		name  string
		hangs netip.AddrPort
		took  time.Duration
	}{
		{"first hangs", first.Addr, 0},
		{"all are slow", netip.AddrPort{}, 1500 * time.Millisecond},
		{"first hangs, second is slow", first.Addr, 800 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWatcher(&parts{hangs: test.hangs, took: test.took, peer: configured(t, 7)})
				defer w.spawner.Stop()
				news := medlargw.Digest{Generation: 7}
				began := time.Now()
				for w.Config() == nil && time.Since(began) < time.Minute {
					if time.Since(began) == 0 {
						w.HeartbeatReceived(first, news)
					}
					time.Sleep(100 * time.Millisecond)
					w.HeartbeatReceived(second, news)
					synctest.Wait()
				}
				if got := time.Since(began); got > bound {
					t.Errorf("configuration in force: got after %v, want at most %v", got, bound)
				}
			})
		})
	}
}
