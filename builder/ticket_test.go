package builder_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

const ticketedJob = `{"service": "check", "deadline": "8s", "tasks": [{"id": "a", "payload": "0123456789abcdef"}]}`

// TestResubmission submits one job twice with one ticket. The ticket's home
// stops or dies between the two submissions.
func TestResubmission(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration // Time from the first submission to the end of the home.
		end   func(home *node)
		want  int    // Status of the second answer.
		body  string // Part of the second answer.
	}{
		{"home stopped after the answer", 2 * time.Second, (*node).stop, http.StatusOK, `"answer":"0123456789abcdef"`},
		{"home stopped while the job runs", 100 * time.Millisecond, (*node).stop, http.StatusOK, `"answer":"0123456789abcdef"`},
		{"home died while the job runs", 100 * time.Millisecond, (*node).kill, http.StatusServiceUnavailable, "home-unreachable"},
		{"home died after the answer", 2 * time.Second, (*node).kill, http.StatusServiceUnavailable, "home-unreachable"},
		{"home died and its host restarted", 100 * time.Millisecond, (*node).restartHost, 0, "home-gone"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed)
				f.addZones(1, 3)
				wait(10 * time.Second)
				home, other := f.nodes[0], f.nodes[1]
				tickets, _ := home.redeemer().Mint("desk", 1)
				request := medlargw.ForwardRequest{
					Ticket: tickets[0], Verb: medlargw.ForwardSubmit, Team: "desk",
					Body: []byte(strings.Replace(ticketedJob, "{", `{"ticket": "`+tickets[0]+`", `, 1)), TimeLeft: 8 * time.Second,
				}
				f.submissions.Go(func() { other.redeemer().Redeem(home.ctx, request) })
				wait(tt.after)
				tt.end(home)
				wait(15 * time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), request.TimeLeft)
				defer cancel()
				reply := other.redeemer().Redeem(ctx, request)
				if tt.want != 0 && reply.Status != tt.want {
					t.Errorf("status: got %d, want %d", reply.Status, tt.want)
				}
				if got := string(reply.Body); !strings.Contains(got, tt.body) {
					t.Errorf("answer: got %s, want one with %s", got, tt.body)
				}
				f.finish()
				if got, want := f.targetPool.totalStarts(), 1; got != want {
					t.Errorf("starts: got %d, want %d", got, want)
				}
			})
		})
	}
}

// restartHost simulates the loss of the node's host and starts a new node of the
// same name.
func (n *node) restartHost() {
	n.kill()
	restarted := n.fleet.addEntry(n.zone)
	restarted.name = n.name
	restarted.start()
}

func (n *node) redeemer() medlargw.Redeemer {
	r, err := registrar.Find[medlargw.Redeemer](n.reg, "keeper")
	if err != nil {
		n.fleet.t.Fatalf("find: %v", err)
	}
	return r
}
