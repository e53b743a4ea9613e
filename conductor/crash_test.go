package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestTaskThatCrashesTargetsIsGivenUp guards against a task that crashes target
// after target: neither the loss of holders, transfers of targets, holders of another
// zone nor crashes that are known late only make its home start it again and again.
func TestTaskThatCrashesTargetsIsGivenUp(t *testing.T) {
	tests := []struct {
		name    string
		tasks   int                            // Of the job; the first one crashes targets.
		silent  bool                           // The crashes are known only when the targets are back.
		disturb func(cl *cluster, crashes int) // After each crash.
	}{
		{"holders stay", 2, false, func(*cluster, int) {}},
		{"silent crashes", 2, true, func(*cluster, int) {}},
		{"holders are lost", 2, true, func(cl *cluster, crashes int) {
			if crashes <= 2 {
				cl.stop(cl.entries[crashes])
			}
		}},
		{"targets are transferred", 2, false, func(cl *cluster, crashes int) { cl.setGroups(cl.entries[1+crashes%3]) }},
		// A task beside it could lose its target to the holder that is cut off.
		{"a holder is cut off from the home", 1, false, func(cl *cluster, crashes int) {
			if crashes <= 2 {
				cl.setHostDown("a1", cl.entries[crashes].host, true)
			}
		}},
		{"holders of another zone", 2, false, nil},
	}
	for _, test := range tests {
		for seed := range seeds() {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				runCluster(t, seed, []string{"a1", "a2", "b1", "b2"}, func(cl *cluster) {
					cl.sim.silentCrashes = test.silent
					if test.disturb == nil {
						cl.cutOwnTargets()
						test.disturb = func(*cluster, int) {}
					}
					cl.checkDeadlyTask(test.tasks, test.disturb)
				})
			})
		}
	}
}

// cutOwnTargets cuts the targets of the first zone off from all entries.
func (cl *cluster) cutOwnTargets() {
	for _, target := range cl.sim.targets.Targets() {
		for _, e := range cl.entries {
			if target.Zone == cl.entries[0].peer.Zone {
				cl.setHostDown(e.host, string(target.Name), true)
			}
		}
	}
	time.Sleep(2 * time.Second)
}

// checkDeadlyTask submits a job, the first task of which crashes each target that starts
// it, and checks that the job is answered as failed as soon as enough crashes are known.
func (cl *cluster) checkDeadlyTask(tasks int, disturb func(cl *cluster, crashes int)) {
	const deadline = 20 * time.Second
	t, deadly := cl.sim.t, "deadly.0"
	job := cl.newJob("deadly", tasks, 300*time.Millisecond, 14000)
	job.Deadline = time.Now().Add(deadline)
	job.SlackFactor = 60
	cl.withLock(func() {
		work := cl.sim.taskWork[deadly]
		work.Downtime = 3 * time.Second
		cl.sim.taskWork[deadly] = work
	})
	outcomes := make(chan medlargw.Outcome, 1)
	go func() { outcomes <- cl.entries[0].conductor.Submit(context.Background(), job) }()
	crashes := 0
	for waited := time.Duration(0); waited < deadline+time.Second; waited += 10 * time.Millisecond {
		time.Sleep(10 * time.Millisecond)
		select {
		case o := <-outcomes:
			if o.Code != medlargw.CodeTaskFailed {
				t.Errorf("outcome: got %q (%s), want %q", o.Code, o.Message, medlargw.CodeTaskFailed)
			}
			if got, want := cl.sim.targets.Crashes(deadly), 4; got > want {
				t.Errorf("crashes: got %d, want at most %d", got, want)
			}
			for _, violation := range cl.sim.targets.Violations() {
				t.Error(violation)
			}
			return
		default:
		}
		if n := cl.sim.targets.Crashes(deadly); n != crashes {
			crashes = n
			disturb(cl, crashes)
		}
		if waited%time.Second == 0 {
			cl.setGroups() // The host list is read each second.
		}
	}
	t.Errorf("outcome: got none within %v, want one", deadline)
}

