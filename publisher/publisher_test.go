package publisher

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

// operatorsTeam returns the operators' team, which declares the given teams.
// The key of each team is its name.
func operatorsTeam(teams ...medlargw.TeamName) medlargw.TeamConfig {
	t := medlargw.TeamConfig{
		Team:    medlargw.Team{Name: medlargw.DeploymentTeam, Weight: 1},
		Classes: []medlargw.Class{{Name: "urgent"}},
	}
	for _, name := range append(teams, medlargw.DeploymentTeam) {
		key := sha256.Sum256([]byte(name))
		t.Grants = append(t.Grants, medlargw.Grant{Team: name, Owners: [][32]byte{key}, Weight: 9})
	}
	return t
}

// team returns a team with one service per name.
func team(name medlargw.TeamName, weight int, services ...string) medlargw.TeamConfig {
	t := medlargw.TeamConfig{Team: medlargw.Team{Name: name, Weight: weight}}
	for _, s := range services {
		t.Services = append(t.Services, medlargw.Service{Name: medlargw.ServiceName(s), Team: name, Class: "urgent"})
	}
	return t
}

// publish publishes with a new Publisher; crashed reports a simulated crash.
func publish(t *testing.T, s *fakeStore, key string, teams ...medlargw.TeamConfig) (g uint64, err error, crashed bool) {
	t.Helper()
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(crash); !ok {
				panic(r)
			}
			crashed = true
		}
	}()
	p := New(s)
	p.Keys = []string{key}
	g, err = p.Publish(t.Context(), teams)
	return g, err, false
}

// mustPublish publishes with the operators' key and fails unless it gets the
// wanted generation.
func mustPublish(t *testing.T, s *fakeStore, want uint64, teams ...medlargw.TeamConfig) {
	t.Helper()
	got, err, _ := publish(t, s, "deployment", teams...)
	if err != nil || got != want {
		t.Fatalf("publish: got generation %d and error %v, want %d", got, err, want)
	}
}

// head returns the decoded head of the store.
func head(t *testing.T, s *fakeStore) medlargw.ConfigHead {
	t.Helper()
	var conv converter.Converter
	h, err := conv.DecodeHead(s.entries[converter.HeadKey].Value)
	if err != nil {
		t.Fatalf("head: %v", err)
	}
	return h
}

// checkReferences fails if the head references a value that the store lacks or
// whose content does not match its hash.
func checkReferences(t *testing.T, s *fakeStore) {
	t.Helper()
	var conv converter.Converter
	for _, v := range head(t, s).Teams {
		e, ok := s.entries[conv.TeamKey(v)]
		if got := conv.Hash(e.Value); !ok || got != v.Hash {
			t.Errorf("value of team %s: got hash %s, want %s", v.Team, got, v.Hash)
		}
	}
}

// weight returns the current weight of a team.
func weight(t *testing.T, s *fakeStore, name medlargw.TeamName) int {
	t.Helper()
	teams, err := New(s).Read(t.Context())
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	for i := range teams {
		if teams[i].Team.Name == name {
			return teams[i].Team.Weight
		}
	}
	return 0
}

// TestFaultAtEachStoreCall publishes a change of two teams and injects a fault
// into one call to the store, for each call in turn. It publishes again if the
// publisher crashed, and checks that the change took effect exactly once.
func TestFaultAtEachStoreCall(t *testing.T) {
	faults := []struct {
		name  string
		fault fault
		count int
	}{
		{name: "outage of one call", fault: faultUnavailable},
		{name: "outage of six calls", fault: faultUnavailable, count: 6},
		{name: "lost reply", fault: faultLostReply},
		{name: "three lost replies", fault: faultLostReply, count: 3},
		{name: "late write", fault: faultDelayedWrite},
		{name: "three late writes", fault: faultDelayedWrite, count: 3},
		{name: "crash before", fault: faultCrashBefore},
		{name: "crash after", fault: faultCrashAfter},
	}
	for _, tt := range faults {
		t.Run(tt.name, func(t *testing.T) {
			for at := 1; ; at++ {
				if calls := publishWithFault(t, tt.fault, tt.count, at); calls < at {
					break
				}
			}
		})
	}
}

