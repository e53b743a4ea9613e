package coordinator_test

import (
	"net/netip"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// reportEnd reports the end of the only started task, and offers it again if the home
// does. It returns the ID of the new offer, zero if there is none.
func (h *fixture) reportEnd(id medlargw.TaskID, e medlargw.TaskReport) medlargw.TaskID {
	h.t.Helper()
	e.Home, e.ID = home, id
	h.c.HandleReport(h.now, &medlargw.Report{From: medlargw.Member{Host: "h", Incarnation: holder.Incarnation}, Tasks: []medlargw.TaskReport{e}})
	for _, o := range h.offers() {
		for i := range o.Offer.Tasks {
			id = o.Offer.Tasks[i].ID
			h.answer(&o, medlargw.OfferStarted)
			return id
		}
	}
	return 0
}

// crashed returns the end of a run under which its target has crashed.
func crashed(target medlargw.TargetName, blame float64) medlargw.TaskReport {
	return medlargw.TaskReport{Event: medlargw.TaskStopped, Target: target, Crash: medlargw.CrashProven, Blame: blame}
}

// TestCrashesOfTask guards against a job that goes on although one of its tasks
// crashes targets, and against one that is failed for the crashes of others.
func TestCrashesOfTask(t *testing.T) {
	ended := func(target medlargw.TargetName, event medlargw.TaskEvent) medlargw.TaskReport {
		return medlargw.TaskReport{Event: event, Target: target}
	}
	early := crashed("t1", 1)
	early.Event = medlargw.TaskStarted
	tests := []struct {
		name string
		ends []medlargw.TaskReport
		want bool // Whether the job is failed.
	}{
		{"one crash", []medlargw.TaskReport{crashed("t1", 1)}, false},
		{"two crashes", []medlargw.TaskReport{crashed("t1", 0.9), crashed("t2", 0.9)}, true},
		{"two crashes, alone in the second", []medlargw.TaskReport{crashed("t1", 0.3), crashed("t2", 1)}, true},
		{"twice the neighbour of another", []medlargw.TaskReport{crashed("t1", 0.1), crashed("t2", 0.2)}, false},
		{"three crashes", []medlargw.TaskReport{crashed("t1", 0.1), crashed("t2", 0.1), crashed("t3", 0.1)}, true},
		{"stopped by a drain", []medlargw.TaskReport{ended("t1", medlargw.TaskStopped), ended("t2", medlargw.TaskStopped), ended("t3", medlargw.TaskStopped)}, false},
		{"a crash between stops", []medlargw.TaskReport{ended("t1", medlargw.TaskStopped), crashed("t2", 1), ended("t3", medlargw.TaskStopped)}, false},
		{"one crash that is told twice", []medlargw.TaskReport{early, crashed("t1", 1)}, false},
		{"a crash that was withdrawn", []medlargw.TaskReport{early, ended("t1", medlargw.TaskStopped), crashed("t2", 1)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			id := h.submitStarted(1).Offer.Tasks[0].ID
			for _, e := range test.ends {
				if next := h.reportEnd(id, e); next != 0 {
					id = next
				}
			}
			finished := h.c.TakeActions(h.now).Finished
			got := h.c.JobCount() == 0
			if got != test.want {
				t.Fatalf("job failed: got %v, want %v", got, test.want)
			}
			if got && len(finished) == 1 && finished[0].Outcome.Code != medlargw.CodeTaskFailed {
				t.Errorf("code: got %q, want %q", finished[0].Outcome.Code, medlargw.CodeTaskFailed)
			}
		})
	}
}

// TestLateProofOfCrash guards against crashes that nobody counts since the target was
// silent until the lease ended: the host list shows them later, and shows too that a
// target was only cut off.
func TestLateProofOfCrash(t *testing.T) {
	addr, born := netip.MustParseAddrPort("10.1.0.7:80"), start.Add(-time.Minute)
	first := medlargw.Target{Name: "t1", Pool: "pool", Addr: addr, IncarnationStart: born}
	reborn := first
	reborn.IncarnationStart = start.Add(time.Second)
	successor := reborn
	successor.Name = "t9"
	other := successor
	other.Addr = netip.MustParseAddrPort("10.1.0.8:80")
	draining := first
	draining.Draining = true
	tests := []struct {
		name  string
		lists [][]medlargw.Target // A second apart.
		want  bool                // Whether the crash counts: the next one fails the job.
	}{
		{"started again under its name", [][]medlargw.Target{{first}, {reborn}}, true},
		{"lapsed, then another at its address", [][]medlargw.Target{{first}, {}, {successor}}, true},
		{"listed again by several entries", [][]medlargw.Target{{reborn}, {reborn}, {reborn}}, true},
		{"lapsed only", [][]medlargw.Target{{first}, {}, {}}, false},
		{"lapsed, another at another address", [][]medlargw.Target{{first}, {}, {other}}, false},
		{"back as it was", [][]medlargw.Target{{}, {first}, {first}}, false},
		{"drained", [][]medlargw.Target{{draining}, {}, {}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			setTargets := func(targets []medlargw.Target) {
				h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder}, Targets: targets})
			}
			setTargets([]medlargw.Target{first})
			id := h.submitStarted(1).Offer.Tasks[0].ID
			id = h.reportEnd(id, medlargw.TaskReport{Event: medlargw.TaskStopped, Target: "t1", Crash: medlargw.CrashPossible, Blame: 1})
			for _, list := range test.lists {
				h.now = h.now.Add(time.Second)
				setTargets(list)
			}
			h.c.SetFreeResources(h.now, holder.Incarnation, freeResources(100, 2))
			h.reportEnd(id, crashed("t2", 1))
			if got := h.c.JobCount() == 0; got != test.want {
				t.Errorf("job failed after one more crash: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestLikelyCrashes guards against a job that is failed for cuts that refuse connections,
// and against a task that is started on a third target before it is known whether it has
// crashed two. The first target was back as a new incarnation or is listed as it was.
func TestLikelyCrashes(t *testing.T) {
	addr, born := netip.MustParseAddrPort("10.1.0.7:80"), start.Add(-time.Minute)
	first := medlargw.Target{Name: "t1", Pool: "pool", Addr: addr, IncarnationStart: born}
	second := medlargw.Target{Name: "t2", Pool: "pool", IncarnationStart: born}
	reborn, rebornSecond := first, second
	reborn.IncarnationStart, rebornSecond.IncarnationStart = start.Add(time.Second), start.Add(time.Second)
	tests := []struct {
		name    string
		list    []medlargw.Target
		failed  bool
		offered bool // Within 8 s.
	}{
		{"both crashed", []medlargw.Target{reborn, rebornSecond}, true, false},
		{"one crashed", []medlargw.Target{reborn, second}, false, true},
		{"both were cut off", []medlargw.Target{first, second}, false, true},
		{"both have left the list", nil, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newFixture(t)
			setTargets := func(targets []medlargw.Target) {
				h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder}, Targets: targets})
				h.c.SetFreeResources(h.now, holder.Incarnation, freeResources(uint64(100+h.now.Sub(start)), 2))
			}
			setTargets([]medlargw.Target{first, second})
			j := job(1)
			j.Deadline = h.now.Add(time.Minute)
			h.c.Submit(h.now, j)
			offer := h.offers()[0]
			h.answer(&offer, medlargw.OfferStarted)
			id := offer.Offer.Tasks[0].ID
			for _, name := range []medlargw.TargetName{"t1", "t2"} {
				if id == 0 {
					t.Fatalf("offer before the run on %s: got none, want one", name)
				}
				h.c.SetFreeResources(h.now, holder.Incarnation, freeResources(uint64(50+len(name)), 2))
				id = h.reportEnd(id, medlargw.TaskReport{Event: medlargw.TaskStopped, Target: name, Crash: medlargw.CrashLikely, Blame: 0.9})
			}
			if id != 0 || h.c.JobCount() != 1 {
				t.Errorf("after two likely crashes: got offer %d and %d jobs, want a job that waits", id, h.c.JobCount())
			}
			offered := false
			h.advance(8*time.Second, func() {
				setTargets(test.list)
				for _, o := range h.offers() {
					offered = offered || len(o.Offer.Tasks) > 0
				}
			})
			if got := h.c.JobCount() == 0; got != test.failed {
				t.Errorf("job failed: got %v, want %v", got, test.failed)
			}
			if offered != test.offered {
				t.Errorf("offered again: got %v, want %v", offered, test.offered)
			}
		})
	}
}

