package presenter

import (
	"bytes"
	"errors"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/summarizer"
)

var update = flag.Bool("update", false, "write the golden files")

var now = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// sampleResponses returns the responses of two entries, one of which has recently
// been replaced, and of a third entry that did not answer.
func sampleResponses() []medlargw.EntryResponse {
	urgent := medlargw.Class{Name: "urgent", Objective: medlargw.Objective{SuccessRatio: 0.99, ResponseTime: time.Second}}
	steady := medlargw.Class{Name: "steady", Rank: 1}
	first := sampleResponse("detroit-1", 8, now.Add(-100*time.Hour), 10)
	first.Status.Classes = []medlargw.Class{urgent, steady}
	first.Burn.Classes = first.Status.Classes
	second := sampleResponse("detroit-2", 7, now.Add(-time.Hour), 0)
	third := medlargw.EntryResponse{
		Host: "cleveland-1", Zone: "cleveland",
		Addr: netip.MustParseAddrPort("10.0.0.9:8082"), Err: errors.New("connection refused"),
	}
	return []medlargw.EntryResponse{third, first, second}
}

func sampleResponse(host medlargw.HostName, generation uint64, since time.Time, missed uint64) medlargw.EntryResponse {
	a := medlargw.EntryResponse{Host: host, Zone: "detroit", Addr: netip.MustParseAddrPort("10.0.0.1:8082")}
	aside := medlargw.TargetStatus{
		Target: medlargw.Target{Name: "t2", Zone: "detroit"}, Slots: 8,
		State: medlargw.TargetSetAside, Reason: "by an operator", Since: now.Add(-90 * time.Second),
	}
	serving := medlargw.TargetStatus{Target: medlargw.Target{Name: "t1"}, State: medlargw.TargetServing}
	a.Status = medlargw.EntryStatus{
		Self: medlargw.Member{Host: host}, Started: since, Generation: generation, ConfiguredAt: now.Add(-30 * time.Minute),
		Members: []medlargw.Member{{Host: host, State: medlargw.MemberLive}},
		Dispatch: medlargw.DispatchStatus{
			Jobs: 3, Running: 5, Free: 2,
			Queues:  []medlargw.QueueStatus{{Rank: 1, Team: "ice", Tasks: 9}, {Rank: 0, Team: "desk", Tasks: 1}},
			Targets: []medlargw.TargetStatus{serving, aside},
			Limits:  []medlargw.LimitStatus{{Team: "ice", Running: 5, Limit: medlargw.Limit{Running: 5}, Blocked: true}},
			Held:    []medlargw.LoanStatus{{Peer: "detroit-1", Name: "t1", Amount: 3}},
		},
	}
	counts := medlargw.JobCounts{Jobs: 1000, Missed: missed}
	desk := medlargw.BurnSeries{Class: "urgent", Team: "desk"}
	for w := range desk.Windows {
		desk.Windows[w] = counts
	}
	ice := medlargw.BurnSeries{Class: "steady", Team: "ice", Windows: desk.Windows}
	a.Burn = medlargw.BurnStatus{
		Since: since, TakenAt: now, Step: 5 * time.Minute,
		Series: []medlargw.BurnSeries{desk, ice},
	}
	for n := range 60 {
		p := medlargw.BurnPoint{Class: "urgent", Start: now.Add(time.Duration(n-61) * 5 * time.Minute)}
		p.Counts = medlargw.JobCounts{Jobs: 100, Missed: missed * uint64(n%7) / 10}
		a.Burn.Points = append(a.Burn.Points, p)
	}
	return a
}

func TestGoldenFiles(t *testing.T) {
	var p Presenter
	var s summarizer.Summarizer
	report := s.Summarize(sampleResponses(), now)
	tests := []struct {
		name  string
		write func(b *bytes.Buffer) error
	}{
		{name: "status.txt", write: func(b *bytes.Buffer) error { return p.Status(b, sampleResponses(), now) }},
		{name: "burn.txt", write: func(b *bytes.Buffer) error { return p.Burn(b, &report) }},
		{name: "burn.json", write: func(b *bytes.Buffer) error { return p.BurnJSON(b, &report) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b bytes.Buffer
			if err := tt.write(&b); err != nil {
				t.Fatalf("write: %v", err)
			}
			path := filepath.Join("testdata", tt.name)
			if *update {
				if err := os.WriteFile(path, b.Bytes(), 0o600); err != nil {
					t.Fatalf("write golden file: %v", err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatalf("read golden file: %v", err)
			}
			if got := b.String(); got != string(want) {
				t.Errorf("text:\ngot  %s\nwant %s", got, want)
			}
		})
	}
}

// TestStatusFitsOnOneScreen formats the status of a deployment of the design
// size.
func TestStatusFitsOnOneScreen(t *testing.T) {
	var b bytes.Buffer
	one := sampleResponses()[1]
	for n := range 550 {
		name := medlargw.TargetName(rune('a' + n))
		one.Status.Dispatch.Targets = append(one.Status.Dispatch.Targets, medlargw.TargetStatus{
			Target: medlargw.Target{Name: name}, State: medlargw.TargetQuarantined,
		})
		one.Status.Dispatch.Queues = append(one.Status.Dispatch.Queues, medlargw.QueueStatus{Team: medlargw.TeamName(name), Tasks: n})
	}
	if err := (Presenter{}).Status(&b, []medlargw.EntryResponse{one}, now); err != nil {
		t.Fatalf("status: %v", err)
	}
	if got, most := strings.Count(b.String(), "\n"), 50; got > most {
		t.Errorf("lines: got %d, want at most %d", got, most)
	}
}

func TestPageIsSelfContained(t *testing.T) {
	var p Presenter
	var s summarizer.Summarizer
	responses := sampleResponses()
	responses[0].Err = errors.New("<script>alert(1)</script>")
	report := s.Summarize(responses, now)
	var b bytes.Buffer
	if err := p.BurnHTML(&b, &report); err != nil {
		t.Fatalf("write: %v", err)
	}
	for _, want := range []string{"<svg", "urgent", "did not answer", "50%"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("page: got no %q", want)
		}
	}
	for _, unwanted := range []string{"<script", "src=", "href=\"http", "@import"} {
		if strings.Contains(b.String(), unwanted) {
			t.Errorf("page: got %q, want none", unwanted)
		}
	}
}
