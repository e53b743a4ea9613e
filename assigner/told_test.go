package assigner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/chronicler"
)

const reportInterval = 1500 * time.Millisecond

// toldFakes records the times of reports that an assigner passes on. Its peer answers
// fetches of these times.
type toldFakes struct {
	fakes
	medlargw.Messenger

	peer *Assigner // Nil if the peer's build does not know the fetch.

	mu   sync.Mutex
	told map[medlargw.TargetName]time.Time
}

func (f *toldFakes) SetTold(told map[medlargw.TargetName]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = told
}

// age returns the age of the last report of target "t", zero if none is known.
func (f *toldFakes) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.told == nil {
		return 0
	}
	return time.Since(f.told["t"])
}

func (f *toldFakes) Members() []medlargw.Member {
	return []medlargw.Member{f.Self(), {Host: "b", Zone: "z", State: medlargw.MemberLive}}
}

func (f *toldFakes) Fetch(ctx context.Context, _ netip.AddrPort, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	if f.peer == nil {
		return medlargw.FetchReply{}, fmt.Errorf("fetch: %w", medlargw.ErrUnknownFetch)
	}
	return f.peer.HandleFetch(ctx, r)
}

func newToldAssigner() (*Assigner, *toldFakes) {
	f := &toldFakes{}
	f.list = medlargw.HostList{Version: 3, Targets: []medlargw.Target{{Name: "t", Zone: "z"}}}
	a := newTestAssigner(&f.fakes)
	a.settings.Host, a.settings.Lease.Report = "a", reportInterval
	a.members, a.messenger, a.toldSetter = f, f, f
	a.chronicler = chronicler.New(reportInterval)
	return a, f
}

// TestReportsOfUnreadList guards against an entry that relies on the resources of targets
// for longer, or for less long, than the entry of its zone that reads the list for it.
func TestReportsOfUnreadList(t *testing.T) {
	tests := []struct {
		name string
		old  bool          // The peer's build does not know the fetch.
		want time.Duration // Age of the report.
	}{
		{"a peer that reads the list", false, 1700 * time.Millisecond},
		{"a peer of an older build", true, 200*time.Millisecond + reportInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader, r := newToldAssigner()
				r.list.Reports = map[medlargw.TargetName]uint64{"t": 1}
				reader.readList(t.Context())
				time.Sleep(1500 * time.Millisecond)
				r.list.Reports = map[medlargw.TargetName]uint64{"t": 2} // Written after the first read.
				reader.readList(t.Context())
				time.Sleep(200 * time.Millisecond)
				a, f := newToldAssigner()
				a.createdAt = time.Now().Add(-time.Minute)
				a.applyList(&f.list)
				a.recordZoneRead(time.Now().Add(-200 * time.Millisecond))
				if !test.old {
					f.peer = reader
				}
				a.fetchTold(t.Context(), &medlargw.Member{Host: "b"})
				if got := time.Since(f.told["t"]); got != test.want {
					t.Errorf("age of the report: got %v, want %v", got, test.want)
				}
			})
		})
	}
}

// reportLister refuses the first reads, and then lists a target with its last report.
type reportLister struct {
	refusals atomic.Int64
	report   atomic.Uint64
}

func (l *reportLister) Hosts(context.Context) (medlargw.HostList, error) {
	if l.refusals.Add(-1) >= 0 {
		return medlargw.HostList{}, errors.New("busy")
	}
	return medlargw.HostList{
		Version: 3, Targets: []medlargw.Target{{Name: "t", Zone: "z"}}, Reports: map[medlargw.TargetName]uint64{"t": l.report.Load()},
	}, nil
}

// TestReportsAreReadSoonAfterOutage guards against targets that stay idle after an outage
// of the platform: their first reports since are seen before the next regular read, and
// the reports that the list shows at its return don't count as new.
func TestReportsAreReadSoonAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, f := newToldAssigner()
		l := &reportLister{}
		l.refusals.Store(4)
		l.report.Store(1)
		a.hosts = l
		began := time.Now()
		a.createdAt = began.Add(-time.Minute)
		a.chronicler.Record(began.Add(-5*time.Second), map[medlargw.TargetName]uint64{"t": 1})
		a.spawner.Go(a.run)
		for f.age() == 0 {
			time.Sleep(time.Millisecond)
		}
		if got, want := f.age(), 5*time.Second; got < want {
			t.Errorf("age of the report at the return: got %v, want at least %v", got, want)
		}
		l.report.Store(2)
		written := time.Now()
		for f.age() > 2*quickReadPause {
			time.Sleep(time.Millisecond)
		}
		if got, most := time.Since(written), 2*quickReadPause; got > most {
			t.Errorf("report seen after %v, want at most %v", got, most)
		}
		a.spawner.Stop()
	})
}
