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

func TestExpiredValuesAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.entries["team/desk/orphan"] = medlargw.KeyValue{Key: "team/desk/orphan", Revision: 99}
		for n := range 8 {
			mustPublish(t, s, uint64(n+1), operatorsTeam("desk"), team("desk", 1+n%2))
			checkReferences(t, s)
		}
		before := len(s.entries)
		<-time.After(retentionPeriod) // Virtual time.
		mustPublish(t, s, 9, team("desk", 7))
		checkReferences(t, s)
		if got, want := len(s.entries), 4; before <= want || got != want {
			t.Errorf("values: got %d, then %d, want more, then %d", before, got, want)
		}
	})
}

// TestPublishCostAtDesignSize limits the store calls and the size of the head
// when one of 360 teams changes.
func TestPublishCostAtDesignSize(t *testing.T) {
	const teams, maxCalls, maxHeadBytes = 360, 6, 64 << 10
	s := newFakeStore()
	var names []medlargw.TeamName
	var configs []medlargw.TeamConfig
	for n := range teams {
		name := medlargw.TeamName(fmt.Sprintf("team-%03d", n))
		names = append(names, name)
		configs = append(configs, team(name, 1, "slip-"+string(name), "cure-"+string(name)))
	}
	mustPublish(t, s, 1, append(configs, operatorsTeam(names...))...)
	for n := range 40 {
		s.calls = 0
		mustPublish(t, s, uint64(n+2), team("team-007", 2-n%2, "slip-team-007", "cure-team-007"))
	}
	if got := s.calls; got > maxCalls {
		t.Errorf("calls of one publish: got %d, want at most %d", got, maxCalls)
	}
	value := s.entries[converter.HeadKey].Value
	if got := len(value); got > maxHeadBytes {
		t.Errorf("bytes of the head: got %d, want at most %d", got, maxHeadBytes)
	}
	t.Logf("%d calls, head of %d bytes, team value of %d bytes", s.calls, len(value), valueBytes(s, "team/team-008/"))
}

func valueBytes(s *fakeStore, prefix string) int {
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			return len(e.Value)
		}
	}
	return 0
}

// BenchmarkPublishAtDesignSize changes one of 360 teams, with a new Publisher
// each time.
func BenchmarkPublishAtDesignSize(b *testing.B) {
	s := newFakeStore()
	configs := []medlargw.TeamConfig{{Team: medlargw.Team{Name: "ops"}, Classes: []medlargw.Class{{Name: "urgent"}}}}
	for n := range 360 {
		name := fmt.Sprint("team-", n)
		configs = append(configs, team(medlargw.TeamName(name), 1, "slip-"+name, "cure-"+name))
	}
	if _, err := New(s).Publish(b.Context(), configs); err != nil {
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
