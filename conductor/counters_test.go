package conductor

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"medlargw.example/medlargw"
)

// TestMetricsOfManyPriorities refuses and completes jobs of many queues with a priority
// each. It guards against metrics that grow with the number of priorities, of which each
// had two histograms for as long as the process lived.
func TestMetricsOfManyPriorities(t *testing.T) {
	const (
		priorities = 2000
		want       = 150 // Three kinds for 32 ranks, and those of the process.
	)
	registry := metrics.NewRegistry()
	c := newCounters(registry)
	for n := range priorities {
		job := &medlargw.Job{Rank: 1000 * n, Class: medlargw.ClassName(fmt.Sprintf("priority-%d", 1000*n))}
		c.countJob(&medlargw.FinishedJob{Job: job, Outcome: medlargw.Outcome{Complete: true}}, time.Second)
		c.countJob(&medlargw.FinishedJob{Job: job, Refusal: medlargw.RefusalWait}, time.Second)
	}
	got := 0
	registry.Each(func(string, any) { got++ })
	if got > want {
		t.Errorf("metrics after %d priorities: got %d, want at most %d", priorities, got, want)
	}
}

// TestMetricsOfFormerPriority guards against metrics of a priority that outlast the
// configuration which had it.
func TestMetricsOfFormerPriority(t *testing.T) {
	registry := metrics.NewRegistry()
	c := newCounters(registry)
	metricsOf3 := []string{"response_milliseconds.priority-3", "refused.wait-rank-3", "retry_milliseconds.3"}
	priority := func(rank int) *medlargw.Config {
		return &medlargw.Config{Classes: []medlargw.Class{{Name: medlargw.ClassName(fmt.Sprintf("priority-%d", rank)), Rank: rank}}}
	}
	c.configure(priority(3))
	c.countJob(&medlargw.FinishedJob{Job: &medlargw.Job{Rank: 3, Class: "priority-3"}, Refusal: medlargw.RefusalWait}, time.Second)
	for _, name := range metricsOf3 {
		if registry.Get(name) == nil {
			t.Errorf("metric %s of a priority in force: got none", name)
		}
	}
	c.configure(priority(5))
	for _, name := range metricsOf3 {
		if registry.Get(name) != nil {
			t.Errorf("metric %s of a former priority: got one, want none", name)
		}
	}
}
