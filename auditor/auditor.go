// Package auditor logs and counts the state changes that operators look for:
// those of targets, of other entries and of teams at their limit.
//
// Once a second it compares a snapshot with the previous one, so that the control
// goroutine does no logging. Each change is logged once; a state that is entered
// and left between two snapshots is not noticed.
package auditor

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// Times of the snapshots.
const (
	snapshotInterval = time.Second
	snapshotTimeout  = time.Second
)

// Auditor is the component that logs and counts state changes.
type Auditor struct {
	log       *zap.Logger
	registry  *registrar.Registrar
	metrics   metrics.Registry
	inspector medlargw.Inspector
	members   medlargw.Members // Nil when there is no component "tracker".
	previous  snapshot
	cancel    context.CancelFunc
	running   conc.WaitGroup
	done      chan struct{}
}

// snapshot holds the states to compare. What is absent has the zero state.
type snapshot struct {
	targets map[medlargw.TargetName]medlargw.TargetStatus
	members map[medlargw.HostName]medlargw.MemberState
	blocked map[medlargw.TeamName]bool
}

var _ medlargw.Component = (*Auditor)(nil)

// New returns an auditor that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, registry metrics.Registry) *Auditor {
	return &Auditor{
		log:      log.Named("auditor"),
		registry: reg,
		metrics:  registry,
		done:     make(chan struct{}),
	}
}

// Name returns "auditor".
func (*Auditor) Name() string { return "auditor" }

// Start finds the other components and starts to take snapshots.
func (a *Auditor) Start(context.Context) error {
	var err error
	if a.inspector, err = registrar.Find[medlargw.Inspector](a.registry, "dispatcher"); err != nil {
		return err
	}
	a.members, _ = registrar.Find[medlargw.Members](a.registry, "tracker")
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.running.Go(func() { a.follow(ctx) })
	return nil
}

// Stop ends the snapshots and waits for the one in progress.
func (a *Auditor) Stop(context.Context) error {
	defer close(a.done)
	a.cancel()
	a.running.Wait()
	return nil
}

// Done is closed when the last snapshot has ended.
func (a *Auditor) Done() <-chan struct{} { return a.done }

func (a *Auditor) follow(ctx context.Context) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		a.logChanges(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// logChanges takes a snapshot, and logs and counts what differs from the previous
// one.
func (a *Auditor) logChanges(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	core, err := a.inspector.Status(ctx)
	if err != nil {
		return // Busy or stopping; the next snapshot shows the same changes.
	}
	next := snapshot{
		targets: make(map[medlargw.TargetName]medlargw.TargetStatus, len(core.Targets)),
		members: map[medlargw.HostName]medlargw.MemberState{},
		blocked: map[medlargw.TeamName]bool{},
	}
	for i := range core.Targets {
		next.targets[core.Targets[i].Target.Name] = core.Targets[i]
	}
	for i := range core.Limits {
		next.blocked[core.Limits[i].Team] = core.Limits[i].Blocked
	}
	if a.members != nil {
		for _, m := range a.members.Members() {
			next.members[m.Host] = m.State
		}
	}
	a.compareTargets(next)
	a.compareMembers(next)
	a.compareLimits(next)
	a.previous = next
}

// compareTargets logs and counts the targets that changed their state. A new
// target is logged only if it is not serving.
func (a *Auditor) compareTargets(next snapshot) {
	for name := range next.targets {
		t := next.targets[name]
		old := a.previous.targets[name].State
		if t.State == old || old == "" && t.State == medlargw.TargetServing {
			continue
		}
		a.count("target-changes." + string(t.State))
		a.log.Info("target changed its state", zap.String("target", string(name)),
			zap.String("from", string(old)), zap.String("to", string(t.State)), zap.String("reason", t.Reason))
	}
}

func (a *Auditor) compareMembers(next snapshot) {
	for host, state := range next.members {
		old, known := a.previous.members[host]
		if known && state == old {
			continue
		}
		a.count("member-changes." + state.String())
		fields := []zap.Field{zap.String("host", string(host)), zap.Stringer("to", state)}
		if known {
			fields = append(fields, zap.Stringer("from", old))
		}
		a.log.Info("entry changed its state", fields...)
	}
}

func (a *Auditor) compareLimits(next snapshot) {
	for team, blocked := range next.blocked {
		if blocked == a.previous.blocked[team] {
			continue
		}
		if blocked {
			a.count("limit-changes.reached")
			a.log.Info("team reached its limit", zap.String("team", string(team)))
		} else {
			a.count("limit-changes.cleared")
			a.log.Info("team is below its limit again", zap.String("team", string(team)))
		}
	}
}

func (a *Auditor) count(name string) { metrics.GetOrRegisterCounter(name, a.metrics).Inc(1) }