// TestLostHolderOfCrashedTarget guards against crashes that are forgotten with the
// holder: the target crashes and its holder is lost before it tells.
func TestLostHolderOfCrashedTarget(t *testing.T) {
	h := newFixture(t)
	target := medlargw.Target{Name: "t1", Pool: "pool", IncarnationStart: start.Add(-time.Minute)}
	h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder}, Targets: []medlargw.Target{target}})
	id := h.submitStarted(1).Offer.Tasks[0].ID
	h.c.HandleReport(h.now, &medlargw.Report{
		From:  medlargw.Member{Host: "h", Incarnation: holder.Incarnation},
		Tasks: []medlargw.TaskReport{{Home: home, ID: id, Event: medlargw.TaskStarted, Target: "t1"}},
	})
	next := medlargw.Peer{Host: "i", Zone: "z", Incarnation: 3}
	target.IncarnationStart = start.Add(time.Second)
	var offered medlargw.TaskID
	h.advance(3*time.Second, func() {
		h.c.SetGroup(h.now, medlargw.Group{Entries: []medlargw.Peer{holder, next}, Targets: []medlargw.Target{target}})
		h.c.SetFreeResources(h.now, next.Incarnation, freeResources(uint64(h.now.Sub(start)), 2))
		for _, o := range h.offers() {
			if o.To.Incarnation == next.Incarnation && len(o.Offer.Tasks) > 0 {
				offered = o.Offer.Tasks[0].ID
			}
			if o.To.Incarnation == next.Incarnation {
				h.answer(&o, medlargw.OfferStarted)
			}
		}
	})
	if offered == 0 {
		t.Fatal("offer to the next holder: got none, want one")
	}
	e := crashed("t2", 1)
	e.Home, e.ID = home, offered
	h.c.HandleReport(h.now, &medlargw.Report{From: medlargw.Member{Host: "i", Incarnation: next.Incarnation}, Tasks: []medlargw.TaskReport{e}})
	if got := h.c.JobCount(); got != 0 {
		t.Errorf("jobs after the second crash: got %d, want 0", got)
	}
}

