package chronicler_test

import (
	"fmt"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/chronicler"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const interval = 1500 * time.Millisecond

// read is one read of the list: the number of the report of target "t", zero if it is not
// listed.
type read struct {
	at     time.Duration
	report uint64
}

// TestTimeOfReport guards against a target that counts as having reported when the list is
// read: the list is read again after an outage and still shows the report of before.
func TestTimeOfReport(t *testing.T) {
	tests := []struct {
		name  string
		reads []read
		want  time.Duration // Lower bound of the last report; negative is unknown.
	}{
		{"first read", []read{{2 * time.Second, 1}}, 500 * time.Millisecond},
		{"no new report", []read{{2 * time.Second, 1}, {3 * time.Second, 1}}, 500 * time.Millisecond},
		{"a new report", []read{{2 * time.Second, 1}, {3 * time.Second, 2}}, 2 * time.Second},
		{"right after an outage", []read{{2 * time.Second, 1}, {3 * time.Second, 2}, {12 * time.Second, 2}}, 2 * time.Second},
		{"reported before the first read after an outage", []read{{2 * time.Second, 1}, {12 * time.Second, 2}}, 2 * time.Second},
		{"reported after it", []read{{2 * time.Second, 1}, {12 * time.Second, 1}, {13 * time.Second, 2}}, 12 * time.Second},
		{"appeared", []read{{2 * time.Second, 0}, {3 * time.Second, 7}}, 2 * time.Second},
		{"has left the list", []read{{2 * time.Second, 1}, {3 * time.Second, 0}}, -1},
		{"an answer that was overtaken", []read{{3 * time.Second, 2}, {2 * time.Second, 1}}, 1500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := chronicler.New(interval)
			for _, r := range test.reads {
				reports := map[medlargw.TargetName]uint64{"other": uint64(r.at)}
				if r.report > 0 {
					reports["t"] = r.report
				}
				c.Record(start.Add(r.at), reports)
			}
			got, known := c.Told()["t"]
			if want := start.Add(test.want); known != (test.want >= 0) || known && !got.Equal(want) {
				t.Errorf("got %v (known: %v), want %v", got.Sub(start), known, test.want)
			}
		})
	}
}

// TestAgesOfPeer checks that ages pass to a peer with another clock without becoming
// younger, and never replace younger ones.
func TestAgesOfPeer(t *testing.T) {
	var names []medlargw.TargetName
	reports := map[medlargw.TargetName]uint64{}
	for i := range 350 {
		names = append(names, medlargw.TargetName(fmt.Sprintf("i-%04x", i)))
		reports[names[i]] = uint64(i + 1)
	}
	reader, peer := chronicler.New(interval), chronicler.New(interval)
	reader.Record(start, reports)
	body := reader.Encode(start.Add(500 * time.Millisecond))
	requestedAt := start.Add(time.Hour)
	peer.Raise(names[:1], requestedAt)
	if err := peer.Merge(body, requestedAt, names); err != nil {
		t.Fatal(err)
	}
	for i, name := range names {
		want := requestedAt.Add(-interval - 500*time.Millisecond)
		if i == 0 {
			want = requestedAt
		}
		if got := peer.Told()[name]; !got.Equal(want) {
			t.Fatalf("%s: got %v, want %v", name, got, want)
		}
	}
	if err := peer.Merge(body[:len(body)-1], requestedAt, names); err == nil {
		t.Error("ages that are cut off: got no error, want one")
	}
}
