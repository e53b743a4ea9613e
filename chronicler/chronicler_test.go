package chronicler_test

import (
	"fmt"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/chronicler"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLatestReport guards against a report that replaces a later one: a read was overtaken,
// or a peer knows an older report or a former incarnation.
func TestLatestReport(t *testing.T) {
	report := func(clock time.Duration, incarnation int) medlargw.TargetReport {
		return medlargw.TargetReport{Clock: clock, IncarnationStart: start.Add(time.Duration(incarnation) * time.Minute)}
	}
	tests := []struct {
		name    string
		reports []medlargw.TargetReport // Of successive reads.
		want    medlargw.TargetReport
	}{
		{"first", []medlargw.TargetReport{report(5*time.Second, 0)}, report(5*time.Second, 0)},
		{"later", []medlargw.TargetReport{report(5*time.Second, 0), report(7*time.Second, 0)}, report(7*time.Second, 0)},
		{"overtaken", []medlargw.TargetReport{report(7*time.Second, 0), report(5*time.Second, 0)}, report(7*time.Second, 0)},
		{"next incarnation", []medlargw.TargetReport{report(7*time.Second, 0), report(time.Second, 1)}, report(time.Second, 1)},
		{"former incarnation", []medlargw.TargetReport{report(time.Second, 1), report(7*time.Second, 0)}, report(time.Second, 1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := chronicler.New()
			for i, r := range test.reports {
				c.Record(start.Add(time.Duration(i)*time.Second), map[medlargw.TargetName]medlargw.TargetReport{"t": r})
			}
			if got := c.Reports()["t"]; got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestReportsOfTargetsThatLeft checks that targets which have left the list are forgotten,
// and are not waited for.
func TestReportsOfTargetsThatLeft(t *testing.T) {
	c := chronicler.New()
	c.Record(start, map[medlargw.TargetName]medlargw.TargetReport{"gone": {Clock: time.Second}, "t": {Clock: time.Second}})
	c.Record(start.Add(2*time.Second), map[medlargw.TargetName]medlargw.TargetReport{"t": {Clock: 3 * time.Second}})
	if got := c.Reports(); len(got) != 1 {
		t.Errorf("reports: got %+v, want that of t alone", got)
	}
	if since := start.Add(time.Second); !c.AllSince(since) {
		t.Errorf("all reported since %v: got false, want true", since)
	}
	if since := start.Add(2 * time.Second); c.AllSince(since) {
		t.Errorf("all reported since %v: got true, want false", since)
	}
}

// TestReportsOfPeer checks that reports pass to a peer, never replace later ones, and are
// not taken for those of another incarnation.
func TestReportsOfPeer(t *testing.T) {
	var targets []medlargw.Target
	reports := map[medlargw.TargetName]medlargw.TargetReport{}
	for i := range 350 {
		target := medlargw.Target{Name: medlargw.TargetName(fmt.Sprintf("i-%04x", i)), IncarnationStart: start.Add(time.Duration(i) * time.Millisecond)}
		targets = append(targets, target)
		reports[target.Name] = medlargw.TargetReport{Clock: time.Duration(i+1) * time.Second, IncarnationStart: target.IncarnationStart}
	}
	reader, peer := chronicler.New(), chronicler.New()
	reader.Record(start, reports)
	body := reader.Encode()
	targets[1].IncarnationStart = start.Add(time.Hour)
	later := medlargw.TargetReport{Clock: time.Hour, IncarnationStart: targets[0].IncarnationStart}
	peer.Record(start, map[medlargw.TargetName]medlargw.TargetReport{targets[0].Name: later})
	if err := peer.Merge(start, body, targets); err != nil {
		t.Fatal(err)
	}
	for i := range targets {
		want := reports[targets[i].Name]
		switch i {
		case 0:
			want = later
		case 1:
			want = medlargw.TargetReport{}
		}
		if got := peer.Reports()[targets[i].Name]; got != want {
			t.Fatalf("%s: got %+v, want %+v", targets[i].Name, got, want)
		}
	}
	if err := peer.Merge(start, body[:len(body)-1], targets); err == nil {
		t.Error("reports that are cut off: got no error, want one")
	}
}
