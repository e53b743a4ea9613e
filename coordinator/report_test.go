package coordinator_test

import (
	"testing"

	"medlargw.example/medlargw"
)

// TestLateStartReportOfFormerHolder guards against a second run of a task: the report of
// its start by a holder that has handed the run over since comes after that of the new
// holder, so that the home asks the wrong one for the run, and counts the run as ended
// when that one is lost. A holder that gets the run back has it.
func TestLateStartReportOfFormerHolder(t *testing.T) {
	tests := []struct {
		name   string
		reason string // Of the report of the former holder.
		want   int    // Offers after the new holder has told the end.
	}{
		{"late report of the start", "", 1},
		{"handed back", medlargw.ReasonHandedOver, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			successor := medlargw.Peer{Host: "successor", Zone: "z", Incarnation: 3}
			h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder, successor}})
			id := h.submitStarted(1).Offer.Tasks[0].ID
			report := func(from medlargw.Peer, event medlargw.TaskEvent, reason string) {
				h.c.HandleReport(h.now, &medlargw.Report{
					From:  medlargw.Member{Host: from.Host, Incarnation: from.Incarnation},
					Tasks: []medlargw.TaskReport{{Home: home, ID: id, Event: event, Reason: reason}},
				})
			}
			report(successor, medlargw.TaskStarted, medlargw.ReasonHandedOver)
			report(holder, medlargw.TaskStarted, test.reason)
			report(successor, medlargw.TaskStopped, "stopped by the target")
			got := 0
			for _, o := range h.offers() {
				got += len(o.Offer.Tasks)
			}
			if got != test.want {
				t.Errorf("offers after the end at the new holder: got %d, want %d", got, test.want)
			}
		})
	}
}
