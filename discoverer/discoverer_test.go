package discoverer_test

import (
	"net/netip"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/discoverer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// peer returns an entry of the host, whose zone is the first letter of its name.
func peer(host string, incarnation medlargw.Incarnation) medlargw.Peer {
	return medlargw.Peer{
		Host: medlargw.HostName(host), Zone: medlargw.ZoneName(host[:1]), Incarnation: incarnation,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, host[0], 0, host[1]}), 7000),
	}
}

// hosts returns the entries of hosts without incarnations, as lists have them.
func hosts(names ...string) []medlargw.Peer {
	var all []medlargw.Peer
	for _, name := range names {
		all = append(all, peer(name, 0))
	}
	return all
}

// TestFirstClaims starts the entry a1 at the same time as others, or beside entries that
// run already, and checks when it may claim its targets and which silent entries own
// some until then.
func TestFirstClaims(t *testing.T) {
	const never = time.Duration(-1) // Not before the time for which it waits in any case.
	self := peer("a1", 1)
	moved := self
	moved.Addr = netip.MustParseAddrPort("10.9.9.9:7000")
	unzoned := peer("a2", 0)
	unzoned.Zone = ""
	type heartbeat struct {
		from   medlargw.Peer
		at     time.Duration // Since the first assignment. This entry has run for 30 ms then.
		uptime time.Duration // Of the sender.
	}
	const ms = time.Millisecond
	tests := []struct {
		name       string
		recent     []medlargw.Peer
		listed     []medlargw.Peer
		enrolled   bool // A former process of the host is enrolled.
		heartbeats []heartbeat
		gossiped   []medlargw.Peer // Known from others.
		want       time.Duration   // Of the first claims.
		wantSilent int             // Silent owners after 200 ms.
	}{
		{
			"all start and are heard at once", hosts("a1", "a2", "b1"), nil, false,
			[]heartbeat{{peer("a2", 2), 0, 20 * ms}, {peer("b1", 3), 0, 60 * ms}},
			nil, 0, 3,
		},
		{"all start, nobody is enrolled yet", hosts("a1", "a2", "b1"), nil, false, nil, nil, 10 * ms, 3},
		{
			"all start, the enrolled ones are heard", hosts("a1", "a2", "a3", "b1"), hosts("a2", "b1"), false,
			[]heartbeat{{peer("a2", 2), 10 * ms, 30 * ms}, {peer("b1", 3), 90 * ms, 60 * ms}},
			nil, 90 * ms, 4,
		},
		{"all start, former processes are enrolled", hosts("a1", "a2", "b1"), hosts("a1", "a2", "b1"), true, nil, nil, 0, 3},
		{
			"an enrolled one of the zone is silent", hosts("a1", "a2", "b1"), hosts("a2", "b1"), false,
			[]heartbeat{{peer("b1", 3), 10 * ms, 60 * ms}},
			nil, never, 3,
		},
		{
			"one that another tells of is silent", hosts("a1", "a2"), nil, false, nil,
			[]medlargw.Peer{peer("a2", 2)},
			never, 2,
		},
		{
			"the enrolled ones of other zones are silent", hosts("a1", "a2", "b1"), hosts("a2", "b1"), false,
			[]heartbeat{{peer("a2", 2), 10 * ms, 30 * ms}},
			nil, never, 3,
		},
		{
			"one entry starts again", hosts("a1", "a2", "b1"), hosts("a2", "b1"), false,
			[]heartbeat{{peer("a2", 2), 10 * ms, time.Minute}, {peer("b1", 3), 10 * ms, time.Minute}},
			nil, never, 0,
		},
		{
			"one entry starts again, its former process is enrolled", hosts("a1", "a2", "b1"), hosts("a1", "a2", "b1"), true,
			[]heartbeat{{peer("a2", 2), 40 * ms, time.Minute}},
			nil, 0, 0,
		},
		{
			"the entries of a zone start again", hosts("a1", "a2", "b1"), hosts("a2", "b1"), false,
			[]heartbeat{{peer("a2", 2), 10 * ms, 30 * ms}, {peer("b1", 3), 10 * ms, time.Minute}},
			nil, never, 0,
		},
		{"new host", hosts("a2", "b1"), nil, false, nil, nil, never, 0},
		{"new host with the name of a former one", []medlargw.Peer{moved, peer("a2", 0)}, nil, false, nil, nil, never, 0},
		{"first start of all", nil, nil, false, nil, nil, never, 0},
		{"recent entry without a zone", []medlargw.Peer{self, unzoned}, nil, false, nil, nil, 10 * ms, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := discoverer.New(medlargw.Member{Host: self.Host, Zone: self.Zone, Addr: self.Addr, Incarnation: self.Incarnation})
			g := medlargw.Group{
				Entries: append([]medlargw.Peer{self}, test.gossiped...), RecentEntries: test.recent, ListedEntries: test.listed,
				HasFormerEnrolment: test.enrolled,
			}
			d.Update(start, &g)
			got := never
			for age := time.Duration(0); age <= 200*ms; age += 10 * ms {
				now := start.Add(age)
				for _, b := range test.heartbeats {
					if b.at != age {
						continue
					}
					g.Entries = append(g.Entries, b.from)
					d.Update(now, &g)
					if d.IsComplete() && got == never {
						t.Errorf("before the heartbeat of %s: got complete, want not", b.from.Host)
					}
					d.Hear(now, b.from.Incarnation, 30*ms, b.uptime)
				}
				d.Review(now)
				if d.IsComplete() && got == never {
					got = age
				}
			}
			if got != test.want {
				t.Errorf("first claims: got %v after the start, want %v", got, test.want)
			}
			wantEarliest := 300 * ms
			if test.want != never {
				wantEarliest = 0
			}
			if got := d.EarliestClaim().Sub(start); got != wantEarliest {
				t.Errorf("earliest claim: got %v after the start, want %v", got, wantEarliest)
			}
			if got := len(d.Silent(start.Add(200 * ms))); got != test.wantSilent {
				t.Errorf("silent owners: got %d, want %d", got, test.wantSilent)
			}
			if got := len(d.Silent(start.Add(time.Second))); got != 0 {
				t.Errorf("silent owners a second later: got %d, want 0", got)
			}
		})
	}
}
