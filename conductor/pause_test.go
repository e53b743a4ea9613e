package conductor

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/imitator"
	"medlargw.example/medlargw/registrar"
)

// pausedEntry is an entry whose control goroutine can be made to stand still while it
// handles events. It holds two targets with room for two tasks each.
type pausedEntry struct {
	*Conductor
	targets *imitator.Imitator
	starts  atomic.Int64 // Start orders that were sent.
}

// directRunner passes the orders to the targets at once.
type directRunner struct{ e *pausedEntry }

func (r directRunner) StartRun(_ context.Context, t *medlargw.Target, o medlargw.StartOrder) (medlargw.OrderReply, error) {
	r.e.starts.Add(1)
	return r.e.targets.Start(t.Name, o), nil
}

func (r directRunner) StopRun(_ context.Context, t *medlargw.Target, o medlargw.StopOrder) (medlargw.OrderReply, error) {
	return r.e.targets.Stop(t.Name, o), nil
}

func (r directRunner) Renew(ctx context.Context, t *medlargw.Target, n medlargw.Renewal) (medlargw.RunReport, error) {
	time.Sleep(200 * time.Microsecond) // Two answers never come at one instant.
	return r.e.targets.Renew(ctx, t.Name, n)
}

func (r directRunner) Reach(context.Context, *medlargw.Target) error { return nil }

// silentMessenger answers no message.
type silentMessenger struct{}

func (silentMessenger) Offer(ctx context.Context, _ netip.AddrPort, _ medlargw.Offer) (medlargw.OfferReply, error) {
	<-ctx.Done()
	return medlargw.OfferReply{}, ctx.Err()
}

func (silentMessenger) Report(ctx context.Context, _ netip.AddrPort, _ medlargw.Report) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentMessenger) Transfer(ctx context.Context, _ netip.AddrPort, _ medlargw.Transfer) error {
	<-ctx.Done()
	return ctx.Err()
}

// Run times of the tasks of the entry's own jobs and of those that others offer.
const (
	ownRunTime     = 900 * time.Millisecond
	offeredRunTime = 200 * time.Millisecond
)

// runPaused runs a test with an entry in virtual time. A second has passed, and its
// targets are claimed.
func runPaused(t *testing.T, test func(t *testing.T, e *pausedEntry)) {
	synctest.Test(t, func(t *testing.T) {
		e := &pausedEntry{}
		e.targets = imitator.New(time.Now, func(task string, _ []byte) medlargw.SimulatedTask {
			work := medlargw.SimulatedTask{RunTime: offeredRunTime, Resources: medlargw.Resources{Cores: 1000, Memory: 64}}
			if task == "own.0" {
				work.RunTime = ownRunTime
			}
			return work
		})
		room := medlargw.Resources{Cores: 2000, Memory: 128}
		for _, name := range []medlargw.TargetName{"t0", "t1"} {
			e.targets.Add(medlargw.Target{Name: name, Zone: "a", Pool: "pool", Resources: room})
		}
		settings := medlargw.Settings{
			Host: "a1", Zone: "a", Lease: medlargw.DefaultLeaseSettings(),
			Listen: medlargw.ListenSettings{Peers: netip.MustParseAddrPort("10.0.0.1:7000")},
		}
		e.Conductor = New(zap.NewNop(), registrar.New(zap.NewNop()), &settings, 1, virtualClock{}, directRunner{e}, metrics.NewRegistry())
		e.messenger = silentMessenger{}
		e.ctx, e.cancel = context.WithCancel(context.Background())
		e.control.Go(e.run)
		e.SetGroup(medlargw.Group{
			Entries: []medlargw.Peer{{Host: "a1", Zone: "a", Addr: settings.Listen.Peers, Incarnation: 1}}, Targets: e.targets.Targets(),
		})
		time.Sleep(time.Second)
		test(t, e)
		if err := e.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		for _, violation := range e.targets.Violations() {
			t.Error(violation)
		}
	})
}

// standStill makes the control goroutine stand still for a while from the handling of
// an event on. All events that come in the meantime wait.
func (e *pausedEntry) standStill(d time.Duration) {
	e.post(func(time.Time) { time.Sleep(d) })
	synctest.Wait()
}

