package holder_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// TestCrashOfTarget guards against the end of a target that is taken for a crash by its
// tasks although it was planned, or the target was only cut off or lost channels, and
// against a crash that is not reported.
func TestCrashOfTarget(t *testing.T) {
	refused := fmt.Errorf("dial: %w", medlargw.ErrConnectionRefused)
	closed := fmt.Errorf("read: %w", medlargw.ErrConnectionClosed)
	silent := errors.New("no answer")
	same := medlargw.RunReport{Clock: 5 * time.Second, IncarnationStart: start}
	reborn := medlargw.RunReport{Clock: 10 * time.Millisecond, IncarnationStart: start.Add(2 * time.Second)}
	tests := []struct {
		name     string
		draining bool
		errs     []error             // Of the next renewals.
		report   *medlargw.RunReport // After them; nil is none until the lease ends.
		early    bool                // Whether the crash is reported before the end of the run.
		want     medlargw.CrashState
	}{
		{"closes and refuses connections", false, []error{closed, refused}, nil, false, medlargw.CrashLikely},
		{"refuses connections, and is back as a new incarnation", false, []error{closed, refused}, &reborn, true, medlargw.CrashProven},
		{"is back as a new incarnation", false, []error{silent}, &reborn, true, medlargw.CrashProven},
		{"is silent", false, []error{silent, silent}, nil, false, medlargw.CrashPossible},
		{"closes connections, then is silent", false, []error{closed, silent}, nil, false, medlargw.CrashPossible},
		{"ends after a drain", true, []error{closed, refused}, nil, false, medlargw.CrashNone},
		{"loses channels and answers", false, []error{closed}, &same, false, medlargw.CrashNone},
		{"something refuses connections for a moment", false, []error{refused}, &same, false, medlargw.CrashNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newFixture(t)
			_, a := x.offer(1, 14000)
			order := a.Starts[0]
			x.h.StartAnswered(x.now, &order, medlargw.OrderReply{Clock: time.Second}, nil)
			if test.draining {
				x.setDraining()
			}
			x.now = x.now.Add(10 * time.Millisecond)
			var reports []medlargw.TaskReport
			for _, err := range test.errs {
				x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, err)
				reports = append(reports, x.wait(200*time.Millisecond)...)
			}
			if test.report != nil {
				reports = append(reports, x.report(*test.report).Reports...)
			}
			if test.report == &same {
				ended := same
				ended.Ended = []medlargw.RunEnd{{Sequence: 1, Run: order.Order.Run, Kind: medlargw.RunStopped}}
				reports = append(reports, x.report(ended).Reports...)
			} else {
				reports = append(reports, x.wait(2*time.Second)...)
			}
			early, last := false, medlargw.TaskReport{}
			for _, e := range reports {
				early = early || e.Event == medlargw.TaskStarted && e.Crash == medlargw.CrashProven
				if e.Event.Terminal() {
					last = e
				}
			}
			if early != test.early {
				t.Errorf("crash reported before the end: got %v, want %v", early, test.early)
			}
			if last.Event != medlargw.TaskStopped || last.Crash != test.want {
				t.Errorf("end: got %v with crash %v, want %v with %v", last.Event, last.Crash, medlargw.TaskStopped, test.want)
			}
		})
	}
}

// setDraining marks the target as draining in the host list.
func (x *fixture) setDraining() {
	x.h.SetGroup(x.now, medlargw.Group{
		Entries: []medlargw.Peer{{Host: self.Host, Zone: self.Zone, Incarnation: self.Incarnation}},
		Targets: []medlargw.Target{{Name: "t", Zone: "z", Pool: "pool", Resources: medlargw.Resources{Cores: 32000, Memory: 1000}, Draining: true}},
	})
}

// wait moves the clock forward in steps of a tick, with a home that lives, and returns
// the reports.
func (x *fixture) wait(d time.Duration) []medlargw.TaskReport {
	var reports []medlargw.TaskReport
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(20 * time.Millisecond)
		x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
		x.h.Tick(x.now)
		reports = append(reports, x.takeActions().Reports...)
	}
	return reports
}

