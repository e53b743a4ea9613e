package dispatcher

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accountant"
	"medlargw.example/medlargw/decider"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/limiter"
	"medlargw.example/medlargw/placer"
	"medlargw.example/medlargw/scheduler"
)

// fakeSender ends each attempt with a fixed result after a delay, or when the
// attempt is cancelled.
type fakeSender struct {
	delay time.Duration
	end   medlargw.AttemptEnd
}

func (f *fakeSender) Send(ctx context.Context, _ *medlargw.Attempt) medlargw.AttemptEnd {
	select {
	case <-time.After(f.delay):
		return f.end
	case <-ctx.Done():
		return medlargw.AttemptEnd{Kind: medlargw.EndLost, Reason: medlargw.ReasonCancelled}
	}
}

func newDispatcher(s medlargw.Sender) *Dispatcher {
	settings := medlargw.Settings{
		Intake: medlargw.IntakeSettings{Waiting: 1000, Team: 1000, Bytes: 1 << 30},
		Task:   medlargw.TaskSettings{Lease: time.Minute, Tries: 3},
	}
	attempts := 0
	newAttemptID := func() medlargw.AttemptID { attempts++; return medlargw.AttemptID(strconv.Itoa(attempts)) }
	est := estimator.New()
	dec := decider.New(settings, medlargw.DeciderDependencies{
		Scheduler:  scheduler.New(medlargw.PolicyLeastWork),
		Placer:     placer.New(est, medlargw.QuarantineRules{EvidenceThreshold: 16, FailureThreshold: 8, SlowFactor: 3}),
		Limiter:    limiter.New(),
		Estimator:  est,
		Accountant: accountant.New(settings.Intake.Bytes),
	}, newAttemptID)
	return New(zap.NewNop(), dec, s, metrics.NewRegistry(), nil)
}

func twoTasks() *medlargw.Job {
	return &medlargw.Job{
		Team:     "desk",
		Service:  "slip-check",
		Class:    "urgent",
		Tasks:    []medlargw.Task{{ID: "a"}, {ID: "b"}},
		Arrived:  time.Now(),
		Deadline: time.Now().Add(5 * time.Second),
	}
}

func oneTarget() []medlargw.Allocation {
	return []medlargw.Allocation{{Target: medlargw.Target{Name: "t", Slots: 2}, Slots: 2}}
}

func TestSubmitEndsEveryJob(t *testing.T) {
	tests := []struct {
		name   string
		sender fakeSender
		slots  bool
		leave  time.Duration // Time until the caller goes away; zero means never.
		want   medlargw.Code
		notRun bool
	}{
		{name: "complete", sender: fakeSender{delay: time.Second}, slots: true},
		{
			name:   "a task fails",
			sender: fakeSender{delay: time.Second, end: medlargw.AttemptEnd{Kind: medlargw.EndFailed}},
			slots:  true,
			want:   medlargw.CodeTaskFailed,
		},
		{
			name:   "an end is lost",
			sender: fakeSender{delay: time.Second, end: medlargw.AttemptEnd{Kind: medlargw.EndLost}},
			slots:  true,
			want:   medlargw.CodeAttemptLost,
		},
		{name: "deadline while running", sender: fakeSender{delay: time.Minute}, slots: true, want: medlargw.CodeDeadline},
		{name: "deadline while waiting", want: medlargw.CodeDeadline, notRun: true},
		{
			name:   "caller gone while running",
			sender: fakeSender{delay: time.Minute},
			slots:  true,
			leave:  time.Second,
			want:   medlargw.CodeCancelled,
		},
		{name: "caller gone while waiting", leave: time.Second, want: medlargw.CodeCancelled, notRun: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(&tt.sender)
				if err := d.Start(t.Context()); err != nil {
					t.Fatalf("start: %v", err)
				}
				if tt.slots {
					d.SetAllocations(oneTarget())
				}
				ctx := t.Context()
				if tt.leave > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, tt.leave)
					defer cancel()
				}
				outcome := d.Submit(ctx, twoTasks())
				if got := outcome.Code; got != tt.want {
					t.Errorf("code: got %q, want %q", got, tt.want)
				}
				if got, want := outcome.Complete, tt.want == medlargw.CodeNone; got != want {
					t.Errorf("complete: got %t, want %t", got, want)
				}
				if got := outcome.NotRun(); got != tt.notRun {
					t.Errorf("not run: got %t, want %t", got, tt.notRun)
				}
				if err := d.Stop(t.Context()); err != nil {
					t.Errorf("stop: %v", err)
				}
			})
		})
	}
}

func TestSubmitAfterStopIsRefused(t *testing.T) {
	d := newDispatcher(&fakeSender{})
	if err := d.Start(t.Context()); err != nil {
		t.Fatalf("start: %v", err)
	}
	if err := d.Stop(t.Context()); err != nil {
		t.Fatalf("stop: %v", err)
	}
	// One submission is not enough: the message channel still has room after the
	// control goroutine has ended.
	for range 100 {
		outcome := d.Submit(t.Context(), twoTasks())
		if got, want := outcome.Code, medlargw.CodeStopping; got != want {
			t.Fatalf("code: got %q, want %q", got, want)
		}
		if !outcome.NotRun() {
			t.Fatal("not run: got false, want true")
		}
	}
}

func TestStopLetsAcceptedJobsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(&fakeSender{delay: time.Second})
		if err := d.Start(t.Context()); err != nil {
			t.Fatalf("start: %v", err)
		}
		d.SetAllocations(oneTarget())
		ended := make(chan medlargw.Outcome, 1)
		go func() { ended <- d.Submit(t.Context(), twoTasks()) }()
		synctest.Wait()
		if err := d.Stop(t.Context()); err != nil {
			t.Errorf("stop: %v", err)
		}
		if outcome := <-ended; !outcome.Complete {
			t.Errorf("complete: got false with code %q, want true", outcome.Code)
		}
	})
}
