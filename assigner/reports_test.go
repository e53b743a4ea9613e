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
)

// reportFakes records the reports that an assigner passes on. Its peer answers fetches of
// them.
type reportFakes struct {
	fakes
	medlargw.Messenger

	peer *Assigner // Nil if the peer's build does not know the fetch.

	mu      sync.Mutex
	reports map[medlargw.TargetName]medlargw.TargetReport
	before  int // Number of groups that were set before the reports.
}

func (f *reportFakes) SetReports(reports map[medlargw.TargetName]medlargw.TargetReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = reports
	f.before = len(f.groups)
}

// clock returns the clock in the last report of target "t", zero if none is known.
func (f *reportFakes) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports["t"].Clock
}

func (f *reportFakes) Members() []medlargw.Member {
	return []medlargw.Member{f.Self(), {Host: "b", Zone: "z", State: medlargw.MemberLive}}
}

func (f *reportFakes) Fetch(ctx context.Context, _ netip.AddrPort, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	if f.peer == nil {
		return medlargw.FetchReply{}, fmt.Errorf("fetch: %w", medlargw.ErrUnknownFetch)
	}
	return f.peer.HandleFetch(ctx, r)
}

func newReportAssigner() (*Assigner, *reportFakes) {
	f := &reportFakes{}
	f.list = medlargw.HostList{Version: 3, Targets: []medlargw.Target{{Name: "t", Zone: "z"}}}
	a := newTestAssigner(&f.fakes)
	a.settings.Host, a.createdAt = "a", time.Now().Add(-time.Minute)
	a.members, a.messenger, a.reportSetter = f, f, f
	return a, f
}

// TestReportsOfUnreadList guards against an entry that does not learn of the reports of
// targets from the entries of its zone that read the list for it: one that can't read the
// platform, or whose peers have an older build and pass on the list alone.
func TestReportsOfUnreadList(t *testing.T) {
	tests := []struct {
		name    string
		version uint64        // Of the peer's list; this entry has version 3.
		old     bool          // The peer's build does not know the fetch.
		want    time.Duration // Clock in the report.
	}{
		{"a peer that reads the list", 3, false, 7 * time.Second},
		{"a peer with a list that this entry does not have yet", 4, false, 0},
		{"a peer of an older build", 3, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader, r := newReportAssigner()
				r.list.Version = test.version
				r.list.Reports = map[medlargw.TargetName]medlargw.TargetReport{"t": {Clock: 7 * time.Second}}
				reader.readList(t.Context())
				a, f := newReportAssigner()
				a.applyList(&f.list)
				if !test.old {
					f.peer = reader
				}
				a.fetchReports(t.Context(), &medlargw.Member{Host: "b"})
				if got := a.hasUnawarePeers(); got != test.old {
					t.Errorf("entry must read the list: got %v, want %v", got, test.old)
				}
				if got := f.clock(); got != test.want {
					t.Errorf("clock in the report: got %v, want %v", got, test.want)
				}
				time.Sleep(2 * unawareTime)
				if a.hasUnawarePeers() {
					t.Error("entry must read the list later: got true, want false")
				}
			})
		})
	}
}

// TestReportsFollowTheirList guards against starts over the resources of a target that has
// shrunk: its report counts as recent before the resources in it are known.
func TestReportsFollowTheirList(t *testing.T) {
	a, f := newReportAssigner()
	f.list.Reports = map[medlargw.TargetName]medlargw.TargetReport{"t": {Clock: 7 * time.Second}}
	a.readList(t.Context())
	if f.before != 1 {
		t.Errorf("groups set before the reports: got %d, want 1", f.before)
	}
}

// reportLister refuses the first reads, and then lists a target with its last report.
type reportLister struct {
	refusals atomic.Int64
	clock    atomic.Int64
	reads    atomic.Int64
}

func (l *reportLister) Hosts(context.Context) (medlargw.HostList, error) {
	if l.refusals.Add(-1) >= 0 {
		return medlargw.HostList{}, errors.New("busy")
	}
	l.reads.Add(1)
	return medlargw.HostList{
		Version: 3, Targets: []medlargw.Target{{Name: "t", Zone: "z"}},
		Reports: map[medlargw.TargetName]medlargw.TargetReport{"t": {Clock: time.Duration(l.clock.Load())}},
	}, nil
}

// TestReportsAreReadSoonAfterOutage guards against targets that stay idle after an outage
// of the platform: their first reports since are seen before the next regular read. A
// target that does not report any more must not cause such reads for long.
func TestReportsAreReadSoonAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, f := newReportAssigner()
		l := &reportLister{}
		l.refusals.Store(4)
		l.clock.Store(int64(5 * time.Second))
		a.hosts = l
		a.chronicler.Record(time.Now(), map[medlargw.TargetName]medlargw.TargetReport{"t": {Clock: 5 * time.Second}})
		a.spawner.Go(a.run)
		for f.clock() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		l.clock.Store(int64(12 * time.Second))
		written := time.Now()
		for f.clock() != 12*time.Second {
			time.Sleep(time.Millisecond)
		}
		if got, most := time.Since(written), 2*quickReadPause; got > most {
			t.Errorf("report seen after %v, want at most %v", got, most)
		}
		time.Sleep(quickReadTime)
		before := l.reads.Load()
		time.Sleep(10 * time.Second)
		if got := l.reads.Load() - before; got > 13 {
			t.Errorf("reads in 10 s after the outage: got %d, want at most 13", got)
		}
		a.spawner.Stop()
	})
}