// publishWithFault injects the fault into count calls from call at on, and
// returns the number of calls that the publish made.
func publishWithFault(t *testing.T, f fault, count, at int) (calls int) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		mustPublish(t, s, 1, operatorsTeam("desk", "ice"), team("desk", 1, "slip"), team("ice", 1, "ping"))
		mustPublish(t, s, 2, team("desk", 2, "slip"))
		<-time.After(2 * retentionPeriod) // Virtual time; the value of generation 1 expires.
		s.calls, s.faultCall, s.fault, s.faultCount = 0, at, f, count
		changed := []medlargw.TeamConfig{team("desk", 3, "slip"), team("ice", 3, "ping")}
		g, err, crashed := publish(t, s, "deployment", changed...)
		calls, s.faultCall = s.calls, 0
		checkReferences(t, s)
		if a, b := weight(t, s, "desk"), weight(t, s, "ice"); (a == 3) != (b == 3) {
			t.Errorf("call %d: got weights %d and %d, want both old or both new", at, a, b)
		}
		if crashed {
			g, err, _ = publish(t, s, "deployment", changed...)
		}
		if err != nil || g != 3 {
			t.Errorf("call %d: got generation %d and error %v, want 3", at, g, err)
		}
		mustPublish(t, s, 4, team("ice", 4, "ping"))
		checkReferences(t, s)
	})
	return calls
}

func TestOutcomeUnknownAfterLostReplyAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		mustPublish(t, s, 1, operatorsTeam("desk"), team("desk", 1))
		s.beforeHeadWrite = func() { s.faultCall, s.fault = s.calls+1, faultLostReply }
		s.afterLostReply = func() { s.faultCall, s.fault, s.faultCount = s.calls+1, faultUnavailable, 1000 }
		_, err, _ := publish(t, s, "desk", team("desk", 2))
		if got, want := fmt.Sprint(err), "unknown whether generation 2 is in force"; !strings.Contains(got, want) {
			t.Errorf("error: got %s, want %s", got, want)
		}
		s.faultCall = 0
		mustPublish(t, s, 2, team("desk", 2)) // Finds that generation 2 took effect, and changes nothing.
	})
}

func TestUnchangedConfigIsNotWritten(t *testing.T) {
	s := newFakeStore()
	mustPublish(t, s, 1, operatorsTeam("desk"), team("desk", 1, "slip"))
	revision := s.revision
	mustPublish(t, s, 1, operatorsTeam("desk"), team("desk", 1, "slip"))
	if got, want := s.revision, revision; got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}

func TestConcurrentPublishes(t *testing.T) {
	tests := []struct {
		name  string
		other medlargw.TeamConfig // Published just before the head is written.
		want  string              // Part of the error; empty is none.
	}{
		{name: "another team: both in force", other: team("ice", 2, "ping")},
		{name: "the same change", other: team("desk", 3, "slip")},
		{
			name:  "the same team",
			other: team("desk", 2, "slip", "cure"),
			want: "another publisher changed the same team meanwhile:\n" +
				"  ~ desk: weight: 1 -> 2\n  + desk: service cure: class urgent",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				mustPublish(t, s, 1, operatorsTeam("desk", "ice"), team("desk", 1, "slip"), team("ice", 1, "ping"))
				s.beforeHeadWrite = func() { mustPublish(t, s, 2, tt.other) }
				_, err, _ := publish(t, s, "desk", team("desk", 3, "slip"))
				if got := fmt.Sprint(err); tt.want == "" && err != nil || !strings.Contains(got, tt.want) {
					t.Errorf("error: got %s, want %s", got, tt.want)
				}
				if got, want := weight(t, s, tt.other.Team.Name), tt.other.Team.Weight; got != want {
					t.Errorf("weight of the other publish: got %d, want %d", got, want)
				}
				checkReferences(t, s)
			})
		})
	}
}

