package publisher

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/converter"
)

// evacuatedZones returns the evacuated zones in the store's head.
func evacuatedZones(t *testing.T, s *fakeStore) []medlargw.ZoneName {
	t.Helper()
	var conv converter.Converter
	head, err := conv.DecodeHead(s.entries[converter.HeadKey].Value)
	if err != nil {
		t.Fatal(err)
	}
	return head.Evacuated
}

// TestEvacuate makes requests and takes them back, with publishes in between.
func TestEvacuate(t *testing.T) {
	s := newFakeStore()
	mustPublish(t, s, 1, operatorsTeam("desk"), team("desk", 1, "a"))
	type zones = []medlargw.ZoneName
	tests := []struct {
		name       string
		key        string
		zone       medlargw.ZoneName
		evacuated  bool
		generation uint64
		refused    bool
		want       zones
	}{
		{"key of a team", "desk", "b", true, 0, true, nil},
		{"first zone", "deployment", "b", true, 2, false, zones{"b"}},
		{"second zone", "deployment", "a", true, 3, false, zones{"a", "b"}},
		{"again", "deployment", "a", true, 3, false, zones{"a", "b"}},
		{"taken back", "deployment", "b", false, 4, false, zones{"a"}},
		{"taken back again", "deployment", "b", false, 4, false, zones{"a"}},
	}
	for _, test := range tests {
		p := New(s)
		p.Keys = []string{test.key}
		generation, err := p.Evacuate(t.Context(), test.zone, test.evacuated)
		var refused *medlargw.PublishError
		if errors.As(err, &refused) != test.refused || (err != nil) != test.refused || generation != test.generation {
			t.Errorf("%s: got generation %d and error %v, want %d and refused %v", test.name, generation, err, test.generation, test.refused)
		}
		if got := evacuatedZones(t, s); !slices.Equal(got, test.want) {
			t.Errorf("%s: got evacuated %v, want %v", test.name, got, test.want)
		}
	}
	mustPublish(t, s, 5, operatorsTeam("desk"), team("desk", 2, "a"))
	if got, want := evacuatedZones(t, s), (zones{"a"}); !slices.Equal(got, want) {
		t.Errorf("after a publish: got evacuated %v, want %v", got, want)
	}
	if _, err := New(newFakeStore()).Evacuate(t.Context(), "a", true); !errors.Is(err, errNothingPublished) {
		t.Errorf("before any publish: got error %v, want %v", err, errNothingPublished)
	}
}

// TestEvacuateAtAFaultyStore asserts that a request takes effect once, whichever
// call to the store fails, and is not repeated after another operator has taken
// it back.
func TestEvacuateAtAFaultyStore(t *testing.T) {
	for _, f := range []fault{faultUnavailable, faultLostReply, faultDelayedWrite} {
		for call := 1; call <= 8; call++ {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				mustPublish(t, s, 1, operatorsTeam("desk"))
				s.calls, s.faultCall, s.fault = 0, call, f
				want := []medlargw.ZoneName{"a"}
				s.afterLostReply = func() {
					if !slices.Equal(evacuatedZones(t, s), want) {
						return // The reply to a reading was lost.
					}
					other := New(s)
					other.Keys = []string{"deployment"}
					if _, err := other.Evacuate(t.Context(), "a", false); err != nil {
						t.Error(err)
					}
					want = nil
				}
				p := New(s)
				p.Keys = []string{"deployment"}
				if _, err := p.Evacuate(t.Context(), "a", true); err != nil {
					t.Errorf("fault %d in call %d: %v", f, call, err)
				}
				if got := evacuatedZones(t, s); !slices.Equal(got, want) {
					t.Errorf("fault %d in call %d: got evacuated %v, want %v", f, call, got, want)
				}
			})
		}
	}
}