// offerTask returns an offer of a task by another entry, valid for a while.
func (e *pausedEntry) offerTask(valid time.Duration) medlargw.Offer {
	return medlargw.Offer{
		From: medlargw.Member{Host: "b1", Zone: "b", Incarnation: 9}, Holder: 1, ValidUntil: e.uptime(time.Now()) + valid,
		Tasks: []medlargw.OfferedTask{{
			ID: 1, Run: medlargw.RunID{Task: "offered.0", Attempt: 1}, Pool: "pool", Resources: medlargw.Resources{Cores: 1000, Memory: 64},
			Estimate: offeredRunTime, TimeToObjective: 2 * time.Second, TimeToDeadline: 3 * time.Second, MayQueue: true,
		}},
	}
}

// TestOfferAfterPauseIsJudgedByItsTime guards against a task at two holders: a holder
// stands still while it handles events, and then judges the validity of an offer that
// waited behind them by the time before the pause.
func TestOfferAfterPauseIsJudgedByItsTime(t *testing.T) {
	const valid = 400 * time.Millisecond
	tests := []struct {
		name  string
		pause time.Duration
		want  medlargw.OfferState
	}{
		{"within the validity", valid - 50*time.Millisecond, medlargw.OfferStarted},
		{"past the validity", valid + 50*time.Millisecond, medlargw.OfferExpired},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runPaused(t, func(t *testing.T, e *pausedEntry) {
				o := e.offerTask(valid)
				e.standStill(test.pause)
				reply, err := e.HandleOffer(t.Context(), o)
				if err != nil {
					t.Fatal(err)
				}
				if got := reply.States[0].State; got != test.want {
					t.Errorf("offer after a pause of %v: got %v, want %v", test.pause, got, test.want)
				}
			})
		})
	}
}

// TestAnswerAfterPauseKeepsLease guards against a second run beside the first: a holder
// stands still while it handles events, and pairs the clock in a target's answer that
// waited behind them with the time before the pause. The lease counts as ended too early,
// and the task starts elsewhere. The next renewal waits at that time, as the home of
// another run there has not confirmed its end.
func TestAnswerAfterPauseKeepsLease(t *testing.T) {
	runPaused(t, func(t *testing.T, e *pausedEntry) {
		now := time.Now()
		outcome := make(chan medlargw.Outcome, 1)
		go func() {
			outcome <- e.Submit(t.Context(), &medlargw.Job{
				Idempotent: true, RequestID: "own", Service: "s", Pool: "pool", MaxAttempts: 3, SlackFactor: 9,
				Resources: medlargw.Resources{Cores: 1000, Memory: 64}, EstimatedRuntime: ownRunTime,
				Arrived: now, Deadline: now.Add(5 * time.Second), Tasks: []medlargw.Task{{ID: "own.0"}},
			})
		}()
		synctest.Wait()
		if _, err := e.HandleOffer(t.Context(), e.offerTask(400*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		e.standStill(700 * time.Millisecond)
		if o := <-outcome; !o.Complete {
			t.Errorf("job: got code %s, want it complete", o.Code)
		}
		if got := e.starts.Load(); got != 2 {
			t.Errorf("start orders: got %d, want 2", got)
		}
	})
}

// TestStartDecidedBeforePauseIsNotSent guards against an order that starts a task long
// after it was decided, when its home may have given the task up: the entry stands still
// between the decision and the sending.
func TestStartDecidedBeforePauseIsNotSent(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		want  int64
	}{
		{"short pause", 100 * time.Millisecond, 1},
		{"longer than an order may take", 600 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runPaused(t, func(t *testing.T, e *pausedEntry) {
				e.post(func(now time.Time) {
					o := e.offerTask(400 * time.Millisecond)
					e.holder.HandleOffer(now, e.uptime(now), &o)
					time.Sleep(test.pause)
				})
				time.Sleep(test.pause + 10*time.Millisecond)
				if got := e.starts.Load(); got != test.want {
					t.Errorf("start orders sent: got %d, want %d", got, test.want)
				}
			})
		})
	}
}
