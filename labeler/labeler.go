// Package labeler names the metrics that are kept for each class or rank of the
// configuration. Operators choose how many of these there are and how often they change,
// so that their number is bounded here: those of the first labels have metrics of their
// own, all others share one, and the metrics of a label end with it.
package labeler

import (
	"slices"
	"sync"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxLabels is the number of labels with metrics of their own, as many as the ranks
	// that declarations may have.
	maxLabels = 32
	// shared is the label of all others.
	shared = "other"
)

// Labeler names the metrics of one set of labels. It is safe for concurrent use.
type Labeler struct {
	registry metrics.Registry
	mu       sync.Mutex
	fixed    bool                // Whether the labels were set.
	names    map[string][]string // Of the metrics, by label.
}

// New returns a labeler of the metrics in the registry. Until the labels are set, those
// that are asked for first have metrics of their own.
func New(registry metrics.Registry) *Labeler {
	return &Labeler{registry: registry, names: map[string][]string{}}
}

// SetLabels replaces the labels, and unregisters the metrics of those that are gone. The
// first ones have metrics of their own.
func (l *Labeler) SetLabels(labels []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fixed = true
	names := map[string][]string{}
	for _, label := range labels[:min(len(labels), maxLabels)] {
		names[label] = l.names[label]
	}
	for label, former := range l.names {
		if _, ok := names[label]; ok {
			continue
		}
		for _, name := range former {
			l.registry.Unregister(name)
		}
	}
	l.names = names
}

// GetOrRegister returns the metric of a label, and registers the given one, or what the
// given function returns, if there is none yet. Its name is the prefix and the label, or
// the prefix and "other".
func (l *Labeler) GetOrRegister(prefix, label string, metric any) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	names, ok := l.names[label]
	if !ok && (l.fixed || len(l.names) >= maxLabels) {
		return l.registry.GetOrRegister(prefix+shared, metric)
	}
	name := prefix + label
	if !slices.Contains(names, name) {
		l.names[label] = append(names, name)
	}
	return l.registry.GetOrRegister(name, metric)
}
