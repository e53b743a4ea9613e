package labeler_test

import (
	"slices"
	"strconv"
	"testing"

	"github.com/rcrowley/go-metrics"

	"medlargw.example/medlargw/labeler"
)

// count counts an event of each label and returns the names of all metrics.
func count(l *labeler.Labeler, r metrics.Registry, labels ...string) []string {
	for _, label := range labels {
		if c, ok := l.GetOrRegister("refused.rank-", label, metrics.NewCounter).(metrics.Counter); ok {
			c.Inc(1)
		}
	}
	var names []string
	r.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	return names
}

// TestMetricsOfConfiguration checks that the metrics of a label last as long as it is part
// of the configuration.
func TestMetricsOfConfiguration(t *testing.T) {
	r := metrics.NewRegistry()
	l := labeler.New(r)
	tests := []struct {
		name   string
		labels []string // Set before the events; nil for no change.
		events []string
		want   []string
	}{
		{"before the first configuration", nil, []string{"0"}, []string{"refused.rank-0"}},
		{"two labels", []string{"0", "3"}, []string{"3"}, []string{"refused.rank-0", "refused.rank-3"}},
		{"unknown label", nil, []string{"4"}, []string{"refused.rank-0", "refused.rank-3", "refused.rank-other"}},
		{"label is gone", []string{"3"}, nil, []string{"refused.rank-3", "refused.rank-other"}},
		{"it comes back", []string{"3", "0"}, []string{"0"}, []string{"refused.rank-0", "refused.rank-3", "refused.rank-other"}},
	}
	for _, test := range tests {
		if test.labels != nil {
			l.SetLabels(test.labels)
		}
		if got := count(l, r, test.events...); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	if got := metrics.GetOrRegisterCounter("refused.rank-3", r).Count(); got != 1 {
		t.Errorf("count of a label that stayed: got %d, want 1", got)
	}
}

// TestNumberOfMetrics guards against metrics that grow with the number of labels, in one
// configuration or in many.
func TestNumberOfMetrics(t *testing.T) {
	const want = 33 // 32 of their own, and the shared one.
	var labels []string
	for i := range 2000 {
		labels = append(labels, strconv.Itoa(i))
	}
	r := metrics.NewRegistry()
	l := labeler.New(r)
	if got := len(count(l, r, labels...)); got != want {
		t.Errorf("metrics without a configuration: got %d, want %d", got, want)
	}
	l.SetLabels(labels)
	if got := len(count(l, r, labels...)); got != want {
		t.Errorf("metrics of one configuration: got %d, want %d", got, want)
	}
	for _, label := range labels {
		l.SetLabels([]string{label})
		count(l, r, label)
	}
	if got := len(count(l, r)); got != 2 {
		t.Errorf("metrics after many configurations: got %d, want 2", got)
	}
}