// TestTaskThatTargetsReject guards against a task that is offered to target after target
// although none of them understands its order.
func TestTaskThatTargetsReject(t *testing.T) {
	h := newFixture(t)
	id := h.submitStarted(1).Offer.Tasks[0].ID
	for range 2 {
		if h.c.JobCount() == 0 {
			t.Fatal("job ended: got it after the first rejection, want two attempts")
		}
		id = h.reportEnd(id, medlargw.TaskReport{Event: medlargw.TaskReturned, Target: "t1", Reason: medlargw.ReasonInvalid})
	}
	if got := h.c.JobCount(); got != 0 || id != 0 {
		t.Errorf("jobs after the second rejection: got %d and offer %d, want none", got, id)
	}
}

// TestHolderThatQueuesNoSuspect guards against an entry that stands still: it offers a
// task to its own queue, which refuses it, and offers it again at the same time. The
// holder sets its targets apart for others, or has none left for suspects.
func TestHolderThatQueuesNoSuspect(t *testing.T) {
	h := newFixture(t)
	id := h.submitStarted(1).Offer.Tasks[0].ID
	e := crashed("t1", 0.9)
	e.Home, e.ID = home, id
	h.c.HandleReport(h.now, &medlargw.Report{From: medlargw.Member{Host: "h", Incarnation: holder.Incarnation}, Tasks: []medlargw.TaskReport{e}})
	offers := 0
	for at := time.Duration(0); at < 200*time.Millisecond; at += 20 * time.Millisecond {
		for range 20 {
			for _, o := range h.offers() {
				if len(o.Offer.Tasks) > 0 {
					offers++
				}
				h.answer(&o, medlargw.OfferRefused)
			}
		}
		h.now = h.now.Add(20 * time.Millisecond)
		h.c.Tick(h.now)
	}
	if offers == 0 || offers > 10 {
		t.Errorf("offers in 200ms: got %d, want 1 to 10", offers)
	}
}
