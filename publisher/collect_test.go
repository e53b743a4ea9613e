package publisher

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

func TestOldValuesAreCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.entries["team/desk/orphan"] = medlargw.Entry{Key: "team/desk/orphan", Revision: 99}
		for n := range 8 {
			mustPublish(t, s, uint64(n+1), operators("desk"), team("desk", 1+n%2))
			checkWhole(t, s)
		}
		before := len(s.entries)
		<-time.After(retiredFor) // Virtual time.
		mustPublish(t, s, 9, team("desk", 7))
		checkWhole(t, s)
		if got, want := len(s.entries), 4; before <= want || got != want {
			t.Errorf("values: got %d, then %d, want more, then %d", before, got, want)
		}
	})
}

// TestCallsAtDesignSize bounds what one change of one team costs the store.
func TestCallsAtDesignSize(t *testing.T) {
	const teams, mostCalls, mostHead = 360, 6, 64 << 10
	s := newFakeStore()
	var names []medlargw.TeamName
	var all []medlargw.TeamConfig
	for n := range teams {
		name := medlargw.TeamName(fmt.Sprintf("team-%03d", n))
		names = append(names, name)
		all = append(all, team(name, 1, "slip-"+string(name), "cure-"+string(name)))
	}
	mustPublish(t, s, 1, append(all, operators(names...))...)
	for n := range 40 {
		s.calls = 0
		mustPublish(t, s, uint64(n+2), team("team-007", 2-n%2, "slip-team-007", "cure-team-007"))
	}
	if got := s.calls; got > mostCalls {
		t.Errorf("calls of one publish: got %d, want at most %d", got, mostCalls)
	}
	value := s.entries[converter.HeadKey].Value
	if got := len(value); got > mostHead {
		t.Errorf("bytes of the head: got %d, want at most %d", got, mostHead)
	}
	t.Logf("%d calls, head of %d bytes, team value of %d bytes", s.calls, len(value), valueSize(s, "team/team-008/"))
}

func valueSize(s *fakeStore, prefix string) int {
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			return len(e.Value)
		}
	}
	return 0
}

// BenchmarkPublishOfDesignSize changes one team among 360, by a new process.
func BenchmarkPublishOfDesignSize(b *testing.B) {
	s := newFakeStore()
	all := []medlargw.TeamConfig{{Team: medlargw.Team{Name: "ops"}, Classes: []medlargw.Class{{Name: "urgent"}}}}
	for n := range 360 {
		name := fmt.Sprint("team-", n)
		all = append(all, team(medlargw.TeamName(name), 1, "slip-"+name, "cure-"+name))
	}
	if _, err := New(s).Publish(b.Context(), all); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	n := 1
	for b.Loop() {
		n++
		if _, err := New(s).Publish(b.Context(), []medlargw.TeamConfig{team("team-7", n, "slip-team-7", "cure-team-7")}); err != nil {
			b.Fatal(err)
		}
	}
}
