package auditor

import (
	"context"
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// fixedState is a fake of the other components. Its state is set by the test.
type fixedState struct {
	dispatch medlargw.DispatchStatus
	members  []medlargw.Member
}

func (f *fixedState) Status(context.Context) (medlargw.DispatchStatus, error) { return f.dispatch, nil }
func (*fixedState) SetAside(medlargw.TargetName, bool)                        {}
func (f *fixedState) Self() medlargw.Member                                   { return f.members[0] }
func (f *fixedState) Members() []medlargw.Member                              { return f.members }

func TestEachChangeIsLoggedOnce(t *testing.T) {
	target := func(state medlargw.TargetState) []medlargw.TargetStatus {
		return []medlargw.TargetStatus{{Target: medlargw.Target{Name: "t1"}, State: state, Reason: "why"}}
	}
	member := func(state medlargw.MemberState) []medlargw.Member {
		return []medlargw.Member{{Host: "a", State: state}}
	}
	limit := func(blocked bool) []medlargw.LimitStatus {
		return []medlargw.LimitStatus{{Team: "desk", Blocked: blocked}}
	}
	steps := []struct {
		targets []medlargw.TargetStatus
		members []medlargw.Member
		limits  []medlargw.LimitStatus
		want    string
	}{
		{
			targets: target(medlargw.TargetServing), members: member(medlargw.MemberLive), limits: limit(false),
			want: "[entry changed its state]",
		},
		{
			targets: target(medlargw.TargetServing), members: member(medlargw.MemberLive), limits: limit(false),
			want: "[]",
		},
		{
			targets: target(medlargw.TargetQuarantined), members: member(medlargw.MemberSuspect), limits: limit(true),
			want: "[target changed its state entry changed its state team reached its limit]",
		},
		{
			targets: target(medlargw.TargetQuarantined), members: member(medlargw.MemberSuspect), limits: limit(true),
			want: "[]",
		},
		{
			targets: target(medlargw.TargetServing), members: member(medlargw.MemberSuspect), limits: limit(false),
			want: "[target changed its state team is below its limit again]",
		},
	}
	core, logs := observer.New(zapcore.InfoLevel)
	registry := metrics.NewRegistry()
	a := New(zap.New(core), registrar.New(zap.NewNop()), registry)
	state := &fixedState{}
	a.inspector, a.members = state, state
	for i, step := range steps {
		state.dispatch = medlargw.DispatchStatus{Targets: step.targets, Limits: step.limits}
		state.members = step.members
		a.logChanges(t.Context())
		messages := []string{}
		for _, entry := range logs.TakeAll() {
			messages = append(messages, entry.Message)
		}
		if got := fmt.Sprint(messages); got != step.want {
			t.Errorf("step %d: got %s, want %s", i, got, step.want)
		}
	}
	if got, want := metrics.GetOrRegisterCounter("target-changes.quarantined", registry).Count(), int64(1); got != want {
		t.Errorf("quarantines counted: got %d, want %d", got, want)
	}
}

// BenchmarkLogChangesOfDesignSize compares snapshots of 61 targets, 27 entries and
// 360 teams.
func BenchmarkLogChangesOfDesignSize(b *testing.B) {
	state := &fixedState{}
	for n := range 550 / 9 {
		target := medlargw.Target{Name: medlargw.TargetName(fmt.Sprint("target-", n))}
		state.dispatch.Targets = append(state.dispatch.Targets, medlargw.TargetStatus{Target: target, State: medlargw.TargetServing})
	}
	for n := range 27 {
		state.members = append(state.members, medlargw.Member{Host: medlargw.HostName(fmt.Sprint("host-", n))})
	}
	for n := range 360 {
		team := medlargw.TeamName(fmt.Sprint("team-", n))
		state.dispatch.Limits = append(state.dispatch.Limits, medlargw.LimitStatus{Team: team})
	}
	a := New(zap.NewNop(), registrar.New(zap.NewNop()), metrics.NewRegistry())
	a.inspector, a.members = state, state
	b.ReportAllocs()
	for b.Loop() {
		a.logChanges(b.Context())
	}
}