// TestCutThatRefusesIsNoCrash guards against a job that is told that its task has failed
// although the task is sound: two targets that run it are cut off in turn, and connections
// to them are refused meanwhile.
func TestCutThatRefusesIsNoCrash(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, seed, []string{"a1", "a2", "b1", "b2"}, func(cl *cluster) {
				job := cl.newJob("sound", 1, 900*time.Millisecond, 14000)
				job.Deadline = time.Now().Add(20 * time.Second)
				job.SlackFactor = 60
				cuts := 0
				cl.sim.started = func(name medlargw.TargetName) {
					if cuts++; cuts <= 2 {
						cl.sim.refused[name] = time.Now().Add(3 * time.Second)
					}
				}
				stop := make(chan struct{})
				defer close(stop)
				go func() { // The host list is read each second.
					for {
						select {
						case <-stop:
							return
						case <-time.After(time.Second):
							cl.setGroups()
						}
					}
				}()
				if o := cl.entries[0].conductor.Submit(context.Background(), job); !o.Complete || cuts < 3 {
					t.Errorf("outcome: got code %q (%s) after %d starts, want it complete after 3", o.Code, o.Message, cuts)
				}
				for _, violation := range cl.sim.targets.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// TestServiceThatCrashesTargetsIsConfined guards against one kind of jobs that takes
// the targets of all others with it. The load: 50 jobs a second of one short task, a
// tenth of which crashes its target for 3 s, beside 40 a second of two tasks of 300 ms,
// on 20 targets of 12 zones and entries alike. Nearly all of the others are complete,
// and few targets are down, while without confinement most targets fall.
func TestServiceThatCrashesTargetsIsConfined(t *testing.T) {
	type result struct {
		others float64 // Share of the jobs of the other kind that are complete.
		down   float64 // Mean share of the targets that are down.
	}
	play := func(t *testing.T, quiet time.Duration) (r result) {
		runClusterWith(t, 7, []string{"a1", "a2", "b1", "b2"}, func(cl *cluster) { cl.quiet = quiet }, func(cl *cluster) {
			const length = 12 * time.Second
			type tally struct{ complete, all int }
			var others tally
			samples, down := 0, 0
			submit := func(key string, tasks int, work time.Duration, deadly bool) {
				e := cl.pickAlive(cl.sim.rand.IntN(1 << 20))
				job := cl.newJob(key, tasks, work, 14000)
				if deadly {
					cl.withLock(func() {
						work := cl.sim.taskWork[key+".0"]
						work.Downtime = 3 * time.Second
						cl.sim.taskWork[key+".0"] = work
					})
				}
				go func() {
					o := e.conductor.Submit(context.Background(), job)
					cl.withLock(func() {
						if tasks == 2 {
							others.all++
							if o.Complete {
								others.complete++
							}
						}
					})
				}()
			}
			n := 0
			for at := time.Duration(0); at < length; at += 20 * time.Millisecond {
				n++
				submit(fmt.Sprintf("short%d", n), 1, 60*time.Millisecond, n%10 == 0)
				if n%5 != 0 {
					submit(fmt.Sprintf("other%d", n), 2, 300*time.Millisecond, false)
				}
				if at%time.Second == 0 {
					cl.setGroups()
				}
				if at > length/3 {
					for _, target := range cl.sim.targets.Targets() {
						samples++
						if cl.sim.targets.IsDown(target.Name) {
							down++
						}
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			for _, violation := range cl.sim.targets.Violations() {
				t.Error(violation)
			}
			r = result{others: float64(others.complete) / float64(others.all), down: float64(down) / float64(samples)}
		})
		return r
	}
	without, with := play(t, 0), play(t, leaseSettings().Quiet)
	t.Logf("other jobs complete %.3f and %.3f, targets down %.3f and %.3f, without and with confinement", without.others, with.others, without.down, with.down)
	if with.others < 0.95 {
		t.Errorf("other jobs complete: got %.3f, want at least 0.95", with.others)
	}
	if with.down > 1.0/3 {
		t.Errorf("targets down: got %.3f, want at most a third", with.down)
	}
	if without.others > with.others || without.down < with.down {
		t.Errorf("without confinement: got %.3f of the other jobs complete and %.3f of the targets down, want fewer and more than %.3f and %.3f",
			without.others, without.down, with.others, with.down)
	}
}
