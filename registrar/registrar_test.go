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

// fakePart records its start and stop.
type fakePart struct {
	name     string
	startErr error
	log      *[]string
	done     chan struct{}
}

var _ medlargw.Part = (*fakePart)(nil)

func newFakePart(name string, log *[]string, startErr error) *fakePart {
	return &fakePart{name: name, startErr: startErr, log: log, done: make(chan struct{})}
}

func (p *fakePart) Name() string { return p.name }

func (p *fakePart) Start(context.Context) error {
	*p.log = append(*p.log, "start "+p.name)
	return p.startErr
}

func (p *fakePart) Stop(context.Context) error {
	*p.log = append(*p.log, "stop "+p.name)
	close(p.done)
	return nil
}

func (p *fakePart) Done() <-chan struct{} { return p.done }

func TestPartsStopInReverseOrder(t *testing.T) {
	tests := []struct {
		name   string
		broken error // Of the last part's start.
		want   []string
	}{
		{name: "all start", want: []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}},
		{name: "the last fails", broken: errBroken, want: []string{"start a", "start b", "start c", "stop b", "stop a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			r := New(zap.NewNop())
			r.Add(newFakePart("a", &got, nil), newFakePart("b", &got, nil), newFakePart("c", &got, tt.broken))
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

func TestFindTellsWhatIsMissing(t *testing.T) {
	var log []string
	r := New(zap.NewNop())
	r.Add(newFakePart("a", &log, nil))
	tests := []struct {
		name string
		part string
		want string
	}{
		{name: "absent", part: "b", want: "part b: not registered"},
		{name: "another interface", part: "a", want: "part a: got *registrar.fakePart, want *medlargw.Submitter"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Find[medlargw.Submitter](r, tt.part)
			if err == nil || err.Error() != tt.want {
				t.Errorf("find: got %v, want %s", err, tt.want)
			}
		})
	}
}
