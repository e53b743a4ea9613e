package registrar

import (
	"context"
	"errors"
	"slices"
	"testing"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

var errBroken = errors.New("broken")

// fakeComponent records its start and stop in a log of events shared by all.
type fakeComponent struct {
	name     string
	startErr error
	events   *[]string
	done     chan struct{}
}

var _ medlargw.Component = (*fakeComponent)(nil)

func newFakeComponent(name string, events *[]string, startErr error) *fakeComponent {
	return &fakeComponent{name: name, startErr: startErr, events: events, done: make(chan struct{})}
}

func (p *fakeComponent) Name() string { return p.name }

func (p *fakeComponent) Start(context.Context) error {
	*p.events = append(*p.events, "start "+p.name)
	return p.startErr
}

func (p *fakeComponent) Stop(context.Context) error {
	*p.events = append(*p.events, "stop "+p.name)
	close(p.done)
	return nil
}

func (p *fakeComponent) Done() <-chan struct{} { return p.done }

func TestStopInReverseOrder(t *testing.T) {
	tests := []struct {
		name   string
		broken error // Returned by the start of the last component.
		want   []string
	}{
		{name: "all start", want: []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}},
		{name: "the last fails", broken: errBroken, want: []string{"start a", "start b", "start c", "stop b", "stop a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			r := New(zap.NewNop())
			r.Add(newFakeComponent("a", &got, nil), newFakeComponent("b", &got, nil), newFakeComponent("c", &got, tt.broken))
			if err := r.Start(t.Context()); !errors.Is(err, tt.broken) {
				t.Errorf("start: got %v, want %v", err, tt.broken)
			}
			if err := r.Stop(t.Context()); err != nil {
				t.Errorf("stop: %v", err)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("order: got %v, want %v", got, tt.want)
			}
			select {
			case <-r.Done():
			default:
				t.Error("done: got open, want closed")
			}
		})
	}
}

func TestFindErrors(t *testing.T) {
	var events []string
	r := New(zap.NewNop())
	r.Add(newFakeComponent("a", &events, nil))
	tests := []struct {
		name      string
		component string
		want      string
	}{
		{name: "absent", component: "b", want: "component b: not registered"},
		{name: "another interface", component: "a", want: "component a: got *registrar.fakeComponent, want *medlargw.Submitter"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Find[medlargw.Submitter](r, tt.component)
			if err == nil || err.Error() != tt.want {
				t.Errorf("find: got %v, want %s", err, tt.want)
			}
		})
	}
}