// TestManyPublishesAfterLostReply checks that a publish with a lost reply is
// not repeated when later publishes have pushed its ID out of the head.
func TestManyPublishesAfterLostReply(t *testing.T) {
	tests := []struct {
		name  string
		other medlargw.TeamName // Changed by the later publishes.
		want  string
	}{
		{name: "other teams", other: "ice"},
		{name: "the same team", other: "desk", want: "another publisher changed the same team"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				mustPublish(t, s, 1, operatorsTeam("desk", "ice"), team("desk", 1), team("ice", 1))
				s.beforeHeadWrite = func() { s.faultCall, s.fault = s.calls+1, faultLostReply }
				s.afterLostReply = func() {
					for n := range maxPublishIDs + 8 {
						mustPublish(t, s, uint64(n+3), team(tt.other, n+10))
					}
				}
				_, err, _ := publish(t, s, "desk", team("desk", 3))
				if got := fmt.Sprint(err); tt.want == "" && err != nil || !strings.Contains(got, tt.want) {
					t.Errorf("error: got %s, want %s", got, tt.want)
				}
				if got, want := weight(t, s, tt.other), maxPublishIDs+8+9; got != want {
					t.Errorf("weight: got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestLostReplyThenReplaced checks that a publish with a lost reply returns its
// own generation, even if later publishes have replaced its change.
func TestLostReplyThenReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		mustPublish(t, s, 1, operatorsTeam("desk"), team("desk", 1))
		s.beforeHeadWrite = func() { s.faultCall, s.fault = s.calls+1, faultLostReply }
		s.afterLostReply = func() {
			mustPublish(t, s, 3, team("desk", 5))
			mustPublish(t, s, 4, team("desk", 6))
		}
		got, err, _ := publish(t, s, "desk", team("desk", 3))
		if err != nil || got != 2 {
			t.Errorf("publish: got generation %d and error %v, want 2", got, err)
		}
		if got, want := weight(t, s, "desk"), 6; got != want {
			t.Errorf("weight: got %d, want %d", got, want)
		}
	})
}

func TestPublishAuthorization(t *testing.T) {
	tests := []struct {
		name  string
		key   string
		teams []medlargw.TeamConfig
		want  string
	}{
		{name: "its own team", key: "desk", teams: []medlargw.TeamConfig{team("desk", 2)}},
		{name: "any team with the operators' key", key: "deployment", teams: []medlargw.TeamConfig{team("desk", 2)}},
		{
			name: "an unchanged team needs no key", key: "desk",
			teams: []medlargw.TeamConfig{team("desk", 2), team("ice", 1)},
		},
		{
			name: "another team", key: "desk",
			teams: []medlargw.TeamConfig{team("desk", 2), team("ice", 2)},
			want:  "the key may not publish team ice",
		},
		{
			name: "the operators' team", key: "desk",
			teams: []medlargw.TeamConfig{operatorsTeam("desk", "ice", "more")},
			want:  "the key may not publish team deployment",
		},
		{name: "no key", teams: []medlargw.TeamConfig{team("desk", 2)}, want: "the key may not publish team desk"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeStore()
			mustPublish(t, s, 1, operatorsTeam("desk", "ice"), team("desk", 1), team("ice", 1))
			_, err, _ := publish(t, s, tt.key, tt.teams...)
			if got := fmt.Sprint(err); tt.want == "" && err != nil || !strings.Contains(got, tt.want) {
				t.Errorf("error: got %s, want %s", got, tt.want)
			}
		})
	}
	if _, err, _ := publish(t, newFakeStore(), "other", operatorsTeam("desk")); err == nil {
		t.Error("first publish of the operators with another key: got no error")
	}
}

func TestRemovalRequiresPrune(t *testing.T) {
	s := newFakeStore()
	mustPublish(t, s, 1, operatorsTeam("desk", "ice"), team("desk", 1, "slip", "cure"), team("ice", 1))
	for _, changed := range []medlargw.TeamConfig{team("desk", 1, "slip"), operatorsTeam("desk")} {
		p := New(s)
		p.Keys = []string{"deployment"}
		_, err := p.Publish(t.Context(), []medlargw.TeamConfig{changed})
		var refused *medlargw.PublishError
		if !errors.As(err, &refused) || len(refused.Changes) == 0 {
			t.Errorf("publish without prune: got %v, want the removals", err)
		}
		p.Prune = true
		if _, err := p.Publish(t.Context(), []medlargw.TeamConfig{changed}); err != nil {
			t.Errorf("publish with prune: %v", err)
		}
	}
	if got := len(head(t, s).Teams); got != 2 {
		t.Errorf("teams: got %d, want 2 after ice was removed", got)
	}
}

func TestBaseDetectsChangesSincePlan(t *testing.T) {
	s := newFakeStore()
	mustPublish(t, s, 1, operatorsTeam("desk", "ice"), team("desk", 1), team("ice", 1))
	changed := []medlargw.TeamConfig{team("desk", 2)}
	plan, err := New(s).Plan(t.Context(), changed)
	var refused *medlargw.PublishError
	if !errors.As(err, &refused) {
		t.Fatalf("plan without a key: got %v, want a refusal", err)
	}
	mustPublish(t, s, 2, team("ice", 2)) // A change of another team does not conflict.
	p := New(s)
	p.Keys, p.BaseDigest = []string{"desk"}, plan.BaseDigest
	mustPublish(t, s, 3, team("desk", 3))
	if _, err := p.Publish(t.Context(), changed); !strings.Contains(fmt.Sprint(err), "~ desk: weight: 3 -> 2") {
		t.Errorf("publish on an old base: got %v, want the pending changes", err)
	}
	mustPublish(t, s, 4, team("desk", 1))
}

func TestStoreRollback(t *testing.T) {
	s := newFakeStore()
	mustPublish(t, s, 1, operatorsTeam("desk"), team("desk", 1))
	p := New(s)
	p.Keys, p.UsedGeneration = []string{"desk"}, 5
	changed := []medlargw.TeamConfig{team("desk", 2)}
	if _, err := p.Publish(t.Context(), changed); !strings.Contains(fmt.Sprint(err), "the store went back") {
		t.Errorf("error: got %v, want that the store went back", err)
	}
	p.Recover = true
	if got, err := p.Publish(t.Context(), changed); err != nil || got != 6 {
		t.Errorf("publish: got generation %d and error %v, want 6", got, err)
	}
	mustPublish(t, s, 7, team("desk", 3))
}
