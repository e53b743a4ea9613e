// Package builder assembles the components of an entry.
//
// Components start in the order in which they are added: first the component
// that decides (the dispatcher, or the conductor if targets run tasks under a
// lease) and the components that it uses, then those that supply its input, and
// last the component that accepts callers. They stop in the reverse order.
package builder

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
	"medlargw.example/medlargw/accountant"
	"medlargw.example/medlargw/administrator"
	"medlargw.example/medlargw/assigner"
	"medlargw.example/medlargw/auditor"
	"medlargw.example/medlargw/decider"
	"medlargw.example/medlargw/dispatcher"
	"medlargw.example/medlargw/estimator"
	"medlargw.example/medlargw/hedger"
	"medlargw.example/medlargw/keeper"
	"medlargw.example/medlargw/lender"
	"medlargw.example/medlargw/limiter"
	"medlargw.example/medlargw/messenger"
	"medlargw.example/medlargw/minter"
	"medlargw.example/medlargw/placer"
	"medlargw.example/medlargw/receiver"
	"medlargw.example/medlargw/registrar"
	"medlargw.example/medlargw/reporter"
	"medlargw.example/medlargw/scheduler"
	"medlargw.example/medlargw/sender"
	"medlargw.example/medlargw/tracker"
	"medlargw.example/medlargw/watcher"
)

const (
	quarantineEvidence = 16 // Reached by six consecutive failures of tasks that succeed elsewhere.
	breakerFailures    = 8
	slowRunTimeRatio   = 3
)

// Builder holds the settings and dependencies of one entry.
type Builder struct {
	Log      *zap.Logger
	Settings medlargw.Settings
	Store    medlargw.Store      // Nil selects the platform in the settings.
	Hosts    medlargw.HostLister // Nil selects the platform in the settings.
	Sender   medlargw.Sender     // Nil selects a sender to the real targets.
	// Messenger returns the component "messenger"; nil selects the messenger that
	// communicates with real peers.
	Messenger func(reg *registrar.Registrar) medlargw.Component
	Metrics   metrics.Registry // Nil selects a new registry.
	Level     zap.AtomicLevel  // Log level, which operators may change.
	Version   string
}

// Build returns a registrar with all components of the entry. It is not
// started.
func (b *Builder) Build() (*registrar.Registrar, error) {
	tlsConfig, err := b.tlsConfig()
	if err != nil {
		return nil, err
	}
	reg := b.core(func(reg *registrar.Registrar, registry metrics.Registry) medlargw.Component {
		return administrator.New(b.Log, reg, b.Settings, tlsConfig, registry, b.level(), b.Version)
	})
	reg.Add(receiver.New(b.Log, reg, b.Settings, tlsConfig, b.Metrics))
	return reg, nil
}

// BuildCore returns the components without those that serve callers and
// operators.
func (b *Builder) BuildCore() *registrar.Registrar { return b.core(nil) }

// core returns the components without the one that serves callers. The function
// admin, if not nil, returns the component that serves operators. It starts
// before the tracker, which announces its address to the peers, and stops after
// the components that serve callers and peers, so that operators can observe a
// planned stop.
func (b *Builder) core(admin func(*registrar.Registrar, metrics.Registry) medlargw.Component) *registrar.Registrar {
	b.setPlatformDefaults()
	reg := registrar.New(b.Log)
	dec := decider.New(b.Settings, b.newDeciderDependencies(), newAttemptID)
	if b.Sender == nil {
		b.Sender = sender.New(b.Settings.Task, b.Settings.Zone)
	}
	incarnation := newIncarnation()
	mint := minter.New(b.Settings.Key, b.Settings.Host, incarnation, time.Now(), b.Settings.Intake.Ticket)
	if b.Metrics == nil {
		b.Metrics = metrics.NewRegistry()
	}
	registry := b.Metrics
	calls := hedger.New(b.Log, registry)
	report := reporter.New(b.Log, reg, registry, time.Now())
	disp := dispatcher.New(b.Log, dec, b.Sender, registry, report)
	disp.UseLender(reg, lender.New(&b.Settings, incarnation), &b.Settings)
	if component, ok := b.Sender.(medlargw.Component); ok {
		reg.Add(component)
	}
	reg.Add(report, disp, auditor.New(b.Log, reg, registry))
	if admin != nil {
		reg.Add(admin(reg, registry))
	}
	reg.Add(
		assigner.New(b.Log, reg, b.Settings, b.Hosts, calls),
		watcher.New(b.Log, reg, b.Store, calls),
		b.newMessenger(reg),
		tracker.New(b.Log, reg, b.Settings, incarnation),
		keeper.New(b.Log, reg, b.Settings, mint),
	)
	return reg
}

func (b *Builder) newMessenger(reg *registrar.Registrar) medlargw.Component {
	if b.Messenger != nil {
		return b.Messenger(reg)
	}
	return messenger.New(b.Log, reg, b.Settings, b.Metrics)
}

func newIncarnation() medlargw.Incarnation {
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error.
	return medlargw.Incarnation(binary.LittleEndian.Uint64(random[:]))
}

func (b *Builder) newDeciderDependencies() medlargw.DeciderDependencies {
	est := estimator.New()
	return medlargw.DeciderDependencies{
		Scheduler:  scheduler.New(medlargw.PolicyLeastWork),
		Placer:     placer.New(est, medlargw.QuarantineRules{EvidenceThreshold: quarantineEvidence, FailureThreshold: breakerFailures, SlowFactor: slowRunTimeRatio}),
		Limiter:    limiter.New(),
		Estimator:  est,
		Accountant: accountant.New(b.Settings.Intake.Bytes),
	}
}

// level returns the log level that operators may change.
func (b *Builder) level() zap.AtomicLevel {
	if b.Level == (zap.AtomicLevel{}) {
		return zap.NewAtomicLevel()
	}
	return b.Level
}

func newAttemptID() medlargw.AttemptID { return medlargw.AttemptID(rand.Text()) }

// setPlatformDefaults sets Store and Hosts, if they are nil, to an accessor of
// the platform in the settings.
func (b *Builder) setPlatformDefaults() {
	platform := accessor.New(b.Settings.Store, 0) // The components decide how long to wait.
	if b.Store == nil {
		b.Store = platform
	}
	if b.Hosts == nil {
		b.Hosts = platform
	}
}

func (b *Builder) tlsConfig() (*tls.Config, error) {
	if b.Settings.TLS.Cert == "" {
		return nil, nil //nolint:nilnil // A nil configuration selects plain TCP; see receiver.New.
	}
	cert, err := tls.LoadX509KeyPair(b.Settings.TLS.Cert, b.Settings.TLS.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}
