package tracker

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestCapacityOfMembers guards against two views of the owners of targets during a
// planned replacement: an entry of an older build reports of others without their
// capacity.
func TestCapacityOfMembers(t *testing.T) {
	const live, leaving = medlargw.MemberLive, medlargw.MemberLeaving
	stated := func(m medlargw.Member) medlargw.Member {
		m.Capacity = 480
		return m
	}
	reporter := member("c", 3, 1, live)
	tests := []struct {
		name   string
		events []event
		want   int64 // Of incarnation 2.
	}{
		{"stated by itself", []event{{from: stated(member("b", 2, 1, live))}}, 480},
		{"reported without, then stated", []event{
			{from: reporter, changed: []medlargw.Member{member("b", 2, 1, live)}},
			{from: stated(member("b", 2, 1, live))},
		}, 480},
		{"stated, then a change reported without", []event{
			{from: stated(member("b", 2, 1, live))},
			{from: reporter, changed: []medlargw.Member{member("b", 2, 2, leaving)}},
		}, 480},
		{"reported without, then with", []event{
			{from: reporter, changed: []medlargw.Member{member("b", 2, 1, live)}},
			{from: reporter, changed: []medlargw.Member{stated(member("b", 2, 1, live))}},
		}, 480},
		{"never stated", []event{{from: member("b", 2, 1, live)}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := newView(member("a", 1, 1, live), testSettings(), time.Minute)
			for i := range test.events {
				e := &test.events[i]
				var before int64
				if p := v.peers[2]; p != nil {
					before = p.member.Capacity
				}
				version := v.version
				v.applyMessage(start.Add(time.Duration(i)*time.Second), &e.from, e.changed)
				if v.peers[2].member.Capacity != before && v.version == version {
					t.Errorf("event %d: the version stays the same when the capacity changes", i)
				}
			}
			if got := v.peers[2].member.Capacity; got != test.want {
				t.Errorf("capacity: got %d, want %d", got, test.want)
			}
		})
	}
}
