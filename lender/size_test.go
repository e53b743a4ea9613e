package lender

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

// Bytes of the HTTP headers of a request and of a reply between entries.
const (
	requestHeaderBytes = 330
	replyHeaderBytes   = 130
)

func requestBytes(r *medlargw.BorrowRequest) int {
	m := &wire.BorrowRequest{
		Host: string(r.Host), Incarnation: 1, Number: r.Sequence, View: r.ViewHash, Any: int32(r.AnySlots),
	}
	for _, d := range r.Waiting {
		m.Waiting = append(m.Waiting, &wire.Demand{Rank: int64(d.Rank), Tasks: int32(d.Tasks), Running: int32(d.Running)})
	}
	m.Slots = wireClaims(r.Slots)
	m.Units = wireClaims(r.Units)
	return requestHeaderBytes + proto.Size(m)
}

func wireClaims(all []medlargw.Claim) []*wire.Claim {
	var claims []*wire.Claim
	for _, c := range all {
		claims = append(claims, &wire.Claim{Name: c.Name, Held: int32(c.Held), Want: int32(c.Want), Returned: int32(c.Returned)})
	}
	return claims
}

func replyBytes(r *medlargw.BorrowReply) int {
	m := &wire.BorrowReply{Incarnation: 1, Number: r.Sequence, Owner: r.IsOwner}
	for _, l := range r.Slots {
		m.Slots = append(m.Slots, &wire.Loan{Name: l.Name, Amount: int32(l.Amount), TermMs: l.Term.Milliseconds()})
	}
	for _, l := range r.Units {
		m.Units = append(m.Units, &wire.Loan{Name: l.Name, Amount: int32(l.Amount), TermMs: l.Term.Milliseconds(), Starts: l.Starts})
	}
	return replyHeaderBytes + proto.Size(m)
}

// BenchmarkControlAtDesignSize runs one of nine zones: 8 entries, 61 targets of
// 8 slots, 360 teams with limits, and 1,778 starts a second in jobs of 20 tasks
// on average. It reports the messages and bytes that lending costs each entry.
func BenchmarkControlAtDesignSize(b *testing.B) {
	for _, favour := range []medlargw.Favour{medlargw.FavourLatency, medlargw.FavourMessages} {
		for _, limit := range []int{0, 60} {
			b.Run(fmt.Sprintf("%s/limit%d", favour, limit), func(b *testing.B) {
				for b.Loop() {
					measureDesignSize(b, favour, limit)
				}
			})
		}
	}
}

func measureDesignSize(b *testing.B, favour medlargw.Favour, limit int) {
	const entries, seconds, jobTasks = 8, 3, 20
	g := newSimGroup(b, 1, favour, entries, 61, 8, "detroit")
	for n := range 360 {
		name := medlargw.TeamName(fmt.Sprintf("team-%d", n))
		g.cfg.Teams = append(g.cfg.Teams, medlargw.Team{Name: name, Limit: medlargw.Limit{Running: limit}})
	}
	g.skipChecks = true
	g.setView()
	g.run(3 * time.Second)
	g.messages, g.bytes = 0, 0
	var jobs [][]*simTask
	for began := g.now; g.now-began < seconds*time.Second; {
		e := g.entries[g.random.IntN(entries)]
		team := g.cfg.Teams[g.random.IntN(len(g.cfg.Teams))].Name
		run := 50*time.Millisecond + time.Duration(g.random.IntN(340))*time.Millisecond
		jobs = append(jobs, e.submit(1+g.random.IntN(2*jobTasks-1), g.random.IntN(3), team, run))
		g.run(time.Duration(g.random.ExpFloat64() * float64(time.Second) * jobTasks / 1778))
	}
	b.ReportMetric(float64(g.messages)/seconds/entries, "messages/s")
	b.ReportMetric(float64(g.bytes)/seconds/entries, "bytes/s")
	b.ReportMetric(2+float64(g.messages)/float64(len(g.ended)), "messages/task")
	g.run(5 * time.Second)
	b.ReportMetric(meanSlowdown(jobs), "ratio")
}
