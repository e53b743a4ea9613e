package inviter_test

import (
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/inviter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// holders drain 100 cores, and half a second of work of rank 1 waits there.
func holders() []*medlargw.PoolResources {
	return []*medlargw.PoolResources{{
		Pool: "pool", TotalCores: 100000, Started: 100e6, Waiting: []medlargw.RankWork{{Rank: 1, Work: 50e6}},
	}}
}

// refused returns a refused job that takes all cores for the given time.
func refused(rank int, work time.Duration, peers ...*medlargw.PoolResources) *medlargw.InvitationRequest {
	return &medlargw.InvitationRequest{Pool: "pool", Rank: rank, Work: 100000 * work.Milliseconds(), Holders: holders(), Peers: peers}
}

// demand returns the report of another home.
func demand(w ...medlargw.RankWork) *medlargw.PoolResources {
	return &medlargw.PoolResources{Pool: "pool", Waiting: w}
}

func TestInvite(t *testing.T) {
	tests := []struct {
		name    string
		before  []*medlargw.InvitationRequest // Refused at the same time.
		request *medlargw.InvitationRequest
		want    time.Duration // Within 2%.
	}{
		{"little waits", nil, refused(1, 0), time.Second},
		{"no targets known", nil, &medlargw.InvitationRequest{Pool: "pool"}, 30 * time.Second},
		{"too little known after the start", nil, &medlargw.InvitationRequest{Pool: "pool", Work: 1e9, Learning: true}, time.Second},
		{
			"after callers who were refused when too little was known",
			[]*medlargw.InvitationRequest{{Pool: "pool", Rank: 1, Work: 1e9, Learning: true}},
			refused(1, 0), time.Second,
		},
		{"it would wait longer", nil, &medlargw.InvitationRequest{Pool: "pool", Wait: 3 * time.Second, Holders: holders()}, 3 * time.Second},
		{"after callers of its rank", []*medlargw.InvitationRequest{refused(1, 4*time.Second)}, refused(1, 0), 5 * time.Second},
		{"after more urgent callers", []*medlargw.InvitationRequest{refused(0, 4*time.Second)}, refused(1, 0), 5 * time.Second},
		{"before less urgent callers", []*medlargw.InvitationRequest{refused(2, 4*time.Second)}, refused(1, 0), time.Second},
		{"after callers of another entry", nil, refused(1, 0, demand(medlargw.RankWork{Rank: 1, Invited: 400e6})), 5 * time.Second},
		{"others leave half of the cores", nil, refused(1, 0, demand(medlargw.RankWork{Rank: 0, Arriving: 45e6, Invited: 400e6})), 10 * time.Second},
		{"others leave nothing", nil, refused(1, 0, demand(medlargw.RankWork{Rank: 0, Arriving: 200e6, Invited: 100e6})), 7500 * time.Millisecond},
		{"less urgent jobs arrive", nil, refused(1, 0, demand(medlargw.RankWork{Rank: 2, Arriving: 200e6, Invited: 100e6})), time.Second},
		{"more than half a minute", nil, refused(1, 0, demand(medlargw.RankWork{Rank: 0, Invited: 9000e6})), 30 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := inviter.New()
			for _, r := range test.before {
				v.Invite(start, r)
			}
			if got := v.Invite(start, test.request); (got - test.want).Abs() > test.want/50 {
				t.Errorf("delay: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestOneSecondOfRefusals answers a burst: what is refused within a second by two
// homes, which hear of each other every 100 ms, must come back in the order in which
// it was refused, not within a second, and equally late from both.
func TestOneSecondOfRefusals(t *testing.T) {
	const (
		step      = 10 * time.Millisecond
		tolerance = 100 * time.Millisecond
	)
	homes := []*inviter.Inviter{inviter.New(), inviter.New()}
	reports := []*medlargw.PoolResources{demand(), demand()}
	var returns [2][]time.Duration
	for at := time.Duration(0); at < time.Second; at += step {
		now := start.Add(at)
		for i, v := range homes {
			if at%(100*time.Millisecond) == 0 {
				var r medlargw.HolderResources
				v.AddDemand(now, &r)
				if len(r.Pools) > 0 {
					reports[i] = &r.Pools[0]
				}
			}
			v.RecordArrival(now, "pool", 1, 100000*step.Milliseconds())
			returns[i] = append(returns[i], at+v.Invite(now, refused(1, step, reports[1-i])))
		}
	}
	last := len(returns[0]) - 1
	if got := returns[0][last] - returns[0][0]; got < 2*time.Second {
		t.Errorf("time between the first and the last return: got %v, want at least 2 s", got)
	}
	for n := range returns[0] {
		if n > 0 && returns[0][n] < returns[0][n-1] {
			t.Fatalf("return %d: got %v, want no earlier than the one before at %v", n, returns[0][n], returns[0][n-1])
		}
		near := returns[1][max(0, n-10):min(n+11, len(returns[1]))] // Answers of the other home within 100 ms.
		if got, low, high := returns[0][n], slices.Min(near)-tolerance, slices.Max(near)+tolerance; got < low || got > high {
			t.Errorf("return %d: got %v, want one of the other home's within 100 ms, %v to %v", n, got, low, high)
		}
	}
}

// TestReportOfFormerRanks has each of many ranks send one job. It guards against ranks that
// are kept for as long as the process lives, and are part of each report to all entries.
func TestReportOfFormerRanks(t *testing.T) {
	v := inviter.New()
	ranks := func(now time.Time) int {
		var report medlargw.HolderResources
		v.AddDemand(now, &report)
		return len(report.Pool("pool").Waiting)
	}
	for rank := range 2000 {
		v.RecordArrival(start, "pool", rank, 1e6)
	}
	v.Invite(start, refused(0, 200*time.Millisecond))
	if got, want := ranks(start), 2000; got != want {
		t.Errorf("ranks in the report at once: got %d, want %d", got, want)
	}
	if got, want := ranks(start.Add(2*time.Minute)), 0; got != want {
		t.Errorf("ranks in the report two minutes later: got %d, want %d", got, want)
	}
}
