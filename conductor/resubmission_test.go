package conductor_test

import (
	"context"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestResubmissionWaitsForFormerRuns guards against a task alive twice: the connection
// of a caller ends, and the caller submits its job to the same entry again while the
// runs of the job go on, since a cancel or a stop has not arrived yet.
func TestResubmissionWaitsForFormerRuns(t *testing.T) {
	const (
		tasks = 10 // As many as fit on the targets of one entry.
		work  = 600 * time.Millisecond
		cut   = 300 * time.Millisecond
	)
	tests := []struct {
		name string
		cut  func(cl *cluster, down bool)
	}{
		{"cancels are lost", func(cl *cluster, down bool) {
			cl.setHostDown("a1", "b1", down)
			cl.setHostDown("a1", "c1", down)
		}},
		{"stops are lost", func(cl *cluster, down bool) {
			cl.setHostDown("b1", "b1-t0", down)
			cl.setHostDown("b1", "b1-t1", down)
			cl.setHostDown("c1", "c1-t0", down)
			cl.setHostDown("c1", "c1-t1", down)
		}},
		{"nothing is lost", func(*cluster, bool) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 1, []string{"a1", "b1", "c1"}, func(cl *cluster) {
				home := cl.entries[0].conductor
				cl.submit(cl.entries[0], "other", tasks, 150*time.Millisecond, 14000) // The job has runs at other holders.
				time.Sleep(20 * time.Millisecond)
				ctx, leave := context.WithCancel(context.Background())
				time.AfterFunc(200*time.Millisecond, func() { test.cut(cl, true) })
				time.AfterFunc(201*time.Millisecond, leave)
				time.AfterFunc(201*time.Millisecond+cut, func() { test.cut(cl, false) })
				home.Submit(ctx, cl.newJob("job", tasks, work, 14000))
				time.Sleep(25 * time.Millisecond)
				got := home.Submit(context.Background(), cl.newJob("job", tasks, work, 14000))
				if !got.Complete {
					t.Errorf("second submission: got %+v, want a complete job", got)
				}
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// TestResubmissionWaitsForLateStartOrder guards against a task alive twice: a target
// carries a start order out 1.7 s late, after its sender has lost it from sight, and the
// job was given up and submitted again to its home in the meantime.
func TestResubmissionWaitsForLateStartOrder(t *testing.T) {
	const (
		tasks = 4
		work  = 600 * time.Millisecond
		late  = 1700 * time.Millisecond
	)
	runCluster(t, 1, []string{"a1", "b1"}, func(cl *cluster) {
		home := cl.entries[0].conductor
		var own []medlargw.TargetName
		for _, target := range cl.sim.targets.Targets() {
			if target.Zone == "a" {
				own = append(own, target.Name)
			}
		}
		setFaults := func(f medlargw.TargetFaults) {
			for _, name := range own {
				cl.sim.targets.SetFaults(name, f)
			}
		}
		cut := func(down bool) {
			for _, name := range own {
				cl.setHostDown("a1", string(name), down)
			}
		}
		setFaults(medlargw.TargetFaults{GrantDelay: late})
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, func() { cut(true) })
		time.AfterFunc(50*time.Millisecond, leave)
		time.AfterFunc(late+300*time.Millisecond, func() {
			setFaults(medlargw.TargetFaults{})
			cut(false)
		})
		home.Submit(ctx, cl.newJob("job", tasks, work, 14000))
		time.Sleep(resendAfter)
		home.Submit(context.Background(), cl.newJob("job", tasks, work, 14000))
		for _, violation := range cl.sim.targets.Violations() {
			t.Error(violation)
		}
	})
}
