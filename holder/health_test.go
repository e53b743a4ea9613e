package holder_test

import (
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// worker offers tasks one after the other and ends their runs.
type worker struct {
	*fixture
	last medlargw.TaskID
}

func (w *worker) wait(d time.Duration) {
	w.now = w.now.Add(d)
	w.report(medlargw.RunReport{Clock: w.now.Sub(start)})
}

// run offers a task, ends its run after the duration and reports whether the task
// was started.
func (w *worker) run(d time.Duration, kind medlargw.RunEndKind) bool {
	w.t.Helper()
	w.last++
	state, a := w.offer(w.last, 8000)
	if state != medlargw.OfferStarted {
		return false
	}
	w.h.StartAnswered(w.now, &a.Starts[0], medlargw.OrderReply{Clock: w.now.Sub(start)}, nil)
	w.now = w.now.Add(d)
	end := medlargw.RunEnd{Sequence: uint64(w.last), Run: a.Starts[0].Order.Run, Kind: kind}
	w.report(medlargw.RunReport{Clock: w.now.Sub(start), Ended: []medlargw.RunEnd{end}})
	return true
}

// runSlowly offers a task of 100 ms of which a tenth is done after 400 ms, and ends
// its run when the holder stops it.
func (w *worker) runSlowly() {
	w.t.Helper()
	w.last++
	_, a := w.offer(w.last, 8000)
	if len(a.Starts) == 0 {
		return
	}
	run := a.Starts[0].Order.Run
	w.h.StartAnswered(w.now, &a.Starts[0], medlargw.OrderReply{Clock: w.now.Sub(start)}, nil)
	w.now = w.now.Add(400 * time.Millisecond)
	w.report(medlargw.RunReport{Clock: w.now.Sub(start), Active: []medlargw.ActiveRun{{Run: run, Percent: 10}}})
	end := medlargw.RunEnd{Sequence: uint64(w.last), Run: run, Kind: medlargw.RunStopped}
	w.report(medlargw.RunReport{Clock: w.now.Sub(start), Ended: []medlargw.RunEnd{end}})
}

// TestPartlyFailingTarget has a target fail each third run at once. A target that
// ends its runs early is always free, and so would get most of the work.
func TestPartlyFailingTarget(t *testing.T) {
	w := &worker{fixture: newFixture(t)}
	for i := range 9 {
		kind := medlargw.RunSucceeded
		if i%3 == 2 {
			kind = medlargw.RunFailed
		}
		for tries := 0; !w.run(10*time.Millisecond, kind); tries++ {
			if tries > 100 {
				t.Fatalf("run %d: the target is still paused", i)
			}
			w.wait(100 * time.Millisecond)
		}
	}
	w.wait(400 * time.Millisecond)
	if w.run(10*time.Millisecond, medlargw.RunSucceeded) {
		t.Error("400 ms after the third failure in nine runs: got a start, want a longer pause than after a first failure")
	}
}

// TestSlowTargetIsProbed has a target that was five times too slow for two jobs
// recover. It takes one run until that ends in usual time.
func TestSlowTargetIsProbed(t *testing.T) {
	w := &worker{fixture: newFixture(t)}
	for range 6 {
		w.runSlowly()
	}
	if got := len(w.h.FreeResources(w.now).Pools[0].Free); got != 0 {
		t.Fatalf("free targets after slow runs: got %d, want 0", got)
	}
	for range 40 {
		w.wait(100 * time.Millisecond)
	}
	w.last++
	state, probe := w.offer(w.last, 8000)
	if state != medlargw.OfferStarted {
		t.Fatalf("target that was slow 4 s ago: got %v, want a probe", state)
	}
	w.last++
	if state, _ := w.offer(w.last, 8000); state == medlargw.OfferStarted {
		t.Error("during the probe: got a second start, want none")
	}
	w.h.StartAnswered(w.now, &probe.Starts[0], medlargw.OrderReply{Clock: w.now.Sub(start)}, nil)
	w.now = w.now.Add(100 * time.Millisecond)
	end := medlargw.RunEnd{Sequence: 100, Run: probe.Starts[0].Order.Run, Kind: medlargw.RunSucceeded}
	w.report(medlargw.RunReport{Clock: w.now.Sub(start), Ended: []medlargw.RunEnd{end}})
	for i := range 2 {
		w.last++
		if state, _ := w.offer(w.last, 8000); state != medlargw.OfferStarted {
			t.Errorf("start %d after the probe: got %v, want %v", i, state, medlargw.OfferStarted)
		}
	}
}
