package conductor_test

import (
	"fmt"
	"testing"
	"time"
)

// TestSlowIsNotLost pauses a home, a holder or the link between them, alone and two
// at once, while runs are under way that have no time for a second attempt. All
// entries live, so every job completes with its first attempt. The pauses are below
// those after which runs must have ended: of a home, its silence less a keepalive,
// and of a holder, what is left of the leases.
func TestSlowIsNotLost(t *testing.T) {
	const homePause, pause = 350 * time.Millisecond, 620 * time.Millisecond
	freezeHome := func(cl *cluster) { cl.entries[0].clock.freeze(homePause) }
	freezeHolder := func(cl *cluster) { cl.entries[1].clock.freeze(pause) }
	cut := func(cl *cluster) {
		cl.sim.setLinkDown("a2", "a1", true)
		time.AfterFunc(pause, func() { cl.sim.setLinkDown("a2", "a1", false) })
	}
	tests := []struct {
		name  string
		fault func(cl *cluster)
	}{
		{"nothing", func(*cluster) {}},
		{"the home pauses", freezeHome},
		{"the holder pauses", freezeHolder},
		{"answers of the holder are lost", cut},
		{"home and holder pause", func(cl *cluster) { freezeHome(cl); freezeHolder(cl) }},
		{"the holder pauses and its answers are lost", func(cl *cluster) { freezeHolder(cl); cut(cl) }},
		{"the home pauses and the answers of the holder are lost", func(cl *cluster) { freezeHome(cl); cut(cl) }},
	}
	for _, tt := range tests {
		for after := 200 * time.Millisecond; after <= 260*time.Millisecond; after += 10 * time.Millisecond {
			t.Run(fmt.Sprintf("%s after %v", tt.name, after), func(t *testing.T) {
				runCluster(t, 0, []string{"a1", "a2"}, func(cl *cluster) {
					const jobs = 10
					complete := make(chan bool, jobs)
					for i := range jobs {
						go func() {
							o := cl.submitOnce(cl.entries[0], fmt.Sprintf("job%d", i), 2, 1300*time.Millisecond, 14000)
							if !o.Complete {
								t.Logf("job %d: %s, %s", i, o.Code, o.Message)
							}
							complete <- o.Complete
						}()
					}
					time.Sleep(after)
					tt.fault(cl)
					got := 0
					for range jobs {
						if <-complete {
							got++
						}
					}
					if got != jobs {
						t.Errorf("complete jobs: got %d, want %d", got, jobs)
					}
					for _, violation := range cl.sim.targets.Violations() {
						t.Error(violation)
					}
				})
			})
		}
	}
}
