package builder

import (
	"github.com/rcrowley/go-metrics"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/assigner"
	"medlargw.example/medlargw/conductor"
	"medlargw.example/medlargw/enroller"
	"medlargw.example/medlargw/hedger"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/tracker"
	"medlargw.example/medlargw/watcher"
)

// BuildLeased returns the components of an entry whose targets run tasks under
// a lease, without the component that serves callers. The runner sends orders
// to the targets.
func (b *Builder) BuildLeased(clock medlargw.Clock, runner medlargw.Runner, enrolment medlargw.Enrolment) *registrar.Registrar {
	if b.Metrics == nil {
		b.Metrics = metrics.NewRegistry()
	}
	reg := registrar.New(b.Log)
	incarnation := newIncarnation()
	calls := hedger.New(b.Log, b.Metrics)
	reg.Add(
		conductor.New(b.Log, reg, &b.Settings, incarnation, clock, runner, b.Metrics),
		assigner.New(b.Log, reg, b.Settings, b.Hosts, calls),
		watcher.New(b.Log, reg, b.Store, calls),
		b.newMessenger(reg),
		tracker.New(b.Log, reg, b.Settings, incarnation),
		enroller.New(b.Log, reg, enrolment, calls),
	)
	return reg
}