// TestBlameForCrash guards against neighbours that are blamed for the crash of a target
// by another task: the youngest run has most of the blame, and no run has any when
// several targets break at once.
func TestBlameForCrash(t *testing.T) {
	x := newLoggedFixture(t, zap.NewNop())
	_, a := x.offer(1, 14000)
	x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: time.Second}, nil)
	x.now = x.now.Add(100 * time.Millisecond)
	_, a = x.offer(2, 14000)
	x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: time.Second}, nil)
	x.now = x.now.Add(10 * time.Millisecond)
	x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, medlargw.ErrConnectionRefused)
	blame := map[medlargw.TaskID]float64{}
	for _, e := range x.wait(3 * time.Second) {
		if e.Event.Terminal() {
			blame[e.ID] = e.Blame
		}
	}
	if blame[2] < 0.75 || blame[1] > 0.25 {
		t.Errorf("blame of a young and an old run: got %.2f and %.2f, want at least 0.75 and at most 0.25", blame[2], blame[1])
	}
}

// TestLeaseOfCrashedTarget guards against neighbours that wait too long: renewals that
// a crashed target refuses must not put off the end of its lease, after which the
// runs can start elsewhere. It guards against runs that start elsewhere too early too: the
// renewal whose connection was closed may be carried out until the lease of before ends,
// and its lease count from then.
func TestLeaseOfCrashedTarget(t *testing.T) {
	lease, drift, tick := 800*time.Millisecond, 0.025, 10*time.Millisecond
	least := 2 * lease
	most := time.Duration(float64(2*lease+medlargw.ClockRounding)/(1-drift)) + 2*tick
	x := newFixture(t)
	x.now = x.now.Add(300 * time.Millisecond) // The claim has granted more than a renewal does.
	x.report(medlargw.RunReport{Clock: 1300 * time.Millisecond, IncarnationStart: start})
	_, a := x.offer(1, 14000)
	x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: 1300 * time.Millisecond}, nil)
	sent := x.now
	x.now = x.now.Add(10 * time.Millisecond)
	x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, medlargw.ErrConnectionClosed)
	for x.now.Sub(sent) < 3*time.Second {
		x.now = x.now.Add(10 * time.Millisecond)
		x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}})
		x.h.Tick(x.now)
		a := x.takeActions()
		for _, e := range a.Reports {
			if got := x.now.Sub(sent); e.Event == medlargw.TaskStopped && (got < least || got > most) {
				t.Errorf("end of the run: got it %v after the last renewal, want %v to %v", got, least, most)
			}
			if e.Event == medlargw.TaskStopped {
				return
			}
		}
		if len(a.Renewals) > 0 {
			x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, medlargw.ErrConnectionRefused)
		}
	}
	t.Error("end of the run: got none, want one")
}

// TestCrashUnderUnansweredStart guards against crashes that are not counted since the
// answer to the start was lost with them: the target is back before its lease ends, and
// the run is returned as one that is not there.
func TestCrashUnderUnansweredStart(t *testing.T) {
	x := newFixture(t)
	_, a := x.offer(1, 14000)
	order := a.Starts[0]
	x.now = x.now.Add(10 * time.Millisecond)
	x.h.StartAnswered(x.now, &order, medlargw.OrderReply{}, errors.New("no answer"))
	stop := x.takeActions().Stops[0]
	x.h.RenewAnswered(x.now, x.now, &x.renewal, &medlargw.RunReport{}, errors.New("no answer"))
	x.now = x.now.Add(600 * time.Millisecond)
	x.h.StopAnswered(x.now, &stop, medlargw.OrderReply{Clock: 10 * time.Millisecond}, nil)
	x.wait(100 * time.Millisecond)
	a = x.report(medlargw.RunReport{Clock: 100 * time.Millisecond, IncarnationStart: start.Add(time.Second)})
	var last medlargw.TaskReport
	for _, e := range a.Reports {
		if e.Event.Terminal() {
			last = e
		}
	}
	if last.Event != medlargw.TaskReturned || last.Crash != medlargw.CrashProven {
		t.Errorf("end of the run: got %v with crash %v, want %v with %v", last.Event, last.Crash, medlargw.TaskReturned, medlargw.CrashProven)
	}
}
